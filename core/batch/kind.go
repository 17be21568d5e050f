package batch

import (
	"math"
	"time"

	"azurelane/core/wire"
)

// kind is what was learnt of one route's requests.
type kind struct {
	size   float64       // Mean.
	prompt float64       // Mean tokens.
	answer float64       // Mean tokens.
	gap    time.Duration // Longest pause between two events that is on time; zero for any.

	sizes  [keepSizes]float64
	n      int           // Sizes seen, of which the last are kept.
	seenAt time.Duration // Of the last request, since the policy's start.
	// priority is the mean rank, as accounts may have ranks of their own; timely is the
	// part of requests that got a place in time, and urgency how much more the kind
	// counts than its rank says; see order.
	priority float64
	timely   served
	urgency  float64
	rate     rate           // Of its requests.
	endedAt  time.Duration  // When the last one ended, since the policy's start.
	owed     [bands]float64 // Places that a band would have had as often as its kind, less those it had.
	boosts   [bands]float64 // How much more each band counts.
	all      served
	length   length
}

// band is a part of a kind's requests by size: the largest tenth, the fifth below
// it, and the rest.
type band int

const (
	rest band = iota
	large
	largest
	bands
)

const (
	keepSizes   = 64
	largeFrom   = 0.7 // Rank among the sizes kept at which the band begins.
	largestFrom = 0.9
	kindRate    = 0.05 // Weight of one request in the means.
	// mostBoost bounds how much more counts what got less than its like, and mostOwed
	// the units that are owed to a band of sizes: more than that is not made up for.
	mostBoost = 4
	mostOwed  = mostBoost - 1
	// owedSpan is how long what is owed is remembered. A long answer waits for a place
	// that few engines can give, and what was forgotten meanwhile was never made up for:
	// with a fifth of that memory the longest were served 0.67 times as often as all, in
	// place of 0.75 (mean of eight replays of a shortage).
	owedSpan = 40 * time.Second
	// unitSpan is the time whose requests of a band are owed as one unit of its boost.
	// Counted in single places, the bound of what is owed stood for two seconds of large
	// requests where nine engines serve, and for a tenth of one where a hundred do: runs
	// that broke after ten seconds were never made up for there.
	unitSpan = 800 * time.Millisecond
)

// seen learns from a new request and tells its band.
func (k *kind) seen(t *wire.Ticket) band {
	s := size(t)
	if t.GetGapUs() > 0 {
		k.gap = time.Duration(t.GetGapUs()) * time.Microsecond
	}
	k.sizes[k.n%keepSizes] = s
	k.n++
	if k.n == 1 {
		k.weigh()
		k.urgency, k.priority = 1, float64(t.GetPriority())
		k.size, k.prompt, k.answer = s, float64(t.GetPromptTokens()), float64(t.GetAnswerTokens())
		return rest
	}
	k.priority += kindRate * (float64(t.GetPriority()) - k.priority)
	k.size += kindRate * (s - k.size)
	k.prompt += kindRate * (float64(t.GetPromptTokens()) - k.prompt)
	k.answer += kindRate * (float64(t.GetAnswerTokens()) - k.answer)
	return k.band(s)
}

// band is that of a size among those kept.
func (k *kind) band(s float64) band {
	below, kept := 0, min(k.n, keepSizes)
	for _, other := range k.sizes[:kept] {
		if other < s {
			below++
		}
	}
	switch rank := float64(below) / float64(kept); {
	case rank >= largestFrom:
		return largest
	case rank >= largeFrom:
		return large
	}
	return rest
}

// ended notes whether a request got a place, and whether it got it in time.
func (k *kind) ended(now time.Duration, b band, placed, timely bool) {
	k.all.note(!placed)
	k.timely.note(!timely)
	k.owed[b] += 1 - k.all.lost
	if placed {
		k.owed[b]--
	}
	keep := math.Exp(-(now - k.endedAt).Seconds() / owedSpan.Seconds())
	k.endedAt = now
	for b := range k.owed {
		most := mostOwed * k.unit(band(b))
		k.owed[b] = min(max(k.owed[b]*keep, -most), most)
	}
	k.weigh()
}

// broke notes that a run did not come to its end: a place that brings no answer is owed
// still. Long runs are broken off most, by their deadline or with their engine.
func (k *kind) broke(t *wire.Ticket) {
	b := k.band(size(t))
	k.owed[b] = min(k.owed[b]+1, mostOwed*k.unit(b))
	k.weigh()
}

// weigh sets how much more each band counts. Every grant looks at all that wait,
// so that is not worked out there.
func (k *kind) weigh() {
	for b := range k.boosts {
		k.boosts[b] = k.boost(band(b))
	}
}

// boost is how much more a request counts whose band of sizes got places less often
// than its kind. Large requests earn less for the time that they take a place, so that
// in a long shortage they alone would go without: 0.07 of them got a place with four
// places for twice the work, now 0.38. Small ones pay for it, as a large one takes the
// places of many: 0.88 of all got one, now 0.40. What is owed to a band shows after one
// or two refusals; by the part of its last requests that got a place, large ones, of
// which few come, were owed places for as long as most shortages last.
func (k *kind) boost(b band) float64 { return 1 + max(k.owed[b], 0)/k.unit(b) }

// unit is how many places are owed to a band for each time that it counts once more.
func (k *kind) unit(b band) float64 {
	part := [bands]float64{rest: largeFrom, large: largestFrom - largeFrom, largest: 1 - largestFrom}[b]
	return max(part*k.rate.perSecond()*unitSpan.Seconds(), 1)
}
