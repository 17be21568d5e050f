package batch

import (
	"time"

	"azurelane/core/wire"
)

type (
	// run is one that was granted, and when its answer is whole.
	run struct {
		*wire.Decision
		ends time.Time
	}

	runs []run
)

// ended takes those out that have ended.
func (r *runs) ended(now time.Time) runs {
	var on, over runs
	for _, one := range *r {
		if now.Before(one.ends) {
			on = append(on, one)
			continue
		}
		over = append(over, one)
	}
	*r = on
	return over
}
