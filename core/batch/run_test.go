package batch

import (
	"time"

	"azurelane/core/wire"
)

type (
	// activeRun is a granted run with the time at which its answer is complete.
	activeRun struct {
		*wire.Decision
		ends time.Time
	}

	activeRuns []activeRun
)

// takeEnded removes and returns the runs that have ended.
func (r *activeRuns) takeEnded(now time.Time) activeRuns {
	var active, ended activeRuns
	for _, one := range *r {
		if now.Before(one.ends) {
			active = append(active, one)
			continue
		}
		ended = append(ended, one)
	}
	*r = active
	return ended
}
