package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurelane/core/conf"
	"azurelane/core/part"
	"azurelane/core/refuse"
	"azurelane/core/share"
)

const (
	// sharesInterval is the time between two computations of the shares. Between them, grants and releases
	// change the use of their account at once.
	sharesInterval = 50 * time.Millisecond
	// beyondFactor multiplies the scores of tickets of accounts beyond their share. It is so small that all
	// other tickets go first, and the scores still order these tickets among themselves.
	beyondFactor = 1e-9
)

// shares holds the client accounts' shares of the pool. The zero value is off.
type shares struct {
	ledger    *share.Ledger // Nil while off.
	updatedAt time.Duration
}

// configureShares turns shares on or off. While they are off, no ticket has a part.
func (b *Batch) configureShares(cfg *conf.Config) {
	_, on, _ := b.pool.Overload()
	switch {
	case !on:
		b.shares = shares{}
	case b.shares.ledger == nil:
		b.shares.ledger = &share.Ledger{}
	}
	if on {
		b.shares.ledger.Configure(cfg.Accounts)
	}
	for _, i := range b.waiting {
		i.part = b.partOf(i.GetAccount(), i.priority)
	}
}

// partOf returns the part of the account of a waiting ticket, nil while shares are off.
func (b *Batch) partOf(account string, priority int32) *part.Part {
	if b.shares.ledger == nil {
		return nil
	}
	p := b.shares.ledger.Account(account)
	p.Urgent = min(p.Urgent, priority)
	return p
}

// updateHeld updates the use of an account after a grant or a release.
func (b *Batch) updateHeld(account string) {
	if l := b.shares.ledger; l != nil {
		l.SetHeld(l.Account(account), b.slots.AccountLen(account))
	}
}

// updateShares recomputes the shares from the waiting tickets and from all slots that are held, including
// those that a former scheduler granted.
func (b *Batch) updateShares(now time.Duration) {
	l := b.shares.ledger
	if l == nil || now-b.shares.updatedAt < sharesInterval {
		return
	}
	b.shares.updatedAt = now
	for _, account := range b.slots.Accounts() {
		l.Account(account)
	}
	for account, p := range l.All() {
		l.SetHeld(p, b.slots.AccountLen(account))
		p.Waiting, p.Urgent = 0, math.MaxInt32
	}
	for _, i := range b.waiting {
		i.part.Waiting += b.meanEngine.slotTime(i.prompt, i.answer).Seconds()
		i.part.Urgent = min(i.part.Urgent, i.priority)
	}
	l.Update(now)
}

// Shares returns the parts of the client accounts by name; nil while shares are off.
func (b *Batch) Shares() map[string]part.Part {
	if b.shares.ledger == nil {
		return nil
	}
	all := make(map[string]part.Part, len(b.shares.ledger.All()))
	for name, p := range b.shares.ledger.All() {
		all[name] = *p
	}
	return all
}

// beyondShare reports whether the account of the ticket is beyond its share. Its tickets get no place in the
// queue of an engine whose batch is full: the next free slot there would be theirs, before any ticket of
// lower priority within its account's share. In a replay accounts at six times their usual load kept twice
// their share of the slots in this way.
func (i *item) beyondShare() bool { return i.part != nil && i.part.Beyond }

// shareFactor returns the factor of the ticket's score by its account's share.
func (i *item) shareFactor() float64 {
	if i.beyondShare() {
		return beyondFactor
	}
	return 1
}

// refusalCode returns the code of a refusal for lack of room, and counts the refusal for the account.
func (i *item) refusalCode() string {
	switch {
	case i.part == nil:
		return refuse.Overloaded
	case i.part.Beyond:
		i.part.RefusedBeyond++
		return refuse.OverShare
	}
	i.part.RefusedWithin++
	return refuse.Overloaded
}

// moreUrgent returns the waiting ticket that takes the turn of the one at index n of waiting: the most
// urgent of the same account that an engine with room can run before its deadline. The turn passes to another
// account if the urgent ticket would better wait for another engine: taking n instead of it was worth 1 % of
// the answers in a replay, but would serve the account's urgent work last where it is slowest. It returns n if
// there is no such ticket.
func (b *Batch) moreUrgent(now time.Duration, n int, batchesFull bool) int {
	i := b.waiting[n]
	if i.part == nil || i.priority <= i.part.Urgent {
		return n
	}
	var top topItems
	for m, other := range b.waiting {
		if other.part != i.part || other.priority >= i.priority || (batchesFull && !b.mayQueue(other)) || !b.hasRoom(other) || b.leavesSlots(other) {
			continue
		}
		s := other.score(now)
		top.add(m, s/(1+s)-float64(other.priority)) // Scores order the tickets of one priority.
	}
	for _, m := range top.index[:top.count] {
		if o, cost := b.bestOffer(now, b.waiting[m]); o != nil && cost < overrunCost {
			return m
		}
	}
	return n
}

// yieldsTo reports whether a ticket that would do less harm than another one goes after it nevertheless: that
// is so for one beyond its account's share and another one within, unless the latter would be cut off.
func (b *Batch) yieldsTo(n, other int, harm time.Duration) bool {
	return b.waiting[n].shareFactor() < b.waiting[other].shareFactor() && harm < overrunCost
}

// orderByUrgency gives the places that each account has in the order of scores to its tickets by urgency, so
// that of the tickets of one account the least urgent are refused first.
func orderByUrgency(sorted []*item) {
	if len(sorted) == 0 || sorted[0].part == nil {
		return
	}
	byAccount := map[*part.Part][]*item{}
	for _, i := range sorted {
		if i.part != nil {
			byAccount[i.part] = append(byAccount[i.part], i)
		}
	}
	for _, list := range byAccount {
		slices.SortStableFunc(list, func(a, b *item) int { return cmp.Compare(a.priority, b.priority) })
	}
	for n, i := range sorted {
		if list := byAccount[i.part]; len(list) > 0 {
			sorted[n], byAccount[i.part] = list[0], list[1:]
		}
	}
}
