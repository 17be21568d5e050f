package batch

import (
	"math"
	"time"

	"azurelane/core/wire"
)

// routeStats holds statistics of the requests of one route.
type routeStats struct {
	meanSize   float64       // Mean of ticketSize.
	meanPrompt float64       // Mean tokens.
	meanAnswer float64       // Mean of the estimated tokens.
	gapLimit   time.Duration // Longest gap between two events of an answer that the last request with a limit accepts; zero for no limit.

	recentSizes [sizeWindow]float64
	requests    int           // Requests seen, of which the last sizeWindow sizes are kept.
	lastRequest time.Duration // Time since the policy started.
	// meanPriority is a mean because the requests of a route may differ in priority. late is the
	// share of requests that got no slot in time. boost is the factor by which the route counts
	// more than its priority says; see updateBoosts.
	meanPriority float64
	late         missShare
	boost        float64
	arrivals     arrivalRate
	lastOutcome  time.Duration        // When the last request was granted or refused, since the policy started.
	deficits     [sizeClasses]float64 // Slots that a class would have got at the route's share of placed requests, less those that it got.
	weights      [sizeClasses]float64 // Factor of each size class in the score.
	unplaced     missShare            // Requests that got no slot.
	answers      lengthEstimator
	best         topItems // Scratch space of a decision.
}

// sizeClass divides the requests of a route by size: the largest tenth, the fifth below it, and
// the rest.
type sizeClass int

const (
	ordinary sizeClass = iota
	large
	largest
	sizeClasses
)

const (
	sizeWindow  = 64
	largeRank   = 0.7 // Rank among the kept sizes at which the class begins.
	largestRank = 0.9
	routeAlpha  = 0.05 // EWMA weight of one request in the means.
	// maxWeight bounds the weight of a size class, and maxDeficit its deficit, in multiples of
	// deficitUnit.
	maxWeight  = 4
	maxDeficit = maxWeight - 1
	// deficitTimeConstant is the time constant with which deficits decay. It is long because few
	// engines can run a long answer, so a class of long answers is served long after it fell
	// behind.
	deficitTimeConstant = 40 * time.Second
	// deficitUnitTime sets the unit of a class's deficit: the number of its requests that arrive
	// in this time, at least one. The bound thus covers the same time on a large deployment as on
	// a small one.
	deficitUnitTime = 800 * time.Millisecond
)

// addRequest updates the statistics with a new request and returns its size class.
func (r *routeStats) addRequest(t *wire.Ticket) sizeClass {
	size := ticketSize(t)
	if t.GetGapUs() > 0 {
		r.gapLimit = time.Duration(t.GetGapUs()) * time.Microsecond
	}
	r.recentSizes[r.requests%sizeWindow] = size
	r.requests++
	if r.requests == 1 {
		r.updateWeights()
		r.boost, r.meanPriority = 1, float64(t.GetPriority())
		r.meanSize, r.meanPrompt, r.meanAnswer = size, float64(t.GetPromptTokens()), float64(t.GetAnswerTokens())
		return ordinary
	}
	r.meanPriority += routeAlpha * (float64(t.GetPriority()) - r.meanPriority)
	r.meanSize += routeAlpha * (size - r.meanSize)
	r.meanPrompt += routeAlpha * (float64(t.GetPromptTokens()) - r.meanPrompt)
	r.meanAnswer += routeAlpha * (float64(t.GetAnswerTokens()) - r.meanAnswer)
	return r.classOf(size)
}

// classOf returns the size class of a size by its rank among the kept sizes.
func (r *routeStats) classOf(s float64) sizeClass {
	below, kept := 0, min(r.requests, sizeWindow)
	for _, other := range r.recentSizes[:kept] {
		if other < s {
			below++
		}
	}
	switch rank := float64(below) / float64(kept); {
	case rank >= largestRank:
		return largest
	case rank >= largeRank:
		return large
	}
	return ordinary
}

// addOutcome records whether a request got a slot, and whether it got the slot in time.
func (r *routeStats) addOutcome(now time.Duration, c sizeClass, placed, timely bool) {
	r.unplaced.add(!placed)
	r.late.add(!timely)
	r.deficits[c] += 1 - r.unplaced.value
	if placed {
		r.deficits[c]--
	}
	keep := math.Exp(-(now - r.lastOutcome).Seconds() / deficitTimeConstant.Seconds())
	r.lastOutcome = now
	for c := range r.deficits {
		most := maxDeficit * r.deficitUnit(sizeClass(c))
		r.deficits[c] = min(max(r.deficits[c]*keep, -most), most)
	}
	r.updateWeights()
}

// addBrokenRun records a run that did not complete. A slot that yields no answer adds to the
// deficit again. Long runs break off most often, at their deadline or with their engine.
func (r *routeStats) addBrokenRun(t *wire.Ticket) {
	c := r.classOf(ticketSize(t))
	r.deficits[c] = min(r.deficits[c]+1, maxDeficit*r.deficitUnit(c))
	r.updateWeights()
}

// updateWeights recomputes the weights. They are stored because every grant reads them for all
// waiting tickets.
func (r *routeStats) updateWeights() {
	for c := range r.weights {
		r.weights[c] = r.weight(sizeClass(c))
	}
}

// weight returns the factor by which a size class counts more if it got slots less often than the
// route as a whole. Large requests have a lower value per second of slot time; in a long shortage
// only they would be refused.
func (r *routeStats) weight(c sizeClass) float64 { return 1 + max(r.deficits[c], 0)/r.deficitUnit(c) }

// deficitUnit returns the deficit of a class, in slots, that raises its weight by one.
func (r *routeStats) deficitUnit(c sizeClass) float64 {
	share := [sizeClasses]float64{ordinary: largeRank, large: largestRank - largeRank, largest: 1 - largestRank}[c]
	return max(share*r.arrivals.perSecond()*deficitUnitTime.Seconds(), 1)
}
