// Package late is the scheduling policy that binds a ticket to an upstream as
// late as it can: tickets wait in one queue at the pool's owner, and only a
// free slot takes the first of them.
package late

import (
	"time"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/pool"
	"azurelane/core/slots"
	"azurelane/core/table"
	"azurelane/core/tier"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Name is the policy's name in the configuration.
const Name = "late"

func init() { kernel.Register(Name, false, func() kernel.Scheduler { return &Late{} }) }

type (
	// Late is the policy's state for one pool.
	Late struct {
		table   table.Table
		slots   slots.Slots
		pool    pool.Pool
		waiting [tier.Levels][]*waiter
		n       int
	}

	waiter struct {
		*wire.Ticket
		deadline time.Time // Zero for none.
	}
)

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// forgetAfter is how long an upstream without a lease stays known.
const forgetAfter = time.Minute

// Configure installs the pool's limits.
func (l *Late) Configure(now time.Time, name string, cfg *conf.Config) []*wire.Decision {
	l.pool = cfg.Pools[name].WithDefaults()
	return l.assign(now)
}

// Announce takes an upstream's lease and grants what now fits.
func (l *Late) Announce(now time.Time, a *wire.Announce) []*wire.Decision {
	l.table.Put(now, a)
	return l.assign(now)
}

// Submit queues a ticket, or refuses it when the pool is full.
func (l *Late) Submit(now time.Time, t *wire.Ticket) []*wire.Decision {
	if len(l.table.Live(now)) == 0 {
		return []*wire.Decision{refuse(t, "no-upstream")}
	}
	if l.n >= l.pool.MaxWaiting {
		return []*wire.Decision{refuse(t, "overloaded")}
	}
	w := &waiter{Ticket: t}
	if t.GetDeadlineUs() > 0 {
		w.deadline = now.Add(time.Duration(t.GetDeadlineUs()) * time.Microsecond)
	}
	level := min(max(int(t.GetTier()), 0), tier.Levels-1)
	l.waiting[level] = append(l.waiting[level], w)
	l.n++
	return l.assign(now)
}

// Release frees a slot and grants what now fits.
func (l *Late) Release(now time.Time, r *wire.Release) []*wire.Decision {
	l.slots.Free(r.GetOwner(), r.GetSlot())
	return l.assign(now)
}

// Withdraw drops a waiting ticket.
func (l *Late) Withdraw(_ time.Time, w *wire.Withdraw) {
	l.drop(func(t *waiter) bool {
		return t.GetId() == w.GetTicket() && t.GetIncarnation() == w.GetIncarnation()
	})
}

// Hold takes over slots granted by a former owner.
func (l *Late) Hold(now time.Time, h *wire.Held) {
	for _, s := range h.GetSlots() {
		if u := l.table.Get(s.GetGrant().GetUpstream()); u != nil {
			l.slots.Adopt(now, u, s)
		}
	}
}

// Forget drops a dead entry's tickets and slots.
func (l *Late) Forget(now time.Time, incarnation string) []*wire.Decision {
	l.slots.Forget(incarnation)
	l.drop(func(t *waiter) bool { return t.GetIncarnation() == incarnation })
	return l.assign(now)
}

// Tick refuses what is past its deadline and grants what now fits.
func (l *Late) Tick(now time.Time) []*wire.Decision {
	l.table.Expire(now, forgetAfter)
	var out []*wire.Decision
	l.drop(func(t *waiter) bool {
		if t.deadline.IsZero() || now.Before(t.deadline) {
			return false
		}
		out = append(out, refuse(t.Ticket, "deadline"))
		return true
	})
	return append(out, l.assign(now)...)
}

func (l *Late) drop(gone func(*waiter) bool) {
	for i, q := range l.waiting {
		kept := q[:0]
		for _, t := range q {
			if gone(t) {
				l.n--
				continue
			}
			kept = append(kept, t)
		}
		clear(q[len(kept):])
		l.waiting[i] = kept
	}
}

// assign grants free slots to the first tickets of the most urgent tier.
func (l *Late) assign(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for i := range l.waiting {
		for len(l.waiting[i]) > 0 {
			u := l.idlest(now)
			if u == nil {
				return out
			}
			t := l.waiting[i][0]
			l.waiting[i] = l.waiting[i][1:]
			l.n--
			out = append(out, l.slots.Grant(now, u, t.Ticket, l.pool.GrantTTL))
		}
	}
	return out
}

// idlest returns the live upstream with the smallest filled part, or nil when
// all are full.
func (l *Late) idlest(now time.Time) *upstr.Upstream {
	var best *upstr.Upstream
	for _, u := range l.table.All() {
		if !u.Live(now) || u.Running >= u.Limit() {
			continue
		}
		if best == nil || u.Running*best.Limit() < best.Running*u.Limit() {
			best = u
		}
	}
	return best
}

func refuse(t *wire.Ticket, code string) *wire.Decision {
	return &wire.Decision{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
		Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: code, RetryAfterUs: retryAfter.Microseconds()}},
	}
}
