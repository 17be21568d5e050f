// Package meter limits the requests to one upstream to the rate that the upstream names.
package meter

import "time"

const (
	// burstWindow is the time whose requests may be sent at once after a pause.
	burstWindow = 500 * time.Millisecond
	// minRate is the lowest rate that is sent, in requests per second. An upstream reports the end
	// of its limit only in answers, so some requests must reach it.
	minRate = 0.25
)

// Meter is a token bucket. The zero value has no limit. The first limit starts without tokens,
// because it is not known how many requests were sent just before.
type Meter struct {
	limited    bool
	rate       float64 // Requests per second.
	burst      float64 // Maximum tokens.
	tokens     float64
	refilledAt time.Time
}

// SetLimit limits the requests to a share of a rate, in requests per second, from now on. With a
// share of zero, no request may be sent and no tokens accumulate.
func (m *Meter) SetLimit(now time.Time, rate, share float64) {
	m.refill(now)
	m.limited, m.rate, m.burst = true, max(rate, minRate)*share, 0
	if m.rate > 0 {
		m.burst = 1 + m.rate*burstWindow.Seconds()
	}
	m.tokens = min(m.tokens, m.burst)
}

// Unlimit removes the limit.
func (m *Meter) Unlimit() { *m = Meter{} }

// Rate returns the limit in requests per second; ok is false if there is none.
func (m *Meter) Rate() (rate float64, ok bool) { return m.rate, m.limited }

// CanSend reports whether one more request may be sent now.
func (m *Meter) CanSend(now time.Time) bool {
	m.refill(now)
	return !m.limited || (m.tokens >= 1 && m.rate > 0)
}

// Wait returns the time until one more request may be sent, or an hour if the share is zero.
func (m *Meter) Wait(now time.Time) time.Duration {
	switch {
	case m.CanSend(now):
		return 0
	case m.rate <= 0:
		return time.Hour
	}
	return time.Duration((1 - m.tokens) / m.rate * float64(time.Second))
}

// Take counts a request, including one that is sent although CanSend is false.
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
