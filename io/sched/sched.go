// Package sched runs the scheduling policies of the pools that this process owns and delivers their
// decisions to the waiting calls.
package sched

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel"
	"google.golang.org/protobuf/proto"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/part"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/trace"
)

var tracer = otel.Tracer("azurelane/io/sched")

const (
	// TickInterval is the interval between checks of deadlines, leases and grants while tickets
	// wait.
	TickInterval = 5 * time.Millisecond
	// IdleTickInterval is the interval between checks of leases and slots while no ticket waits.
	// Checking every TickInterval, 200 times a second, would cost an idle process more CPU time
	// than all its other work.
	IdleTickInterval = 200 * time.Millisecond
)

const (
	// withdrawn is the refusal code of a ticket that was withdrawn, or that is no longer scheduled
	// here because this scheduler has stopped. An entry that receives it asks the pool's current
	// owner.
	withdrawn  = "withdrawn"
	retryAfter = time.Second
	// withdrawalRetention is how long a withdrawal is remembered that arrives before its ticket.
	// Frames of a link are read in order and handled at once, so they are reordered only by the
	// time that a goroutine takes to start. A longer retention would refuse a ticket that the entry
	// sends again after its pool has moved to another owner and back.
	withdrawalRetention = 500 * time.Millisecond
)

type (
	// Sched holds one scheduling policy per pool and the calls that wait for a decision. Its
	// exported fields must be set before use.
	Sched struct {
		Incarnation string
		Log         logr.Logger

		idle atomic.Bool // No ticket was waiting at the last tick.
		wake chan struct{}
		once sync.Once
		bans bans

		mu      sync.RWMutex
		pools   map[string]*runner
		stopped bool
	}

	// runner runs the scheduling policy of one pool.
	runner struct {
		mu               sync.Mutex
		owner            string // Incarnation of this process, set as the owner in grants.
		policyName       string // Registered name in package kernel.
		policy           kernel.Scheduler
		waiting          map[ticketKey]*call
		earlyWithdrawals map[ticketKey]time.Time // Withdrawals that found no waiting call.
		closed           bool
	}

	// call waits for the decision on a ticket.
	call struct {
		done func(*wire.Decision)
		stop func() bool // Stops the callback for the end of the caller's context.
	}

	// delivery is a decision and the call that waits for it.
	delivery struct {
		call     *call
		decision *wire.Decision
	}

	// ticketKey identifies a ticket across all entries.
	ticketKey struct {
		incarnation string
		ticket      uint64
	}
)

// Install applies a configuration. The waiting tickets of a pool that was removed, or whose policy
// has changed, are refused.
func (s *Sched) Install(cfg *conf.Config) {
	deliver(s.install(cfg))
}

// install applies a configuration and returns the decisions that it causes.
func (s *Sched) install(cfg *conf.Config) []delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	var decided []delivery
	if s.pools == nil {
		s.pools = map[string]*runner{}
	}
	for name, p := range cfg.Pools {
		policyName := p.WithDefaults().Scheduler
		r := s.pools[name]
		if r == nil || r.policyName != policyName {
			sch, err := kernel.New(policyName)
			if err != nil {
				s.Log.Error(err, "Pool configuration not applied.", "pool", name)
				continue
			}
			r.refuseAll()
			r = &runner{
				owner: s.Incarnation, policyName: policyName, policy: sch,
				waiting: map[ticketKey]*call{}, earlyWithdrawals: map[ticketKey]time.Time{},
			}
			s.pools[name] = r
		}
		decided = append(decided, r.decide(func(now time.Time) []*wire.Decision { return r.policy.Configure(now, name, cfg) })...)
	}
	for name, r := range s.pools {
		if _, ok := cfg.Pools[name]; !ok {
			r.refuseAll()
			delete(s.pools, name)
		}
	}
	return decided
}

// Submit waits for the decision on a ticket. If ctx ends first, the ticket is withdrawn.
func (s *Sched) Submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	ch := make(chan *wire.Decision, 1)
	s.SubmitAsync(ctx, t, func(d *wire.Decision) { ch <- d })
	return <-ch
}

