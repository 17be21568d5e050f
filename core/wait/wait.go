// Package wait orders the tickets that wait for a place at the plain servers of one pool, and decides which
// are refused and when their callers are to return.
//
// Tickets that can still be in time come first, by rank and by the time at which they become late. The
// others are deferred: they get the places that no ticket in time can use, by rank and by deadline. A ticket
// waits as long as its run can still end before its deadline. It is refused as soon as the forecast shows
// that it will not get a place by then.
package wait

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurelane/core/ahead"
	"azurelane/core/item"
	"azurelane/core/wire"
)

const (
	// cutOffMargin is the factor by which the time for a run exceeds the usual one before a deadline. A run that
	// is cut off there takes a place and yields nothing, not even the certainty that it did not run.
	cutOffMargin = 1.25
	// reviewInterval is the time between two searches for tickets that will get no place. Callers hardly
	// notice a delay of this length.
	reviewInterval = 25 * time.Millisecond
	// one is the work of a request in the forecast, which counts requests as seconds. Plain requests of a
	// pool differ little.
	one = time.Second
	// usableShare is the share of the rate at which deferred tickets are expected to get places.
	usableShare = 0.95
	// curveStep is the length of the steps in which the room is computed, and curveSteps their number. Room
	// beyond them is not counted on.
	curveStep  = 100 * time.Millisecond
	curveSteps = 100
	// keepMargin is the factor by which the deferred tickets must exceed the room before one that was kept is
	// refused after all. Forecasts move with each burst, and a caller that is refused later has less time
	// left to return.
	keepMargin = 1.3
	// returnStep is the length of the steps within which the returns of refused callers are spread.
	// spreadParts is the number of parts of a step.
	returnStep  = 100 * time.Millisecond
	spreadParts = 16
	// honoured is the share of the time left for which callers wait before they return.
	honoured = 1. / 3
	// maxReturn bounds the return of a caller without a deadline, and minReturn that of any other. Callers
	// that can't wait for minReturn have no time for a run either.
	maxReturn = 4 * time.Second
	minReturn = 20 * time.Millisecond
	// maxOffers is the number of tickets that are offered for one place. A ticket may fail for a reason of
	// its own, and the next one may still fit.
	maxOffers  = 16
	windowGain = 0.05
	// resentAfter is how long a ticket that is sent again has waited at least. One that is sent for the first
	// time has waited for less.
	resentAfter = 10 * time.Millisecond
	never       = time.Duration(math.MaxInt64) // Later than any time.
)

type (
	// List holds the waiting tickets of one pool. The zero value is ready to use.
	List struct {
		start    time.Time // Times are counted from it.
		forecast ahead.Forecast
		arrivals arrivals
		rate     float64       // Requests a second that the servers complete; zero while unknown.
		span     time.Duration // From a grant until the answer is at the entry; seldom longer.
		window   time.Duration // For how long tickets can wait and be in time, on average.
		// likely is how many deferred tickets get places by the end of each step, by the forecast, and hoped
		// is the same if the rate of arrivals falls at once to the lowest of late.
		likely, hoped [curveSteps]float64
		seq           uint64

		inTime, deferred []*node // In their orders.
		reviewedAt       time.Duration
		returns          []time.Duration // When refused callers are expected back, ascending.
		full             []class         // Without a place in this round.
	}

	node struct {
		*item.Item
		seq       uint64
		rank      int32         // Smaller is more urgent.
		objective time.Duration // Its answer is late after that.
		deadline  time.Duration
		returned  bool // It arrived after its objective: it was refused before, or sent before.
		kept      bool // A review found room for it among the deferred.
	}

	// class is what tickets must have in common to fit the same servers.
	class struct {
		version, model string
		bound          bool
	}
)

func (i *node) class() class { return class{i.RunsAt, i.GetModel(), i.GetBound()} }

// Len returns the number of waiting tickets.
func (l *List) Len() int { return len(l.inTime) + len(l.deferred) }

