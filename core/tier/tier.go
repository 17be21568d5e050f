// Package tier describes the priority tiers of requests.
package tier

import (
	"time"

	"azurelane/core/wire"
)

// Tier is one priority tier as operators configure it. The zero value is the most urgent
// level without a default deadline.
type Tier struct {
	Level    int           `json:"level"`             // 0 urgent, 1 normal, 2 bulk.
	Deadline time.Duration `json:"deadline,omitzero"` // For requests without one; zero for none.
	// Minimum share of the work units that the tier gets while its work waits, 0 to 1.
	Share float64 `json:"share,omitzero"`
}

// Levels is the number of priority levels that schedulers distinguish.
const Levels = 3

// Wire returns the level as it is encoded in messages. An invalid level counts as bulk, so
// that it can never overtake urgent work.
func (t Tier) Wire() wire.Tier {
	switch t.Level {
	case 0:
		return wire.Tier_TIER_URGENT
	case 1:
		return wire.Tier_TIER_NORMAL
	}
	return wire.Tier_TIER_BULK
}
