// Package item describes a ticket as it waits in a queue.
package item

import (
	"time"

	"azurelane/core/tier"
	"azurelane/core/wire"
)

// Item is one waiting ticket with what the queue orders it by.
type Item struct {
	*wire.Ticket
	Work     float64   // Expected size in work units.
	Long     bool      // Long against the usual request of the pool.
	Deadline time.Time // Zero for none.
	LatestDispatch   time.Time // When a dispatch could still be in time; zero for any time.
}

// Level is the ticket's tier. Tiers out of range count as the lowest.
func (i *Item) Level() int {
	if l := int(i.GetTier()); l >= 0 && l < tier.Levels {
		return l
	}
	return tier.Levels - 1
}
