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
	"azurelane/core/table"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "batch"

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Batch{} }) }

const (
	// extraPlaces is how many requests an engine may have beyond its batch: one
	// that is there when a place becomes free saves the way to the scheduler and
	// back, and more only wait there behind each other.
	extraPlaces = 1
	// fullCache is the part of an engine's cache that may be promised.
	fullCache   = 0.95
	startGrace  = 1500 * time.Millisecond // How long a fresh owner waits for upstreams before it refuses.
	forgetAfter = time.Minute
	runGrace    = 10 * time.Second
	// runPart and stopPart are the parts of a run's time, and of the time for
	// which its prompt stops the others at the engine, that count in placing it:
	// an engine that is twice as fast ends both in half of the time.
	runPart  = 4
	stopPart = 8
	lateCost = time.Hour     // Of a late first piece.
	misfit   = 2 * time.Hour // Of a run that would be cut off at its end.
	passMost = 8             // Tickets that are passed over for one that fits.
	// shortestRetry and longestRetry bound what a refused caller is told to wait.
	shortestRetry = 2200 * time.Millisecond
	longestRetry  = 3 * time.Second
)

// Batch is the policy's state for one pool.
type Batch struct {
	name    string
	pool    pool.Pool
	table   table.Table
	slots   slots.Slots
	waiting []*item
	kinds   map[string]*kind
	paces   map[string]*pace
	started time.Time
	swept   time.Time
}

// Configure installs the pool's limits.
func (b *Batch) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	b.name, b.pool = name, cfg.Pools[name].WithDefaults()
	if b.started.IsZero() {
		b.started, b.kinds, b.paces = now, map[string]*kind{}, map[string]*pace{}
	}
	return nil
}

// Announce takes an upstream's lease and grants what now fits.
func (b *Batch) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	b.table.Put(now, a)
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
	b.waiting = append(b.waiting, newItem(now, t, k))
	return b.assign(now)
}

