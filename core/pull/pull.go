// Package pull is the pull-based scheduling policy with late binding: tickets wait in one
// queue at the pool's owner, and a ticket is bound to an upstream only when that upstream
// has a free slot. The policy is registered as "late".
package pull

import (
	"slices"
	"time"

	"azurelane/core/abuse"
	"azurelane/core/conf"
	"azurelane/core/elig"
	"azurelane/core/item"
	"azurelane/core/kernel"
	"azurelane/core/leases"
	"azurelane/core/place"
	"azurelane/core/pool"
	"azurelane/core/queue"
	"azurelane/core/refuse"
	"azurelane/core/slots"
	"azurelane/core/tier"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name selects the policy in the configuration.
const Name = "late"

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Policy{} }) }

// Policy is the state of the policy for one pool.
type Policy struct {
	name       string
	pool       pool.Pool
	table      leases.Table
	slots      slots.Slots
	queue      queue.Queue
	elig       elig.Elig
	picker     place.Picker
	abuse      abuse.Detector
	workload   workload
	throughput throughput

	// Start of this ownership. Upstreams announce themselves within startGrace of it.
	ownerSince     time.Time
	lastOwnerCall  time.Time // Time of the last message that only owners get.
	lastSweep      time.Time
	sweeps         int
	liveUpstreams  int               // At the last sweep.
	rate           float64           // Work units a second of the whole pool; zero while unknown.
	fastest        *upstr.Upstream   // Fastest upstream for a typical request at the last sweep.
	available      []*upstr.Upstream // All upstreams with room, and possibly some without.
	availableStale bool              // Upstreams that are not in available may have room.
	timed          bool              // Some upstream is available again after a time, without a release.
	plain          *plain            // Order of the tickets of a pool that defers plain requests; nil for any other.
}

const (
	// startGrace is how long a new owner waits for announcements before it refuses a ticket
	// for want of an upstream. Upstreams announce themselves every second.
	startGrace = 3 * time.Second
	// ownerIdle is the time without messages after which an owner counts as new again.
	// Every entry has an instance of this policy for each pool, which gets messages about
	// the pool only while the entry owns it.
	ownerIdle         = 5 * time.Second
	upstreamRetention = time.Minute            // After the end of an upstream's lease.
	sweepInterval     = 200 * time.Millisecond // Between sweeps over all slots and upstreams.
	// runGrace is added to the longest run before a slot without a release is freed.
	runGrace = 10 * time.Second
	// defaultBulkShare is the share of the work that waiting bulk work gets if the
	// configuration sets none, so that bulk work progresses under any load.
	defaultBulkShare = 0.03
	// burstTime is how much work an account may be ahead of its share, in time of the whole
	// pool.
	burstTime = time.Second
)

// Configure installs the pool's limits and the tiers' shares.
func (p *Policy) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	p.name = name
	p.pool = cfg.Pools[name].WithDefaults()
	if preset, err := place.Preset(p.pool.Preset); err == nil {
		p.picker = preset
	}
	p.queue.Accounts = cfg.Accounts
	p.queue.MaxWaiting = p.pool.MaxWaiting
	p.queue.Shares = [tier.Levels]float64{tier.Levels - 1: defaultBulkShare}
	for _, t := range cfg.Tiers {
		if t.Share > 0 {
			p.queue.Shares[t.Wire()] = t.Share
		}
	}
	p.setPlain(now, p.pool.DefersPlain())
	return append(p.sweep(now), p.assign(now)...)
}

// noteOwnerCall records a message that only the pool's owner gets. A message that comes more
// than ownerIdle after the last one starts a new ownership.
func (p *Policy) noteOwnerCall(now time.Time) {
	if now.Sub(p.lastOwnerCall) > ownerIdle {
		p.ownerSince = now
	}
	p.lastOwnerCall = now
}

// Announce records an upstream's lease and load report and grants slots that this makes
// available.
func (p *Policy) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	p.noteOwnerCall(now)
	p.table.Update(now, a)
	p.availableStale = true
	p.timed = slices.ContainsFunc(p.table.All(), func(u *upstr.Upstream) bool { return u.Admit.Limited() || u.GetUnreached() })
	return p.assign(now)
}

// Submit queues a ticket, grants it a slot, or refuses it at once. A resubmitted ticket
// replaces the earlier one: the entry submits again if the link broke before the decision
// arrived. Without the replacement, a ticket that still waits would be granted twice, and
// one that was granted before would never be dispatched.
func (p *Policy) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	p.noteOwnerCall(now)
	p.drop(t.GetIncarnation(), t.GetId())
	p.cancel(now, t.GetIncarnation(), t.GetId())
	if !p.hasUpstream(now, t) && now.Sub(p.ownerSince) >= startGrace {
		return []*wire.Decision{p.refuseUnservedTicket(now, t)}
	}
	if p.plain != nil {
		return p.submitPlain(now, t)
	}
	i := p.newItem(now, t)
	if code, after := p.checkDeadline(now, i); code != "" {
		return []*wire.Decision{refuse.Ticket(t, code, after)}
	}
	p.queue.RecordArrival(i)
	p.queue.Push(i)
	out := p.assign(now)
	for v := p.queue.ShedOverAccountLimit(t.GetAccount()); v != nil; v = p.queue.ShedOverAccountLimit(t.GetAccount()) {
		out = append(out, refuse.Ticket(v.Ticket, refuse.AccountLimit, p.retryAfter(v)))
	}
	for v := p.queue.ShedOverPoolLimit(); v != nil; v = p.queue.ShedOverPoolLimit() {
		out = append(out, refuse.Ticket(v.Ticket, refuse.Overloaded, p.retryAfter(v)))
	}
	return out
}

