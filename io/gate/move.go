package gate

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/depart"
	"azurelane/core/haul"
	"azurelane/core/migr"
	"azurelane/core/rebal"
	"azurelane/core/wire"
)

const (
	// moveTick is the time between two looks at whether a run has to move. A drain lasts for seconds.
	moveTick = 50 * time.Millisecond
	// copyTime is how long the answer to a copy is waited for. A copy of a long prompt takes some 100 ms on
	// the engines' links; what takes 2 s would not be ready within a drain.
	copyTime = 2 * time.Second
	// freeTime is how long the answer to a call that frees a copy is waited for, freeAgain the time between two
	// such calls, and maxFrees their number.
	freeTime  = 500 * time.Millisecond
	freeAgain = 200 * time.Millisecond
	maxFrees  = 3
	// handleTimes is how long the slot of a copy that could not be freed counts as taken, in multiples of the
	// time for which engines keep it: they keep it beyond that time.
	handleTimes = 2
	// maxMoves is the number of times that one request moves.
	maxMoves = 3
	// maxMoveAnswer bounds the body of an answer to a call, in bytes.
	maxMoveAnswer = 64 << 10
)

// Reasons of moves, in log lines and counters.
const (
	bySlow     = "slow"     // It serves, and is too slow for the run.
	byRoster   = "roster"   // The roster says that the engine leaves.
	byResponse = "response" // A response says so.
	leaves     = "leaves"   // Either of them, in the counters of outcomes.
)

var (
	errMoved    = errors.New("gate: the run was stopped for a move")
	errSendTime = errors.New("gate: the continuation has no answer in time")
	errNotTaken = errors.New("gate: no upstream continues the stopped run")
)

type (
	// moveDialect writes and reads the calls by which engines move runs.
	moveDialect interface {
		// Copy returns the call that has the source copy the run of a request to another engine. The last copy
		// stops the run first.
		Copy(ctx context.Context, source, to netip.AddrPort, request string, last bool) (*http.Request, error)
		// Copied reads an answer: its status, the copy's name if it has one, and the events that the engine has
		// made.
		Copied(r *http.Response) (status migr.Status, handle string, made int64)
		// Free returns the call that frees a copy at an engine.
		Free(ctx context.Context, at netip.AddrPort, handle string) (*http.Request, error)
		// Continue has a request continue the run that a source has copied.
		Continue(h http.Header, source netip.AddrPort, handle string)
	}

	// departures remembers since when the roster says that upstreams leave. The zero value is ready.
	departures struct {
		mu    sync.Mutex
		known depart.Depart
	}

	// continuation says which run a send continues.
	continuation struct {
		source netip.AddrPort
		handle string
	}

	// mover moves the run of one send off its upstream if that leaves, or is too slow for it. A nil mover does
	// nothing.
	mover struct {
		ctx     context.Context //nolint:containedctx // Of the request, for the calls.
		live    *request        // The request itself; the stream's reader may change it.
		request *request        // Copy of it, for tickets.
		flight  *flight         // The send that may move.
		hedge   *hedge
		source  netip.AddrPort
		keep    time.Duration // How long engines keep copies.
		begun   time.Time
		events  atomic.Int64 // That the caller has from this send.
		firstAt atomic.Int64 // When the first came, in nanoseconds since begun.
		verdict chan migr.Action
		ended   chan struct{} // Closed when the send has ended.
		byClose *closedBody   // Of the send, if it ends with its connection.
		rebal   *rebal.Rebal  // Nil if the run does not move off slow upstreams. Used by follow alone.

		mu      sync.Mutex // Guards the fields below.
		machine migr.Migr
		copy    *heldCopy // Nil while there is none.
		passed  bool      // The copy is the next mover's.
		reason  string    // Of the try in progress; empty if there is none.
		held    bool      // The hedge waits.
	}

	// heldCopy is the slot for a copy, and what is known of it.
	heldCopy struct {
		placement *placement
		at        netip.AddrPort
		ends      time.Time // When the run is expected to end there; zero if the upstream that it has leaves.
		made      bool      // The first copy has been made.
	}
)