// Set takes the requests a second that the servers complete, and the time from a grant until the answer is at
// the entry, which is to be seldom longer. A rate of zero stands for an unknown one: nothing is refused then
// before its deadline.
func (l *List) Set(rate float64, span time.Duration) { l.rate, l.span = rate, span }

// at returns a time as counted from the start.
func (l *List) at(now time.Time) time.Duration {
	if l.start.IsZero() {
		l.start = now
	}
	return now.Sub(l.start)
}

// Arrive counts the arrival of a ticket in the forecast. Those of callers that return are not counted: they are
// deferred, and counted by the times that they were told. Neither are those that waited at another scheduler, which
// come all at once.
func (l *List) Arrive(now time.Time, i *item.Item) {
	if i.GetObjectiveUs() >= 0 && micros(i.GetWaitedUs()) < resentAfter {
		l.forecast.Arrive(l.at(now), one)
		l.arrivals.add(l.at(now))
	}
}

// Push adds a ticket.
func (l *List) Push(now time.Time, i *item.Item) {
	l.seq++
	n := &node{Item: i, seq: l.seq, rank: i.GetPriority() + i.GetAccountPriority(), objective: never, deadline: never}
	at := l.at(now)
	if t := i.GetDeadlineUs(); t > 0 {
		n.deadline = at + micros(t)
	}
	if i.GetGoesOn() {
		n.rank = -1 // Its caller waits for the next event.
	}
	if t := i.GetObjectiveUs(); t != 0 {
		n.objective = at + micros(t)
		n.returned = t < 0
	}
	if at <= l.startInTime(n) {
		if n.objective != never {
			l.window += time.Duration(windowGain * float64(l.startInTime(n)-at-l.window))
		}
		l.inTime = insert(l.inTime, n, byObjective)
		return
	}
	l.deferred = insert(l.deferred, n, byDeadline)
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func insert(list []*node, n *node, order func(a, b *node) int) []*node {
	at, _ := slices.BinarySearchFunc(list, n, order)
	return slices.Insert(list, at, n)
}

func byObjective(a, b *node) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.objective, b.objective), cmp.Compare(a.seq, b.seq))
}

func byDeadline(a, b *node) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.seq, b.seq))
}

// startInTime returns the latest time at which a run can begin that is to be in time.
func (l *List) startInTime(n *node) time.Duration {
	if n.objective == never {
		return l.lastStart(n)
	}
	return min(n.objective-l.span, l.lastStart(n))
}

// lastStart returns the latest time at which a run can begin that is to end before its deadline.
func (l *List) lastStart(n *node) time.Duration {
	if n.deadline == never {
		return never
	}
	return n.deadline - time.Duration(cutOffMargin*float64(l.span))
}

