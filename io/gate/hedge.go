package gate

import (
	"context"
	"io"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxOverlap is how long a stream may be at two upstreams at once, from the moment at which the second
	// has it: both may be running it. The one that has been silent for longer is given up then.
	maxOverlap = 300 * time.Millisecond
	// hedgeRetry is how long after another upstream took a request without running it the next one is
	// sought.
	hedgeRetry = 50 * time.Millisecond
	// A timer that is later than maxLateness shows that the process has stood still. What arrived meanwhile
	// is read within settleTime.
	maxLateness = 10 * time.Millisecond
	settleTime  = 20 * time.Millisecond
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
		settled bool          // What arrived before a late timer was read.
		busy    bool          // The upstream is not being waited for.
		paused  bool          // Nor is it while its run may be stopped.
		stopped bool
		search  *search
		won     *flight // Takes the place of the send.
	}

	// search is the search for another upstream, and the send to it.
	search struct {
		request *request // Copy of the request.
		begun   time.Time
		cancel  context.CancelFunc
		flight  *flight // Nil until the request is sent.
	}
)

// newHedge starts to wait for the upstream of a send. It returns nil if no other upstream may run the
// request beside it.
func (q *request) newHedge(ctx context.Context, f *flight) *hedge {
	if !q.mayMove(f.placement) {
		return nil
	}
	h := &hedge{ctx: ctx, flight: f, request: q, limit: q.silenceLimit()}
	h.due = time.Now().Add(h.limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(h.limit, h.onSilence)
	return h
}

// mayMove reports whether another upstream may run the request while one may be running it. A trial of a
// banned request is a single send.
func (q *request) mayMove(p *placement) bool {
	return q.route.Repeatable() && !q.banTrial && !q.noSeam && q.tried.Sends()+1 < maxSends && q.tried.MayRunBeside(p.upstream.GetId(), q.route.MaxUpstreams())
}

// touch records that the upstream has sent something that may be a part of an answer.
func (h *hedge) touch(q *request) {
	if h == nil {
		q.heardAt = time.Now()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	q.heardAt = time.Now()
	h.wait(h.limit)
}

// wait has the upstream count as silent after limit. h.mu must be held.
func (h *hedge) wait(limit time.Duration) {
	h.due, h.settled = time.Now().Add(limit), false
	if h.search == nil && !h.busy && !h.paused && !h.stopped {
		h.timer.Reset(limit)
	}
}

// claim records that the upstream answers, and reports false if another one has taken its place. Until
// listen is called, the upstream does not count as silent.
func (h *hedge) claim() bool {
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

// listen starts to wait for the upstream again, for as long as limit.
func (h *hedge) listen(limit time.Duration) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit, h.busy = limit, false
	h.wait(limit)
}

// pause has no other upstream sought until resume is called, and reports false if one has taken the upstream's
// place.
func (h *hedge) pause() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.won != nil {
		return false
	}
	h.paused = true
	h.timer.Stop()
	h.dropSearch()
	return true
}

// resume starts to wait for the upstream again.
func (h *hedge) resume() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paused = false
	h.wait(h.limit)
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
	if s := h.search; s != nil && s.flight != nil && !final && h.ctx.Err() == nil {
		h.win(s)
	}
	h.dropSearch()
	return h.won
}

// win has the other upstream take the place of the silent one. h.mu must be held.
func (h *hedge) win(s *search) {
	h.won, h.search = s.flight, nil
	h.request.gate.Stats.Count("hedges-won", 1)
}

// dropSearch ends the search for another upstream. h.mu must be held.
func (h *hedge) dropSearch() {
	s := h.search
	if s == nil {
		return
	}
	h.search = nil
	s.cancel()
	if s.flight != nil {
		h.request.gate.Stats.Count("hedges-lost", 1)
		h.request.tried.Drop(s.flight.placement.upstream.GetId())
	}
}

