// Package held keeps the slots that an entry holds, the truth about which only
// the entry has.
package grants

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/wire"
)

// PoolRetention is how long a pool is listed after its last slot was given back. An
// empty list frees what a lost release left taken.
const PoolRetention = 10 * time.Second

// MinListAge is the age from which a slot stands in a periodic list. An owner
// leaves younger absent ones alone, so listing them would only cost bytes:
// most runs of short requests are over before.
const MinListAge = 2 * time.Second

type (
	// Set holds the slots by ticket. The zero value is empty and ready.
	Set struct {
		slots map[uint64]*heldSlot
		pools map[string]time.Time // Last use of each pool.
	}

	heldSlot struct {
		*wire.HeldSlot
		addedAt time.Time
	}
)

// Add notes a grant.
func (h *Set) Add(now time.Time, t *wire.Ticket, g *wire.Grant) {
	if h.slots == nil {
		h.slots, h.pools = map[uint64]*heldSlot{}, map[string]time.Time{}
	}
	h.slots[t.GetId()] = &heldSlot{&wire.HeldSlot{
		Ticket: &wire.Ticket{
			Id: t.GetId(), Incarnation: t.GetIncarnation(), Account: t.GetAccount(), Pool: t.GetPool(), Model: t.GetModel(),
			Tier: t.GetTier(), PromptTokens: t.GetPromptTokens(), AnswerTokens: t.GetAnswerTokens(), PrefixHash: t.GetPrefixHash(),
			Route: t.GetRoute(), Priority: t.GetPriority(), AccountPriority: t.GetAccountPriority(),
		},
		Grant: &wire.Grant{Slot: g.GetSlot(), Owner: g.GetOwner(), Upstream: g.GetUpstream()},
	}, now}
	h.pools[t.GetPool()] = now
}

// Remove notes that the slot of a ticket was given back.
func (h *Set) Remove(now time.Time, pool string, ticket uint64) {
	if h.slots[ticket] != nil {
		delete(h.slots, ticket)
		h.pools[pool] = now
	}
}

// Pools lists the pools whose owners want a list, sorted.
func (h *Set) Pools(now time.Time) []string {
	for _, s := range h.slots {
		h.pools[s.GetTicket().GetPool()] = now
	}
	var list []string
	for p, used := range h.pools {
		if now.Sub(used) > PoolRetention {
			delete(h.pools, p)
			continue
		}
		list = append(list, p)
	}
	slices.Sort(list)
	return list
}

// List returns the slots of some pools that are at least so old, by ticket.
func (h *Set) List(now time.Time, pools []string, age time.Duration) []*wire.HeldSlot {
	var list []*wire.HeldSlot
	for _, s := range h.slots {
		if now.Sub(s.addedAt) >= age && slices.Contains(pools, s.GetTicket().GetPool()) {
			list = append(list, s.HeldSlot)
		}
	}
	slices.SortFunc(list, func(a, b *wire.HeldSlot) int { return cmp.Compare(a.GetTicket().GetId(), b.GetTicket().GetId()) })
	return list
}

// Tickets returns the tickets of the slots that List returns: all that an owner
// needs which has had the list before.
func (h *Set) Tickets(now time.Time, pools []string, age time.Duration) []uint64 {
	var list []uint64
	for _, s := range h.List(now, pools, age) {
		list = append(list, s.GetTicket().GetId())
	}
	return list
}

// Len is the number of slots held.
func (h *Set) Len() int { return len(h.slots) }
