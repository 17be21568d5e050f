package batch

import (
	"slices"
	"time"

	"azurelane/core/upstr"
)

const (
	// 1/decodeDivisor of a run's decode time counts in its cost beside the time to its first
	// token. That is enough to prefer an engine that is twice as fast, and too little to wait
	// there behind other requests.
	decodeDivisor = 4
	// prefillWeight is the additional weight of the prefill time in the cost of a run, because
	// all other runs on the engine nearly stop meanwhile. It also sends a session back to the
	// engine that has cached most of its prompt: of 75 million prompt tokens, 11 million were
	// prefilled again with this weight, and 15 million without it.
	prefillWeight = 3
	// stallCost, lateCost and overrunCost are the costs of stalling other answers for too long,
	// of a late first token, and of a run that is cut off at its deadline. They exceed the
	// duration of any run, and each exceeds the sum of the smaller ones.
	stallCost   = time.Hour / 2
	lateCost    = time.Hour
	overrunCost = 2 * time.Hour
	// answerSlack is the share by which answers are often longer than estimated.
	answerSlack = 0.5
	// maxCandidates bounds the tickets that are considered for one slot. Tickets further behind
	// in the order would have to wait for their own turn as well.
	maxCandidates = 8
)

// choose returns the ticket to grant next, as an index of waiting, and the engine for it; no engine
// if no ticket can be granted now. It compares more engines while no ticket fits.
func (b *Batch) choose(now time.Time) (int, *engine) {
	for limit := sampleSize; ; limit *= sampleGrowth {
		batchesFull, more := b.listOffers(now, b.waiting[len(b.waiting)-1], limit)
		if len(b.offers) == 0 || (batchesFull && !slices.ContainsFunc(b.waiting, b.mayQueue)) {
			return 0, nil
		}
		if n, e, fits := b.pick(now.Sub(b.started), batchesFull); fits || !more {
			return n, e
		}
	}
}

// pick returns the ticket to grant next, as an index of waiting, and the engine for it, out of the
// offers. A ticket that would be late, make others late or be cut off at its deadline on every
// engine with room is passed over: another engine will have room within milliseconds, whereas a
// long run on a slow engine occupies a slot for seconds and yields nothing. If no ticket fits, pick
// returns the one that does the least harm.
func (b *Batch) pick(now time.Duration, batchesFull bool) (n int, e *engine, fits bool) {
	if b.late.on {
		return b.pickWithLate(now, batchesFull)
	}
	fallback, fallbackEngine, leastHarm := -1, (*engine)(nil), time.Duration(0) // The least harmful choice if no ticket fits.
	top := b.candidates(now, batchesFull)
	for _, n := range top.index[:top.count] {
		n = b.moreUrgent(now, n, batchesFull)
		o, cost := b.bestOffer(now, b.waiting[n])
		if o != nil && cost < stallCost {
			return n, o.engine, true
		}
		if o == nil || (cost >= overrunCost && o.batchFull) {
			continue // No engine can take it, or it would queue at a full one and then be cut off at its deadline.
		}
		if fallback < 0 || (cost.Truncate(stallCost) < leastHarm && !b.yieldsTo(n, fallback, leastHarm)) {
			fallback, fallbackEngine, leastHarm = n, o.engine, cost.Truncate(stallCost)
		}
	}
	return fallback, fallbackEngine, false
}

// candidates returns the waiting tickets with the highest scores, best first. It considers only
// the top priority if engines have room only beyond their batches. It considers only tickets that
// can end in time on some engine with room, if there are any. One pass finds them all: in a burst
// thousands of tickets wait, and each of a thousand grants per second scans all of them.
func (b *Batch) candidates(now time.Duration, batchesFull bool) topItems {
	soonest, fastest := b.soonestAndFastest()
	var fit, unfit topItems
	for n, i := range b.waiting {
		if (batchesFull && !b.mayQueue(i)) || !b.hasRoom(i) || b.leavesSlots(i) {
			continue
		}
		s := i.score(now + soonest.takes(time.Duration(i.prefillSteps*float64(soonest.perToken))))
		if i.overruns(now, fastest, i.prefillSteps) {
			unfit.add(n, s)
			continue
		}
		fit.add(n, s)
	}
	if fit.count == 0 {
		return unfit
	}
	return fit
}

// soonestAndFastest returns the offers with the shortest time to a first token and with the shortest time per
// token.
func (b *Batch) soonestAndFastest() (soonest, fastest *offer) {
	soonest, fastest = &b.offers[0], &b.offers[0]
	for n := range b.offers {
		if b.offers[n].baseFirstToken < soonest.baseFirstToken {
			soonest = &b.offers[n]
		}
		if b.offers[n].answerTime < fastest.answerTime {
			fastest = &b.offers[n]
		}
	}
	return soonest, fastest
}

// mayQueue reports whether a ticket may be granted a place in the queue of an engine whose batch is
// full: one of the top priority within its account's share, or a stream that goes on, which few engines may be able to run.
func (b *Batch) mayQueue(i *item) bool {
	return i.goesOn || (b.topPriority.includes(i) && !i.beyondShare())
}

// topItems holds the indices in waiting of the highest scores, best first.
type topItems struct {
	index  [maxCandidates]int
	scores [maxCandidates]float64
	count  int
}

func (t *topItems) add(n int, score float64) { t.addWithin(n, score, maxCandidates) }