// onSilence looks for another upstream.
func (h *hedge) onSilence() {
	ctx, s := h.begin()
	if s == nil {
		return
	}
	defer s.request.body.release()
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

// begin begins a search, or returns nil if there is none to begin.
func (h *hedge) begin() (context.Context, *search) {
	h.mu.Lock()
	defer h.mu.Unlock()
	late := time.Since(h.due)
	if h.stopped || h.busy || h.paused || h.search != nil || h.won != nil || late < 0 || !h.request.mayMove(h.flight.placement) {
		return nil, nil
	}
	if late > maxLateness && !h.settled {
		h.settled = true
		h.timer.Reset(settleTime)
		return nil, nil
	}
	if !h.request.gate.hasRetry(h.request.pool) {
		h.wait(h.limit)
		return nil, nil
	}
	ctx, cancel := context.WithCancel(h.ctx)
	c := *h.request
	c.body.use()
	c.digest() // Lines of its send need it once the body is released.
	c.tried = h.request.tried.Beside(h.flight.placement.upstream.GetId())
	h.search = &search{request: &c, begun: time.Now(), cancel: cancel}
	return ctx, h.search
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
	case s.request.leaves(p.upstream):
		return errLeaves
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
		f.ctx = httptrace.WithClientTrace(f.ctx, &httptrace.ClientTrace{
			WroteRequest: func(httptrace.WroteRequestInfo) { h.limitOverlap(s) },
		})
	}
	f.dispatch()
	if f.accepted() {
		f.awaitAnswer()
	}
	accepted, end := f.accepted(), f.outcome()
	close(f.done) // From here on the request may go on with it, and change the response's header.
	if accepted {
		h.replace(s)
	}
	if h.owns(f) {
		return // The request goes on with it.
	}
	if !h.endSearch(s, end) {
		f.drop()
		return
	}
	res := s.request.inspect(f)
	if f.err == nil {
		_ = f.resp.Body.Close()
	}
	res.outcome, res.total = end, time.Since(f.sentAt)
	s.request.logSend(f, res)
	s.request.endSend(f, res)
	h.logKept(f.placement.upstream.GetId(), res.err)
}

// limitOverlap gives one of the two upstreams up unless one answers in time: the silent one, or the other
// one if that has sent something meanwhile.
func (h *hedge) limitOverlap(s *search) {
	end := time.Now().Add(maxOverlap)
	time.AfterFunc(maxOverlap, func() {
		if time.Since(end) > maxLateness {
			time.Sleep(settleTime)
		}
		if !h.dropIfHeard(s) {
			h.replace(s)
		}
	})
}

// dropIfHeard ends a search since which the upstream has sent something.
func (h *hedge) dropIfHeard(s *search) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search != s || !h.request.heardAt.After(s.begun) {
		return false
	}
	h.dropSearch()
	h.wait(h.limit)
	return true
}

// replace gives the silent upstream up for the other one.
func (h *hedge) replace(s *search) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped || h.busy || h.search != s {
		return
	}
	h.win(s)
	h.flight.cancel(errSilent)
}

// owns reports whether the request goes on with a send.
func (h *hedge) owns(f *flight) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.won == f
}

// endSearch ends a search that has brought no answer, and waits for the upstream again. It reports false
// if the search or the request had ended before.
func (h *hedge) endSearch(s *search, e outcome) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search != s {
		return false
	}
	if h.ctx.Err() != nil {
		h.dropSearch()
		return false
	}
	h.search = nil
	s.cancel()
	limit := h.limit
	if s.flight != nil {
		ran := e == outcomeFailed || e == outcomeInterrupted
		h.request.tried.Fail(s.flight.placement.upstream.GetId(), ran)
		if !ran {
			limit = hedgeRetry
		}
	}
	h.wait(limit)
	return true
}

// logKept logs that the request stays at its silent upstream.
func (h *hedge) logKept(other string, err error) {
	q := h.flight.request
	q.gate.Log.Info("Silent upstream kept: no other one answers.", "request", q.meta.ID, "upstream", h.flight.placement.upstream.GetId(),
		"other", other, "err", errText(err), "configuration-at-arrival", q.arrivalVersion, "configuration", q.gate.Cluster.View().Version)
}

// heardReader tells a hedge of what is read.
type heardReader struct {
	io.Reader
	hedge   *hedge
	request *request
}

// Read reads from the upstream.
func (r *heardReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.hedge.touch(r.request)
	}
	return n, err //nolint:wrapcheck // Readers compare io.EOF.
}
