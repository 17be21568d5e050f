// Package batch is the scheduling policy for model engines that batch
// continuously and admit requests in the order of arrival. It keeps each
// engine's batch full and its own queue all but empty, and gives the next free
// place to the request that earns most for the time that it takes the place.
package batch

import (
	"slices"
	"time"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/slots"
	"azurelane/core/leases"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "batch"

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Batch{} }) }

const (
	// extraPlaces is how many requests an engine may have beyond its batch: one
	// that is there when a place becomes free saves the way to the scheduler and
	// back, and more only wait there behind each other. It is for the most urgent
	// priority alone; see urgent.
	extraPlaces = 1
	// fullCache is the part of an engine's cache that may be promised.
	fullCache   = 0.95
	startGrace  = 1500 * time.Millisecond // How long a fresh owner waits for upstreams before it refuses.
	forgetAfter = time.Minute
	sweepEvery  = 200 * time.Millisecond // Looks at all places and upstreams.
	// tryEvery is the time between two grants to engines that seem cut off: enough to
	// see soon that they are back, and each of them may wait for nothing.
	tryEvery = 400 * time.Millisecond
	runGrace = 10 * time.Second
	// shortestRetry and longestRetry bound what a refused caller is told to wait.
	// Shortages last for seconds: who comes back within one meets the same one and is
	// refused again, and after more than three most have no time left.
	shortestRetry = 2200 * time.Millisecond
	longestRetry  = 3 * time.Second
)

// Batch is the policy's state for one pool.
type Batch struct {
	name    string
	pool    pool.Pool
	table   leases.Table
	slots   slots.Slots
	waiting []*item
	items   map[ticketKey]*item // Those that wait.
	kinds   map[string]*kind
	engines map[string]*engine // By name.
	all     []*engine          // In the order of the table.
	open    []offer            // Of the decision that is being made.
	gap     time.Duration      // Longest pause between two events that is on time for all; zero for any.
	mean    pace               // A pace between the slowest and the fastest engine.
	started time.Time
	swept   time.Time
	tried   time.Time // Last grant to an engine that seems cut off.
	urgent  urgent
	shape   shape
	ideal   ideal
	shed    shed
}

// ticketKey names a ticket.
type ticketKey struct {
	incarnation string
	id          uint64
}

// Configure installs the pool's limits.
func (b *Batch) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	b.name, b.pool = name, cfg.Pools[name].WithDefaults()
	if b.started.IsZero() {
		b.started, b.kinds, b.engines, b.items = now, map[string]*kind{}, map[string]*engine{}, map[ticketKey]*item{}
		b.learnMean()
	}
	return nil
}

// Announce takes an upstream's lease and grants what now fits.
func (b *Batch) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	if u := b.table.GetOrAdd(a.GetUpstream()); u.GetIncarnation() != "" && u.GetIncarnation() != a.GetIncarnation() {
		b.slots.Vacate(now, u) // What the former process ran ended with it.
		b.engine(u).pace = b.unknown()
	}
	b.table.Update(now, a)
	return b.assign(now)
}

// Submit queues a ticket, grants it or refuses it.
func (b *Batch) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	b.remove(t.GetIncarnation(), t.GetId())
	b.slots.Cancel(now, t.GetIncarnation(), t.GetId())
	k := b.kinds[t.GetRoute()]
	if k == nil {
		k = &kind{}
		b.kinds[t.GetRoute()] = k
	}
	b.urgent.seen(now, t.GetPriority())
	i := newItem(now.Sub(b.started), t, k, &b.mean)
	b.waiting = append(b.waiting, i)
	b.items[ticketKey{t.GetIncarnation(), t.GetId()}] = i
	if beyond := b.look(now); len(b.open) == 0 || (beyond && !b.urgent.has(i)) {
		return nil // Nothing was possible before, and this one changes nothing.
	}
	return b.assign(now)
}

// Release frees a slot, learns from the run and grants what now fits.
func (b *Batch) Release(now time.Time, r *wire.Release) []*wire.Decision {
	s := b.slots.Free(now, r)
	if s == nil {
		return nil
	}
	if k := b.kinds[s.Ticket.GetRoute()]; k != nil && r.GetDispatched() && !r.GetBusy() {
		k.length.ended(s.Ticket.GetAnswerTokens(), r.GetPieces()*max(b.pool.EventTokens, 1), r.GetWhole())
		if !r.GetWhole() {
			k.broke(s.Ticket)
		}
	}
	p := b.engine(s.Up).pace
	if r.GetFirstTokenUs() > 0 {
		p.begun(s.Since, now.Add(-time.Duration(r.GetTotalUs()-r.GetFirstTokenUs())*time.Microsecond))
	}
	switch {
	case r.GetBusy():
		p.given(now, b.pool.Slots*int64(b.shape.usual())) // Its own queue is full: others use it, too.
	case r.GetFailed():
		p.failed(now, r.GetFirstTokenUs() > 0, s.Up.GetSeq())
	case r.GetDispatched():
		p.ran(now, r, s.Ticket.GetPromptTokens()-s.Kept, max(b.pool.EventTokens, 1), s.Wait)
	}
	return b.assign(now)
}

