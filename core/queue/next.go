package queue

import (
	"azurelane/core/item"
	"azurelane/core/tier"
)

// StartRound starts a new round of grants, in which tickets that could not be placed in the
// last round are offered again.
func (q *Queue) StartRound() { q.round++ }

// offerDepth is how many tickets of one flow are offered in a round.
const offerDepth = 8

// Next offers waiting tickets to try, in scheduling order, until one is placed; that one is
// removed and returned. try returns full if no ticket of the same model, version and length can
// be placed; these are not offered again in this round. Next returns nil if nothing more can
// be placed.
func (q *Queue) Next(try func(*item.Item) (placed, full bool)) *item.Item {
	for {
		f, a := q.nextFlow()
		if f == nil {
			return nil
		}
		n, full := f.offer(try)
		switch {
		case n != nil:
			q.remove(n)
			q.charge(a, n.Level(), n.Work)
			return n.Item
		case full:
			f.fullRound = q.round
		default:
			f.skippedRound = q.round
		}
	}
}

// offer tries the first tickets of the flow. A ticket may fail for a reason of its own,
// such as a deadline that a slow upstream can't meet, and must not keep that upstream idle
// while the next ticket could use it.
func (f *flow) offer(try func(*item.Item) (placed, full bool)) (*node, bool) {
	for _, n := range f.items.nodes[:min(offerDepth, f.items.Len())] {
		placed, full := try(n.Item)
		if placed {
			return n, false
		}
		if full {
			return nil, true
		}
	}
	return nil, false
}

// rank orders flows; the lowest one is next.
type rank struct {
	level int // Of the tier, or one lower in priority for an account that is ahead of its share.
	used  float64
	name  string
}

func (r rank) before(s rank) bool {
	switch {
	case r.level != s.level:
		return r.level < s.level
	case r.used != s.used:
		return r.used < s.used
	}
	return r.name < s.name
}

// nextFlow returns the flow whose first ticket is next, and its account. A tier that has
// accumulated enough credit from its minimum share precedes all others.
func (q *Queue) nextFlow() (*flow, *account) {
	for l := tier.Levels - 1; l > 0; l-- {
		if q.waiting[l] > 0 && q.credit[l] >= q.maxWork[l] {
			if f, a := q.bestFlow(l); f != nil {
				return f, a
			}
		}
	}
	return q.bestFlow(-1)
}

// bestFlow returns the best flow of one tier, or of all tiers if level is negative, and its
// account.
func (q *Queue) bestFlow(level int) (*flow, *account) {
	var best *flow
	var owner *account
	var bestRank rank
	for _, a := range q.active {
		f := q.accountFlow(a, level)
		if f == nil {
			continue
		}
		r := rank{q.effectiveLevel(a, f.level), max(a.used, q.virtualTime-maxLag*q.Burst), a.name}
		if best == nil || r.before(bestRank) {
			best, owner, bestRank = f, a, r
		}
	}
	return best, owner
}

// accountFlow returns the account's first eligible flow: that of the most urgent tier, then
// the one with the earliest deadline. A level that is not negative restricts it to that
// tier.
func (q *Queue) accountFlow(a *account, level int) *flow {
	if a.firstFlow == nil {
		a.firstFlow = a.bestFlow(func(*flow) bool { return true })
	}
	if level < 0 && q.eligible(a.firstFlow) {
		return a.firstFlow
	}
	return a.bestFlow(func(f *flow) bool { return (level < 0 || f.level == level) && q.eligible(f) })
}

// eligible reports whether the flow's tickets may still be placed in this round.
func (q *Queue) eligible(f *flow) bool { return f.skippedRound != q.round && f.fullRound != q.round }

func (a *account) bestFlow(ok func(*flow) bool) *flow {
	var best *flow
	for _, f := range a.flows {
		if ok(f) && (best == nil || f.level < best.level || (f.level == best.level && dueBefore(f.items.nodes[0], best.items.nodes[0]))) {
			best = f
		}
	}
	return best
}

// effectiveLevel returns the level at which an account's work competes with that of other
// accounts. Work within the account's share competes at its own tier. Work beyond the share
// competes one tier lower: otherwise an account that marks ten times its share as urgent
// would take the pool from the normal work of all others.
func (q *Queue) effectiveLevel(a *account, level int) int {
	switch {
	case level == 0 && a.urgentUsed > q.virtualTime+q.Burst/a.weight:
		return 1
	case level == 1 && a.used > q.virtualTime+q.Burst/a.weight:
		return 2
	}
	return level
}

// charge counts granted work against its account and its tier and advances the virtual
// time.
func (q *Queue) charge(a *account, level int, work float64) {
	w := q.accountConfig(a.name).Weight
	a.used = max(a.used, q.virtualTime-maxLag*q.Burst) + work/w
	if level == 0 {
		a.urgentUsed = max(a.urgentUsed, q.virtualTime) + work/w
	}
	weights := q.activeWeight
	if a.activeIndex < 0 {
		weights += w // remove has deactivated the account with its last ticket.
	}
	q.virtualTime += work / weights
	for l, share := range q.Shares {
		if share <= 0 {
			continue
		}
		if l == level {
			q.credit[l] = max(q.credit[l]-work, 0)
		} else if q.waiting[l] > 0 {
			q.credit[l] = min(q.credit[l]+share*work, 2*q.maxWork[l])
		}
	}
}

// AdjustCharge adds to the work that an account was charged: the actual work less the
// estimated work.
func (q *Queue) AdjustCharge(name string, work float64) {
	if a := q.accounts[name]; a != nil {
		a.used += work / q.accountConfig(name).Weight
	}
}
