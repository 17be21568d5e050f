// Package reqage estimates how long ago a caller sent the first attempt of a request, from the
// time that it will still wait.
package reqage

import (
	"slices"
	"time"
)

const (
	// window is the number of waits that are remembered. It is large enough for a median when a
	// third of the attempts are retries, and small enough to follow a change.
	window = 63
	// maxSpread bounds how far a first attempt's wait lies below the longest remembered wait. Its
	// unit is the difference between the longest and the median wait. If waits are distributed
	// evenly, the shortest lies two units below the longest; the rest of the bound allows for the
	// retries among the remembered waits.
	maxSpread = 2.4
)

// Estimator holds the waits of the callers of one route. A retry after a refusal comes with less
// time than a first attempt. But callers also differ: one that allows a tenth less time than
// others need not be a retry. When such callers were taken for retries, they were refused as if
// their objective were nearly over; nine in ten refusals of the most urgent route came about in
// this way. The zero value is ready to use.
type Estimator struct {
	waits [window]time.Duration
	n     int // Waits seen, of which the last window are remembered.
}

// Observe records how long a caller will wait. It returns the estimated time since the caller's
// first attempt, zero for a first attempt.
func (e *Estimator) Observe(wait time.Duration) time.Duration {
	e.waits[e.n%window] = wait
	e.n++
	sorted := slices.Clone(e.waits[:min(e.n, window)])
	slices.Sort(sorted)
	longest := sorted[len(sorted)-1]
	medianDiff := longest - sorted[len(sorted)/2]
	diff := longest - wait
	if diff <= time.Duration(maxSpread*float64(medianDiff)) {
		return 0
	}
	// The wait of this caller's first attempt is unknown; the median wait stands in for it.
	return diff - medianDiff
}
