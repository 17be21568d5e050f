// Package budget limits the retries of an entry to a fraction of its requests.
package budget

// Budget is a token bucket for retries. Each first attempt adds a fraction of a token, and each
// further attempt takes a whole one. While most requests succeed, the bucket is full and a few
// failures are retried at once. When most attempts fail, retries are limited to Ratio of the
// requests, so that a failing pool is not sent a multiple of its load. The bucket is refilled by
// requests and needs no clock. The zero value holds Burst tokens with the defaults.
type Budget struct {
	Ratio float64 // Tokens that a first attempt adds; 0 means DefaultRatio.
	Burst float64 // Maximum number of tokens; 0 means DefaultBurst.
	spent float64 // Tokens missing from a full bucket.
}

// Defaults for fields that are zero.
const (
	DefaultRatio = 0.1
	DefaultBurst = 20
)

// AddFirstAttempt counts a first attempt.
func (b *Budget) AddFirstAttempt() {
	ratio := b.Ratio
	if ratio == 0 {
		ratio = DefaultRatio
	}
	b.spent = max(b.spent-ratio, 0)
}

// HasRetry reports whether one more attempt may be made.
func (b *Budget) HasRetry() bool {
	burst := b.Burst
	if burst == 0 {
		burst = DefaultBurst
	}
	return b.spent+1 <= burst
}

// TakeRetry reports whether one more attempt may be made. If so, it takes a token.
func (b *Budget) TakeRetry() bool {
	if !b.HasRetry() {
		return false
	}
	b.spent++
	return true
}
