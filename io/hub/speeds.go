package hub

import (
	"maps"
	"slices"
	"time"
)

// speedsEvery is the time between two lines of what upstreams are believed to do: a
// run of seconds is placed by it, and a belief that is wrong for long shows in several.
const speedsEvery = 5 * time.Second

// tellSpeeds writes down how fast upstreams are believed to be, in microseconds for a
// token of an answer. A request that is refused while there is room was held for such
// as no upstream could end in time; these lines tell whether that was true.
func (r *reign) tellSpeeds(now time.Time) {
	if now.Sub(r.spoke) < speedsEvery {
		return
	}
	r.spoke = now
	speeds := r.sched.TokenTimes()
	for _, pool := range slices.Sorted(maps.Keys(speeds)) {
		if len(speeds[pool]) == 0 {
			continue
		}
		each := make(map[string]int64, len(speeds[pool]))
		for name, token := range speeds[pool] {
			each[name] = token.Microseconds()
		}
		r.log.Info("Speeds of upstreams.", "pool", pool, "us-a-token", each, "scheduler", r.id)
	}
}
