// Package robin is the naive scheduling policy, kept as a baseline: each
// entry sends every request on at once to the next upstream it knows, in turn.
package robin

import (
	"time"

	"azurelane/core/kernel"
	"azurelane/core/direct"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "robin"

func init() { kernel.Register(Name, true, func() kernel.Scheduler { return &Robin{} }) }

// Robin is the policy's state for one pool.
type Robin struct {
	direct.Base
	next int
}

// Submit grants the next live upstream, however much it has to do.
func (r *Robin) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	return r.Grant(now, t, func(live []*upstr.Upstream) *upstr.Upstream {
		r.next++
		return live[r.next%len(live)]
	})
}
