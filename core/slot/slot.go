// Package slot describes one grant that is not released yet.
package slot

import (
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Slot is what one grant takes up at an upstream.
type Slot struct {
	Upstream     *upstr.Upstream
	Ticket *wire.Ticket
	Owner  string // Incarnation of the owner that granted it; empty for this one.
	Number uint64 // Of the owner.
	GrantedAt  time.Time
	ExpectedRun time.Duration // Expected time of the run; zero when not known.
	Work   float64       // Work units charged to the client account.
	Long   bool
	CachedTokens   int64         // Tokens of the prompt that the upstream was believed to have kept.
	PrefixCached bool          // The prefix was believed to be cached.
	ExpectedWait   time.Duration // Expected until its upstream begins with it.
}

// Tokens is what the request takes up in the upstream's cache.
func (s *Slot) Tokens() int64 { return s.Ticket.GetPromptTokens() + s.Ticket.GetAnswerTokens() }
