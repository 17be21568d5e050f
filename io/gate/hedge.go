package gate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/tally"
)

const (
	// maxOverlap is how long a stream may be at two upstreams at once. Each may be running it, and the
	// second is kept in doubt: the first one has been silent for longer.
	maxOverlap = 300 * time.Millisecond
	// hedgeRetry is how long after another upstream took a request without running it the next one is
	// sought.
	hedgeRetry = 50 * time.Millisecond
)

var (
	errNoRetryLeft = errors.New("gate: no retry is left in the pool's budget")
	errTooLate     = errors.New("gate: too little time is left for another upstream")
)

type (
	// hedge looks for another upstream while the upstream of a send is silent. A sound upstream may be
	// silent for a second and go on, so its send is kept until the other upstream has begun to answer. A
	// nil hedge keeps the send in any case.
	hedge struct {
		ctx    context.Context //nolint:containedctx // Of the request, for what the timer starts.
		flight *flight         // The send that may be silent.

		mu      sync.Mutex // Guards the fields below, and the request while busy is not set.
		request *request
		timer   *time.Timer
		limit   time.Duration // How long the upstream may be silent.
		due     time.Time     // When it counts as silent.
		busy    bool          // The upstream is not being waited for.
		stopped bool
		search  *search
		won     *flight // Takes the place of the send.
	}

	// search is the search for another upstream, and the send to it.
	search struct {
		request *request // Copy of the request.
		cancel  context.CancelFunc
		flight  *flight // Nil until the request is sent.
	}

	// flight is a send of a request.
	flight struct {
		placement *placement
		request   *request // That was placed.
		tallied   *tally.Send
		sentAt    time.Time
		ctx       context.Context //nolint:containedctx // Of the send.
		cancel    context.CancelCauseFunc
		done      chan struct{} // Closed once the fields below are set; nil if the request is yet to be sent.
		resp      *http.Response
		sent      bool // A byte may have been sent.
		err       error
	}
)

// newFlight prepares a send.
func (q *request) newFlight(ctx context.Context, p *placement) *flight {
	f := &flight{placement: p, request: q, sentAt: time.Now()}
	f.ctx, f.cancel = context.WithCancelCause(ctx)
	q.gate.recordSentUnits(q, p)
	f.tallied = q.gate.versions.begin(q, p.upstream.GetVersion())
	return f
}

// roundTrip sends the request, or waits for the response if it was sent before. It returns the send with
// its response.
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
	f.resp, f.sent, f.err = f.request.gate.Sender.Send(f.ctx, f.request.upstreamRequest(f.ctx, f.placement)) //nolint:bodyclose // By send, race or drop.
}

// drop ends a send whose response is not wanted any more.
func (f *flight) drop() {
	f.cancel(nil)
	<-f.done
	if f.err == nil {
		_ = f.resp.Body.Close()
	}
	res := result{outcome: outcomeDropped, total: time.Since(f.sentAt)}
	if f.err != nil && !f.sent {
		res.outcome = outcomeUnused
	}
	f.request.gate.versions.end(f.tallied, res)
	f.placement.release(res)
}

// outcome returns how a send ended that the upstream has not answered.
func (f *flight) outcome() outcome {
	d := f.request.gate.Dialect
	switch {
	case f.err != nil && !f.sent:
		return outcomeNotSent
	case f.err != nil:
		return outcomeInterrupted
	case d.Other(f.resp):
		return outcomeMisdirected
	case d.NotRun(f.resp):
		return outcomeNotRun
	}
	return outcomeFailed
}

// accepted reports whether the response shows that the upstream answers the request.
func (f *flight) accepted() bool {
	d := f.request.gate.Dialect
	return f.err == nil && !d.Other(f.resp) && !d.NotRun(f.resp) && f.resp.StatusCode < http.StatusInternalServerError &&
		(!f.request.headerSent || f.resp.StatusCode == http.StatusOK) &&
		(f.resp.StatusCode >= http.StatusMultipleChoices || d.Genuine(f.resp))
}

// newHedge starts to wait for the upstream of a send. It returns nil if no other upstream may run the
// request.
func (q *request) newHedge(ctx context.Context, f *flight) *hedge {
	if !q.mayMove() {
		return nil
	}
	h := &hedge{ctx: ctx, flight: f, request: q, limit: q.silenceLimit()}
	h.due = time.Now().Add(h.limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(h.limit, h.onSilence)
	return h
}

// heard records that the upstream has sent something, and reports false if another upstream has taken
// its place. Until listen is called, the upstream does not count as silent.
func (h *hedge) heard() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.won != nil {
		return false
	}
	h.busy = true
	h.timer.Stop()
	h.dropSearch()
	return true
}

