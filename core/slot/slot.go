// Package slot describes one granted slot that has not been released yet.
package slot

import (
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Slot is the capacity that one grant takes up at an upstream.
type Slot struct {
	Upstream     *upstr.Upstream
	Ticket       *wire.Ticket
	Owner        string        // Incarnation of the owner that granted the slot; empty if this owner did.
	Number       uint64        // Assigned by the owner; unique per owner.
	GrantedAt    time.Time     // For an adopted slot, the time of its adoption.
	ExpectedRun  time.Duration // Expected duration of the run; zero if unknown.
	Work         float64       // Work units charged to the client account.
	Long         bool          // The request is long; counted in the upstream's LongRunning.
	CachedTokens int64         // Prompt tokens assumed to be in the upstream's cache at the time of the grant.
	PrefixCached bool          // The prompt prefix is assumed to be cached.
	Trial        bool          // It was granted to see whether the upstream is faster than expected.
	ExpectedWait time.Duration // Expected time until the upstream starts to prefill the prompt.
}

// Tokens returns the number of prompt and answer tokens that the request takes up in the upstream's
// cache.
func (s *Slot) Tokens() int64 { return s.Ticket.GetPromptTokens() + s.Ticket.GetAnswerTokens() }