// newMover returns nil if the run of a send does not move.
func (q *request) newMover(ctx context.Context, f *flight) *mover {
	if f.mover != nil {
		return f.mover
	}
	g := q.gate
	if g.Moves == nil || g.Calls == nil || !q.route.Stream || q.banTrial || q.meta.ID == "" || q.moves >= maxMoves {
		return nil
	}
	pool := q.view.Index.Pool(q.pool)
	if !pool.Moving() || f.placement.grant == nil {
		return nil
	}
	source, err := netip.ParseAddrPort(f.placement.upstream.GetAddress())
	if err != nil {
		return nil
	}
	c := *q
	c.headerSent, c.moving, c.paid = true, true, true
	c.tried = q.tried.Beside(f.placement.upstream.GetId())
	c.origin.goesOn, c.origin.bound, c.origin.began = true, true, f.placement.upstream.GetVersion()
	return &mover{
		ctx: ctx, live: q, request: &c, flight: f, source: source, keep: pool.HandleTime, begun: time.Now(), verdict: make(chan migr.Action, 1), ended: make(chan struct{}),
		rebal: q.newRebal(), machine: migr.Migr{Keep: pool.HandleTime},
	}
}

// judge has the mover judge the end of a body that ends with its connection; nil for none.
func (v *mover) judge(b *closedBody) {
	if v != nil && b != nil {
		v.byClose, b.mover = b, v
	}
}

// start follows the run from the response on.
func (v *mover) start(h *hedge) {
	if v == nil {
		return
	}
	v.hedge = h
	go v.follow()
}

// note records that the caller has events of the send.
func (v *mover) note(events int64) {
	if v == nil {
		return
	}
	if v.live.lastEventID == "" || v.live.noSeam {
		return // It can't be continued after an event without an ID.
	}
	v.firstAt.CompareAndSwap(0, int64(max(time.Since(v.begun), 1)))
	v.events.Store(events)
}

// follow moves the run until the send ends.
func (v *mover) follow() {
	defer v.drop()
	tick := time.NewTicker(moveTick)
	defer tick.Stop()
	e := migr.Event{Kind: migr.Tick}
	for {
		a := v.step(e)
		e = migr.Event{Kind: migr.Tick}
		if a.Do.ForReader() {
			v.verdict <- a
			<-v.ended
			return
		}
		time.Sleep(a.After)
		if v.over() {
			<-v.ended
			return
		}
		switch a.Do {
		case migr.Ask:
			e = v.ask()
		case migr.Copy, migr.Stop:
			e = v.call(a.Do == migr.Stop)
		case migr.Drop:
			v.drop()
		case migr.Cut:
			v.flight.cancel(errMoved)
			fallthrough
		default:
			select {
			case <-tick.C:
			case <-v.ended:
				return
			}
		}
	}
}

// step reports an event and returns what to do.
func (v *mover) step(e migr.Event) migr.Action {
	var reason string
	if e.Kind == migr.Tick || (e.Kind == migr.Answered && v.rebal != nil) {
		e.Run, reason = v.run()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.machine.Step(time.Since(v.begun), e)
	if a.Do == migr.Ask {
		v.reason = reason
		v.request.gate.Stats.Count("moves-by-"+reason, 1)
	}
	if v.held && !v.machine.Stopping() {
		v.held = false
		v.hedge.resume()
	}
	return a
}

func (v *mover) over() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machine.Over()
}

// stopPending reports whether the run may be stopped by a call that was sent.
func (v *mover) stopPending() bool {
	if v == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.machine.Pending()
}

// run returns how the run stands, and what says that it has to move.
func (v *mover) run() (migr.Run, string) {
	q, now := v.request, time.Now()
	r := migr.Run{Events: v.events.Load()}
	since, reason := q.gate.leavesSince(now, v.flight.placement.upstream)
	if reason == "" {
		if r.Slow = v.isSlow(now, r.Events); r.Slow {
			reason = bySlow
		}
		return r, reason
	}
	r.Leaves, r.Left, r.Expected = true, q.gate.UpstreamDrain-now.Sub(since), q.remaining()
	if r.Events > 1 {
		pace := (now.Sub(v.begun) - time.Duration(v.firstAt.Load())) / time.Duration(r.Events-1)
		r.Expected = min(r.Expected, pace*time.Duration(q.eventsLeft(r.Events)))
	}
	return r, reason
}

