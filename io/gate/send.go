package gate

import (
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
	body   *held
	head   bool  // It answers a HEAD request.
	length int64 // Length of the body that the upstream states; -1 if it states none.
}

func (k *bufferedResponse) write(q *request) error {
	h := q.w.Header()
	copyEndToEndHeaders(h, k.header)
	length := k.body.size
	if k.head {
		length = k.length // The body stays at the upstream.
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	q.w.WriteHeader(k.status)
	return q.writeAll(k.body.pieces)
}

// send sends the request to one upstream, unless it was sent before, and passes the response on.
func (q *request) send(ctx context.Context, f *flight) (res result) {
	defer f.cancel(nil)
	if f.done == nil && q.leaves(f.placement.upstream) {
		return result{outcome: outcomeUnused, err: errLeaves}
	}
	v := q.newMover(ctx, f)
	h := q.newHedge(ctx, f)
	defer func() {
		if next := h.stop(res.outcome == outcomeComplete); res.next == nil {
			res.next = next
		}
		res.total = time.Since(f.sentAt)
		// The upstream is not to blame for a send that ended with its caller or with this server.
		if res.outcome != outcomeComplete && (q.callerGone() || (q.serverStops() && res.outcome == outcomeInterrupted)) {
			res.outcome = outcomeCallerLeft
		}
		if res.outcome != outcomeComplete {
			q.logSend(f, res)
		}
	}()
	f = f.roundTrip()
	res = q.inspect(f)
	if f.err != nil {
		return res
	}
	defer func() { _ = f.resp.Body.Close() }()
	h.touch(q)
	switch {
	case res.outcome != outcomeComplete:
	case q.route.Stream && f.resp.StatusCode == http.StatusOK:
		v.judge(f.byClose)
		s := &stream{request: q, resp: f.resp, hedge: h, mover: v, last: q.sendsNoMore(f, h, v), sentAt: f.sentAt}
		s.relay(f.ctx, &res)
	default:
		q.relayBuffered(f, h, &res)
	}
	return res
}

// inspect records what a response tells of its upstream. The outcome of its result is that of a complete
// response if the response may be passed on.
func (q *request) inspect(f *flight) (res result) {
	if f.err != nil {
		res.outcome, res.err = outcomeInterrupted, withCause(f.ctx, f.err)
		if !f.sent {
			res.outcome = outcomeNotSent
		}
		return res
	}
	id, resp := f.placement.upstream.GetId(), f.resp
	res.status, res.framing = resp.StatusCode, framingOf(resp)
	res.notRun, res.instance = q.gate.Dialect.NotRun(resp), q.gate.Dialect.Instance(resp)
	if res.framing == framedByClose {
		q.gate.Stats.Count("responses-ended-by-close", 1)
	}
	if l, ok := q.gate.Dialect.Load(resp); ok {
		q.gate.recordLoad(id, l)
		if !q.gate.Dialect.Other(resp) {
			q.gate.recordSpeed(q.pool, id, l.Pace)
		}
	}
	q.gate.recordLimit(id, f.sentAt, resp)
	q.gate.recordBrittle(q.pool, id, f.sentAt, resp)
	q.gate.recordRest(f.placement, f.sentAt, resp)
	q.recordLeaving(f.placement, resp)
	switch {
	case f.misdirected():
		res.outcome = outcomeMisdirected
	case res.notRun:
		res.outcome = outcomeNotRun
	case resp.StatusCode < http.StatusMultipleChoices && !q.gate.Dialect.Genuine(resp):
		res.outcome, res.err = outcomeInterrupted, errors.New("gate: answer without its upstream's mark")
	case q.headerSent && resp.StatusCode != http.StatusOK:
		res.outcome, res.err = outcomeFailed, fmt.Errorf("%w: %d", errNoStream, resp.StatusCode)
	}
	return res
}

// silenceLimit returns how long an upstream may be silent before another one is sought.
func (q *request) silenceLimit() time.Duration {
	if q.route.Stream {
		return max(firstEventFactor*q.route.Objective, minEventWait)
	}
	return max(time.Duration(attemptFraction*float64(q.remaining())), minAttemptTime)
}

// relayBuffered reads a response completely before it passes any of it on, so that the request can
// be retried if the response breaks off.
func (q *request) relayBuffered(f *flight, h *hedge, res *result) {
	resp := f.resp
	from := &heardReader{resp.Body, h, q}
	a := q.gate.newAnswer()
	defer func() {
		if res.failure == nil {
			a.free()
		}
	}()
	err := a.read(from, resp.ContentLength)
	if errors.Is(err, errNoRoom) && q.mayPassOn(f) && h.claim() {
		q.passOn(f, a, from, res)
		return
	}
	if err == nil && resp.StatusCode < http.StatusInternalServerError && !h.claim() {
		err = errSilent
	}
	if err != nil {
		res.outcome, res.err = outcomeInterrupted, withCause(f.ctx, err)
		return
	}
	res.firstAfter = time.Since(f.sentAt)
	if !q.route.Repeatable() && promisesNoRun(resp.StatusCode) {
		res.outcome, res.err = outcomeFailed, fmt.Errorf("%w: %d", errRanAnyway, resp.StatusCode)
		return
	}
	k := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: a, head: q.r.Method == http.MethodHead, length: resp.ContentLength}
	if resp.StatusCode >= http.StatusInternalServerError {
		res.outcome, res.failure = outcomeFailed, k
		return
	}
	res.outcome = outcomeComplete
	q.releaseBody()
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
	if q.body != nil && q.body.size > 0 {
		out.Body, out.ContentLength = io.NopCloser(q.body.reader()), q.body.size
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
