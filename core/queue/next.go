package queue

import (
	"azurelane/core/item"
	"azurelane/core/tier"
)

// StartRound begins a new round of grants: what found no place in the last one is
// tried again.
func (q *Queue) StartRound() { q.round++ }

// depth is how many tickets of one flow are offered in a round.
const depth = 8

// Next offers waiting tickets to try, the first one first, until one is
// placed; that one is taken out and returned. Try returns full when no ticket
// of the same model and length would find a place; these aren't offered again
// in this round. Next returns nil when nothing more can be placed.
func (q *Queue) Next(try func(*item.Item) (placed, full bool)) *item.Item {
	for {
		f, a := q.best()
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
			f.full = q.round
		default:
			f.aside = q.round
		}
	}
}

// offer tries the first tickets of the flow. A ticket may find no place for a
// reason of its own, such as a deadline that a slow upstream can't meet, and
// must not keep that upstream idle while the next one could use it.
func (f *flow) offer(try func(*item.Item) (placed, full bool)) (*node, bool) {
	for _, n := range f.items.nodes[:min(depth, f.items.Len())] {
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

// rank orders flows; the lower one is next.
type rank struct {
	level int // Of the tier, lowered for an account that is ahead of its share.
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

// best returns the flow whose first ticket is next. A tier that has saved up
// its share goes before all others.
func (q *Queue) best() (*flow, *account) {
	for l := tier.Levels - 1; l > 0; l-- {
		if q.waiting[l] > 0 && q.saved[l] >= q.longest[l] {
			if f, a := q.first(l); f != nil {
				return f, a
			}
		}
	}
	return q.first(-1)
}

// first returns the best flow of one tier, or of all for a negative level.
func (q *Queue) first(level int) (*flow, *account) {
	var best *flow
	var owner *account
	var top rank
	for _, a := range q.active {
		f := q.own(a, level)
		if f == nil {
			continue
		}
		r := rank{q.level(a, f.level), max(a.used, q.clock-lag*q.Burst), a.name}
		if best == nil || r.before(top) {
			best, owner, top = f, a, r
		}
	}
	return best, owner
}

// own returns the account's first flow: the most urgent one, then the one with
// the earliest deadline.
func (q *Queue) own(a *account, level int) *flow {
	if a.top == nil {
		a.top = a.find(func(*flow) bool { return true })
	}
	if level < 0 && q.offers(a.top) {
		return a.top
	}
	return a.find(func(f *flow) bool { return (level < 0 || f.level == level) && q.offers(f) })
}

// offers reports whether the flow's tickets may still find a place in this round.
func (q *Queue) offers(f *flow) bool { return f.aside != q.round && f.full != q.round }

func (a *account) find(ok func(*flow) bool) *flow {
	var best *flow
	for _, f := range a.flows {
		if ok(f) && (best == nil || f.level < best.level || (f.level == best.level && sooner(f.items.nodes[0], best.items.nodes[0]))) {
			best = f
		}
	}
	return best
}

// level is the tier at which an account's work stands against the work of
// other accounts. Within its share it is its own tier. Work beyond the share
// stands one tier lower: otherwise an account that marks ten times its share as
// urgent would take the pool from all the others' normal work.
func (q *Queue) level(a *account, level int) int {
	switch {
	case level == 0 && a.urgent > q.clock+q.Burst/a.weight:
		return 1
	case level == 1 && a.used > q.clock+q.Burst/a.weight:
		return 2
	}
	return level
}

// charge counts granted work against its account and its tier.
func (q *Queue) charge(a *account, level int, work float64) {
	w := q.account(a.name).Weight
	a.used = max(a.used, q.clock-lag*q.Burst) + work/w
	if level == 0 {
		a.urgent = max(a.urgent, q.clock) + work/w
	}
	weights := q.weights
	if a.at < 0 {
		weights += w // It was taken out with its last ticket.
	}
	q.clock += work / weights
	for l, share := range q.Shares {
		if share <= 0 {
			continue
		}
		if l == level {
			q.saved[l] = max(q.saved[l]-work, 0)
		} else if q.waiting[l] > 0 {
			q.saved[l] = min(q.saved[l]+share*work, 2*q.longest[l])
		}
	}
}

// AdjustCharge adds to what an account was charged: the work that came back less
// the work that was estimated.
func (q *Queue) AdjustCharge(name string, work float64) {
	if a := q.accounts[name]; a != nil {
		a.used += work / q.account(name).Weight
	}
}
