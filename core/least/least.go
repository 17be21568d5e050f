// Package least is the least-load policy of common load balancers, kept as a baseline: each
// entry dispatches every request at once to the upstream that last reported the least load.
// The reports are late, so a burst of requests goes to the same upstream.
package least

import (
	"time"

	"azurelane/core/direct"
	"azurelane/core/kernel"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name selects the policy in the configuration.
const Name = "least"

func init() { kernel.Register(Name, true, func() kernel.Scheduler { return &Least{} }) }

// Least is the state of the policy for one pool.
type Least struct {
	direct.Base
	next int
}

// Submit grants a slot on the live upstream with the least reported load relative to its
// limit. Upstreams with equal load take turns.
func (l *Least) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	return l.Grant(now, t, func(live []*upstr.Upstream) *upstr.Upstream {
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
