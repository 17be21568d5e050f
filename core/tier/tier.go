// Package tier describes a priority tier of requests.
package tier

import (
	"time"

	"azurelane/core/wire"
)

// Tier is one priority tier as operators configure it. The zero value is the
// most urgent level without a default deadline.
type Tier struct {
	Level    int           `json:"level"`             // 0 urgent, 1 normal, 2 bulk.
	Deadline time.Duration `json:"deadline,omitzero"` // For requests that name none; zero for none.
	Share    float64       `json:"share,omitzero"`    // Least part of the work units it gets while it waits, 0 to 1.
}

// Levels is the number of levels that schedulers tell apart.
const Levels = 3

// Wire returns the level as the messages carry it. Levels out of range count
// as bulk, so that a bad value can never overtake urgent work.
func (t Tier) Wire() wire.Tier {
	switch t.Level {
	case 0:
		return wire.Tier_TIER_URGENT
	case 1:
		return wire.Tier_TIER_NORMAL
	}
	return wire.Tier_TIER_BULK
}