// eventsLeft returns how many events are expected after those of a send.
func (q *request) eventsLeft(events int64) int64 {
	per, events := q.eventTokens(), q.events+events
	for _, tokens := range []int64{q.meta.Tokens(), q.meta.Answer} {
		if n := (tokens+per-1)/per - events; n > 0 {
			return n
		}
	}
	if q.meta.Tokens() > 0 {
		return 1
	}
	return q.remaining().Milliseconds() // Nothing is known, so it may last to its deadline.
}

// leavesSince returns since when an upstream is known to leave and what says so, or nothing.
func (g *Gate) leavesSince(now time.Time, u *wire.Upstream) (time.Time, string) {
	view := g.Cluster.View()
	listed := view.Upstream(u.GetId())
	born := max(u.GetBorn(), listed.GetBorn())
	if l := &g.leaving; l.active.Load() {
		l.mu.Lock()
		since, ok := l.known.Since(u.GetId(), born)
		l.mu.Unlock()
		if ok {
			return since, byResponse
		}
	}
	if listed == nil || listed.GetState() == wire.Upstream_STATE_SERVING || listed.GetAddress() != u.GetAddress() {
		return time.Time{}, ""
	}
	d := &g.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known.Record(u.GetId(), born, now) {
		d.known.Forget(now.Add(-leavingRetention), func(id string) bool { return view.Upstream(id) != nil })
	}
	since, _ := d.known.Since(u.GetId(), born)
	return since, byRoster
}

// ask asks the scheduler for a slot at another upstream. One that leaves is left for as long as its drain lasts.
func (v *mover) ask() migr.Event {
	q, c := v.request, *v.request
	r, _ := v.run()
	asked, limit := time.Now(), r.Left
	if v.why() == bySlow {
		c.asks, limit = v.wireMove(), slowAskTime
	}
	ctx, cancel := context.WithTimeout(v.ctx, limit)
	defer cancel()
	go func() {
		select {
		case <-v.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.view = q.gate.Cluster.View()
	if c.view.Owner == nil {
		return migr.Event{Kind: migr.Granted}
	}
	p, err := c.requestGrant(ctx)
	if err != nil {
		q.gate.Log.V(1).Info("No slot for a move.", "request", q.meta.ID, "err", errText(err))
		return migr.Event{Kind: migr.Granted}
	}
	at, err := netip.ParseAddrPort(p.upstream.GetAddress())
	_, reason := q.gate.leavesSince(time.Now(), p.upstream)
	ends := time.Duration(p.grant.GetEndUs()) * time.Microsecond
	chosen := c.asks == nil || ends > 0 // Schedulers of earlier versions choose any upstream.
	if err != nil || at == v.source || reason != "" || !chosen || !q.takeSend(p) {
		p.release(result{outcome: outcomeUnused})
		return migr.Event{Kind: migr.Granted}
	}
	p.takenAt = time.Now()
	held := &heldCopy{placement: p, at: at}
	if c.asks != nil {
		held.ends = asked.Add(ends)
	}
	v.mu.Lock()
	v.copy = held
	v.mu.Unlock()
	return migr.Event{Kind: migr.Granted, OK: true}
}

// why returns the reason of the try in progress.
func (v *mover) why() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reason
}

// call has the source copy the run. While the run may be stopped, no other upstream is sought for it.
func (v *mover) call(last bool) migr.Event {
	q, limit := v.request, copyTime
	v.mu.Lock()
	to := v.copy.at
	if last {
		limit = v.machine.StopTime(time.Since(v.begun))
		if !v.held && !v.hedge.pause() {
			v.mu.Unlock()
			return migr.Event{Kind: migr.Left} // Another upstream has taken its place.
		}
		v.held = true
	}
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(v.ctx), limit)
	defer cancel()
	e := migr.Event{Kind: migr.Answered, Status: migr.Lost}
	r, err := q.gate.Moves.Copy(ctx, v.source, to, q.meta.ID, last)
	if err != nil {
		q.gate.Log.Info("Call for a copy not made.", "request", q.meta.ID, "err", errText(err))
		return e
	}
	sentAt := time.Now()
	resp, sent, err := q.gate.Calls.Send(ctx, r)
	if err != nil {
		if !sent {
			e.Status = migr.Unreached
		}
		q.gate.Log.V(1).Info("No answer to a call for a copy.", "request", q.meta.ID, "last", last, "err", errText(err))
		return e
	}
	defer func() { _ = resp.Body.Close() }()
	resp.Body = readCloser{io.LimitReader(resp.Body, maxMoveAnswer), resp.Body}
	var made int64
	e.Status, e.Handle, made = q.gate.Moves.Copied(resp)
	if !last && e.Status == migr.Done {
		v.learnCopy(time.Since(sentAt))
	}
	q.gate.Log.V(1).Info("Answer to a call for a copy.", "request", q.meta.ID, "last", last, "status", resp.StatusCode, "made", made)
	return e
}

