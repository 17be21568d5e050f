// Package robin is the round-robin policy, kept as a baseline: each entry dispatches every
// request at once to the next upstream that it knows, in turn.
package robin

import (
	"time"

	"azurelane/core/direct"
	"azurelane/core/kernel"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name selects the policy in the configuration.
const Name = "robin"

func init() { kernel.Register(Name, true, func() kernel.Scheduler { return &Robin{} }) }

// Robin is the state of the policy for one pool.
type Robin struct {
	direct.Base
	next int
}

// Submit grants a slot on the next live upstream, whatever its load.
func (r *Robin) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	return r.Grant(now, t, func(live []*upstr.Upstream) *upstr.Upstream {
		r.next++
		return live[r.next%len(live)]
	})
}