// Release frees a slot, learns from the run and grants what now fits.
func (b *Batch) Release(now time.Time, r *wire.Release) []*wire.Decision {
	s := b.slots.Free(now, r)
	if s == nil {
		return nil
	}
	p := b.pace(s.Up)
	switch {
	case r.GetBusy():
		p.given(now, b.pool.Slots*usualRun) // Its own queue is full: others use it, too.
	case r.GetFailed():
		p.failed(now, r.GetFirstTokenUs() > 0, s.Up.GetSeq())
	case r.GetDispatched():
		p.ran(r, s.Ticket.GetPromptTokens(), max(b.pool.EventTokens, 1))
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
	b.slots.Hold(now, h.GetIncarnation(), list, h.GetTickets(), b.table.Named)
}

// Forget drops a dead entry's tickets and slots.
func (b *Batch) Forget(now time.Time, incarnation string) []*wire.Decision {
	b.slots.Forget(incarnation)
	b.waiting = slices.DeleteFunc(b.waiting, func(i *item) bool { return i.GetIncarnation() == incarnation })
	return b.assign(now)
}

// Tick refuses what can't be done in time any more and grants what now fits.
func (b *Batch) Tick(now time.Time) []*wire.Decision {
	if now.Sub(b.swept) >= 200*time.Millisecond {
		b.swept = now
		b.table.Expire(now, forgetAfter)
		b.slots.Sweep(now, b.pool.MaxRun+runGrace, func(*slot.Slot) {})
	}
	return append(b.assign(now), b.expire(now)...)
}

func (b *Batch) remove(incarnation string, ticket uint64) {
	b.waiting = slices.DeleteFunc(b.waiting, func(i *item) bool {
		return i.GetIncarnation() == incarnation && i.GetId() == ticket
	})
}

func (b *Batch) pace(u *upstr.Upstream) *pace {
	p := b.paces[u.GetUpstream()]
	if p == nil {
		p = &pace{whole: 1}
		b.paces[u.GetUpstream()] = p
	}
	return p
}

// live reports whether an upstream is to be used at all.
func (b *Batch) live(now time.Time, u *upstr.Upstream) bool {
	if !u.Live(now) {
		return false
	}
	return !now.Before(b.pace(u).out)
}

// open lists the upstreams with room.
func (b *Batch) open(now time.Time) []*upstr.Upstream {
	var list []*upstr.Upstream
	for _, u := range b.table.All() {
		if u.Running < u.Limit()+extraPlaces && b.live(now, u) && b.fits(u, 0) {
			list = append(list, u)
		}
	}
	return list
}

func (b *Batch) fits(u *upstr.Upstream, tokens int64) bool {
	return b.pool.CacheTokens == 0 || float64(u.Tokens+tokens) <= fullCache*float64(b.pool.CacheTokens)
}

// assign gives free places to the waiting tickets that are worth most.
func (b *Batch) assign(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for len(b.waiting) > 0 {
		open := b.open(now)
		if len(open) == 0 {
			return out
		}
		n, u := b.next(now, open)
		if u == nil {
			return out
		}
		i := b.waiting[n]
		b.waiting = slices.Delete(b.waiting, n, n+1)
		b.pace(u).given(now, i.GetPromptTokens())
		out = append(out, b.slots.Grant(now, &slot.Slot{Up: u, Ticket: i.Ticket}, b.pool.GrantTTL))
	}
	return out
}

// next picks the ticket and the upstream for it. A ticket that would be late, or
// whose run would be cut off at its end, wherever there is room lets the next ones
// pass: another engine will have room within milliseconds, and a long run on a
// slow one takes a place for seconds and earns nothing.
func (b *Batch) next(now time.Time, open []*upstr.Upstream) (int, *upstr.Upstream) {
	var quick *upstr.Upstream
	for _, u := range open {
		if quick == nil || b.pace(u).expect(now, u, 0) < b.pace(quick).expect(now, quick, 0) {
			quick = u
		}
	}
	rest, at, least := -1, (*upstr.Upstream)(nil), time.Duration(0) // What goes wrong least, if nothing fits.
	passed := map[int]bool{}
	for range passMost {
		n := b.best(now, quick, passed)
		if n < 0 {
			break
		}
		u, cost := b.place(now, b.waiting[n], open)
		if u != nil && cost < lateCost {
			return n, u
		}
		passed[n] = true
		if u != nil && (rest < 0 || cost.Truncate(lateCost) < least) {
			rest, at, least = n, u, cost.Truncate(lateCost)
		}
	}
	return rest, at
}

// best is the waiting ticket of the highest score, but for those passed over.
func (b *Batch) best(now time.Time, quick *upstr.Upstream, passed map[int]bool) int {
	best, score := -1, 0.0
	for n, i := range b.waiting {
		if passed[n] {
			continue
		}
		if s := b.score(now, i, quick); best < 0 || s > score {
			best, score = n, s
		}
	}
	return best
}

// score is what a ticket earns a second of the place that it takes, by whether
// it is in time. Half of it is that of a usual request of its kind: small
// requests earn more for their time, and by their own worth alone the large ones
// would be the first to be refused whenever there is too much to do.
func (b *Batch) score(now time.Time, i *item, u *upstr.Upstream) float64 {
	p := b.pace(u)
	worth := i.worth
	switch {
	case i.returned:
		worth *= lateCredit + returnCredit
	case i.late(now, p.expect(now, u, i.GetPromptTokens())):
		worth *= lateCredit
	}
	usual := p.place(int64(i.kind.prompt), int64(i.kind.answer))
	own := p.place(i.GetPromptTokens(), i.GetAnswerTokens())
	part := fixedWorth + (1-fixedWorth)*size(i.Ticket)/i.kind.size
	return worth * (1/usual.Seconds() + part/own.Seconds())
}

// place picks the upstream where the run costs least: the time to its first
// piece and of its run, and the time for which its prompt stops the others there.
// That is lateCost and more where it would begin or end too late.
func (b *Batch) place(now time.Time, i *item, open []*upstr.Upstream) (*upstr.Upstream, time.Duration) {
	var best *upstr.Upstream
	var least time.Duration
	for _, u := range open {
		if slices.Contains(i.GetAvoid(), u.GetUpstream()) || !b.fits(u, i.GetPromptTokens()+i.GetAnswerTokens()) {
			continue
		}
		if c := b.cost(now, i, u); best == nil || c < least {
			best, least = u, c
		}
	}
	return best, least
}

// cost is what a run costs at an upstream, in time, with a penalty of its own
// magnitude for each thing that would go wrong.
func (b *Batch) cost(now time.Time, i *item, u *upstr.Upstream) time.Duration {
	p := b.pace(u)
	first := p.expect(now, u, i.GetPromptTokens())
	run := p.runs(i.GetAnswerTokens())
	cost := first + run/runPart
	cost += p.read(i.GetPromptTokens()) * time.Duration(u.Running) / stopPart
	cost += time.Duration((1 - p.whole) * float64(time.Second))
	if i.late(now, first) && !i.late(now, firstToken) { // Where it could be in time elsewhere.
		cost += lateCost
	}
	if now.Add(first + run*3/2).After(i.end) { // Answers are often half as long again as was estimated.
		cost += misfit
	}
	return cost
}

// expire refuses tickets that are late already while others could still be in
// time, and those whose end has come.
func (b *Batch) expire(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	b.waiting = slices.DeleteFunc(b.waiting, func(i *item) bool {
		if now.Before(i.giveUp) {
			return false
		}
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
		if w.worth >= i.worth {
			work += time.Duration(w.GetAnswerTokens()) * tokenTime
		}
	}
	after := min(max(work/time.Duration(max(places, 1)), shortestRetry), longestRetry)
	const parts = 16
	return after + after/2*time.Duration(i.GetId()%parts)/parts
}
