package batch

import "time"

const (
	// minPriorityGap is the least difference between the mean priorities of two routes for one to
	// count as less urgent. routeIdleLimit is how long a route counts after its last request.
	minPriorityGap = 0.5
	routeIdleLimit = 2 * time.Second
	// EWMA weight of one request in a missShare.
	missAlpha = 0.04
)

// missShare is an EWMA of the share of requests that missed a goal, such as a slot in time. The
// zero value stands for no misses.
type missShare struct{ value float64 }

func (m *missShare) add(missed bool) {
	if missed {
		m.value += missAlpha * (1 - m.value)
		return
	}
	m.value -= missAlpha * m.value
}

// boostOver returns the factor by which a route counts more if it is served less often than
// another. It is the square of the ratio of the shares served, between 1 and maxWeight: a small
// difference changes little, and a ratio of two already gives the largest factor.
func (m *missShare) boostOver(other *missShare) float64 {
	const offset = 0.05 // Keeps the ratio finite if no request of the route gets a slot in time.
	f := (1 - other.value + offset) / (1 - m.value + offset)
	return min(max(f*f, 1), maxWeight)
}

// updateBoosts sets the boosts so that no route is served less often than a less urgent one. By
// value per second of slot time alone, an urgent route with long answers would lose to a less
// urgent route with short answers under overload.
// In a pool that serves late requests, those that get a slot late are served, too.
func updateBoosts(routes map[string]*routeStats, now time.Duration, lateService bool) {
	for _, r := range routes {
		r.boost = 1
		for _, other := range routes {
			if other.meanPriority-r.meanPriority < minPriorityGap || now-other.lastRequest > routeIdleLimit {
				continue
			}
			if lateService {
				r.boost = max(r.boost, r.unplaced.boostOver(&other.unplaced))
				continue
			}
			r.boost = max(r.boost, r.late.boostOver(&other.late))
		}
	}
}