// SubmitAsync submits a ticket and calls done exactly once with the decision. It may call done from
// any goroutine; done must not block, but may call methods of Sched. The callback avoids a goroutine
// per waiting ticket: when a burst of tickets is refused, thousands of goroutines would become
// runnable at once and delay all other work of the process, including its heartbeats.
//
// If ctx ends first, the ticket is withdrawn. A ticket that is sent again, because the link broke
// before the decision arrived, replaces its earlier call. The end of the earlier call's context
// then no longer withdraws the ticket.
func (s *Sched) SubmitAsync(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	if s.bans.refuses(time.Now(), t) {
		done(refuse.Ticket(t, refuse.Crashes, 0))
		return
	}
	r, ended := s.lookup(t.GetPool())
	if ended {
		done(refuse.Ticket(t, withdrawn, retryAfter))
		return
	}
	if r == nil {
		done(refuse.Ticket(t, refuse.NoUpstream, retryAfter))
		return
	}
	_, span := tracer.Start(trace.With(ctx, t.GetTraceparent()), "decision")
	k := ticketKey{t.GetIncarnation(), t.GetId()}
	c := &call{done: func(d *wire.Decision) {
		span.End()
		done(d)
	}}
	if !r.register(ctx, k, c, t) {
		c.done(refuse.Ticket(t, withdrawn, retryAfter))
		return
	}
	r.do(func(now time.Time) []*wire.Decision {
		if r.waiting[k] != c {
			return nil // The call has ended already, so a granted slot would stay unused.
		}
		return r.policy.Submit(now, t)
	})
	if r.isWaiting(k, c) && s.idle.CompareAndSwap(true, false) {
		select {
		case s.wakeSignal() <- struct{}{}:
		default: // A signal is pending already.
		}
	}
}

// register adds a waiting call. It reports false for a ticket whose withdrawal arrived first, and
// after the runner was closed.
func (r *runner) register(ctx context.Context, k ticketKey, c *call, t *wire.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, early := r.earlyWithdrawals[k]; early || r.closed {
		return false
	}
	r.refuseCall(k, withdrawn)
	r.waiting[k] = c
	c.stop = context.AfterFunc(ctx, func() { r.abandon(k, c, t) })
	return true
}

// isWaiting reports whether c still waits for the decision on ticket k.
func (r *runner) isWaiting(k ticketKey, c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[k] == c
}

// refuseCall ends the waiting call of a ticket, if there is one, with a refusal, and reports
// whether there was one. A call whose caller has gone is answered too; otherwise it would stay open
// until its link closes. The caller must hold r.mu.
func (r *runner) refuseCall(k ticketKey, code string) bool {
	c, ok := r.waiting[k]
	if ok {
		delete(r.waiting, k)
		c.stop()
		go c.done(refuse.Ticket(&wire.Ticket{Id: k.ticket, Incarnation: k.incarnation}, code, retryAfter))
	}
	return ok
}

// abandon withdraws the ticket of a call whose context has ended, unless the ticket has been
// decided or a later call for the same ticket has replaced this one.
func (r *runner) abandon(k ticketKey, c *call, t *wire.Ticket) {
	r.do(func(now time.Time) []*wire.Decision {
		if r.waiting[k] != c {
			return nil
		}
		r.refuseCall(k, withdrawn)
		r.policy.Withdraw(now, &wire.Withdraw{Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool()})
		return r.policy.Tick(now)
	})
}

// Withdraw drops a ticket. If the ticket was granted concurrently, its slot is freed, because the
// entry that withdraws a ticket does not dispatch its request.
func (s *Sched) Withdraw(w *wire.Withdraw) {
	r := s.pool(w.GetPool())
	if r == nil {
		return
	}
	r.do(func(now time.Time) []*wire.Decision {
		k := ticketKey{w.GetIncarnation(), w.GetTicket()}
		if !r.refuseCall(k, withdrawn) {
			r.earlyWithdrawals[k] = now
		}
		r.policy.Withdraw(now, w)
		return r.policy.Tick(now)
	})
}

// Release frees a slot and records the outcome of its run.
func (s *Sched) Release(rel *wire.Release) {
	if rel.GetOwner() == s.Incarnation {
		rel.Owner = "" // The policy stores the slots that it granted itself without an owner.
	}
	if s.bans.recordRun(time.Now(), rel) {
		s.Log.Info("Request banned: it crashes upstreams.", "digest", hex.EncodeToString(rel.GetDigest()), "account", rel.GetAccount())
	}
	if r := s.pool(rel.GetPool()); r != nil {
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Release(now, rel) })
	}
}

// Announce passes an upstream's lease and load report to the pools that it serves.
func (s *Sched) Announce(a *wire.Announce) {
	s.bans.setIncarnation(a)
	for _, name := range a.GetPools() {
		if r := s.pool(name); r != nil {
			r.do(func(now time.Time) []*wire.Decision { return r.policy.Announce(now, a) })
		}
	}
}

