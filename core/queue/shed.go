package queue

import (
	"slices"

	"azurelane/core/item"
	"azurelane/core/tier"
)

// ShedOverAccountLimit removes and returns the ticket to shed if the account has more
// tickets waiting than it may, or returns nil. It takes the newest ticket of the account's
// lowest tier, so that an urgent ticket is never shed while lower work of its account
// waits.
func (q *Queue) ShedOverAccountLimit(name string) *item.Item {
	a := q.accounts[name]
	if a == nil || a.total <= q.accountConfig(name).MaxWaiting {
		return nil
	}
	return q.shed(a)
}

// ShedOverPoolLimit removes and returns the ticket to shed if the pool has more tickets
// waiting than it may, or returns nil. It takes the ticket from the account with the most
// waiting tickets for its weight, not from the last one to submit, so that a flood from one
// account sheds that account's own work.
func (q *Queue) ShedOverPoolLimit() *item.Item {
	if q.MaxWaiting == 0 || len(q.tickets) <= q.MaxWaiting {
		return nil
	}
	var most *account
	for _, a := range q.active {
		if most == nil || moreLoaded(a, most) {
			most = a
		}
	}
	return q.shed(most)
}

func moreLoaded(a, b *account) bool {
	x, y := float64(a.total)/a.weight, float64(b.total)/b.weight
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

// HasLower reports whether work of a lower tier of the account waits.
func (q *Queue) HasLower(name string, level int) bool {
	a := q.accounts[name]
	return a != nil && slices.ContainsFunc(a.waiting[level+1:], func(n int) bool { return n > 0 })
}

// Newest returns the newest waiting ticket of each account and tier. When the pool slows
// down, these are the first that are predicted to be late.
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
