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
	maxAnswer = 16 << 20 // Bytes of an answer that is read whole before it is passed on.
	// tryPart is the part of a repeatable request's time that its first upstream
	// gets to answer, while there is time for a second.
	tryPart = 0.45
	// leastTry is the least of that.
	leastTry = 150 * time.Millisecond
	// streamTry is how long a stream that may go on elsewhere waits for its
	// first event, in objectives.
	streamTry = 2
	leastWait = time.Second // The least of that, and of the wait for a later event.
	gapTry    = 4           // The wait for a later event, in allowed gaps.
)

// kept is an upstream's answer that is not passed on yet.
type kept struct {
	status int
	header http.Header
	body   []byte
}

func (k *kept) write(w http.ResponseWriter) {
	h := w.Header()
	copyHeader(h, k.header)
	h.Set("Content-Length", strconv.Itoa(len(k.body)))
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body)
}

// send does one send and passes a whole answer on.
func (q *request) send(ctx context.Context, p *place) (res result) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		res.total = time.Since(start)
		if res.end != whole && q.r.Context().Err() != nil {
			res.end = left
		}
		if res.end != whole {
			q.gate.Log.Info("Send ended.", "request", q.meta.ID, "upstream", p.up.GetId(), "address", p.up.GetAddress(),
				"digest", q.digest().String(), "ending", res.end.String(), "status", res.status, "err", errText(res.err), "events", res.events, "took", res.total.String())
		}
	}()
	quiet := time.AfterFunc(q.patience(), func() { cancel(q.silence(ctx)) })
	defer quiet.Stop()
	resp, sent, err := q.gate.Sender.Send(ctx, q.outgoing(ctx, p))
	if err != nil {
		res.end, res.err = broken, cause(ctx, err)
		if !sent {
			res.end = unsent
		}
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	res.status = resp.StatusCode
	if l, ok := q.gate.Dialect.Load(resp); ok {
		q.gate.told(p.up.GetId(), l)
	}
	q.gate.limited(p.up.GetId(), start, resp)
	switch {
	case q.gate.Dialect.Other(resp):
		res.end = other
	case q.gate.Dialect.NotRun(resp):
		res.end = busy
	case resp.StatusCode < http.StatusMultipleChoices && !q.gate.Dialect.Genuine(resp):
		res.end, res.err = broken, errors.New("gate: answer without its upstream's mark")
	case q.route.Stream && resp.StatusCode == http.StatusOK:
		s := &stream{request: q, resp: resp, quiet: quiet, start: start}
		s.pass(ctx, &res)
	default:
		q.pass(ctx, resp, start, &res)
	}
	return res
}

// patience is how long an upstream may be silent before the request goes on
// elsewhere. One that may not be repeated waits to its end.
func (q *request) patience() time.Duration {
	left := q.remains()
	if !q.route.Repeatable() || q.ran+1 >= q.route.Most() {
		return left
	}
	if q.route.Stream {
		return min(left, max(streamTry*q.route.Objective, leastWait))
	}
	return min(left, max(time.Duration(tryPart*float64(left)), leastTry))
}

// silence is why a send ends whose upstream has said nothing for as long as it
// may: for many that is until the request's time is over.
func (q *request) silence(ctx context.Context) error {
	if q.over(ctx) {
		return errDeadline
	}
	return errQuiet
}

// pass reads an answer whole before any of it leaves, so that a broken one can
// be asked for again.
func (q *request) pass(ctx context.Context, resp *http.Response, start time.Time, res *result) {
	body, err := readAll(io.LimitReader(resp.Body, maxAnswer), resp.ContentLength)
	if err == nil && len(body) == maxAnswer {
		err = errors.New("gate: answer too large")
	}
	if err != nil {
		res.end, res.err = broken, cause(ctx, err)
		return
	}
	res.first = time.Since(start)
	k := &kept{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		res.end, res.keep = failed, k
		return
	}
	k.write(q.w)
	res.end = whole
}

// outgoing makes the request for an upstream. Its path stays byte for byte what
// the caller sent.
func (q *request) outgoing(ctx context.Context, p *place) *http.Request {
	u := *q.r.URL
	u.Scheme, u.Host, u.User = "http", p.up.GetAddress(), nil
	if raw, _, _ := strings.Cut(q.r.RequestURI, "?"); !strings.HasPrefix(raw, "//") && strings.HasPrefix(raw, "/") {
		u.Opaque = raw
	}
	h := q.gate.Dialect.Forward(q.r.Header)
	last := q.meta.LastEvent
	if q.last != "" {
		last = q.last
	}
	q.gate.Dialect.Stamp(h, meta.Hop{Instance: p.up.GetId(), Account: q.account, Left: q.remains(), LastEvent: last})
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // Else net/http names itself as the caller's program.
	}
	out := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(q.body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(q.body)), int64(len(q.body))
	}
	return out.WithContext(ctx)
}

// cause names why the context ended, where that is why a send failed.
func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil && !errors.Is(err, c) {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyHeader copies an upstream's header to the caller's answer.
func copyHeader(to, from http.Header) {
	named := map[string]bool{}
	for _, v := range from.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for k, v := range from {
		if !connectionHeaders[k] && !named[k] {
			to[k] = v
		}
	}
}
