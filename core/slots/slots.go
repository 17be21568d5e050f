// Package slots counts what runs where, by the grants given out.
package slots

import (
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Slots holds the grants of one pool that have not been released. The zero
// value is empty and ready.
type Slots struct {
	last uint64
	held map[key]*slot
}

type (
	// key names a slot. Owners number their slots by themselves, so a slot
	// taken over from a former owner keeps that owner's name.
	key struct {
		owner string
		slot  uint64
	}

	slot struct {
		up     *upstr.Upstream
		ticket *wire.Ticket
		since  time.Time
	}
)

// Grant takes a slot on an upstream for a ticket.
func (s *Slots) Grant(now time.Time, u *upstr.Upstream, t *wire.Ticket, ttl time.Duration) *wire.Decision {
	s.last++
	s.put(key{"", s.last}, &slot{u, t, now})
	return &wire.Decision{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
		Kind: &wire.Decision_Grant{Grant: &wire.Grant{
			Slot: s.last, Upstream: u.GetUpstream(), Address: u.GetAddress(), ExpiresUs: ttl.Microseconds(),
		}},
	}
}

// Adopt records a slot that another owner granted. It reports false when the
// slot is known already, so that a list sent twice counts once.
func (s *Slots) Adopt(now time.Time, u *upstr.Upstream, h *wire.HeldSlot) bool {
	k := key{h.GetGrant().GetOwner(), h.GetGrant().GetSlot()}
	if _, ok := s.held[k]; ok {
		return false
	}
	s.put(k, &slot{u, h.GetTicket(), now})
	return true
}

func (s *Slots) put(k key, v *slot) {
	if s.held == nil {
		s.held = map[key]*slot{}
	}
	s.held[k] = v
	v.up.Running++
}

// Free gives back the slot that a release names. It returns the upstream and
// the ticket, or false when the slot was freed before.
func (s *Slots) Free(owner string, n uint64) (*upstr.Upstream, *wire.Ticket, bool) {
	k := key{owner, n}
	v, ok := s.held[k]
	if !ok {
		return nil, nil, false
	}
	delete(s.held, k)
	v.up.Running--
	return v.up, v.ticket, true
}

// Forget frees every slot that an entry's incarnation held.
func (s *Slots) Forget(incarnation string) {
	for k, v := range s.held {
		if v.ticket.GetIncarnation() == incarnation {
			delete(s.held, k)
			v.up.Running--
		}
	}
}

// Len is the number of slots held.
func (s *Slots) Len() int { return len(s.held) }
