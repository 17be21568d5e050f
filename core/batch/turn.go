package batch

import (
	"slices"
	"time"
)

// turns are the waiting tickets that are considered for the next slot, as indices of waiting, best first.
type turns struct {
	timely []int // Those that may still be in time.
	late   topItems
	long   topItems // Those that are expected to be cut off at their deadlines on any engine with room.
}

// routeTurns is the number of tickets of each route that are considered for a slot beside the best of all.
// The best may all wait for an engine without long prompts, and other routes must not wait behind them.
const routeTurns = 2

// longestSpeed is the most that an engine may take for a token, in multiples of the fastest one, to get a run that
// is expected to be cut off at its deadline on any engine. Such expectations are often too long, and the run
// may end in time on the fastest engines only.
const longestSpeed = 1.5

// takeTurns finds the tickets to consider for the engines with room.
func (b *Batch) takeTurns(now time.Duration, batchesFull bool) *turns {
	soonest, fastest := b.soonestAndFastest()
	for _, r := range b.routes {
		r.best = topItems{}
	}
	t, all := &b.late.turns, topItems{}
	t.timely, t.late, t.long = t.timely[:0], topItems{}, topItems{}
	for n, i := range b.waiting {
		if (batchesFull && (i.deferred || !b.mayQueue(i))) || !b.hasRoom(i) || b.leavesSlots(i) {
			continue
		}
		s := i.score(now + soonest.takes(time.Duration(i.prefillSteps*float64(soonest.perToken))))
		if i.overruns(now, fastest, i.prefillSteps) {
			t.long.add(n, s)
			continue
		}
		if i.deferred {
			t.late.add(n, -i.refuseAt.Seconds())
			continue
		}
		all.add(n, s)
		i.routeStats.best.addWithin(n, s, routeTurns)
	}
	t.timely = append(t.timely, all.index[:all.count]...)
	best := len(t.timely)
	if best > 0 {
		t.late = topItems{} // A run more on an engine slows those in time that come next.
	}
	for _, r := range b.routes {
		for _, n := range r.best.index[:r.best.count] {
			if !slices.Contains(t.timely[:best], n) {
				t.timely = append(t.timely, n)
			}
		}
	}
	slices.Sort(t.timely[best:]) // The order of a map must not decide.
	return t
}

// pickWithLate is pick for a pool that serves late requests. A ticket that could be in time on another engine
// waits for it, as long as it can: slots that it leaves go to tickets that suit them. Deferred tickets get slots
// while none waits that can be in time.
func (b *Batch) pickWithLate(now time.Duration, batchesFull bool) (n int, e *engine, fits bool) {
	t := b.takeTurns(now, batchesFull)
	for _, n := range t.timely {
		if o, cost := b.bestOffer(now, b.waiting[n]); o != nil && cost < stallCost {
			return n, o.engine, true
		}
	}
	for _, n := range t.late.index[:t.late.count] {
		i := b.waiting[n]
		o, cost := b.bestOffer(now, i)
		if o != nil && (cost < stallCost || (cost < lateCost && i.refuseAt-now < lastChance)) {
			return n, o.engine, true
		}
	}
	for _, n := range t.timely {
		o, cost := b.bestOffer(now, b.waiting[n])
		if o != nil && (cost < lateCost || (!b.waiting[n].deferrable && cost < overrunCost)) {
			return n, o.engine, false
		}
	}
	// Expectations are often too long: what waits for a shorter one only comes later to its caller.
	for _, n := range t.long.index[:t.long.count] {
		i := b.waiting[n]
		if o, _ := b.bestOffer(now, i); o != nil && !o.batchFull && float64(o.perToken) <= longestSpeed*float64(b.bestCaseFor(i).perToken) {
			return n, o.engine, false
		}
	}
	return 0, nil, false
}
