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
	rate     rate                 // Of its requests.
	endedAt  time.Duration        // When the last one ended, since the policy's start.
	deficits [sizeClasses]float64 // Places that a size class would have had as often as its kind, less those it had.
	weights  [sizeClasses]float64 // Of each size class against the others.
	all      served
	length   length
}

// sizeClass is a part of a kind's requests by size: the largest tenth, the fifth below
// it, and the rest.
type sizeClass int

const (
	rest sizeClass = iota
	large
	largest
	sizeClasses
)

const (
	keepSizes   = 64
	largeFrom   = 0.7 // Rank among the sizes kept at which the class begins.
	largestFrom = 0.9
	kindRate    = 0.05 // Weight of one request in the means.
	// maxWeight bounds the weight of a size class, and maxDeficit what is made up for, in
	// units.
	maxWeight  = 4
	maxDeficit = maxWeight - 1
	// deficitSpan is the time constant with which deficits decay. Few engines can take a
	// long answer, so that it is served long after its class fell behind.
	deficitSpan = 40 * time.Second
	// unitSpan is the time whose requests of a class make one unit of its deficit, so that
	// the bound holds for as long on a large deployment as on a small one.
	unitSpan = 800 * time.Millisecond
)

// seen learns from a new request and returns its size class.
func (k *kind) seen(t *wire.Ticket) sizeClass {
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
	return k.class(s)
}

// class is the size class of a size among those kept.
func (k *kind) class(s float64) sizeClass {
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
func (k *kind) ended(now time.Duration, c sizeClass, placed, timely bool) {
	k.all.note(!placed)
	k.timely.note(!timely)
	k.deficits[c] += 1 - k.all.lost
	if placed {
		k.deficits[c]--
	}
	keep := math.Exp(-(now - k.endedAt).Seconds() / deficitSpan.Seconds())
	k.endedAt = now
	for c := range k.deficits {
		most := maxDeficit * k.unit(sizeClass(c))
		k.deficits[c] = min(max(k.deficits[c]*keep, -most), most)
	}
	k.weigh()
}

// broke notes that a run did not come to its end: a place that brings no answer adds to
// the deficit again. Long runs are broken off most, by their deadline or with their engine.
func (k *kind) broke(t *wire.Ticket) {
	c := k.class(size(t))
	k.deficits[c] = min(k.deficits[c]+1, maxDeficit*k.unit(c))
	k.weigh()
}

// weigh sets the weights. Every grant looks at all that wait, so that they are not worked
// out there.
func (k *kind) weigh() {
	for c := range k.weights {
		k.weights[c] = k.weight(sizeClass(c))
	}
}

// weight is how much more a request counts whose size class got places less often than
// its kind. Large requests earn less for the time that they take a place; in a long
// shortage they alone would go without.
func (k *kind) weight(c sizeClass) float64 { return 1 + max(k.deficits[c], 0)/k.unit(c) }

// unit is the deficit of a class, in places, that raises its weight by one.
func (k *kind) unit(c sizeClass) float64 {
	part := [sizeClasses]float64{rest: largeFrom, large: largestFrom - largeFrom, largest: 1 - largestFrom}[c]
	return max(part*k.rate.perSecond()*unitSpan.Seconds(), 1)
}
