// Package budget bounds how much of an entry's work may be second attempts.
package budget

// Budget is a store of tokens. Each first attempt adds a part of a token, each
// further attempt takes a whole one. While all goes well the store is full and
// a few failures are retried at once; when most attempts fail, retries are at
// most Ratio of the requests, so that a pool in trouble isn't sent several times
// its load. It counts requests, so it needs no clock. The zero value holds
// Burst tokens with the defaults.
type Budget struct {
	Ratio float64 // Tokens a first attempt adds; 0 takes DefaultRatio.
	Burst float64 // Most tokens held; 0 takes DefaultBurst.
	spent float64 // Tokens missing from a full store.
}

// Defaults for what is left at zero.
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

// TakeRetry reports whether one more attempt may be made, and counts it.
func (b *Budget) TakeRetry() bool {
	burst := b.Burst
	if burst == 0 {
		burst = DefaultBurst
	}
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
