// Package sched runs the scheduling policies of the pools that an entry owns.
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
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/trace"
)

var tracer = otel.Tracer("azurelane/io/sched")

const (
	// TickInterval is how often deadlines, leases and grants are looked at while
	// tickets wait.
	TickInterval = 5 * time.Millisecond
	// IdleTickInterval is how often leases and slots are looked at while no ticket
	// waits. Waking up 200 times a second for nothing costs an idle entry more
	// than all else that it does.
	IdleTickInterval = 200 * time.Millisecond
)

const (
	// withdrawn is the code of a call whose caller has gone, or which nobody here
	// decides on any more: an entry that reads it asks the pool's owner of then.
	withdrawn  = "withdrawn"
	retryAfter = time.Second
	// goneKeep is how long a withdrawal is remembered for a ticket that it has
	// overtaken. Frames of a link are read in order and handled at once, so that
	// they change places only by the moments that a goroutine takes to start. The
	// entry may send the ticket again later, when its pool has moved away and back.
	goneKeep = 500 * time.Millisecond
)

type (
	// Sched holds one scheduler a pool and the calls that wait for a decision.
	// Its exported fields are set before use.
	Sched struct {
		Incarnation string
		Log         logr.Logger

		idle atomic.Bool // No ticket waited at the last tick.
		wake chan struct{}
		once sync.Once
		bans bans

		mu    sync.RWMutex
		pools map[string]*runner
		ended bool
	}

	runner struct {
		mu      sync.Mutex
		owner   string // Incarnation that grants carry.
		name    string // Of the policy.
		policy  kernel.Scheduler
		waiting map[waitKey]*call
		gone    map[waitKey]time.Time // Withdrawn of late.
		closed  bool
	}

	// call waits for the decision on a ticket.
	call struct {
		done func(*wire.Decision)
		stop func() bool // Ends the watch over the caller's context.
	}

	waitKey struct {
		incarnation string
		ticket      uint64
	}
)

// Install puts a configuration in force. Pools that are gone refuse their
// waiting tickets.
func (s *Sched) Install(cfg *conf.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	if s.pools == nil {
		s.pools = map[string]*runner{}
	}
	for name, p := range cfg.Pools {
		policy := p.WithDefaults().Scheduler
		r := s.pools[name]
		if r == nil || r.name != policy {
			sch, err := kernel.New(policy)
			if err != nil {
				s.Log.Error(err, "Pool left as it was.", "pool", name)
				continue
			}
			r.refuseAll()
			r = &runner{
				owner: s.Incarnation, name: policy, policy: sch,
				waiting: map[waitKey]*call{}, gone: map[waitKey]time.Time{},
			}
			s.pools[name] = r
		}
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Configure(now, name, cfg) })
	}
	for name, r := range s.pools {
		if _, ok := cfg.Pools[name]; !ok {
			r.refuseAll()
			delete(s.pools, name)
		}
	}
}

// Submit waits for the decision on a ticket. When ctx ends first, the ticket
// is withdrawn.
func (s *Sched) Submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	ch := make(chan *wire.Decision, 1)
	s.SubmitAsync(ctx, t, func(d *wire.Decision) { ch <- d })
	return <-ch
}

