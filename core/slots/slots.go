// Package slots tracks the slots of one pool that are granted and not yet released.
package slots

import (
	"maps"
	"slices"
	"time"

	"azurelane/core/slot"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

type (
	// Slots holds the grants of one pool that have not been released, at most one per ticket, and
	// updates the load counters of their upstreams. The zero value is empty and ready to use.
	Slots struct {
		Changed func(*upstr.Upstream) // Called after the number of running requests of an upstream has changed; may be nil.

		lastNumber uint64                           // Number of the latest slot granted here.
		held       map[string]map[uint64]*slot.Slot // By entry incarnation and ticket.
		accounts   map[string]int                   // Number of held slots by client account.
		count      int
		released   map[slotID]time.Time // Release times of recently released slots.
	}

	// slotID identifies a slot uniquely. Each owner numbers its slots independently, so the number
	// alone is not unique.
	slotID struct {
		incarnation, owner string
		ticket, number     uint64
	}
)

const (
	// ReconcileGrace is the age at which a slot is freed if the list of its entry lacks it. A
	// younger grant may still be in transit to the entry.
	ReconcileGrace = 5 * time.Second
	// releasedRetention is how long a released slot is remembered and not adopted again. Lists of
	// held slots are not in transit for longer.
	releasedRetention = 10 * time.Second
)

// Grant takes a slot for g.Ticket on g.Upstream, numbers it and returns the decision for the entry.
// The grant expires after ttl.
func (s *Slots) Grant(now time.Time, g *slot.Slot, ttl time.Duration) *wire.Decision {
	s.lastNumber++
	g.Number, g.GrantedAt, g.Owner = s.lastNumber, now, ""
	g.Upstream.Meter.Take(now)
	g.Upstream.Admit.Sent(now, g.Number)
	s.add(g)
	t := g.Ticket
	return &wire.Decision{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
		Kind: &wire.Decision_Grant{Grant: &wire.Grant{
			Slot: g.Number, Upstream: g.Upstream.GetUpstream(), Address: g.Upstream.GetAddress(), ExpiresUs: ttl.Microseconds(),
			CanResume: g.Upstream.GetCanResume(), Version: g.Upstream.GetVersion(),
		}},
	}
}

// Reconcile updates the slots of an entry to the list that the entry sent. The list is
// authoritative, because only the entry knows which requests it dispatched:
//
//   - A listed slot that is unknown here is adopted. It was granted by a former owner, or by this
//     owner before it wrongly took the entry for dead.
//   - A known slot that is not listed is freed once it is older than ReconcileGrace. Its grant or
//     its release was lost on the network. Without this rule, each loss would reduce the capacity of
//     the upstream by one slot for good.
//
// A list may arrive after the release of one of its slots. Released slots are therefore remembered
// for releasedRetention and not adopted. Tickets identifies held slots that earlier lists described
// in full. Those that are unknown here are adopted once a list describes them again. Lookup finds
// an upstream by name.
func (s *Slots) Reconcile(now time.Time, incarnation string, list []*wire.HeldSlot, tickets []uint64, lookup func(string) *upstr.Upstream) {
	listed := make(map[uint64]bool, len(list)+len(tickets))
	for _, id := range tickets {
		listed[id] = true
	}
	for _, h := range list {
		t, g := h.GetTicket(), h.GetGrant()
		listed[t.GetId()] = true
		k := slotID{incarnation, g.GetOwner(), t.GetId(), g.GetSlot()}
		if _, released := s.released[k]; released || s.held[incarnation][t.GetId()] != nil {
			continue
		}
		s.add(&slot.Slot{Upstream: lookup(g.GetUpstream()), Ticket: t, Owner: g.GetOwner(), Number: g.GetSlot(), GrantedAt: now})
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
	s.notify(v.Upstream)
}

func (s *Slots) notify(u *upstr.Upstream) {
	if s.Changed != nil {
		s.Changed(u)
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
	s.notify(v.Upstream)
}

// Free releases the slot that r names. It returns nil if that slot was released before. A late
// release of an earlier slot of a ticket does not free the ticket's current slot.
func (s *Slots) Free(now time.Time, r *wire.Release) *slot.Slot {
	v := s.held[r.GetIncarnation()][r.GetTicket()]
	if v == nil || v.Owner != r.GetOwner() || v.Number != r.GetSlot() {
		return nil
	}
	s.release(now, v)
	if r.GetBusy() {
		v.Upstream.Admit.Refused(now, v.Number, v.Upstream.Running)
	} else {
		v.Upstream.Admit.Accepted(v.Number)
	}
	return v
}

// Cancel releases the slot of a ticket that the entry will not dispatch with that slot, or returns
// nil if the ticket has none. The entry has withdrawn the ticket or submitted it again, so the
// grant never arrived or the entry no longer uses it.
func (s *Slots) Cancel(now time.Time, incarnation string, ticket uint64) *slot.Slot {
	v := s.held[incarnation][ticket]
	if v == nil {
		return nil
	}
	return s.release(now, v)
}

// release removes a slot and remembers it, so that an outdated list does not bring it back.
func (s *Slots) release(now time.Time, v *slot.Slot) *slot.Slot {
	s.remove(v)
	s.released[slotID{v.Ticket.GetIncarnation(), v.Owner, v.Ticket.GetId(), v.Number}] = now
	return v
}

// FreeEntry frees all slots that an incarnation of an entry holds. Later lists of the entry may
// bring them back.
func (s *Slots) FreeEntry(incarnation string) {
	for _, v := range s.held[incarnation] {
		s.remove(v)
	}
}

// FreeUpstream frees all slots on an upstream whose process has restarted, because the runs of the
// old process ended with it. Entries behind a network partition notice the restart late, and until
// then their slots would take up free capacity of the new process.
func (s *Slots) FreeUpstream(now time.Time, u *upstr.Upstream) {
	for _, tickets := range s.held {
		for _, v := range tickets {
			if v.Upstream == u {
				s.release(now, v)
			}
		}
	}
}

// Sweep frees slots older than limit, the longest run that an entry allows, and calls visit for
// every other slot.
func (s *Slots) Sweep(now time.Time, limit time.Duration, visit func(*slot.Slot)) {
	for _, tickets := range s.held {
		for _, v := range tickets {
			if now.Sub(v.GrantedAt) > limit {
				s.remove(v)
				continue
			}
			visit(v)
		}
	}
	maps.DeleteFunc(s.released, func(_ slotID, at time.Time) bool { return now.Sub(at) > releasedRetention })
}

// Each calls visit for every slot held, in any order.
func (s *Slots) Each(visit func(*slot.Slot)) {
	for _, tickets := range s.held {
		for _, v := range tickets {
			visit(v)
		}
	}
}

// Of returns the slot that a ticket of an incarnation holds, or nil if it holds none.
func (s *Slots) Of(incarnation string, ticket uint64) *slot.Slot { return s.held[incarnation][ticket] }

// AccountLen returns the number of slots that a client account holds.
func (s *Slots) AccountLen(name string) int { return s.accounts[name] }

// Accounts returns the client accounts that hold slots.
func (s *Slots) Accounts() []string { return slices.Collect(maps.Keys(s.accounts)) }

// ByEntry returns the number of slots by the name of the entry that holds them.
func (s *Slots) ByEntry() map[string]int {
	counts := make(map[string]int, len(s.held))
	for _, tickets := range s.held {
		for _, v := range tickets {
			counts[v.Ticket.GetEntry()]++
		}
	}
	return counts
}

// EntryLen returns the number of slots that an incarnation of an entry holds.
func (s *Slots) EntryLen(incarnation string) int { return len(s.held[incarnation]) }

// Len returns the number of slots held.
func (s *Slots) Len() int { return s.count }