// Hold reconciles the policies with the list of slots that an entry holds. It adopts slots that a
// previous owner granted and frees slots that the entry no longer holds.
func (s *Sched) Hold(h *wire.Held) {
	h = proto.CloneOf(h) // An entry in this process keeps using the same message.
	for _, slot := range h.GetSlots() {
		if g := slot.GetGrant(); g.GetOwner() == s.Incarnation {
			g.Owner = "" // The policy stores the slots that it granted itself without an owner.
		}
	}
	for _, r := range s.runners() {
		r.do(func(now time.Time) []*wire.Decision {
			r.policy.Hold(now, h)
			return r.policy.Tick(now)
		})
	}
}

// SetVersions assigns anew which version of the upstreams may run each waiting ticket of a pool.
func (s *Sched) SetVersions(pool string, version func(*wire.Ticket) string) {
	r := s.pool(pool)
	if r == nil {
		return
	}
	v, ok := r.policy.(kernel.Versioner)
	if !ok {
		return // The policy does not tell versions apart.
	}
	r.do(func(now time.Time) []*wire.Decision { return v.SetVersions(now, version) })
}

// Forget frees the slots of a dead entry and drops its waiting tickets.
func (s *Sched) Forget(incarnation string) {
	for _, r := range s.runners() {
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Forget(now, incarnation) })
	}
}

// Serve ticks the policies until ctx ends. All tickets that still wait, and all that arrive later,
// are then refused, because no policy decides on them any more and their entries would wait until
// their links close.
func (s *Sched) Serve(ctx context.Context) error {
	defer s.stop()
	tick := time.NewTimer(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-s.wakeSignal():
		}
		// The idle flag is set before the check below: a ticket that arrives during the check wakes
		// the loop, and one that arrived before is counted.
		s.idle.Store(true)
		for _, r := range s.runners() {
			r.do(r.tick)
		}
		next := IdleTickInterval
		if s.Waiting() > 0 {
			s.idle.Store(false)
			next = TickInterval
		}
		tick.Reset(next)
	}
}

// wakeSignal returns the channel that wakes Serve from an idle wait.
func (s *Sched) wakeSignal() chan struct{} {
	s.once.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (r *runner) tick(now time.Time) []*wire.Decision {
	maps.DeleteFunc(r.earlyWithdrawals, func(_ ticketKey, at time.Time) bool { return now.Sub(at) > withdrawalRetention })
	return r.policy.Tick(now)
}

func (s *Sched) pool(name string) *runner {
	r, _ := s.lookup(name)
	return r
}

// lookup returns the runner of a pool, nil if there is none, and whether the scheduler has stopped.
func (s *Sched) lookup(name string) (*runner, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name], s.stopped
}

// stop refuses all waiting tickets and all that arrive later.
func (s *Sched) stop() {
	s.mu.Lock()
	pools := s.pools
	s.pools, s.stopped = nil, true
	s.mu.Unlock()
	for _, r := range pools {
		r.close()
	}
}

// TokenTimes returns the estimated time per answer token of each upstream, by pool and upstream. It
// covers only the pools whose policy estimates it.
func (s *Sched) TokenTimes() map[string]map[string]time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]map[string]time.Duration{}
	for name, r := range s.pools {
		l, ok := r.policy.(kernel.Learner)
		if !ok {
			continue
		}
		r.mu.Lock()
		all[name] = l.Speeds()
		r.mu.Unlock()
	}
	return all
}

// RecordSpeeds passes on how long work currently takes at upstreams.
func (s *Sched) RecordSpeeds(list []*wire.Speed) {
	if len(list) == 0 {
		return
	}
	for _, r := range s.runners() {
		if p, ok := r.policy.(kernel.Pacer); ok {
			r.do(func(now time.Time) []*wire.Decision {
				p.RecordSpeeds(now, list)
				return nil
			})
		}
	}
}

// SpeedStatus tells what a pool's policy knows of the current speeds of its upstreams.
type SpeedStatus struct {
	Known int           // Upstreams whose statements are known.
	Age   time.Duration // Median of the newest ones.
	Share float64       // Of these that are above a percentage.
}

// SpeedStatus returns, for each pool with upstreams whose statements are known, the share of them above a
// percentage.
func (s *Sched) SpeedStatus(above float64) map[string]SpeedStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]SpeedStatus{}
	for name, r := range s.pools {
		p, ok := r.policy.(kernel.Pacer)
		if !ok {
			continue
		}
		r.mu.Lock()
		known, age, share := p.SpeedStatus(time.Now(), above)
		r.mu.Unlock()
		if known > 0 {
			all[name] = SpeedStatus{known, age, share}
		}
	}
	return all
}

