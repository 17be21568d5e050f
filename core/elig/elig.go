// Package elig decides, for the scheduling policies, whether an upstream may be granted a request.
// Whether it has room, and which of several is best, is up to the policy.
package elig

import (
	"time"

	"azurelane/core/upstr"
)

// ProbeInterval is the time between two grants to upstreams that seem cut off. It is short enough
// to notice soon that they are back, and long enough that few requests time out there.
const ProbeInterval = 400 * time.Millisecond

// Elig decides for the upstreams of one pool. The zero value is ready to use.
type Elig struct {
	probedAt time.Time // Last grant to an upstream that seems cut off.
}

// Allows reports whether an upstream may be granted a request now.
func (e *Elig) Allows(now time.Time, u *upstr.Upstream) bool {
	return u.Live(now) && e.mayReach(now, u) && u.CanSend(now)
}

// AllowsStream reports whether an upstream that leaves may be granted a stream that goes on there.
func (e *Elig) AllowsStream(now time.Time, u *upstr.Upstream) bool {
	return u.Draining(now) && e.mayReach(now, u) && u.CanSend(now)
}

// Granted records a grant. It must be called for each one.
func (e *Elig) Granted(now time.Time, u *upstr.Upstream) {
	if u.GetUnreached() {
		e.probedAt = now
	}
}

// mayReach reports whether the path to an upstream seems intact, or may be probed now.
func (e *Elig) mayReach(now time.Time, u *upstr.Upstream) bool {
	return !u.GetUnreached() || now.Sub(e.probedAt) >= ProbeInterval
}
