// Package local is what the baselines have in common that run at every entry,
// know only what upstreams announced, and send each request on at once.
package local

import (
	"time"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/slots"
	"azurelane/core/table"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Local is the part of a local policy that all of them share. A policy embeds
// it and adds Submit.
type Local struct {
	table table.Table
	slots slots.Slots
	pool  pool.Pool
}

const (
	retryAfter  = time.Second
	forgetAfter = time.Minute
)

// Configure installs the pool's limits.
func (l *Local) Configure(_ time.Time, name string, cfg *conf.Config) []*wire.Decision {
	l.pool = cfg.Pools[name].WithDefaults()
	return nil
}

// Announce takes an upstream's lease and load report.
func (l *Local) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	l.table.Put(now, a)
	return nil
}

// Choose grants what pick returns of the live upstreams that serve the ticket.
// Without one the ticket is refused.
func (l *Local) Choose(now time.Time, t *wire.Ticket, pick func([]*upstr.Upstream) *upstr.Upstream) []*wire.Decision {
	l.slots.Cancel(now, t.GetIncarnation(), t.GetId())
	var live []*upstr.Upstream
	for _, u := range l.table.All() {
		if u.Live(now) && u.Meter.CanSend(now) && u.Eligible(t) {
			live = append(live, u)
		}
	}
	if len(live) == 0 {
		return []*wire.Decision{refuse.Ticket(t, refuse.NoUpstream, retryAfter)}
	}
	return []*wire.Decision{l.slots.Grant(now, &slot.Slot{Upstream: pick(live), Ticket: t}, l.pool.GrantTTL)}
}

// Release frees the slot.
func (l *Local) Release(now time.Time, r *wire.Release) []*wire.Decision {
	l.slots.Free(now, r)
	return nil
}

// Withdraw frees a slot that was granted in the same moment. No ticket waits.
func (l *Local) Withdraw(now time.Time, w *wire.Withdraw) {
	l.slots.Cancel(now, w.GetIncarnation(), w.GetTicket())
}

// Hold has nothing to take over: every entry grants its own slots.
func (l *Local) Hold(time.Time, *wire.Held) {}

// Forget frees a dead entry's slots.
func (l *Local) Forget(_ time.Time, incarnation string) []*wire.Decision {
	l.slots.FreeEntry(incarnation)
	return nil
}

// Tick forgets upstreams without a lease.
func (l *Local) Tick(now time.Time) []*wire.Decision {
	l.table.Expire(now, forgetAfter)
	return nil
}