// Remove removes and returns a ticket, or returns nil if the ticket does not wait.
func (l *List) Remove(incarnation string, id uint64) *item.Item {
	list := l.RemoveFunc(func(i *item.Item) bool { return i.GetId() == id && i.GetIncarnation() == incarnation })
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// RemoveFunc removes and returns all tickets for which match returns true.
func (l *List) RemoveFunc(match func(*item.Item) bool) []*item.Item {
	var out []*item.Item
	gone := func(n *node) bool {
		if !match(n.Item) {
			return false
		}
		out = append(out, n.Item)
		return true
	}
	l.inTime, l.deferred = slices.DeleteFunc(l.inTime, gone), slices.DeleteFunc(l.deferred, gone)
	return out
}

// SetVersions assigns the version of the servers that may run each waiting ticket.
func (l *List) SetVersions(version func(*wire.Ticket) string) {
	for _, list := range [...][]*node{l.inTime, l.deferred} {
		for _, n := range list {
			n.RunsAt = version(n.Ticket)
		}
	}
}

// Shed removes and returns the ticket to refuse if an account has more than most tickets waiting, or nil: the
// last one in the order.
func (l *List) Shed(account string, most int) *item.Item {
	if l.Len() <= most {
		return nil
	}
	count, last := 0, (*node)(nil)
	for _, list := range [...][]*node{l.inTime, l.deferred} {
		for _, n := range list {
			if n.GetAccount() == account {
				count, last = count+1, n
			}
		}
	}
	if count <= most {
		return nil
	}
	l.drop(last)
	return last.Item
}

// Busiest returns the account with the most waiting tickets.
func (l *List) Busiest() (account string, tickets int) {
	counts := map[string]int{}
	for _, list := range [...][]*node{l.inTime, l.deferred} {
		for _, n := range list {
			name := n.GetAccount()
			counts[name]++
			if c := counts[name]; c > tickets {
				account, tickets = name, c
			}
		}
	}
	return account, tickets
}

func (l *List) drop(n *node) {
	is := func(other *node) bool { return other == n }
	l.inTime, l.deferred = slices.DeleteFunc(l.inTime, is), slices.DeleteFunc(l.deferred, is)
}

// StartRound starts a new round of grants, in which tickets that got no place are offered again.
func (l *List) StartRound() { l.full = l.full[:0] }

// Next offers waiting tickets in their order until one is placed, and removes and returns that one. Try
// returns full if no ticket of the same version, model and binding can be placed; these are not offered again
// in this round. Next returns nil if no ticket was placed.
func (l *List) Next(now time.Time, try func(*item.Item) (placed, full bool)) *item.Item {
	at, offers := l.at(now), 0
	l.deferLate(at)
	for _, list := range [...][]*node{l.inTime, l.deferred} {
		for _, n := range list {
			if at > l.lastStart(n) || slices.Contains(l.full, n.class()) {
				continue
			}
			if offers++; offers > maxOffers {
				return nil
			}
			placed, full := try(n.Item)
			if placed {
				l.drop(n)
				return n.Item
			}
			if full {
				l.full = append(l.full, n.class())
			}
		}
	}
	return nil
}

// deferLate defers the tickets that can't be in time any more.
func (l *List) deferLate(at time.Duration) {
	l.inTime = slices.DeleteFunc(l.inTime, func(n *node) bool {
		if at <= l.startInTime(n) {
			return false
		}
		l.deferred = insert(l.deferred, n, byDeadline)
		return true
	})
}

// Review removes the tickets that can't end before their deadlines, and those that will get no place in time
// for that. It calls refuse for each of them with the time after which its caller is to return. Running is
// the number of requests that the servers hold.
func (l *List) Review(now time.Time, running int, refuse func(i *item.Item, after time.Duration)) {
	at := l.at(now)
	if l.Len() == 0 || at-l.reviewedAt < reviewInterval {
		return
	}
	l.reviewedAt = at
	l.deferLate(at)
	late := l.expectedLate(at, running)
	refused := l.unplaceable(at, late)
	for _, n := range refused {
		l.drop(n)
	}
	for _, n := range refused {
		refuse(n.Item, l.returnAfter(at, n.deadline, n.GetId()))
	}
}

// expectedLate returns the tickets that are deferred or will be, by deadline, and computes the room for them.
func (l *List) expectedLate(at time.Duration, running int) []*node {
	late := slices.Clone(l.deferred)
	ahead := float64(running) / 2 // A run has half of its time left on average.
	for _, n := range l.inTime {
		if l.rate > 0 && at+seconds(ahead/l.rate) > l.startInTime(n) {
			late = append(late, n)
			continue
		}
		ahead++
	}
	l.updateRoom(at, ahead)
	slices.SortStableFunc(late, func(a, b *node) int { return cmp.Compare(a.deadline, b.deadline) })
	return late
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// unplaceable returns those of the late tickets, sorted by deadline, that get no place.
func (l *List) unplaceable(at time.Duration, late []*node) []*node {
	var kept, out []*node
	var worst *node // Of kept.
	l.dropReturned(at)
	for _, n := range late {
		latest := l.lastStart(n)
		if at > latest {
			out = append(out, n)
			continue
		}
		kept = append(kept, n)
		if worst == nil || leastWorth(n, worst) > 0 {
			worst = n
		}
		if l.rate == 0 || latest == never {
			continue
		}
		need := float64(len(kept))
		if worst.kept {
			need /= keepMargin
		}
		if need <= l.roomUntil(&l.hoped, at, latest) {
			continue
		}
		out = append(out, worst)
		kept = slices.DeleteFunc(kept, func(other *node) bool { return other == worst })
		worst = nil
		if len(kept) > 0 {
			worst = slices.MaxFunc(kept, leastWorth)
		}
	}
	for _, n := range kept {
		n.kept = true
	}
	return out
}

// leastWorth orders tickets by what is refused last. A caller that has returned does not return again, and
// one with little time left has none for a return.
func leastWorth(a, b *node) int {
	worth := func(n *node) int {
		if n.returned {
			return 0
		}
		return 1
	}
	kept := func(n *node) int {
		if n.kept {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(worth(a), worth(b)), cmp.Compare(kept(a), kept(b)), cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.seq, b.seq))
}

// updateRoom computes likely and hoped, with the given number of requests ahead of the deferred tickets.
func (l *List) updateRoom(at time.Duration, ahead float64) {
	low := l.arrivals.low(at)
	arrivals := func(until time.Duration) float64 { return l.forecast.Arrivals(at, at+until).Seconds() }
	l.likely = l.roomCurve(ahead, arrivals)
	l.hoped = l.roomCurve(ahead, func(until time.Duration) float64 { return min(arrivals(until), low*until.Seconds()) })
}

// roomCurve returns how many deferred tickets get places by the end of each step, if a number of requests is ahead
// of them and arrivals returns how many more arrive within a time. In a burst more arrive than can be in time. The
// rest of them is deferred in turn, behind those that wait already, so that at most the tickets of one window are
// ahead of these.
func (l *List) roomCurve(ahead float64, arrivals func(time.Duration) float64) (curve [curveSteps]float64) {
	most := max(ahead, l.rate*l.window.Seconds())
	room, before := 0., 0.
	for n := range curve {
		arrived := arrivals(time.Duration(n+1) * curveStep)
		spare := l.rate*usableShare*curveStep.Seconds() - (arrived - before)
		before = arrived
		used := min(ahead, spare)
		ahead = min(ahead-used, most)
		room += spare - used
		curve[n] = room
	}
	return curve
}

// roomUntil returns how many deferred tickets get places until a time by a curve, beyond the callers that are
// expected back by then.
func (l *List) roomUntil(curve *[curveSteps]float64, at, until time.Duration) float64 {
	back, _ := slices.BinarySearch(l.returns, until+1)
	steps := float64(min(until-at, curveSteps*curveStep)) / float64(curveStep)
	n := min(int(steps), curveSteps-1)
	before := 0.
	if n > 0 {
		before = curve[n-1]
	}
	return before + (steps-float64(n))*(curve[n]-before) - float64(back)
}

func (l *List) dropReturned(at time.Duration) {
	l.returns = slices.DeleteFunc(l.returns, func(t time.Duration) bool { return t <= at })
}

// ReturnAfter returns when the caller of a ticket that was refused for another reason is to return.
func (l *List) ReturnAfter(now time.Time, i *item.Item) time.Duration {
	deadline := never
	if t := i.GetDeadlineUs(); t > 0 {
		deadline = l.at(now) + micros(t)
	}
	return l.returnAfter(l.at(now), deadline, i.GetId())
}

// returnAfter returns the earliest time after which a refused caller finds room that no other caller was told
// to return for, or else the latest time that the caller waits for, and books it. The id spreads callers that
// are told the same step.
func (l *List) returnAfter(at, deadline time.Duration, id uint64) time.Duration {
	latest := maxReturn
	if deadline != never {
		latest = min(max(time.Duration(honoured*float64(deadline-at)), minReturn), maxReturn)
	}
	spread := func(after time.Duration) time.Duration {
		return after - min(returnStep, after/2)*time.Duration(id%spreadParts)/spreadParts
	}
	for step := returnStep; step < latest && l.rate > 0; step += returnStep {
		if l.roomUntil(&l.likely, at, at+step) >= float64(len(l.deferred)+1) {
			after := spread(step)
			n, _ := slices.BinarySearch(l.returns, at+after)
			l.returns = slices.Insert(l.returns, n, at+after)
			return after
		}
	}
	return spread(latest)
}
