// Package least is the usual scheduling policy of load balancers, kept as a
// baseline: each entry sends every request on at once to the upstream that last
// reported the least load. The reports are late, so a burst herds onto one.
package least

import (
	"time"

	"azurelane/core/kernel"
	"azurelane/core/local"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "least"

func init() { kernel.Register(Name, true, func() kernel.Scheduler { return &Least{} }) }

// Least is the policy's state for one pool.
type Least struct {
	local.Local
	next int
}

// Submit grants the live upstream with the least reported load for its size.
// Equal ones take turns.
func (l *Least) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	return l.Choose(now, t, func(live []*upstr.Upstream) *upstr.Upstream {
		l.next++
		best := live[l.next%len(live)]
		for i := range live {
			if u := live[(l.next+i)%len(live)]; load(u) < load(best) {
				best = u
			}
		}
		return best
	})
}

func load(u *upstr.Upstream) float64 {
	return float64(u.GetRunning()+u.GetQueued()) / float64(u.AnnouncedLimit())
}
