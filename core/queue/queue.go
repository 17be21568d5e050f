// Package queue holds the waiting tickets of one pool and selects the next one: by tier,
// then by weighted fair share between client accounts, then by deadline.
package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"azurelane/core/acct"
	"azurelane/core/item"
	"azurelane/core/tier"
)

type (
	// Queue is the queue of one pool. The zero value is empty and ready to use. The
	// exported fields may be changed at any time.
	Queue struct {
		Accounts   map[string]acct.Account
		MaxWaiting int                  // Tickets in total; zero for no limit.
		Shares     [tier.Levels]float64 // Minimum share of the work for a tier that waits.
		Burst      float64              // Work units that an account may be ahead of its share.

		accounts     map[string]*account
		all          []*account // In the order of their first arrival.
		active       []*account // Accounts with waiting tickets.
		tickets      map[ticketKey]*node
		expiry       expiryHeap
		seq          uint64
		round        uint64
		classes      map[classKey]*class // One value for each key, shared by the flows.
		virtualTime  float64             // Work units granted per unit of active weight.
		activeWeight float64             // Sum over the active accounts.
		work         [tier.Levels]float64
		waiting      [tier.Levels]int
		credit       [tier.Levels]float64 // Work units that a tier with a minimum share may claim.
		maxWork      [tier.Levels]float64 // Largest ticket seen, in work units.
	}

	// account is the state of one client account.
	account struct {
		name        string
		activeIndex int     // Index in active; -1 without waiting tickets.
		weight      float64 // As added to activeWeight.
		used        float64 // Virtual time of the work granted to it.
		urgentUsed  float64 // Virtual time of the urgent work granted to it.
		flows       []*flow // Non-empty flows.
		firstFlow   *flow   // First of flows in scheduling order; nil if it must be searched again.
		newest      [tier.Levels]*node
		waiting     [tier.Levels]int
		work        [tier.Levels]float64
		total       int
		arrivalRate [tier.Levels]float64 // Recent work units a second.
		arrived     [tier.Levels]float64 // Work units since the last UpdateRates.
	}

	// flow holds an account's tickets of one tier and one class.
	flow struct {
		*class
		level        int
		items        flowHeap
		skippedRound uint64 // Last round in which its first tickets could not be placed.
	}

	// class groups tickets that fit the same upstreams: if there is no room for one of
	// them, there is none for the others.
	class struct {
		classKey
		fullRound uint64 // Last round in which there was no room for it.
	}

	classKey struct {
		model   string
		version string
		bound   bool
		long    bool // Long and not urgent.
	}

	node struct {
		*item.Item
		seq                    uint64
		deadlineNs             int64 // In Unix time, for fast comparison; the maximum for none.
		flow                   *flow
		account                *account
		flowIndex, expiryIndex int // Indexes in the flow's heap and in expiry; -1 for none.
		older, newer           *node
	}

	ticketKey struct {
		incarnation string
		id          uint64
	}
)

// maxLag is how far an account's virtual time may fall behind, in bursts. Share that was
// left unused for longer is lost, so that the account can't take the whole pool for
// minutes.
const maxLag = 16

// Push adds a ticket. Limits may be exceeded until ShedOverAccountLimit and
// ShedOverPoolLimit are called.
func (q *Queue) Push(i *item.Item) {
	a := q.accountState(i.GetAccount())
	q.seq++
	n := &node{Item: i, seq: q.seq, deadlineNs: math.MaxInt64, account: a, expiryIndex: -1}
	if !i.Deadline.IsZero() {
		n.deadlineNs = i.Deadline.UnixNano()
	}
	q.tickets[ticketKey{i.GetIncarnation(), i.GetId()}] = n
	q.link(n)
	if a.activeIndex < 0 {
		q.activate(a)
	}
	n.flow = a.flow(q.class(i), i.Level())
	heap.Push(&n.flow.items, n)
	a.firstFlow = nil
	if !i.LatestDispatch.IsZero() {
		heap.Push(&q.expiry, n)
	}
}

// accountState returns the state of the account, which it creates if needed.
func (q *Queue) accountState(name string) *account {
	if q.tickets == nil {
		q.accounts, q.tickets, q.classes = map[string]*account{}, map[ticketKey]*node{}, map[classKey]*class{}
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, activeIndex: -1}
		q.accounts[name] = a
		q.all = append(q.all, a)
	}
	return a
}