// SubmitAsync takes a ticket and calls done once with the decision, from whichever
// goroutine makes it; done must not wait. A goroutine for each ticket that waits
// would be woken for its decision: when a burst is refused, thousands are at once,
// and all else that the process has to do, its heartbeats among it, comes after
// them.
//
// When ctx ends first, the ticket is withdrawn. A ticket sent again, because the
// link broke before the decision arrived, takes the place of its former call; that
// one's end then withdraws nothing.
func (s *Sched) SubmitAsync(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	if s.bans.refuses(time.Now(), t) {
		done(refuse.Ticket(t, refuse.Crashes, 0))
		return
	}
	r, ended := s.runner(t.GetPool())
	if ended {
		done(refuse.Ticket(t, withdrawn, retryAfter))
		return
	}
	if r == nil {
		done(refuse.Ticket(t, refuse.NoUpstream, retryAfter))
		return
	}
	_, span := tracer.Start(trace.With(ctx, t.GetTraceparent()), "decision")
	k := waitKey{t.GetIncarnation(), t.GetId()}
	c := &call{done: func(d *wire.Decision) {
		span.End()
		done(d)
	}}
	if !r.enter(ctx, k, c, t) {
		c.done(refuse.Ticket(t, withdrawn, retryAfter))
		return
	}
	r.do(func(now time.Time) []*wire.Decision {
		if r.waiting[k] != c {
			return nil // Its caller has gone already: a place would be granted to nobody.
		}
		return r.policy.Submit(now, t)
	})
	if r.waits(k, c) && s.idle.CompareAndSwap(true, false) {
		select {
		case s.waker() <- struct{}{}:
		default: // A signal is on its way already.
		}
	}
}

// enter notes a call that waits. It reports false for a ticket whose withdrawal has
// overtaken it, or which comes after the end.
func (r *runner) enter(ctx context.Context, k waitKey, c *call, t *wire.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, gone := r.gone[k]; gone || r.closed {
		return false
	}
	r.end(k, withdrawn)
	r.waiting[k] = c
	c.stop = context.AfterFunc(ctx, func() { r.abandon(k, c, t) })
	return true
}

func (r *runner) waits(k waitKey, c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[k] == c
}

// end answers a call whose ticket needs no decision any more. Its caller may
// have gone, but without this the call would be kept as long as the link lives. It
// reports whether there was one.
func (r *runner) end(k waitKey, code string) bool {
	c, ok := r.waiting[k]
	if ok {
		delete(r.waiting, k)
		c.stop()
		go c.done(refuse.Ticket(&wire.Ticket{Id: k.ticket, Incarnation: k.incarnation}, code, retryAfter))
	}
	return ok
}

// abandon gives up the ticket of a call whose context has ended, unless it is
// decided or a later call has taken the ticket over.
func (r *runner) abandon(k waitKey, c *call, t *wire.Ticket) {
	r.do(func(now time.Time) []*wire.Decision {
		if r.waiting[k] != c {
			return nil
		}
		r.end(k, withdrawn)
		r.policy.Withdraw(now, &wire.Withdraw{Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool()})
		return r.policy.Tick(now)
	})
}

// Withdraw drops a ticket. If it was granted in the same moment, the slot is
// freed: the entry that withdraws has given up and will not dispatch.
func (s *Sched) Withdraw(w *wire.Withdraw) {
	r := s.pool(w.GetPool())
	if r == nil {
		return
	}
	r.do(func(now time.Time) []*wire.Decision {
		k := waitKey{w.GetIncarnation(), w.GetTicket()}
		if !r.end(k, withdrawn) {
			r.gone[k] = now
		}
		r.policy.Withdraw(now, w)
		return r.policy.Tick(now)
	})
}

// Release gives a slot back.
func (s *Sched) Release(rel *wire.Release) {
	if rel.GetOwner() == s.Incarnation {
		rel.Owner = "" // The policy's own slots carry no owner.
	}
	if s.bans.ended(time.Now(), rel) {
		s.Log.Info("Request banned: it crashes upstreams.", "digest", hex.EncodeToString(rel.GetDigest()), "account", rel.GetAccount())
	}
	if r := s.pool(rel.GetPool()); r != nil {
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Release(now, rel) })
	}
}

// Announce hands an upstream's lease to the pools that it names.
func (s *Sched) Announce(a *wire.Announce) {
	s.bans.runs(a)
	for _, name := range a.GetPools() {
		if r := s.pool(name); r != nil {
			r.do(func(now time.Time) []*wire.Decision { return r.policy.Announce(now, a) })
		}
	}
}

