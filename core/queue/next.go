package queue

import (
	"time"

	"azurelane/core/item"
	"azurelane/core/tier"
)

// Round begins a new round of grants: what found no place in the last one is
// tried again.
func (q *Queue) Round() { q.round++ }

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

// Correct adds to what an account was charged: the work that came back less
// the work that was estimated.
func (q *Queue) Correct(name string, work float64) {
	if a := q.accounts[name]; a != nil {
		a.used += work / q.account(name).Weight
	}
}

// OverAccount takes out the ticket that goes when the account has more waiting
// than it may, or returns nil: the newest one of its lowest tier. So an alert
// is never shed while lower work of its account is kept waiting.
func (q *Queue) OverAccount(name string) *item.Item {
	a := q.accounts[name]
	if a == nil || a.n <= q.account(name).MaxWaiting {
		return nil
	}
	return q.shed(a)
}

// OverPool takes out the ticket that goes when the pool has more waiting than
// it may, or returns nil. It is taken from the account that waits with the
// most tickets for its weight, not from the one that came last, so that a
// flood of one account sheds that account's own work.
func (q *Queue) OverPool() *item.Item {
	if q.MaxWaiting == 0 || len(q.tickets) <= q.MaxWaiting {
		return nil
	}
	var most *account
	for _, a := range q.active {
		if most == nil || heavier(a, most) {
			most = a
		}
	}
	return q.shed(most)
}

func heavier(a, b *account) bool {
	x, y := float64(a.n)/a.weight, float64(b.n)/b.weight
	if x != y {
		return x > y
	}
	return a.name < b.name
}

func (q *Queue) shed(a *account) *item.Item {
	for l := tier.Levels - 1; l >= 0; l-- {
		if n := a.newest[l]; n != nil {
			q.remove(n)
			return n.Item
		}
	}
	return nil
}

// Arrived counts a ticket's work among what its account asks for. It must be
// called before Push.
func (q *Queue) Arrived(i *item.Item) {
	a := q.of(i.GetAccount())
	a.asked[i.Level()] += i.Work
}

// Turn closes a span of time in which Arrived counted, and adds it to the
// running rates by the given gain.
func (q *Queue) Turn(span time.Duration, gain float64) {
	for _, a := range q.all {
		for l := range a.asked {
			a.arrives[l] += gain * (a.asked[l]/span.Seconds() - a.arrives[l])
			a.asked[l] = 0
		}
	}
}

// Ahead is the work in units that the pool does before the ticket, if the
// ticket is to wait for the given time at most and the pool does rate units a
// second: what waits before it and, as rates of late go, what will come before
// it. Of another account counts no more than that account's share of the time,
// as work beyond the share stands behind this ticket.
func (q *Queue) Ahead(i *item.Item, within time.Duration, rate float64) float64 {
	own := q.of(i.GetAccount())
	level, span := i.Level(), max(within.Seconds(), 0)
	weights := q.weights
	if own.at < 0 {
		weights += q.account(own.name).Weight
	}
	var sum float64
	for _, a := range q.all {
		var before float64
		for l := range level {
			before += a.work[l] + a.arrives[l]*span
		}
		if a == own {
			sum += before + a.work[level]*a.earlier(i)
			continue
		}
		before += a.work[level] + a.arrives[level]*span
		if before > 0 {
			sum += min(before, q.account(a.name).Weight/weights*rate*span)
		}
	}
	return sum
}

// Newest returns the newest waiting ticket of each account and tier, of which
// a change of the pool's speed tells first that they will be late.
func (q *Queue) Newest() []*item.Item {
	var list []*item.Item
	for _, a := range q.active {
		for _, n := range a.newest {
			if n != nil {
				list = append(list, n.Item)
			}
		}
	}
	return list
}

// NewestOf returns the newest waiting ticket of one account and tier, or nil.
func (q *Queue) NewestOf(name string, level int) *item.Item {
	if a := q.accounts[name]; a != nil && a.newest[level] != nil {
		return a.newest[level].Item
	}
	return nil
}

// earlier estimates the part of the account's waiting tickets of the same tier
// that have an earlier deadline, from the first and the last one.
func (a *account) earlier(i *item.Item) float64 {
	last := a.newest[i.Level()]
	if i.Deadline.IsZero() || last == nil {
		return 1
	}
	first := last
	for _, f := range a.flows {
		if f.level == i.Level() && sooner(f.items.nodes[0], first) {
			first = f.items.nodes[0]
		}
	}
	span := last.Deadline.Sub(first.Deadline)
	if last.Deadline.IsZero() || span <= 0 {
		return 1
	}
	return min(max(i.Deadline.Sub(first.Deadline).Seconds()/span.Seconds(), 0), 1)
}
