// Package meter holds the requests to one upstream to the rate that it names.
package meter

import "time"

const (
	// burstWindow is the time whose requests may come at once after a pause.
	burstWindow = 500 * time.Millisecond
	// minRate is the least that is sent, in requests a second: an upstream tells in
	// answers alone that its limit has ended.
	minRate = 0.25
)

// Meter is a token bucket. The zero value lets everything pass. One that gets a limit
// begins without tokens: it does not know what was sent a moment before.
type Meter struct {
	limited    bool
	rate  float64 // Requests a second.
	burst float64
	tokens  float64
	refilledAt    time.Time
}

// SetLimit holds the requests to a share of a rate, in requests a second, from now on. With
// a share of zero nothing passes and nothing is saved up.
func (m *Meter) SetLimit(now time.Time, rate, share float64) {
	m.refill(now)
	m.limited, m.rate, m.burst = true, max(rate, minRate)*share, 0
	if m.rate > 0 {
		m.burst = 1 + m.rate*burstWindow.Seconds()
	}
	m.tokens = min(m.tokens, m.burst)
}

// Unlimit lets everything pass again.
func (m *Meter) Unlimit() { *m = Meter{} }

// Rate is the limit, in requests a second; ok is false where there is none.
func (m *Meter) Rate() (rate float64, ok bool) { return m.rate, m.limited }

// CanSend reports whether one more request may be sent now.
func (m *Meter) CanSend(now time.Time) bool {
	m.refill(now)
	return !m.limited || (m.tokens >= 1 && m.rate > 0)
}

// Wait is the time until one more request may be sent, an hour where none may.
func (m *Meter) Wait(now time.Time) time.Duration {
	switch {
	case m.CanSend(now):
		return 0
	case m.rate <= 0:
		return time.Hour
	}
	return time.Duration((1 - m.tokens) / m.rate * float64(time.Second))
}

// Take counts a request, also one that is sent without room.
func (m *Meter) Take(now time.Time) {
	m.refill(now)
	if m.limited {
		m.tokens--
	}
}

func (m *Meter) refill(now time.Time) {
	if m.limited && now.After(m.refilledAt) {
		m.tokens = min(m.tokens+m.rate*now.Sub(m.refilledAt).Seconds(), m.burst)
	}
	m.refilledAt = now
}
