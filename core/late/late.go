// Package late is the scheduling policy that binds a ticket to an upstream as
// late as it can: tickets wait in one queue at the pool's owner, and only a
// free slot takes the first of them.
package late

import (
	"slices"
	"time"

	"azurelane/core/blame"
	"azurelane/core/conf"
	"azurelane/core/item"
	"azurelane/core/kernel"
	"azurelane/core/place"
	"azurelane/core/pool"
	"azurelane/core/queue"
	"azurelane/core/refuse"
	"azurelane/core/slots"
	"azurelane/core/table"
	"azurelane/core/tier"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "late"

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Late{} }) }

// Late is the policy's state for one pool.
type Late struct {
	name  string
	pool  pool.Pool
	table table.Table
	slots slots.Slots
	queue queue.Queue
	place place.Place
	blame blame.Blame
	usual usual
	drain drain

	started time.Time // When this owner began; the table fills within startGrace after it.
	asked   time.Time // Last message that only an owner gets.
	swept   time.Time
	sweeps  int
	live    int               // Live upstreams at the last sweep.
	rate    float64           // Work units a second of the whole pool; zero while unknown.
	quick   *upstr.Upstream   // The fastest one for a usual run at the last sweep.
	open    []*upstr.Upstream // All with room, and some without.
	stale   bool              // Others than those in open may have room.
}

const (
	// startGrace is how long a fresh owner waits for announcements before it
	// says that there is no upstream. Upstreams announce themselves each second.
	startGrace = 3 * time.Second
	// ownerIdle is how long an owner hears nothing before it counts as a fresh
	// one. Each entry has this policy for each pool, and hears of a pool only
	// while it owns it.
	ownerIdle   = 5 * time.Second
	forgetAfter = time.Minute            // An upstream without a lease stays known.
	sweepEvery  = 200 * time.Millisecond // Looks at all slots and upstreams.
	runGrace    = 10 * time.Second       // Over the longest run, before a slot without an end is freed.
	// bulkShare is the part of the work that waiting bulk work gets when the
	// configuration names none, so that it moves under any load.
	bulkShare = 0.03
	// burst is how much work an account may be ahead of its share, as time of
	// the whole pool.
	burst = time.Second
)

// Configure installs the pool's limits and weights.
func (l *Late) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	l.name = name
	l.pool = cfg.Pools[name].WithDefaults()
	if p, err := place.Preset(l.pool.Preset); err == nil {
		l.place = p
	}
	l.queue.Accounts = cfg.Accounts
	l.queue.MaxWaiting = l.pool.MaxWaiting
	l.queue.Shares = [tier.Levels]float64{tier.Levels - 1: bulkShare}
	for _, t := range cfg.Tiers {
		if t.Share > 0 {
			l.queue.Shares[t.Wire()] = t.Share
		}
	}
	return append(l.sweep(now), l.assign(now)...)
}

// owns notes that this entry is asked as the pool's owner.
func (l *Late) owns(now time.Time) {
	if now.Sub(l.asked) > ownerIdle {
		l.started = now
	}
	l.asked = now
}

// Announce takes an upstream's lease and grants what now fits.
func (l *Late) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	l.owns(now)
	l.table.Put(now, a)
	l.stale = true
	return l.assign(now)
}

// Submit queues a ticket, grants it, or refuses it at once. A ticket sent
// again replaces its former self: the link broke before the decision arrived,
// so a waiting one would be granted twice and a granted one never dispatched.
func (l *Late) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	l.owns(now)
	l.queue.Remove(t.GetIncarnation(), t.GetId())
	l.cancel(now, t.GetIncarnation(), t.GetId())
	if !l.served(now, t) && now.Sub(l.started) >= startGrace {
		return []*wire.Decision{refuse.Ticket(t, refuse.NoUpstream, startGrace)}
	}
	i := l.item(now, t)
	if code, after := l.hopeless(now, i); code != "" {
		return []*wire.Decision{refuse.Ticket(t, code, after)}
	}
	l.queue.Arrived(i)
	l.queue.Push(i)
	out := l.assign(now)
	for v := l.queue.OverAccount(t.GetAccount()); v != nil; v = l.queue.OverAccount(t.GetAccount()) {
		out = append(out, refuse.Ticket(v.Ticket, refuse.AccountLimit, l.later(v)))
	}
	for v := l.queue.OverPool(); v != nil; v = l.queue.OverPool() {
		out = append(out, refuse.Ticket(v.Ticket, refuse.Overloaded, l.later(v)))
	}
	return out
}

