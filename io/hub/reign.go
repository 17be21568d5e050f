package hub

import (
	"context"
	"time"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// submit charges the ticket to its account and waits for the decision.
func (r *reign) submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	r.mu.Lock()
	wait, ok := r.allow.Take(time.Now(), t.GetAccount(), t.GetUnits())
	r.mu.Unlock()
	if !ok {
		return refuse.Ticket(t, refuse.AccountLimit, wait)
	}
	d := r.sched.Submit(ctx, t)
	if d.GetRefusal() != nil {
		r.mu.Lock()
		r.allow.Charge(time.Now(), t.GetAccount(), -t.GetUnits())
		r.mu.Unlock()
	}
	return d
}

// release gives a slot back. An upstream that served is alive, even if its
// announcements get lost.
func (r *reign) release(rel *wire.Release) {
	if rel.GetDispatched() && !rel.GetFailed() {
		if a := r.beats.served(time.Now(), rel.GetUpstream()); a != nil {
			r.sched.Announce(a)
		}
	}
	r.sched.Release(rel)
}

// used charges what an entry served by itself.
func (r *reign) used(u *wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range u.GetAccounts() {
		r.allow.Charge(time.Now(), a.GetAccount(), a.GetUnits())
	}
}