func (q *Queue) link(n *node) {
	a, l := n.account, n.Level()
	n.older = a.newest[l]
	if n.older != nil {
		n.older.newer = n
	}
	a.newest[l] = n
	a.total++
	a.waiting[l]++
	a.work[l] += n.Work
	q.waiting[l]++
	q.work[l] += n.Work
	q.maxWork[l] = max(q.maxWork[l], n.Work)
}

// activate adds an account that has begun to wait. The account can't claim the time in
// which it did not wait, but work that it got beyond its share stays counted.
func (q *Queue) activate(a *account) {
	a.activeIndex = len(q.active)
	q.active = append(q.active, a)
	a.weight = q.accountConfig(a.name).Weight
	q.activeWeight += a.weight
	a.used = max(a.used, q.virtualTime)
}

func (q *Queue) accountConfig(name string) acct.Account { return q.Accounts[name].WithDefaults() }

func (q *Queue) class(i *item.Item) *class {
	k := classKey{i.GetModel(), i.RunsAt, i.GetBound(), i.Long && i.Level() > 0}
	c := q.classes[k]
	if c == nil {
		c = &class{classKey: k}
		q.classes[k] = c
	}
	return c
}

func (a *account) flow(c *class, level int) *flow {
	for _, f := range a.flows {
		if f.class == c && f.level == level {
			return f
		}
	}
	f := &flow{class: c, level: level}
	a.flows = append(a.flows, f)
	return f
}

// Remove removes and returns a ticket, or returns nil if the ticket does not wait.
func (q *Queue) Remove(incarnation string, id uint64) *item.Item {
	n := q.tickets[ticketKey{incarnation, id}]
	if n == nil {
		return nil
	}
	q.remove(n)
	return n.Item
}

func (q *Queue) remove(n *node) {
	a, l, f := n.account, n.Level(), n.flow
	delete(q.tickets, ticketKey{n.GetIncarnation(), n.GetId()})
	heap.Remove(&f.items, n.flowIndex)
	a.firstFlow = nil
	if n.expiryIndex >= 0 {
		heap.Remove(&q.expiry, n.expiryIndex)
	}
	if n.newer != nil {
		n.newer.older = n.older
	} else {
		a.newest[l] = n.older
	}
	if n.older != nil {
		n.older.newer = n.newer
	}
	a.total--
	a.waiting[l]--
	a.work[l] -= n.Work
	q.waiting[l]--
	q.work[l] -= n.Work
	if q.waiting[l] == 0 {
		q.work[l], q.credit[l] = 0, 0 // Rounding errors must not accumulate.
	}
	if a.waiting[l] == 0 {
		a.work[l] = 0
	}
	if f.items.Len() == 0 {
		a.dropFlow(f)
	}
	if a.total == 0 {
		q.deactivate(a)
	}
}

func (a *account) dropFlow(f *flow) {
	last := len(a.flows) - 1
	a.flows[slices.Index(a.flows, f)] = a.flows[last]
	a.flows[last] = nil
	a.flows = a.flows[:last]
}

// deactivate removes an account that has no waiting tickets left.
func (q *Queue) deactivate(a *account) {
	last := len(q.active) - 1
	q.active[a.activeIndex] = q.active[last]
	q.active[a.activeIndex].activeIndex = a.activeIndex
	q.active[last] = nil
	q.active = q.active[:last]
	a.activeIndex = -1
	q.activeWeight -= a.weight
	if len(q.active) == 0 {
		q.activeWeight = 0
	}
}

// PopExpired removes and returns one ticket whose latest dispatch time has come, or returns
// nil.
func (q *Queue) PopExpired(now time.Time) *item.Item {
	if q.expiry.Len() == 0 {
		return nil
	}
	n := q.expiry.nodes[0]
	if now.Before(n.LatestDispatch) {
		return nil
	}
	q.remove(n)
	return n.Item
}

// RemoveFunc removes and returns all tickets for which match returns true, oldest first. It
// examines every ticket, so it is for rare events.
func (q *Queue) RemoveFunc(match func(*item.Item) bool) []*item.Item {
	var list []*node
	for _, n := range q.tickets {
		if match(n.Item) {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *node) int { return cmp.Compare(a.seq, b.seq) })
	items := make([]*item.Item, 0, len(list))
	for _, n := range list {
		q.remove(n)
		items = append(items, n.Item)
	}
	return items
}

// Len returns the number of waiting tickets.
func (q *Queue) Len() int { return len(q.tickets) }