type readCloser struct {
	io.Reader
	io.Closer
}

// finish decides how a send goes on whose stream has ended.
func (v *mover) finish(res *result) {
	if v == nil {
		return
	}
	defer close(v.ended)
	defer func() {
		if res.outcome != outcomeComplete {
			return
		}
		if err := v.byClose.check(); !errors.Is(err, io.EOF) {
			res.outcome, res.err = outcomeInterrupted, err
		}
	}()
	e := migr.Event{Kind: migr.Closed, OK: res.outcome == outcomeComplete, ByClose: v.byClose != nil}
	if res.outcome == outcomeCallerLeft || v.ctx.Err() != nil || errors.Is(res.err, errSilent) {
		e.Kind = migr.Left
	}
	if v.over() {
		return
	}
	for a := v.step(e); ; {
		switch a.Do {
		case migr.Move, migr.Return:
			time.Sleep(a.After)
			a = v.step(v.goOn(a.Do, res))
		case migr.Moved:
			v.passOn(res.next)
			return
		case migr.End:
			return
		case migr.Break:
			if res.outcome == outcomeComplete {
				res.outcome, res.err = outcomeInterrupted, errNotTaken
			}
			return
		default:
			select {
			case a = <-v.verdict:
			case <-v.ctx.Done():
				v.step(migr.Event{Kind: migr.Left})
				a = migr.Action{Do: migr.Break}
			}
		}
	}
}

// goOn sends the continuation of a stopped run. If it is taken, the request goes on with it.
func (v *mover) goOn(do migr.Do, res *result) migr.Event {
	q := v.live
	v.mu.Lock()
	p, handle, limit := v.copy.placement, v.machine.Handle(), v.machine.SendTime(time.Since(v.begun))
	v.mu.Unlock()
	if do == migr.Return {
		p = v.flight.placement
		if p.takenAt.IsZero() {
			p.takenAt = v.flight.sentAt
		}
	}
	c := *q
	c.tried = v.request.tried
	f := c.newFlight(v.ctx, p)
	f.continues, f.done = &continuation{v.source, handle}, make(chan struct{})
	timer := time.AfterFunc(limit, func() { f.cancel(errSendTime) })
	f.dispatch()
	if f.accepted() {
		f.awaitAnswer()
	}
	inTime := timer.Stop()
	close(f.done)
	if f.accepted() && inTime {
		res.outcome, res.err, res.next, res.kept = outcomeMoved, nil, f, do == migr.Return
		if !res.kept {
			v.mu.Lock()
			pause := v.machine.Pause(time.Since(v.begun))
			v.mu.Unlock()
			q.gate.learnMove(q.pool, func(h *haul.Haul) { h.AddPause(pause) })
		}
		return migr.Event{Kind: migr.Sent}
	}
	e := migr.Event{Kind: migr.Sent, Status: migr.Lost}
	switch end := f.outcome(); {
	case end == outcomeNotSent:
		e.Status = migr.Unreached
	case end == outcomeNotRun, end == outcomeMisdirected, f.err == nil && f.resp.StatusCode == http.StatusServiceUnavailable:
		e.Status = migr.Refused
	}
	failed := q.inspect(f)
	if f.err == nil {
		_ = f.resp.Body.Close()
	}
	f.cancel(nil)
	q.gate.versions.end(f.tallied, result{outcome: outcomeUnused})
	q.gate.Log.Info("Continuation of a stopped run not taken.", "request", q.meta.ID, "upstream", p.upstream.GetId(), "at-source", do == migr.Return,
		"status", failed.status, "err", errText(failed.err))
	return e
}

