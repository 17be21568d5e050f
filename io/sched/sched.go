// Package sched runs the scheduling policies of the pools that an entry owns.
package sched

import (
	"context"
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
	// TickEvery is how often deadlines, leases and grants are looked at while
	// tickets wait.
	TickEvery = 5 * time.Millisecond
	// IdleEvery is how often leases and slots are looked at while no ticket
	// waits. Waking up 200 times a second for nothing costs an idle entry more
	// than all else that it does.
	IdleEvery = 200 * time.Millisecond
)

const (
	// withdrawn is the code of a call whose caller has gone; nobody reads it.
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

		mu    sync.RWMutex
		pools map[string]*runner
	}

	runner struct {
		mu      sync.Mutex
		owner   string // Incarnation that grants carry.
		name    string // Of the policy.
		policy  kernel.Scheduler
		waiting map[waitKey]chan *wire.Decision
		gone    map[waitKey]time.Time // Withdrawn of late.
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
				waiting: map[waitKey]chan *wire.Decision{}, gone: map[waitKey]time.Time{},
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
// is withdrawn. A ticket sent again, because the link broke before the decision
// arrived, takes the place of its former call; that one's end then withdraws
// nothing.
func (s *Sched) Submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	r := s.pool(t.GetPool())
	if r == nil {
		return refuse.Ticket(t, refuse.NoUpstream, retryAfter)
	}
	_, span := tracer.Start(trace.With(ctx, t.GetTraceparent()), "decision")
	defer span.End()
	k := waitKey{t.GetIncarnation(), t.GetId()}
	ch := make(chan *wire.Decision, 1)
	if !r.enter(k, ch) {
		return refuse.Ticket(t, withdrawn, retryAfter)
	}
	r.do(func(now time.Time) []*wire.Decision { return r.policy.Submit(now, t) })
	if len(ch) == 0 && s.idle.CompareAndSwap(true, false) {
		select {
		case s.waker() <- struct{}{}:
		default: // A signal is on its way already.
		}
	}
	select {
	case d := <-ch:
		return d
	case <-ctx.Done():
	}
	r.do(func(now time.Time) []*wire.Decision { return r.abandon(now, k, ch, t) })
	return refuse.Ticket(t, withdrawn, retryAfter)
}

// enter notes a call that waits. It reports false for a ticket whose
// withdrawal has overtaken it.
func (r *runner) enter(k waitKey, ch chan *wire.Decision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, gone := r.gone[k]; gone {
		return false
	}
	r.end(k, withdrawn)
	r.waiting[k] = ch
	return true
}

// end lets a call return whose ticket needs no decision any more. Its caller
// may have gone, but without this its goroutine would wait as long as the link
// lives. It reports whether there was one.
func (r *runner) end(k waitKey, code string) bool {
	ch, ok := r.waiting[k]
	if ok {
		delete(r.waiting, k)
		ch <- refuse.Ticket(&wire.Ticket{Id: k.ticket, Incarnation: k.incarnation}, code, retryAfter)
	}
	return ok
}

// abandon gives up the ticket of a call whose context has ended, unless a
// later call has taken the ticket over. A grant that came in the same moment is
// released by its number, so that no other slot can be meant.
func (r *runner) abandon(now time.Time, k waitKey, ch chan *wire.Decision, t *wire.Ticket) []*wire.Decision {
	if r.waiting[k] == ch {
		delete(r.waiting, k)
		r.policy.Withdraw(now, &wire.Withdraw{Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool()})
		return r.policy.Tick(now)
	}
	select {
	case d := <-ch:
		if g := d.GetGrant(); g != nil {
			return r.policy.Release(now, &wire.Release{
				Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
				Upstream: g.GetUpstream(), Slot: g.GetSlot(), Account: t.GetAccount(),
			})
		}
	default:
	}
	return nil
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
	if r := s.pool(rel.GetPool()); r != nil {
		r.do(func(now time.Time) []*wire.Decision { return r.policy.Release(now, rel) })
	}
}

// Announce hands an upstream's lease to the pools that it names.
func (s *Sched) Announce(a *wire.Announce) {
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

// Serve ticks the policies until ctx ends.
func (s *Sched) Serve(ctx context.Context) error {
	tick := time.NewTimer(TickEvery)
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
		next := IdleEvery
		if s.Waiting() > 0 {
			s.idle.Store(false)
			next = TickEvery
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
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
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
// wait for them.
func (r *runner) do(step func(time.Time) []*wire.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range step(time.Now()) {
		if g := d.GetGrant(); g != nil {
			g.Owner = r.owner
		}
		k := waitKey{d.GetIncarnation(), d.GetTicket()}
		if ch, ok := r.waiting[k]; ok {
			delete(r.waiting, k)
			ch <- d
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