// listen starts to wait for the upstream again, for as long as limit; zero for the time that was left.
func (h *hedge) listen(limit time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit > 0 {
		h.limit, h.due = limit, time.Now().Add(limit)
	}
	h.busy = false
	h.timer.Reset(time.Until(h.due))
}

// stop ends the wait. If the send has brought no final response, it returns the send that takes its
// place, or nil if there is none.
func (h *hedge) stop(final bool) *flight {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	h.timer.Stop()
	if s := h.search; s != nil && s.flight != nil && !final {
		h.won, h.search = s.flight, nil
		h.request.gate.Stats.Count("hedges-won", 1)
	}
	h.dropSearch()
	return h.won
}

// dropSearch ends the search for another upstream. h.mu must be held, and the request must not be in use
// elsewhere.
func (h *hedge) dropSearch() {
	s := h.search
	if s == nil {
		return
	}
	h.search = nil
	s.cancel()
	if s.flight != nil {
		h.request.gate.Stats.Count("hedges-lost", 1)
		h.request.countSend(s.flight.placement, true)
	}
}

// onSilence looks for another upstream.
func (h *hedge) onSilence() {
	h.mu.Lock()
	if h.stopped || h.busy || h.search != nil || h.won != nil || !h.request.mayMove() || time.Now().Before(h.due) {
		h.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	s := &search{request: h.request.copyWithout(h.flight.placement), cancel: cancel}
	h.search = s
	h.mu.Unlock()
	p, err := s.request.placeUnlessBanned(ctx)
	if err == nil {
		if err = h.launch(ctx, s, p); err == nil {
			h.race(s)
			return
		}
		p.release(result{outcome: outcomeUnused})
	}
	if h.endSearch(s, outcomeUnused) {
		h.logKept("", err)
	}
}

// copyWithout returns a copy of the request for another upstream than that of a placement.
func (q *request) copyWithout(p *placement) *request {
	c := *q
	c.avoid = append(slices.Clone(q.avoid), p.upstream.GetId())
	c.sends, c.runs = q.sends+1, q.runs+1
	return &c
}

// launch prepares the send to another upstream, unless the search has ended.
func (h *hedge) launch(ctx context.Context, s *search, p *placement) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.search != s:
		return context.Canceled
	case s.request.tooLateToSend():
		return errTooLate
	case !s.request.gate.takeRetry(s.request.pool):
		return errNoRetryLeft
	}
	s.flight = s.request.newFlight(ctx, p)
	s.flight.done = make(chan struct{})
	s.request.gate.Stats.Count("hedges", 1)
	return nil
}

// race sends the request to the other upstream and waits which of the two answers.
func (h *hedge) race(s *search) {
	f := s.flight
	if s.request.route.Stream {
		overlap := time.AfterFunc(maxOverlap, func() { h.replace(s) })
		defer overlap.Stop()
	}
	f.dispatch()
	close(f.done)
	if f.accepted() {
		h.replace(s)
	}
	if h.owns(f) {
		return // The request goes on with it.
	}
	if !h.endSearch(s, f.outcome()) {
		f.drop()
		return
	}
	res := s.request.inspect(f)
	if f.err == nil {
		_ = f.resp.Body.Close()
	}
	res.outcome, res.total = f.outcome(), time.Since(f.sentAt)
	s.request.endSend(f, res)
	h.logKept(f.placement.upstream.GetId(), res.err)
}

// replace has the other upstream take the place of the silent one.
func (h *hedge) replace(s *search) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.search != s {
		return
	}
	h.won, h.search = s.flight, nil
	h.request.gate.Stats.Count("hedges-won", 1)
	h.flight.cancel(errSilent)
}

// owns reports whether the request goes on with a send.
func (h *hedge) owns(f *flight) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.won == f
}

// endSearch ends a search that has brought no response, and waits for the upstream again. It reports false
// if the search had ended before.
func (h *hedge) endSearch(s *search, e outcome) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search != s {
		return false
	}
	h.search = nil
	s.cancel()
	limit := h.limit
	if s.flight != nil {
		h.request.countSend(s.flight.placement, e == outcomeFailed || e == outcomeInterrupted)
		if e == outcomeNotSent || e == outcomeNotRun || e == outcomeMisdirected {
			limit = hedgeRetry
		}
	}
	h.due = time.Now().Add(limit)
	h.timer.Reset(limit)
	return true
}

// logKept logs that the request stays at its silent upstream.
func (h *hedge) logKept(other string, err error) {
	if errors.Is(err, context.Canceled) {
		return // The upstream has gone on, or the request has ended.
	}
	q := h.flight.request
	q.gate.Log.Info("Silent upstream kept: no other one answers.", "request", q.meta.ID, "upstream", h.flight.placement.upstream.GetId(),
		"other", other, "err", errText(err), "configuration-at-arrival", q.arrivalVersion, "configuration", q.gate.Cluster.View().Version)
}