// passOn has a mover follow a run that goes on at its source, if a stop without an answer may still stop it and its
// end would not show that.
func (v *mover) passOn(f *flight) {
	v.mu.Lock()
	defer v.mu.Unlock()
	heir, ok := v.machine.Heir(time.Since(v.begun))
	if !ok || f.byClose == nil {
		return
	}
	v.passed = true
	f.mover = &mover{
		ctx: v.ctx, live: v.live, request: v.request, flight: f, source: v.source, keep: v.keep, begun: v.begun, verdict: make(chan migr.Action, 1), ended: make(chan struct{}),
		machine: heir, copy: v.copy, reason: v.reason,
	}
}

// recordMove records that the run of a request goes on with another send. The upstream that it leaves has not
// run it to an end, so it does not count among those that may run the request.
func (q *request) recordMove(p *placement, res result) {
	q.moves++
	if res.kept {
		q.moves = maxMoves // It ends where it is.
		return
	}
	q.tried.Fail(p.upstream.GetId(), false)
}

// drop ends a try: it frees the copy and gives its slot back, unless the run goes on with them.
func (v *mover) drop() {
	v.mu.Lock()
	c, reason := v.copy, v.reason
	outcome, ends, handle, doubtful, passed := v.machine.Outcome(), v.machine.Frees(), v.machine.Handle(), v.machine.Doubtful(), v.passed
	v.copy, v.reason = nil, ""
	v.mu.Unlock()
	if reason == "" {
		return
	}
	q, to := v.request, ""
	if c != nil {
		to = c.placement.upstream.GetId()
	}
	cause, log := leaves, q.gate.Log
	if reason == bySlow {
		cause = bySlow
		if outcome == migr.OutcomeNoSlot {
			log = log.V(1) // In a full pool many runs ask again and again.
		}
	}
	q.gate.Stats.Count("moves-"+outcome, 1)
	q.gate.Stats.Count("moves-"+cause+"-"+outcome, 1)
	log.Info("Move ended.", "request", q.meta.ID, "reason", cause, "why", reason, "ending", outcome, "upstream", v.flight.placement.upstream.GetId(),
		"to", to, "events", v.events.Load(), "unfreed", doubtful, "took", time.Since(v.begun).String())
	if c != nil && outcome != migr.OutcomeMoved && !passed {
		go v.free(c, ends, handle, doubtful)
	}
}

// free frees a copy and gives its slot back once no engine holds it.
func (v *mover) free(c *heldCopy, ends migr.Ends, handle string, doubtful bool) {
	g := v.request.gate
	free := handle == "" || ends == migr.FreeNone
	for n := 0; n < maxFrees && !free; n++ {
		if n > 0 {
			time.Sleep(freeAgain)
		}
		free = (ends == migr.FreeBoth && v.freeAt(v.source, handle)) || v.freeAt(c.at, handle)
	}
	if !free || doubtful {
		g.Stats.Count("moves-unfreed", 1)
		time.Sleep(handleTimes * v.keep)
	}
	c.placement.release(result{outcome: outcomeUnused})
}

// freeAt frees a copy at one engine and reports whether that has answered.
func (v *mover) freeAt(at netip.AddrPort, handle string) bool {
	g := v.request.gate
	ctx, cancel := context.WithTimeout(context.WithoutCancel(v.ctx), freeTime)
	defer cancel()
	r, err := g.Moves.Free(ctx, at, handle)
	if err != nil {
		return false
	}
	resp, _, err := g.Calls.Send(ctx, r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
