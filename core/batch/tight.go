package batch

import "time"

const (
	// tightSlack is the share of a run's decode time that must be left at its expected end. With less the run
	// is tight: it is cut off at its deadline if it takes that much longer, as the prefill of a few long prompts
	// beside it does.
	tightSlack = 0.5
	// tightPrefillWeight is the additional weight of the prefill time in the cost of a run for each tight run
	// that it delays. It sends long prompts to engines of half the speed.
	tightPrefillWeight = 10
)

// isTight reports whether a run of a ticket that gets its first token after a time is tight.
func (i *item) isTight(now, timeToFirst, decode time.Duration) bool {
	return now+timeToFirst+decode+time.Duration(tightSlack*float64(decode)) > i.deadline
}

// tightCost returns the cost of a run on an engine beyond the usual one: the delay that its prefill brings
// to tight runs there, and, if it is tight itself, its whole decode time.
func (b *Batch) tightCost(now time.Duration, i *item, o *offer, prefill, decode time.Duration) time.Duration {
	cost := time.Duration(o.LongRunning) * tightPrefillWeight * prefill
	if i.isTight(now, o.baseFirstToken+prefill, decode) {
		cost += decode - decode/decodeDivisor
	}
	return cost
}
