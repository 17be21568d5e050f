package batch

import "time"

const (
	// lessUrgent is by how much the mean ranks of two kinds must differ for one to be
	// the less urgent, and kindFor how long a kind that is no longer asked for counts.
	lessUrgent = 0.5
	kindFor    = 2 * time.Second
	// servedRate is the weight of one request in the part that got a place.
	servedRate = 0.04
)

// served is the part of requests that got a place, smoothed. The zero value says
// that all did.
type served struct{ lost float64 }

func (s *served) note(lost bool) {
	if lost {
		s.lost += servedRate * (1 - s.lost)
		return
	}
	s.lost -= servedRate * s.lost
}

// behind is how much more counts what got less than other: by the square of how much
// less, so that a small difference changes little.
func (s *served) behind(other *served) float64 {
	const least = 0.05
	f := (1 - other.lost + least) / (1 - s.lost + least)
	return min(max(f*f, 1), maxWeight)
}

// order sets how much more each kind counts than its rank says, so that none is served
// less often than a less urgent one. By what a request earns for its time alone the
// urgent kind with long answers loses to a less urgent one with short answers whenever
// there is too much to do.
func order(kinds map[string]*kind, now time.Duration) {
	for _, k := range kinds {
		k.urgency = 1
		for _, other := range kinds {
			if other.priority-k.priority < lessUrgent || now-other.seenAt > kindFor {
				continue
			}
			k.urgency = max(k.urgency, k.timely.behind(&other.timely))
		}
	}
}