// SlotsByEntry returns the number of slots that each entry holds, by pool and entry. It covers only the
// pools whose policy tells.
func (s *Sched) SlotsByEntry() map[string]map[string]int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]map[string]int{}
	for name, r := range s.pools {
		h, ok := r.policy.(kernel.Holder)
		if !ok {
			continue
		}
		r.mu.Lock()
		all[name] = h.SlotsByEntry()
		r.mu.Unlock()
	}
	return all
}

// Late tells how a pool's policy serves late requests.
type Late struct {
	Deferred, Granted, Refused int64 // So far; see kernel.Deferrer.
	Capacity                   float64
	Committed, Free            time.Duration
}

// Late returns, for each pool whose policy has deferred tickets, what became of them, and the slot time that it
// expects to be free within a time from now.
func (s *Sched) Late(within time.Duration) map[string]Late {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]Late{}
	for name, r := range s.pools {
		p, ok := r.policy.(kernel.Deferrer)
		if !ok {
			continue
		}
		r.mu.Lock()
		var l Late
		if l.Deferred, l.Granted, l.Refused = p.LateCounts(); l.Deferred+l.Refused > 0 {
			l.Capacity, l.Committed, l.Free = p.LateOutlook(time.Now(), within)
			all[name] = l
		}
		r.mu.Unlock()
	}
	return all
}

// Inspect calls waiting for each ticket that waits, and held for each slot that is held, with its ticket and
// the name of its upstream. It covers only the pools whose policy tells.
func (s *Sched) Inspect(waiting func(*wire.Ticket), held func(t *wire.Ticket, upstream string)) {
	for _, r := range s.runners() {
		if i, ok := r.policy.(kernel.Inspector); ok {
			r.mu.Lock()
			i.Inspect(waiting, held)
			r.mu.Unlock()
		}
	}
}

// Shares returns what each client account gets, by pool and account. It covers only the pools whose policy
// gives accounts shares.
func (s *Sched) Shares() map[string]map[string]part.Part {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := map[string]map[string]part.Part{}
	for name, r := range s.pools {
		p, ok := r.policy.(kernel.Sharer)
		if !ok {
			continue
		}
		r.mu.Lock()
		if parts := p.Shares(); parts != nil {
			all[name] = parts
		}
		r.mu.Unlock()
	}
	return all
}

// Waiting returns the number of tickets that wait for a decision.
func (s *Sched) Waiting() int {
	n := 0
	for _, r := range s.runners() {
		r.mu.Lock()
		n += len(r.waiting)
		r.mu.Unlock()
	}
	return n
}

func (s *Sched) runners() []*runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.AppendSeq(make([]*runner, 0, len(s.pools)), maps.Values(s.pools))
}

// do runs one step of the policy and delivers its decisions to the waiting calls. The caller must hold
// no lock.
func (r *runner) do(step func(time.Time) []*wire.Decision) { deliver(r.decide(step)) }

// decide runs one step of the policy and returns its decisions for the waiting calls.
func (r *runner) decide(step func(time.Time) []*wire.Decision) []delivery {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := step(time.Now())
	decided := make([]delivery, 0, len(list))
	for _, d := range list {
		if g := d.GetGrant(); g != nil {
			g.Owner = r.owner
		}
		k := ticketKey{d.GetIncarnation(), d.GetTicket()}
		if c := r.waiting[k]; c != nil {
			decided = append(decided, delivery{c, d})
		}
		delete(r.waiting, k)
	}
	return decided
}

// deliver ends waiting calls with their decisions. The caller must hold no lock: the callbacks would
// delay other steps, and one that calls a method of Sched would wait for itself.
func deliver(decided []delivery) {
	for _, d := range decided {
		d.call.stop()
		d.call.done(d.decision)
	}
}

// refuseAll refuses all waiting tickets of a pool that was removed or replaced.
func (r *runner) refuseAll() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.waiting {
		r.refuseCall(k, refuse.NotFound)
	}
}

// close refuses all waiting tickets and all that arrive later. It answers the calls one after the
// other: a goroutine per call would delay the other work of the process.
func (r *runner) close() {
	r.mu.Lock()
	calls := r.waiting
	r.waiting, r.closed = map[ticketKey]*call{}, true
	r.mu.Unlock()
	for k, c := range calls {
		c.stop()
		c.done(refuse.Ticket(&wire.Ticket{Id: k.ticket, Incarnation: k.incarnation}, withdrawn, retryAfter))
	}
}
