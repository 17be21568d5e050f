// Package call describes a planned request of a load test.
package call

import "time"

// Call is a request with an arrival time that is set before the run.
type Call struct {
	At       time.Duration // Time since the start of the run.
	Account  string
	Kind     string
	Tier     string
	Level    int   // Level of the tier; 0 is the most urgent.
	Prompt   int64 // Tokens.
	Answer   int64 // Tokens.
	Prefix   uint64
	Deadline time.Duration
	Key      string // Idempotency key; empty for none.
}
