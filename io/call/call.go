// Package call describes one planned request of a load.
package call

import "time"

// Call is one request with its arrival time, fixed before the run.
type Call struct {
	At       time.Duration // From the start of the run.
	Account  string
	Kind     string
	Tier     string
	Level    int   // Of the tier: 0 is the most urgent.
	Prompt   int64 // Tokens.
	Answer   int64 // Tokens.
	Prefix   uint64
	Deadline time.Duration
	Key      string // Idempotency key; empty for none.
}
