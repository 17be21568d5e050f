package batch

import (
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
	n      int            // Sizes seen, of which the last are kept.
	shares [bands]served  // By size.
	boosts [bands]float64 // How much more each band counts.
	all    served
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
	// mostBoost bounds how much more a band counts that got less than its kind.
	mostBoost = 4
)

// served is the part of requests that got a place, smoothed. The zero value says
// that all did.
type served struct{ lost float64 }

func (s *served) note(lost float64) { s.lost += servedRate * (lost - s.lost) }

// servedRate is the weight of one request in the part that got a place.
const servedRate = 0.04

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
		k.size, k.prompt, k.answer = s, float64(t.GetPromptTokens()), float64(t.GetAnswerTokens())
		return rest
	}
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

// ended notes whether a request got a place.
func (k *kind) ended(b band, placed bool) {
	lost := 1.0
	if placed {
		lost = 0
	}
	k.all.note(lost)
	k.shares[b].note(lost)
	k.weigh()
}

// weigh sets how much more each band counts. Every grant looks at all that wait,
// so that is not worked out there.
func (k *kind) weigh() {
	for b := range k.boosts {
		k.boosts[b] = k.boost(band(b))
	}
}

// boost is how much more a request counts whose band of sizes got places less
// often than its kind. Large requests earn less for the time that they take a
// place, so that in a long shortage they alone would go without: 0.07 of them got
// a place with four places for twice the work, now 0.35. Small ones pay for it, as
// a large one takes the places of many: 0.88 of all got one, now 0.41.
func (k *kind) boost(b band) float64 {
	const least = 0.05
	f := (1 - k.all.lost + least) / (1 - k.shares[b].lost + least)
	return min(max(f*f, 1), mostBoost)
}