// Withdraw drops a waiting ticket, or frees the slot that it was granted in the
// same moment.
func (b *Batch) Withdraw(now time.Time, w *wire.Withdraw) {
	b.remove(w.GetIncarnation(), w.GetTicket())
	b.slots.Cancel(now, w.GetIncarnation(), w.GetTicket())
}

// Hold takes an entry's list of the slots that it holds. See slots.Hold.
func (b *Batch) Hold(now time.Time, h *wire.Held) {
	var list []*wire.HeldSlot
	for _, s := range h.GetSlots() {
		if s.GetTicket().GetPool() == b.name {
			list = append(list, s)
		}
	}
	b.slots.Hold(now, h.GetIncarnation(), list, h.GetTickets(), b.table.GetOrAdd)
}

// Forget drops a dead entry's tickets and slots.
func (b *Batch) Forget(now time.Time, incarnation string) []*wire.Decision {
	b.slots.Forget(incarnation)
	b.drop(func(i *item) bool { return i.GetIncarnation() == incarnation })
	return b.assign(now)
}

// Tick refuses what can't be done in time any more and grants what now fits.
func (b *Batch) Tick(now time.Time) []*wire.Decision {
	if now.Sub(b.swept) >= sweepEvery {
		b.swept = now
		order(b.kinds, now.Sub(b.started))
		b.table.Expire(now, forgetAfter)
		b.forget()
		b.learnMean()
		b.learnGap()
		b.slots.Sweep(now, b.pool.MaxRun+runGrace, func(*slot.Slot) {})
	}
	return append(b.assign(now), b.expire(now)...)
}

func (b *Batch) remove(incarnation string, ticket uint64) {
	if i := b.items[ticketKey{incarnation, ticket}]; i != nil {
		b.drop(func(other *item) bool { return other == i })
	}
}

// drop takes the tickets for which gone says so out of the queue.
func (b *Batch) drop(gone func(*item) bool) {
	b.waiting = slices.DeleteFunc(b.waiting, func(i *item) bool {
		if !gone(i) {
			return false
		}
		delete(b.items, ticketKey{i.GetIncarnation(), i.GetId()})
		return true
	})
}

func (b *Batch) fits(u *upstr.Upstream, tokens int64) bool {
	return b.pool.CacheTokens == 0 || float64(u.Tokens+tokens) <= fullCache*float64(b.pool.CacheTokens)
}

// assign gives free places to the waiting tickets that are worth most.
func (b *Batch) assign(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for len(b.waiting) > 0 {
		beyond := b.look(now)
		if len(b.open) == 0 || (beyond && !b.urgent.waits(b.waiting)) {
			return out
		}
		n, e := b.next(now.Sub(b.started), beyond)
		if e == nil {
			return out
		}
		i := b.waiting[n]
		i.kind.ended(now.Sub(b.started), i.class, true, !i.returned && now.Sub(b.started)+e.pace.expect(now, e.Upstream, i.prompt) <= i.onTime)
		b.waiting = slices.Delete(b.waiting, n, n+1)
		delete(b.items, ticketKey{i.GetIncarnation(), i.GetId()})
		s := &slot.Slot{Up: e.Upstream, Ticket: i.Ticket, Kept: kept(e.Upstream, i)}
		s.Wait = e.pace.wait(now)
		if e.GetUnreached() {
			b.tried = now
		}
		e.pace.given(now, i.GetPromptTokens()-s.Kept)
		for _, p := range i.GetParts() {
			e.Cache.Sent(now, p.GetHash())
		}
		b.shed.granted(now.Sub(b.started))
		out = append(out, b.slots.Grant(now, s, b.pool.GrantTTL))
	}
	return out
}

// expire refuses tickets that are late already while others could still be in
// time, those that no place will reach before, and those whose end has come.
func (b *Batch) expire(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	at := now.Sub(b.started)
	if b.shed.due(at) {
		b.shed.hopeless(at, b.waiting, shedLeast*b.capacity())
	}
	b.drop(func(i *item) bool {
		if at < i.giveUp {
			return false
		}
		i.kind.ended(at, i.class, false, false)
		out = append(out, refuse.Ticket(i.Ticket, refuse.Overloaded, b.retry(i)))
		return true
	})
	return out
}

// retry is when there will be room for a refused ticket: when the places have
// worked off what waits, spread so that those refused together don't come back
// together.
func (b *Batch) retry(i *item) time.Duration {
	places := int64(0)
	for _, u := range b.table.All() {
		places += int64(u.Limit())
	}
	var work time.Duration
	for _, w := range b.waiting {
		if w.earns >= i.earns {
			work += time.Duration(w.answer) * tokenTime
		}
	}
	after := min(max(work/time.Duration(max(places, 1)), shortestRetry), longestRetry)
	const parts = 16
	return after + after/2*time.Duration(i.GetId()%parts)/parts
}