// Hold takes the list of slots that an entry holds: to take them over from a
// former owner, and as the truth about the grants of this one.
func (s *Sched) Hold(h *wire.Held) {
	h = proto.CloneOf(h) // An entry in this process goes on using its own list.
	for _, slot := range h.GetSlots() {
		if g := slot.GetGrant(); g.GetOwner() == s.Incarnation {
			g.Owner = "" // The policy's own slots carry no owner.
		}
	}
	for _, r := range s.all() {
		r.do(func(now time.Time) []*wire.Decision {
			r.policy.Hold(now, h)
			return r.policy.Tick(now)
		})
	}
}

// Forget drops what a dead entry held and waited for.
func (s *Sched) Forget(incarnation string) {
	for _, r := range s.all() {
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Forget(now, incarnation) })
	}
}

// Serve ticks the policies until ctx ends. Tickets that wait then are answered, and so
// are those that come later: nobody decides on them any more, and their entries would
// hear nothing for as long as their links live.
func (s *Sched) Serve(ctx context.Context) error {
	defer s.end()
	tick := time.NewTimer(TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-s.waker():
		}
		// Idle is said before the look: a ticket that comes during it wakes the
		// loop, and one that came before is seen.
		s.idle.Store(true)
		for _, r := range s.all() {
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

// waker carries one signal for each time that the loop said it was idle.
func (s *Sched) waker() chan struct{} {
	s.once.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (r *runner) tick(now time.Time) []*wire.Decision {
	maps.DeleteFunc(r.gone, func(_ waitKey, at time.Time) bool { return now.Sub(at) > goneKeep })
	return r.policy.Tick(now)
}

func (s *Sched) pool(name string) *runner {
	r, _ := s.runner(name)
	return r
}

// runner returns what schedules a pool, and whether this scheduler has ended.
func (s *Sched) runner(name string) (*runner, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name], s.ended
}

// end answers what waits.
func (s *Sched) end() {
	s.mu.Lock()
	pools := s.pools
	s.pools, s.ended = nil, true
	s.mu.Unlock()
	for _, r := range pools {
		r.close()
	}
}

// TokenTimes is what the policies that learn believe of their upstreams, by pool: the time
// that each takes for one token of an answer.
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

// Waiting is the number of tickets that wait for a decision.
func (s *Sched) Waiting() int {
	n := 0
	for _, r := range s.all() {
		r.mu.Lock()
		n += len(r.waiting)
		r.mu.Unlock()
	}
	return n
}

func (s *Sched) all() []*runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return slices.AppendSeq(make([]*runner, 0, len(s.pools)), maps.Values(s.pools))
}

// do runs one step of the policy and hands its decisions to the calls that
// wait for them, after the step: others need not wait for what they do with them.
func (r *runner) do(step func(time.Time) []*wire.Decision) {
	r.mu.Lock()
	list := step(time.Now())
	calls := make([]*call, len(list))
	for n, d := range list {
		if g := d.GetGrant(); g != nil {
			g.Owner = r.owner
		}
		k := waitKey{d.GetIncarnation(), d.GetTicket()}
		calls[n] = r.waiting[k]
		delete(r.waiting, k)
	}
	r.mu.Unlock()
	for n, c := range calls {
		if c != nil {
			c.stop()
			c.done(list[n])
		}
	}
}

func (r *runner) refuseAll() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.waiting {
		r.end(k, refuse.NotFound)
	}
}

// close answers what waits, one after the other, as a goroutine each would keep all else
// from running.
func (r *runner) close() {
	r.mu.Lock()
	calls := r.waiting
	r.waiting, r.closed = map[waitKey]*call{}, true
	r.mu.Unlock()
	for k, c := range calls {
		c.stop()
		c.done(refuse.Ticket(&wire.Ticket{Id: k.ticket, Incarnation: k.incarnation}, withdrawn, retryAfter))
	}
}