// Withdraw removes a waiting ticket, or frees its slot if it was granted at the same
// moment: the entry that withdraws has given up and won't dispatch.
func (p *Policy) Withdraw(now time.Time, w *wire.Withdraw) {
	p.drop(w.GetIncarnation(), w.GetTicket())
	p.cancel(now, w.GetIncarnation(), w.GetTicket())
}

// cancel frees the slot of a ticket that won't be dispatched under this grant and refunds
// its work to the account.
func (p *Policy) cancel(now time.Time, incarnation string, ticket uint64) {
	if s := p.slots.Cancel(now, incarnation, ticket); s != nil {
		p.availableStale = true
		p.queue.AdjustCharge(s.Ticket.GetAccount(), -s.Work)
	}
}

// Hold reconciles an entry's slots with the list that the entry sends when this owner takes
// over and again every few seconds. Package slots describes the rules.
func (p *Policy) Hold(now time.Time, h *wire.Held) {
	p.noteOwnerCall(now)
	var list []*wire.HeldSlot
	for _, s := range h.GetSlots() {
		if s.GetTicket().GetPool() == p.name {
			list = append(list, s)
		}
	}
	p.slots.Reconcile(now, h.GetIncarnation(), list, h.GetTickets(), p.table.GetOrAdd)
	p.availableStale = true
}

// SetVersions assigns the version that may run each waiting ticket, and grants the tickets that now
// fit.
func (p *Policy) SetVersions(now time.Time, version func(*wire.Ticket) string) []*wire.Decision {
	for _, i := range p.queue.RemoveFunc(func(i *item.Item) bool { return version(i.Ticket) != i.RunsAt }) {
		i.RunsAt = version(i.Ticket)
		p.queue.Push(i)
	}
	if p.plain != nil {
		p.plain.list.SetVersions(version)
	}
	return p.assign(now)
}

// Forget removes a dead entry's tickets and frees its slots.
func (p *Policy) Forget(now time.Time, incarnation string) []*wire.Decision {
	p.slots.FreeEntry(incarnation)
	p.availableStale = true
	p.removeFunc(func(i *item.Item) bool { return i.GetIncarnation() == incarnation })
	return p.assign(now)
}

// Tick refuses tickets that can't meet their deadline any more and grants free slots.
func (p *Policy) Tick(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for i := p.queue.PopExpired(now); i != nil; i = p.queue.PopExpired(now) {
		out = append(out, refuse.Ticket(i.Ticket, refuse.Deadline, p.retryAfter(i)))
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		out = append(out, p.sweep(now)...)
	}
	return append(append(out, p.assign(now)...), p.reviewPlain(now)...)
}

// assign grants free slots to waiting tickets in the order of the queue.
func (p *Policy) assign(now time.Time) []*wire.Decision {
	if p.waiting() == 0 {
		return nil
	}
	var out []*wire.Decision
	p.startRound(now)
	p.refreshAvailable(now)
	for len(p.available) > 0 {
		var granted *wire.Decision
		p.next(now, func(i *item.Item) (bool, bool) {
			var full bool
			granted, full = p.grant(now, i)
			return granted != nil, full
		})
		if granted == nil {
			return out
		}
		out = append(out, granted)
	}
	return out
}

// refreshAvailable reduces available to the upstreams with room that may be granted a request. A
// release adds only its own upstream, so that the frequent grants that follow releases don't scan
// all upstreams.
func (p *Policy) refreshAvailable(now time.Time) {
	all := p.available
	if p.availableStale || p.timed {
		all, p.availableStale = p.table.All(), false
	}
	p.available = place.Available(now, &p.elig, all, p.available)
}

// grant places one ticket. If it can't, it returns nil and reports whether every ticket of
// the same model, version and length would fail as well.
func (p *Policy) grant(now time.Time, i *item.Item) (*wire.Decision, bool) {
	only, confined := p.abuse.Confined(now, i.GetAccount())
	if confined && p.slots.AccountLen(i.GetAccount()) > 0 {
		return nil, false
	}
	s, full := p.picker.Pick(now, p.available, i, p.workload.expectsShort(now), only)
	if s == nil {
		return nil, full
	}
	if h := i.GetPrefixHash(); h != 0 {
		s.Upstream.Cache.RecordSent(now, h)
	}
	p.throughput.granted += i.Work
	if p.plain != nil && s.Upstream.Running >= s.Upstream.EffectiveLimit(now) {
		s.ExpectedWait = s.ExpectedRun / time.Duration(max(s.Upstream.EffectiveLimit(now), 1))
	}
	d := p.slots.Grant(now, s, p.pool.GrantTTL)
	p.elig.Granted(now, s.Upstream)
	switch {
	case s.Upstream.GetUnreached():
		p.available = place.Available(now, &p.elig, p.available, p.available)
	case !s.Upstream.HasRoom(now) || !p.elig.Allows(now, s.Upstream):
		p.available = slices.DeleteFunc(p.available, func(u *upstr.Upstream) bool { return u == s.Upstream })
	}
	return d, false
}
