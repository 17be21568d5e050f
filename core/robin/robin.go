// Package robin is the naive scheduling policy, kept as a baseline: each
// entry sends every request on at once to the next upstream it knows, in turn.
package robin

import (
	"time"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/pool"
	"azurelane/core/slots"
	"azurelane/core/table"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "robin"

func init() { kernel.Register(Name, true, func() kernel.Scheduler { return &Robin{} }) }

// Robin is the policy's state for one pool.
type Robin struct {
	table table.Table
	slots slots.Slots
	pool  pool.Pool
	next  int
}

// Configure installs the pool's limits.
func (r *Robin) Configure(_ time.Time, name string, cfg *conf.Config) []*wire.Decision {
	r.pool = cfg.Pools[name].WithDefaults()
	return nil
}

// Announce takes an upstream's lease.
func (r *Robin) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	r.table.Put(now, a)
	return nil
}

// Submit grants the next live upstream, however much it has to do.
func (r *Robin) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	live := r.table.Live(now)
	if len(live) == 0 {
		return []*wire.Decision{{
			Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
			Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: "no-upstream", RetryAfterUs: time.Second.Microseconds()}},
		}}
	}
	r.next++
	return []*wire.Decision{r.slots.Grant(now, live[r.next%len(live)], t, r.pool.GrantTTL)}
}

// Release frees the slot.
func (r *Robin) Release(_ time.Time, rel *wire.Release) []*wire.Decision {
	r.slots.Free(rel.GetOwner(), rel.GetSlot())
	return nil
}

// Withdraw has nothing to drop: no ticket ever waits.
func (r *Robin) Withdraw(time.Time, *wire.Withdraw) {}

// Hold has nothing to take over: the policy knows no limits.
func (r *Robin) Hold(time.Time, *wire.Held) {}

// Forget frees a dead entry's slots.
func (r *Robin) Forget(_ time.Time, incarnation string) []*wire.Decision {
	r.slots.Forget(incarnation)
	return nil
}

// Tick forgets upstreams without a lease.
func (r *Robin) Tick(now time.Time) []*wire.Decision {
	r.table.Expire(now, time.Minute)
	return nil
}
