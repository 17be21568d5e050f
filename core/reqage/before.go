// Package before tells how long ago a caller first tried, by the time that it
// says it will still wait.
package reqage

import (
	"slices"
	"time"
)

const (
	// keep is how many waits are remembered: enough for a median among which a
	// third came back after a refusal, and few enough to follow a change.
	keep = 63
	// spread is the greatest difference of first waits in times of their median
	// difference: twice for an even distribution, and a part more for those among
	// the remembered that are no first ones.
	spread = 2.4
)

// Estimator holds the waits of one route's callers. An attempt after a refusal comes
// with less time than a first one; but callers may also differ, and those who
// bring a tenth less time have not waited for that long. Taken for attempts of
// long ago, they were refused as if their objective were nearly over, as nine in ten of
// those refused of the most urgent kind were. The zero value is ready.
type Estimator struct {
	waits [keep]time.Duration
	n     int // Seen, of which the last keep are remembered.
}

// Observe notes how long a caller will wait and returns how long ago it first tried,
// as far as that can be told.
func (b *Estimator) Observe(wait time.Duration) time.Duration {
	b.waits[b.n%keep] = wait
	b.n++
	sorted := slices.Clone(b.waits[:min(b.n, keep)])
	slices.Sort(sorted)
	longest := sorted[len(sorted)-1]
	usual := longest - sorted[len(sorted)/2]
	less := longest - wait
	if less <= time.Duration(spread*float64(usual)) {
		return 0
	}
	return less - usual
}
