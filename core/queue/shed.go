package queue

import (
	"slices"

	"azurelane/core/item"
	"azurelane/core/tier"
)

// ShedOverAccountLimit takes out the ticket that goes when the account has more waiting
// than it may, or returns nil: the newest one of its lowest tier. So an alert
// is never shed while lower work of its account is kept waiting.
func (q *Queue) ShedOverAccountLimit(name string) *item.Item {
	a := q.accounts[name]
	if a == nil || a.n <= q.account(name).MaxWaiting {
		return nil
	}
	return q.shed(a)
}

// ShedOverPoolLimit takes out the ticket that goes when the pool has more waiting than
// it may, or returns nil. It is taken from the account that waits with the
// most tickets for its weight, not from the one that came last, so that a
// flood of one account sheds that account's own work.
func (q *Queue) ShedOverPoolLimit() *item.Item {
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

// HasLower reports whether the account has waiting work of a lower tier.
func (q *Queue) HasLower(name string, level int) bool {
	a := q.accounts[name]
	return a != nil && slices.ContainsFunc(a.waiting[level+1:], func(n int) bool { return n > 0 })
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