// addWithin is add for the best limit items, at most maxCandidates.
func (t *topItems) addWithin(n int, score float64, limit int) {
	if t.count == limit && score <= t.scores[t.count-1] {
		return
	}
	at := min(t.count, limit-1)
	for at > 0 && score > t.scores[at-1] {
		t.index[at], t.scores[at] = t.index[at-1], t.scores[at-1]
		at--
	}
	t.index[at], t.scores[at] = n, score
	t.count = min(t.count+1, limit)
}

// overruns reports whether a run would be cut off at its deadline. Answers are often half as long
// again as estimated, so the run is assumed to be longer by answerSlack. The slack shrinks for
// size classes with a deficit, which accept the risk in order to get slots.
func (i *item) overruns(now time.Duration, o *offer, prefillSteps float64) bool {
	run := float64(i.answer) * float64(o.perToken)
	run *= 1 + i.slack/i.routeStats.weights[i.class]
	return now+o.takes(time.Duration(prefillSteps*float64(o.perToken)+run)) > i.deadline
}

// stallsOthers reports whether the prefill of a prompt, together with the prefill backlog of the
// engine, delays the next events of the other runs there beyond gapLimit. An engine alternates
// between prefill and decode steps, and decoding nearly stops during prefill: on a slow engine a
// long prompt delayed five other answers, on a fast one none. How much prefill falls between two
// events depends on this alternation; it is learned from the longest gaps seen.
func (b *Batch) stallsOthers(prefillWait, prefill, perToken time.Duration) bool {
	if b.gapLimit == 0 {
		return false
	}
	event := time.Duration(max(b.pool.EventTokens, 1)) * perToken
	pause := prefillWait + prefill + event
	if longest := time.Duration(b.costs.longGapEvents * float64(event)); longest > 0 {
		pause = min(pause, longest)
	}
	return pause > b.gapLimit
}

// bestOffer returns the engine where the run costs least, and the cost; nil if no engine can take
// it. The cost is at least lateCost if the run would begin or end too late.
func (b *Batch) bestOffer(now time.Duration, i *item) (*offer, time.Duration) {
	var best *offer
	var least time.Duration
	urgent := b.mayQueue(i)
	tokens := i.GetPromptTokens() + i.GetAnswerTokens()
	for n := range b.offers {
		o := &b.offers[n]
		if o.batchFull && !urgent {
			continue
		}
		if !i.accepts(o.Version) {
			continue
		}
		if len(i.GetAvoid()) > 0 && slices.Contains(i.GetAvoid(), o.GetUpstream()) {
			continue
		}
		if !b.fitsCache(o.Upstream, tokens) {
			continue
		}
		if c := b.cost(now, i, o); best == nil || c < least {
			best, least = o, c
		}
	}
	return best, least
}

// cachedTokens returns how many tokens of the prompt an engine need not prefill: those of the
// leading parts that a recent request there had as well.
func cachedTokens(u *upstr.Upstream, i *item) int64 {
	n := int64(0)
	for _, p := range i.GetParts() {
		if !u.Cache.Has(p.GetHash()) {
			break
		}
		n += p.GetTokens()
	}
	return min(n, i.GetPromptTokens())
}

// cost returns the cost of a run on an engine as a duration. Each thing that would go wrong adds
// a penalty of its own magnitude. An engine that is slow at the moment is slow for a part of a second, so the
// decode time counts as on average. In replays of an overload 0.778 of the requests were in time so, and 0.769
// when it counted as at the moment; the spread of such replays is about as large.
func (b *Batch) cost(now time.Duration, i *item, o *offer) time.Duration {
	prefillSteps := i.prefillSteps
	if n := cachedTokens(o.Upstream, i); n > 0 {
		prefillSteps = b.costs.prefillSteps(i.prompt - n)
	}
	prefill := time.Duration(prefillSteps * float64(o.perToken))
	timeToFirst := o.takes(prefill)
	decode := time.Duration(i.answer) * o.averageToken
	prefill = timeToFirst - o.baseFirstToken
	best := b.bestCaseFor(i)
	cost := timeToFirst + decode/decodeDivisor + prefillWeight*prefill + o.failurePenalty
	if b.triesEngine(i, o) {
		cost = min(cost, time.Duration(newEngineShare*float64(b.leastCost(i, prefillSteps))))
	}
	if now+timeToFirst > i.objective && now+best.timeToFirstToken(prefillSteps) <= i.objective { // Another engine could be in time.
		cost += lateCost
	}
	if now < i.yieldUntil && o.Running > 0 && b.stallsOthers(o.prefillWait, prefill, o.perToken) && !b.stallsOthers(0, time.Duration(prefillSteps*float64(best.perToken)), best.perToken) {
		cost += stallCost
	}
	if i.overruns(now, o, prefillSteps) {
		cost += overrunCost
		if b.late.on {
			cost += decode // The fastest engine, where it overruns by the least.
		}
	}
	return cost
}

// triesEngine reports whether a run may show how fast a new engine is. Only one run at a time does, and
// none that is longer than usual: the engine may be the slowest one. When new engines counted as fast for
// all runs, each got a batch of long prompts at once, and a quarter of the answers were late.
func (b *Batch) triesEngine(i *item, o *offer) bool {
	return o.stats.tokenTime == 0 && o.Running == 0 && b.costs.fastest.perToken > 0 && float64(i.answer) <= b.costs.usualAnswer()
}

// leastCost returns the cost of a run on the fastest engine that is known, if it were idle.
func (b *Batch) leastCost(i *item, prefillSteps float64) time.Duration {
	f := &b.costs.fastest
	prefill := time.Duration(prefillSteps * float64(f.perToken))
	return f.overhead + time.Duration(i.answer)*f.perToken/decodeDivisor + (1+prefillWeight)*prefill
}
