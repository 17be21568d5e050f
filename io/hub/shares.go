package hub

import (
	"maps"
	"math"
	"time"
)

// Kinds of units in the log lines of accounts at their rates.
const (
	unitsAdmitted = "admitted" // Of tickets, when they were submitted.
	unitsReturned = "returned" // Of admitted tickets that were refused later.
	unitsRefused  = "refused"  // Of tickets beyond the rate.
	unitsReported = "reported" // Of requests that entries placed by themselves.
)

const (
	// usageLogInterval is the time between two log lines about one account at its rate.
	usageLogInterval = time.Second
	// usageLogAccounts is the number of accounts that are logged at once, those with the most
	// refused units.
	usageLogAccounts = 4
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

// logAccountUsage logs what became of the units of accounts that were refused for their rates. The
// lines of the schedulers and the entries together show which of them admitted an account more than
// its rate.
func (s *scheduler) logAccountUsage(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ledgerLoggedAt) < usageLogInterval {
		return
	}
	s.ledgerLoggedAt = now
	for _, l := range s.ledger.Take(unitsRefused, usageLogAccounts) {
		a := s.rates.accounts[l.Account]
		s.log.Info("Usage of an account at its rate.", "account", l.Account, "units", l.Units, "rate", a.Rate, "burst", a.Burst,
			"balance", math.Round(s.allow.Balance(now, l.Account)), "scheduler", s.id)
	}
}
