// Package upstr holds what a scheduler knows of one upstream.
package upstr

import (
	"time"

	"azurelane/core/wire"
)

// Upstream is one announced upstream with the slots granted on it. The load in
// its announcement is late; Running is exact, because its scheduler is the only
// one that grants on it.
type Upstream struct {
	*wire.Announce
	Expires time.Time // End of the lease.
	Running int       // Slots granted and not yet released.
}

// DefaultMaxRunning bounds an upstream that does not say how much it runs at once.
const DefaultMaxRunning = 8

// Live reports whether the upstream may be granted new work: its lease runs
// and it is not leaving.
func (u *Upstream) Live(now time.Time) bool {
	return !u.GetLeaving() && now.Before(u.Expires)
}

// Limit is the number of requests that the upstream says it runs at once.
func (u *Upstream) Limit() int {
	if n := u.GetMaxRunning(); n > 0 {
		return int(n)
	}
	return DefaultMaxRunning
}
