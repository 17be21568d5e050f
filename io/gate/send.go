package gate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/meta"
)

const (
	// maxBufferedAnswer is the largest response, in bytes, that is buffered before it is passed on.
	maxBufferedAnswer = 16 << 20
	// attemptFraction is the fraction of a repeatable request's remaining time that an upstream gets
	// to respond if the request may still be sent to another one. It is below one half, so that a
	// second and last attempt has more time than the first.
	attemptFraction = 0.45
	// minAttemptTime is the minimum time that an upstream gets to respond in such an attempt.
	minAttemptTime = 150 * time.Millisecond
	// firstEventFactor is how long a stream that can resume at another upstream waits for its first
	// event, in multiples of the route's objective.
	firstEventFactor = 2
	minEventWait     = time.Second // Lower bound of the wait for the first event and for later ones.
	eventGapFactor   = 4           // Wait for a later event, in multiples of the gap that the route allows.
)

// bufferedResponse is an upstream's response that has not been passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	head   bool  // It answers a HEAD request.
	length int64 // Length of the body that the upstream states; -1 if it states none.
}

func (k *bufferedResponse) write(q *request) error {
	h := q.w.Header()
	copyEndToEndHeaders(h, k.header)
	length := int64(len(k.body))
	if k.head {
		length = k.length // The body stays at the upstream.
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.w.WriteHeader(k.status)
	return q.write(k.body)
}

// send sends the request to one upstream and passes its response on.
func (q *request) send(ctx context.Context, p *placement) (res result) {
	start := time.Now()
	if q.leaves(p.upstream) {
		return result{outcome: outcomeUnused, err: errLeaves}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		res.total = time.Since(start)
		if res.outcome != outcomeComplete && q.r.Context().Err() != nil {
			res.outcome = outcomeCallerLeft
		}
		if res.outcome != outcomeComplete {
			q.gate.Log.Info("Send ended.", "request", q.meta.ID, "upstream", p.upstream.GetId(), "address", p.upstream.GetAddress(), "version", p.upstream.GetVersion(),
				"digest", q.digest().String(), "ending", res.outcome.String(), "status", res.status, "err", errText(res.err), "events", res.events, "took", res.total.String())
		}
	}()
	silenceTimer := time.AfterFunc(q.silenceLimit(), func() { cancel(q.silenceCause(ctx)) })
	defer silenceTimer.Stop()
	resp, sent, err := q.gate.Sender.Send(ctx, q.upstreamRequest(ctx, p))
	if err != nil {
		res.outcome, res.err = outcomeInterrupted, withCause(ctx, err)
		if !sent {
			res.outcome = outcomeNotSent
		}
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if l, ok := q.gate.Dialect.Load(resp); ok {
		q.gate.recordLoad(p.upstream.GetId(), l)
	}
	q.gate.recordLimit(p.upstream.GetId(), start, resp)
	q.gate.recordBrittle(q.pool, p.upstream.GetId(), start, resp)
	q.recordLeaving(p, resp)
	switch {
	case q.gate.Dialect.Other(resp):
		res.outcome = outcomeMisdirected
	case q.gate.Dialect.NotRun(resp):
		res.outcome = outcomeNotRun
	case resp.StatusCode < http.StatusMultipleChoices && !q.gate.Dialect.Genuine(resp):
		res.outcome, res.err = outcomeInterrupted, errors.New("gate: answer without its upstream's mark")
	case q.route.Stream && resp.StatusCode == http.StatusOK:
		s := &stream{request: q, resp: resp, silenceTimer: silenceTimer, sentAt: start}
		s.relay(ctx, &res)
	default:
		q.relayBuffered(ctx, resp, start, &res)
	}
	return res
}

// silenceLimit returns how long an upstream may be silent before the request is sent to another
// one. A request that may not run again waits until its time is over.
func (q *request) silenceLimit() time.Duration {
	left := q.remaining()
	if !q.route.Repeatable() || q.runs+1 >= q.route.MaxUpstreams() {
		return left
	}
	if q.route.Stream {
		return min(left, max(firstEventFactor*q.route.Objective, minEventWait))
	}
	return min(left, max(time.Duration(attemptFraction*float64(left)), minAttemptTime))
}

// silenceCause returns the error that ends a send whose upstream was silent for too long:
// errDeadline if the request's time is over, and errSilent otherwise. Both can be the cause,
// because silenceLimit lets a request that may not run again wait until its time is over.
func (q *request) silenceCause(ctx context.Context) error {
	if q.expired(ctx) {
		return errDeadline
	}
	return errSilent
}

// relayBuffered reads a response completely before it passes any of it on, so that the request can
// be retried if the response breaks off.
func (q *request) relayBuffered(ctx context.Context, resp *http.Response, start time.Time, res *result) {
	body, err := readAll(io.LimitReader(resp.Body, maxBufferedAnswer+1), resp.ContentLength)
	if err == nil && len(body) > maxBufferedAnswer {
		err = errors.New("gate: answer too large")
	}
	if err != nil {
		res.outcome, res.err = outcomeInterrupted, withCause(ctx, err)
		return
	}
	res.firstAfter = time.Since(start)
	if !q.route.Repeatable() && promisesNoRun(resp.StatusCode) {
		res.outcome, res.err = outcomeFailed, fmt.Errorf("%w: %d", errRanAnyway, resp.StatusCode)
		return
	}
	k := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body, head: q.r.Method == http.MethodHead, length: resp.ContentLength}
	if resp.StatusCode >= http.StatusInternalServerError {
		res.outcome, res.failure = outcomeFailed, k
		return
	}
	res.outcome = outcomeComplete
	if err := k.write(q); err != nil {
		res.outcome, res.err = outcomeCallerLeft, err
	}
}

// promisesNoRun reports whether callers take a status as the promise that their request has not run
// and never will. An upstream gives such a status also after a run; only its mark on the response
// tells the two apart, and callers don't know the mark.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// upstreamRequest builds the request for an upstream. Its path stays byte for byte as the caller
// sent it.
func (q *request) upstreamRequest(ctx context.Context, p *placement) *http.Request {
	u := *q.r.URL
	u.Scheme, u.Host, u.User = "http", p.upstream.GetAddress(), nil
	if raw, _, _ := strings.Cut(q.r.RequestURI, "?"); !strings.HasPrefix(raw, "//") && strings.HasPrefix(raw, "/") {
		u.Opaque = raw
	}
	h := q.gate.Dialect.Forward(q.r.Header)
	lastEventID := q.meta.LastEvent
	if q.lastEventID != "" {
		lastEventID = q.lastEventID
	}
	q.gate.Dialect.Stamp(h, meta.Hop{Instance: p.upstream.GetId(), Account: q.account, Left: q.remaining(), LastEvent: lastEventID})
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // Otherwise net/http sends its own User-Agent.
	}
	out := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(q.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	return out.WithContext(ctx)
}

// withCause adds the reason for which the context ended to the error of a send, if the context has
// ended.
func withCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(err, c) {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

// hopByHopHeaders are the headers that apply to a single connection and are not passed on.
// Content-Length is among them because the response to the caller gets its own.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyEndToEndHeaders copies an upstream's header to the caller's response, without the headers
// that apply to a single connection.
func copyEndToEndHeaders(to, from http.Header) {
	connectionOptions := map[string]bool{}
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, v := range from {
		if !hopByHopHeaders[k] && !connectionOptions[k] {
			to[k] = v
		}
	}
}
