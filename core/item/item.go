// Package item describes a ticket that waits in a queue.
package item

import (
	"time"

	"azurelane/core/tier"
	"azurelane/core/wire"
)

// Item is a waiting ticket with the values by which the queue orders it.
type Item struct {
	*wire.Ticket
	Work           float64   // Expected cost in work units.
	Long           bool      // Long compared with the usual request of the pool.
	Deadline       time.Time // Zero for none.
	LatestDispatch time.Time // Latest dispatch that can still meet the deadline; zero for any time.
	RunsAt         string    // Version of the upstreams that may run it; see upstr.Upstream.HasVersion.
}

// Level returns the ticket's tier. Tiers out of range count as the lowest.
func (i *Item) Level() int {
	if l := int(i.GetTier()); l >= 0 && l < tier.Levels {
		return l
	}
	return tier.Levels - 1
}
