// Package slots counts what runs where, by the grants given out.
package slots

import (
	"maps"
	"time"

	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

type (
	// Slots holds the grants of one pool that have not been released: at most
	// one a ticket. The zero value is empty and ready.
	Slots struct {
		lastNumber     uint64
		held     map[string]map[uint64]*slot.Slot // By entry incarnation and ticket.
		accounts map[string]int
		count        int
		released map[slotID]time.Time
	}

	// slotID names a slot for good. Owners number their slots by themselves.
	slotID struct {
		incarnation, owner string
		ticket, number     uint64
	}
)

const (
	// ReconcileGrace is how old a slot must be before its absence from the list of
	// its entry frees it. A grant is on its way to the entry for less than that.
	ReconcileGrace = 5 * time.Second
	// releasedRetention is how long a released slot can't be adopted again. Lists
	// of held slots are not underway for longer.
	releasedRetention = 10 * time.Second
)

// Grant takes a slot for s.Ticket on s.Up, numbers it and returns the decision.
func (s *Slots) Grant(now time.Time, g *slot.Slot, ttl time.Duration) *wire.Decision {
	s.lastNumber++
	g.Number, g.GrantedAt, g.Owner = s.lastNumber, now, ""
	g.Upstream.Meter.Take(now)
	s.add(g)
	t := g.Ticket
	return &wire.Decision{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
		Kind: &wire.Decision_Grant{Grant: &wire.Grant{
			Slot: g.Number, Upstream: g.Upstream.GetUpstream(), Address: g.Upstream.GetAddress(), ExpiresUs: ttl.Microseconds(),
			CanResume: g.Upstream.GetCanResume(),
		}},
	}
}

// Reconcile reconciles the slots of an entry with the list that it sent. The list
// is the truth, since only the entry knows what it dispatched:
//
//   - A listed slot that isn't known is adopted. A former owner granted it, or
//     this one took the entry for dead and it wasn't.
//   - A known slot that isn't listed is freed once it is older than HeldGrace.
//     Its grant or its release was lost on a link. Without this rule it would
//     stay taken for ever and the upstream would lose a place with each loss.
//
// A list that was overtaken by a release must not bring the slot back, so
// released slots are remembered for a while. Tickets names slots that stood in
// a list before; one that isn't known is adopted when it stands in a list again.
// Up finds an upstream by name.
func (s *Slots) Reconcile(now time.Time, incarnation string, list []*wire.HeldSlot, tickets []uint64, up func(string) *upstr.Upstream) {
	listed := make(map[uint64]bool, len(list)+len(tickets))
	for _, id := range tickets {
		listed[id] = true
	}
	for _, h := range list {
		t, g := h.GetTicket(), h.GetGrant()
		listed[t.GetId()] = true
		k := slotID{incarnation, g.GetOwner(), t.GetId(), g.GetSlot()}
		if _, gone := s.released[k]; gone || s.held[incarnation][t.GetId()] != nil {
			continue
		}
		s.add(&slot.Slot{Upstream: up(g.GetUpstream()), Ticket: t, Owner: g.GetOwner(), Number: g.GetSlot(), GrantedAt: now})
	}
	for id, v := range s.held[incarnation] {
		if !listed[id] && now.Sub(v.GrantedAt) > ReconcileGrace {
			s.remove(v)
		}
	}
}

func (s *Slots) add(v *slot.Slot) {
	if s.held == nil {
		s.held = map[string]map[uint64]*slot.Slot{}
		s.accounts = map[string]int{}
		s.released = map[slotID]time.Time{}
	}
	inc := v.Ticket.GetIncarnation()
	if s.held[inc] == nil {
		s.held[inc] = map[uint64]*slot.Slot{}
	}
	s.held[inc][v.Ticket.GetId()] = v
	s.count++
	s.accounts[v.Ticket.GetAccount()]++
	v.Upstream.Running++
	v.Upstream.ReservedTokens += v.Tokens()
	if v.Long {
		v.Upstream.LongRunning++
	}
}

func (s *Slots) remove(v *slot.Slot) {
	inc := v.Ticket.GetIncarnation()
	delete(s.held[inc], v.Ticket.GetId())
	if len(s.held[inc]) == 0 {
		delete(s.held, inc)
	}
	s.count--
	if a := v.Ticket.GetAccount(); s.accounts[a] > 1 {
		s.accounts[a]--
	} else {
		delete(s.accounts, a)
	}
	v.Upstream.Running--
	v.Upstream.ReservedTokens -= v.Tokens()
	if v.Long {
		v.Upstream.LongRunning--
	}
}

// Free gives back the slot that a release names, or returns nil when it was
// given back before. A late release of a ticket's former slot does not free the
// slot that the ticket has now.
func (s *Slots) Free(now time.Time, r *wire.Release) *slot.Slot {
	v := s.held[r.GetIncarnation()][r.GetTicket()]
	if v == nil || v.Owner != r.GetOwner() || v.Number != r.GetSlot() {
		return nil
	}
	return s.release(now, v)
}

// Cancel frees the slot of a ticket that will not be dispatched under it, or
// returns nil when it has none. The entry has withdrawn the ticket or sent it
// again, so the grant never reached it or it has given up on it.
func (s *Slots) Cancel(now time.Time, incarnation string, ticket uint64) *slot.Slot {
	v := s.held[incarnation][ticket]
	if v == nil {
		return nil
	}
	return s.release(now, v)
}

// release drops a slot and remembers it, so that no list brings it back.
func (s *Slots) release(now time.Time, v *slot.Slot) *slot.Slot {
	s.remove(v)
	s.released[slotID{v.Ticket.GetIncarnation(), v.Owner, v.Ticket.GetId(), v.Number}] = now
	return v
}

// FreeEntry frees every slot that an entry's incarnation held.
func (s *Slots) FreeEntry(incarnation string) {
	for _, v := range s.held[incarnation] {
		s.remove(v)
	}
}

// FreeUpstream frees every slot on an upstream: its process has started anew, so that
// none of its runs goes on. Some entries notice it late, behind a cut, and would
// hold places there that the new process has free.
func (s *Slots) FreeUpstream(now time.Time, u *upstr.Upstream) {
	for _, tickets := range s.held {
		for _, v := range tickets {
			if v.Upstream == u {
				s.release(now, v)
			}
		}
	}
}

// Sweep frees slots older than limit, the longest run that an entry allows,
// and calls look for all others.
func (s *Slots) Sweep(now time.Time, limit time.Duration, look func(*slot.Slot)) {
	for _, tickets := range s.held {
		for _, v := range tickets {
			if now.Sub(v.GrantedAt) > limit {
				s.remove(v)
				continue
			}
			look(v)
		}
	}
	maps.DeleteFunc(s.released, func(_ slotID, at time.Time) bool { return now.Sub(at) > releasedRetention })
}

// AccountLen is the number of slots that a client account holds.
func (s *Slots) AccountLen(name string) int { return s.accounts[name] }

// Len is the number of slots held.
func (s *Slots) Len() int { return s.count }
