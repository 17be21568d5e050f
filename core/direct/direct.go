// Package direct holds the common part of the baseline policies that run at every entry,
// know only what upstreams announced, and dispatch each request at once.
package direct

import (
	"time"

	"azurelane/core/conf"
	"azurelane/core/leases"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/slots"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Base is the common part of these policies. A policy embeds it and adds Submit.
type Base struct {
	table leases.Table
	slots slots.Slots
	pool  pool.Pool
}

const (
	retryAfter        = time.Second
	upstreamRetention = time.Minute
)

// Configure installs the pool's limits.
func (b *Base) Configure(_ time.Time, name string, cfg *conf.Config) []*wire.Decision {
	b.pool = cfg.Pools[name].WithDefaults()
	return nil
}

// Announce records an upstream's lease and load report.
func (b *Base) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	b.table.Update(now, a)
	return nil
}

// Grant grants the ticket a slot on the upstream that pick selects among the live ones that
// serve the ticket. If there are none, the ticket is refused.
func (b *Base) Grant(now time.Time, t *wire.Ticket, pick func([]*upstr.Upstream) *upstr.Upstream) []*wire.Decision {
	b.slots.Cancel(now, t.GetIncarnation(), t.GetId())
	var live []*upstr.Upstream
	for _, u := range b.table.All() {
		if u.Live(now) && u.Meter.CanSend(now) && u.Eligible(t, t.GetVersion()) {
			live = append(live, u)
		}
	}
	if len(live) == 0 {
		return []*wire.Decision{refuse.Ticket(t, refuse.NoUpstream, retryAfter)}
	}
	return []*wire.Decision{b.slots.Grant(now, &slot.Slot{Upstream: pick(live), Ticket: t}, b.pool.GrantTTL)}
}

// Release frees the slot.
func (b *Base) Release(now time.Time, r *wire.Release) []*wire.Decision {
	b.slots.Free(now, r)
	return nil
}

// Withdraw frees the slot of a ticket that was granted at the same moment. Tickets never
// wait here.
func (b *Base) Withdraw(now time.Time, w *wire.Withdraw) {
	b.slots.Cancel(now, w.GetIncarnation(), w.GetTicket())
}

// Hold does nothing: every entry grants its own slots, so there are none to take over.
func (b *Base) Hold(time.Time, *wire.Held) {}

// Forget frees a dead entry's slots.
func (b *Base) Forget(_ time.Time, incarnation string) []*wire.Decision {
	b.slots.FreeEntry(incarnation)
	return nil
}

// Tick forgets upstreams whose lease ended more than upstreamRetention ago.
func (b *Base) Tick(now time.Time) []*wire.Decision {
	b.table.Expire(now, upstreamRetention)
	return nil
}
