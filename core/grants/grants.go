// Package grants keeps the slots that an entry holds. Only the entry knows them for certain, so it
// sends lists of them to the owners of the pools.
package grants

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/wire"
)

// PoolRetention is how long a pool is listed after its last slot was released. The empty list frees
// a slot whose release was lost.
const PoolRetention = 10 * time.Second

// MinListAge is the minimum age of a slot in periodic lists. An owner does not free younger slots
// that a list lacks, and most runs of short requests end earlier, so listing those slots would only
// add bytes.
const MinListAge = 2 * time.Second

type (
	// Set holds the slots by ticket. The zero value is empty and ready to use.
	Set struct {
		slots map[uint64]*heldSlot
		pools map[string]time.Time // Last use of each pool.
	}

	heldSlot struct {
		*wire.HeldSlot
		addedAt time.Time
	}
)

// Add records a granted slot.
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

// Remove records that the slot of a ticket was released.
func (h *Set) Remove(now time.Time, pool string, ticket uint64) {
	if h.slots[ticket] != nil {
		delete(h.slots, ticket)
		h.pools[pool] = now
	}
}

// Pools returns the pools whose owners need a list, sorted: those with held slots, and those used
// within PoolRetention.
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

// List returns the slots of the given pools that are at least as old as age, sorted by ticket.
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

// Tickets returns the ticket IDs of the slots that List returns. They are sufficient for an owner
// that has received these slots in a list before.
func (h *Set) Tickets(now time.Time, pools []string, age time.Duration) []uint64 {
	var list []uint64
	for _, s := range h.List(now, pools, age) {
		list = append(list, s.GetTicket().GetId())
	}
	return list
}

// Len returns the number of slots held.
func (h *Set) Len() int { return len(h.slots) }
