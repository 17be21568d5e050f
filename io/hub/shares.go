package hub

import (
	"maps"
	"math"
	"time"
)

// sharesLogInterval is the minimum time between two log lines of rate shares. In a data centre
// that is cut off, the shares change with each entry that connects.
const sharesLogInterval = time.Second

// logRateShares logs which share of each account's rate this scheduler admits, if the shares
// have changed. It leaves out accounts whose whole rate is admitted here. The lines explain why
// an account is refused below its rate, or gets more than its rate from two schedulers together.
func (s *scheduler) logRateShares(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.sharesLoggedAt) < sharesLogInterval {
		return
	}
	shares := map[string]float64{}
	for name := range s.rates.accounts {
		if p := math.Round(100*s.accountShare(name)) / 100; p < 1 {
			shares[name] = p
		}
	}
	if maps.Equal(shares, s.loggedShares) {
		return
	}
	s.sharesLoggedAt, s.loggedShares = now, shares
	s.log.Info("Parts of rates changed.", "parts", shares, "entries-here", s.entriesHere, "entries", s.entriesTotal, "scheduler", s.id)
}
