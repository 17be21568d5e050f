package refuse

import (
	"time"

	"azurelane/core/wire"
)

// Ticket is the scheduler's refusal of a ticket. After is when its caller may
// come back.
func Ticket(t *wire.Ticket, code string, after time.Duration) *wire.Decision {
	return &wire.Decision{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(),
		Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: code, RetryAfterUs: after.Microseconds()}},
	}
}
