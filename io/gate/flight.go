package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/tally"
)

// flight is one send of a request.
type flight struct {
	placement *placement
	request   *request // That was placed.
	tallied   *tally.Send
	sentAt    time.Time
	ctx       context.Context //nolint:containedctx // Of the send.
	cancel    context.CancelCauseFunc
	continues *continuation // Nil unless the upstream continues a run.
	mover     *mover        // Of a run that an earlier stop may still stop; else nil.
	done      chan struct{} // Closed once the fields below are set; nil if the request is yet to be sent.
	resp      *http.Response
	byClose   *closedBody // Body of the response if it ends with its connection; else nil.
	sent      bool        // A byte may have been sent.
	err       error
}

// newFlight prepares a send.
func (q *request) newFlight(ctx context.Context, p *placement) *flight {
	f := &flight{placement: p, request: q, sentAt: time.Now()}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	f.ctx = q.body.useWhileSent(f.ctx)
	q.gate.recordSentUnits(q, p)
	f.tallied = q.gate.versions.begin(q, p.upstream.GetVersion())
	return f
}

// roundTrip sends the request, or waits for the answer if it was sent before. It returns the send with its
// response.
func (f *flight) roundTrip() *flight {
	if f.done == nil {
		f.dispatch()
		return f
	}
	<-f.done
	c := *f // The goroutine that has sent it may still read it.
	return &c
}

// dispatch sends the request and waits for the header of the response.
func (f *flight) dispatch() {
	r := f.request.upstreamRequest(f.ctx, f.placement)
	if c := f.continues; c != nil {
		f.request.gate.Moves.Continue(r.Header, c.source, c.handle)
	}
	f.resp, f.sent, f.err = f.request.gate.Sender.Send(f.ctx, r) //nolint:bodyclose // By send, race or drop.
	if f.err == nil && framingOf(f.resp) == framedByClose {
		f.byClose = &closedBody{ReadCloser: f.resp.Body, flight: f}
		f.resp.Body = f.byClose
	}
}

// accepted reports whether the response shows that the upstream answers the request.
func (f *flight) accepted() bool {
	if f.err != nil {
		return false
	}
	d, status := f.request.gate.Dialect, f.resp.StatusCode
	switch {
	case f.misdirected(), d.NotRun(f.resp), status >= http.StatusInternalServerError, f.request.headerSent && status != http.StatusOK:
		return false
	}
	return status >= http.StatusMultipleChoices || d.Genuine(f.resp)
}

// misdirected reports whether another instance than the one meant has responded, so that nothing ran. The status alone
// does not show it: an upstream may give it after a run. Requests that may run more than once need no proof.
func (f *flight) misdirected() bool {
	d := f.request.gate.Dialect
	if !d.Other(f.resp) {
		return false
	}
	id := d.Instance(f.resp)
	return f.request.route.Repeatable() || d.NotRun(f.resp) || (id != "" && id != f.placement.upstream.GetId())
}

// awaitAnswer waits for the first event of a stream, and for the whole of any other response.
func (f *flight) awaitAnswer() {
	a := f.request.gate.newAnswer()
	var err error
	if f.request.route.Stream && f.resp.StatusCode == http.StatusOK {
		var event []byte
		event, err = readEvent(f.resp.Body)
		a.pieces = append(a.pieces, event)
	} else {
		err = a.read(f.resp.Body, f.resp.ContentLength)
	}
	if err != nil {
		_ = f.resp.Body.Close()
		a.free()
		f.resp, f.sent, f.err = nil, true, err
		return
	}
	f.resp.Body = &readAhead{io.MultiReader(a.reader(), f.resp.Body), f.resp.Body, a}
}

// readAhead is a body of which a part was read before.
type readAhead struct {
	io.Reader
	io.Closer

	answer *held
}

// Close ends the body and gives its memory back.
func (r *readAhead) Close() error {
	r.answer.free()
	return r.Closer.Close() //nolint:wrapcheck // Of the body itself.
}

// readEvent reads until one event is complete, or to the end of a stream without events.
func readEvent(r io.Reader) ([]byte, error) {
	var data []byte
	for buf := make([]byte, readSize); eventLen(data) == 0; {
		n, err := r.Read(buf)
		data = append(data, buf[:n]...)
		switch {
		case eventLen(data) > 0:
		case errors.Is(err, io.EOF) && len(data) > 0:
			return nil, errPartial
		case errors.Is(err, io.EOF):
			return nil, nil
		case err != nil:
			return nil, fmt.Errorf("gate: read: %w", err)
		case len(data) > maxEvent:
			return nil, errOversize
		}
	}
	return data, nil
}

// outcome returns how a send ended that the upstream has not answered.
func (f *flight) outcome() outcome {
	d := f.request.gate.Dialect
	switch {
	case f.err != nil && !f.sent:
		return outcomeNotSent
	case f.err != nil:
		return outcomeInterrupted
	case f.misdirected():
		return outcomeMisdirected
	case d.NotRun(f.resp):
		return outcomeNotRun
	}
	return outcomeFailed
}

// drop ends a send whose response is not wanted any more.
func (f *flight) drop() {
	f.cancel(nil)
	<-f.done
	var seen result
	if f.err == nil {
		seen = f.request.inspect(f)
		_ = f.resp.Body.Close()
	}
	res := result{outcome: outcomeDropped, total: time.Since(f.sentAt), err: f.err, status: seen.status, notRun: seen.notRun, instance: seen.instance, framing: seen.framing}
	if f.err != nil && !f.sent {
		res.outcome = outcomeUnused
	}
	f.request.logSend(f, res)
	f.request.gate.versions.end(f.tallied, res)
	f.placement.release(res)
}