// Withdraw drops a waiting ticket, or frees the slot that it was granted in
// the same moment: the entry that withdraws has given up and won't dispatch.
func (l *Late) Withdraw(now time.Time, w *wire.Withdraw) {
	l.queue.Remove(w.GetIncarnation(), w.GetTicket())
	l.cancel(now, w.GetIncarnation(), w.GetTicket())
}

// cancel frees a slot whose ticket won't be dispatched under it.
func (l *Late) cancel(now time.Time, incarnation string, ticket uint64) {
	if s := l.slots.Cancel(now, incarnation, ticket); s != nil {
		l.stale = true
		l.queue.Correct(s.Ticket.GetAccount(), -s.Work)
	}
}

// Hold takes an entry's list of the slots that it holds, sent when this owner
// takes over and again every few seconds. See slots.Hold.
func (l *Late) Hold(now time.Time, h *wire.Held) {
	l.owns(now)
	var list []*wire.HeldSlot
	for _, s := range h.GetSlots() {
		if s.GetTicket().GetPool() == l.name {
			list = append(list, s)
		}
	}
	l.slots.Reconcile(now, h.GetIncarnation(), list, h.GetTickets(), l.table.Named)
	l.stale = true
}

// Forget drops a dead entry's tickets and slots.
func (l *Late) Forget(now time.Time, incarnation string) []*wire.Decision {
	l.slots.FreeEntry(incarnation)
	l.stale = true
	l.queue.Drop(func(i *item.Item) bool { return i.GetIncarnation() == incarnation })
	return l.assign(now)
}

// Tick refuses what can't be done in time any more and grants what now fits.
func (l *Late) Tick(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for i := l.queue.Expired(now); i != nil; i = l.queue.Expired(now) {
		out = append(out, refuse.Ticket(i.Ticket, refuse.Deadline, l.later(i)))
	}
	if now.Sub(l.swept) >= sweepEvery {
		out = append(out, l.sweep(now)...)
	}
	return append(out, l.assign(now)...)
}

// assign grants free slots to the tickets that are next.
func (l *Late) assign(now time.Time) []*wire.Decision {
	if l.queue.Len() == 0 {
		return nil
	}
	var out []*wire.Decision
	l.queue.Round()
	l.refresh(now)
	for len(l.open) > 0 {
		var granted *wire.Decision
		l.queue.Next(func(i *item.Item) (bool, bool) {
			var full bool
			granted, full = l.grant(now, i)
			return granted != nil, full
		})
		if granted == nil {
			return out
		}
		out = append(out, granted)
	}
	return out
}

// refresh leaves just the upstreams with room in open. A release adds its own
// upstream, so that the many grants that follow a release look at no other one.
func (l *Late) refresh(now time.Time) {
	all := l.open
	if l.stale {
		all, l.stale = l.table.All(), false
	}
	l.open = place.Open(now, all, l.open)
}

// grant places one ticket. It returns nil and whether all tickets like it
// would find no place.
func (l *Late) grant(now time.Time, i *item.Item) (*wire.Decision, bool) {
	only, confined := l.blame.Confined(now, i.GetAccount())
	if confined && l.slots.AccountLen(i.GetAccount()) > 0 {
		return nil, false
	}
	s, full := l.place.Pick(now, l.open, i, l.usual.short(now), only)
	if s == nil {
		return nil, full
	}
	if h := i.GetPrefixHash(); h != 0 {
		s.Upstream.Cache.Sent(now, h)
	}
	l.drain.granted += i.Work
	d := l.slots.Grant(now, s, l.pool.GrantTTL)
	if !s.Upstream.HasRoom(now) {
		l.open = slices.DeleteFunc(l.open, func(u *upstr.Upstream) bool { return u == s.Upstream })
	}
	return d, false
}
