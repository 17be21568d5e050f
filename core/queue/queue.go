// Package queue holds the waiting tickets of one pool and says which of them
// is next: by tier, then by weighted fair share between client accounts, then
// by deadline.
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
	// Queue is the queue of one pool. The zero value is empty and ready; its
	// exported fields may be changed at any time.
	Queue struct {
		Accounts   map[string]acct.Account
		MaxWaiting int                  // Tickets in all; zero for no limit.
		Shares     [tier.Levels]float64 // Least part of the work that a waiting tier gets.
		Burst      float64              // Work units that an account may be ahead of its share.

		accounts map[string]*account
		all      []*account // By first arrival.
		active   []*account // With waiting tickets.
		tickets  map[ticketKey]*node
		latest   latestHeap
		seq      uint64
		round    uint64
		classes  map[classKey]*class // One value for each, shared by its flows.
		clock    float64             // Virtual time: work granted for each weight that waits.
		weights  float64             // Of the active accounts.
		work     [tier.Levels]float64
		waiting  [tier.Levels]int
		saved    [tier.Levels]float64 // Work that a tier with a share may claim.
		longest  [tier.Levels]float64 // Largest ticket seen.
	}

	// account is one client account's part of the queue.
	account struct {
		name    string
		at      int     // In active; -1 when it has no waiting ticket.
		weight  float64 // As it was added to the active weights.
		used    float64 // Virtual time of the work that it was granted.
		urgent  float64 // The same for urgent work alone.
		flows   []*flow // Not empty.
		top     *flow   // The first of them; nil when it has to be found anew.
		newest  [tier.Levels]*node
		waiting [tier.Levels]int
		work    [tier.Levels]float64
		n       int
		arrives [tier.Levels]float64 // Work units a second of late.
		asked   [tier.Levels]float64 // Work units since the last turn.
	}

	// flow holds an account's tickets of one tier that fit the same places.
	flow struct {
		*class
		level int
		items flowHeap
		aside uint64 // The round in which its first ticket found no place.
	}

	// class groups tickets that fit the same places: when one of them finds
	// none, no other one would.
	class struct {
		classKey
		full uint64 // The last round in which it found no place.
	}

	classKey struct {
		model string
		long  bool // And not urgent.
	}

	node struct {
		*item.Item
		seq          uint64
		end          int64 // Deadline, for quick comparison; the largest for none.
		flow         *flow
		account      *account
		at, expires  int // In the flow and in the heap of latest times; -1 for none.
		older, newer *node
	}

	ticketKey struct {
		incarnation string
		id          uint64
	}
)

// lag bounds how far an account's virtual time may stay behind, in bursts. What
// it has not used for longer is lost to it, so that it can't take the whole
// pool for minutes.
const lag = 16

// Push adds a ticket. A limit may be exceeded until OverAccount and OverPool
// are asked.
func (q *Queue) Push(i *item.Item) {
	a := q.of(i.GetAccount())
	q.seq++
	n := &node{Item: i, seq: q.seq, end: math.MaxInt64, account: a, expires: -1}
	if !i.Deadline.IsZero() {
		n.end = i.Deadline.UnixNano()
	}
	q.tickets[ticketKey{i.GetIncarnation(), i.GetId()}] = n
	q.link(n)
	if a.at < 0 {
		q.activate(a)
	}
	n.flow = a.flow(q.class(i), i.Level())
	heap.Push(&n.flow.items, n)
	a.top = nil
	if !i.LatestDispatch.IsZero() {
		heap.Push(&q.latest, n)
	}
}

// of returns the account's part of the queue.
func (q *Queue) of(name string) *account {
	if q.tickets == nil {
		q.accounts, q.tickets, q.classes = map[string]*account{}, map[ticketKey]*node{}, map[classKey]*class{}
	}
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, at: -1}
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
	a.n++
	a.waiting[l]++
	a.work[l] += n.Work
	q.waiting[l]++
	q.work[l] += n.Work
	q.longest[l] = max(q.longest[l], n.Work)
}

// activate enters an account that has begun to wait. It can't claim the time
// in which it did not wait, but what it is ahead of its share stays counted.
func (q *Queue) activate(a *account) {
	a.at = len(q.active)
	q.active = append(q.active, a)
	a.weight = q.account(a.name).Weight
	q.weights += a.weight
	a.used = max(a.used, q.clock)
}

func (q *Queue) account(name string) acct.Account { return q.Accounts[name].WithDefaults() }

func (q *Queue) class(i *item.Item) *class {
	k := classKey{i.GetModel(), i.Long && i.Level() > 0}
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

// Remove takes a ticket out and returns it, or nil when it does not wait.
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
	heap.Remove(&f.items, n.at)
	a.top = nil
	if n.expires >= 0 {
		heap.Remove(&q.latest, n.expires)
	}
	if n.newer != nil {
		n.newer.older = n.older
	} else {
		a.newest[l] = n.older
	}
	if n.older != nil {
		n.older.newer = n.newer
	}
	a.n--
	a.waiting[l]--
	a.work[l] -= n.Work
	q.waiting[l]--
	q.work[l] -= n.Work
	if q.waiting[l] == 0 {
		q.work[l], q.saved[l] = 0, 0 // Rounding must not add up.
	}
	if a.waiting[l] == 0 {
		a.work[l] = 0
	}
	if f.items.Len() == 0 {
		a.dropFlow(f)
	}
	if a.n == 0 {
		q.rest(a)
	}
}

func (a *account) dropFlow(f *flow) {
	last := len(a.flows) - 1
	a.flows[slices.Index(a.flows, f)] = a.flows[last]
	a.flows[last] = nil
	a.flows = a.flows[:last]
}

// rest takes an account out that has stopped waiting.
func (q *Queue) rest(a *account) {
	last := len(q.active) - 1
	q.active[a.at] = q.active[last]
	q.active[a.at].at = a.at
	q.active[last] = nil
	q.active = q.active[:last]
	a.at = -1
	q.weights -= a.weight
	if len(q.active) == 0 {
		q.weights = 0
	}
}

// PopExpired takes out one ticket that can't be dispatched in time any more, or
// returns nil.
func (q *Queue) PopExpired(now time.Time) *item.Item {
	if q.latest.Len() == 0 {
		return nil
	}
	n := q.latest.nodes[0]
	if now.Before(n.LatestDispatch) {
		return nil
	}
	q.remove(n)
	return n.Item
}

// RemoveFunc takes out all tickets for which gone returns true, oldest first. It
// looks at every ticket, so it is for rare events.
func (q *Queue) RemoveFunc(gone func(*item.Item) bool) []*item.Item {
	var list []*node
	for _, n := range q.tickets {
		if gone(n.Item) {
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

// Len is the number of waiting tickets.
func (q *Queue) Len() int { return len(q.tickets) }
