package hub

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/usage"
	"azurelane/core/wire"
)

const (
	// entrySilentAfter is the silence after which the scheduler reserves for an entry its share
	// of the accounts' rates. A live entry polls again within 2 s.
	entrySilentAfter = 2800 * time.Millisecond
	// takeoverGrace is how long the entries of the former leader may take to poll the new one.
	// After it the new leader reserves shares of the rates for the missing entries. Most poll
	// within half of that time.
	takeoverGrace = 300 * time.Millisecond
	// minLeaderShare is the share of a rate that the leader keeps in any case.
	minLeaderShare = 0.2
)

// rates holds the accounts' rates, less the units that entries may still admit without being
// heard by the scheduler. Without that deduction an account that asks for its whole rate on both
// sides of a network partition would exceed its rate by the units admitted on the other side.
// The zero value is ready.
type rates struct {
	accounts map[string]acct.Account
	usage    map[string]*usage.Usage // By entry incarnation.
	// priorRates holds the units per second that accounts used before an entry polled this
	// scheduler, by entry incarnation and account.
	priorRates map[string]map[string]float64
	// priorTotals holds the sums of priorRates by account. They are maintained because hundreds
	// of entries may poll at once.
	priorTotals map[string]float64
	// silentRates holds the units per second that accounts used at silent entries, by entry
	// incarnation and account.
	silentRates map[string]map[string]float64
	// unseenRatio is the number of entries that never polled this scheduler, per entry that did.
	unseenRatio float64
}

// add records units that an account used at an entry.
func (r *rates) add(now time.Time, incarnation, account string, units int64) {
	if account == "" {
		return
	}
	if r.usage == nil {
		r.usage = map[string]*usage.Usage{}
	}
	if r.usage[incarnation] == nil {
		r.usage[incarnation] = &usage.Usage{}
	}
	r.usage[incarnation].Add(now, account, units)
}

// setSilent takes the list of silent entries and reports whether it has changed. The rates of an
// entry are taken from the time before it fell silent.
func (r *rates) setSilent(now time.Time, silent []string) bool {
	old, changed := r.silentRates, false
	r.silentRates = make(map[string]map[string]float64, len(silent))
	for _, inc := range silent {
		if old[inc] != nil {
			r.silentRates[inc] = old[inc]
			continue
		}
		changed, r.silentRates[inc] = true, map[string]float64{}
		for name := range r.accounts {
			if u := r.usage[inc]; u != nil {
				r.silentRates[inc][name] = u.Rate(now.Add(-entrySilentAfter), name)
			}
		}
	}
	return changed || len(old) != len(r.silentRates)
}

// forget drops the usage of an entry that is gone.
func (r *rates) forget(incarnation string) {
	delete(r.usage, incarnation)
	for account, units := range r.priorRates[incarnation] {
		r.priorTotals[account] -= units
	}
	delete(r.priorRates, incarnation)
}

// addPrior takes the units per second that accounts used at an entry before it polled this
// scheduler. It reports whether they are new.
func (r *rates) addPrior(incarnation string, list []*wire.AccountUsage) bool {
	if r.priorRates[incarnation] != nil || len(list) == 0 {
		return false
	}
	if r.priorRates == nil {
		r.priorRates, r.priorTotals = map[string]map[string]float64{}, map[string]float64{}
	}
	r.priorRates[incarnation] = make(map[string]float64, len(list))
	for _, a := range list {
		r.priorRates[incarnation][a.GetAccount()] += float64(a.GetUnits())
		r.priorTotals[a.GetAccount()] += float64(a.GetUnits())
	}
	return true
}

// estimatePrior estimates how many units per second an account used before. All is the number of
// entries; entries that have not reported are assumed to match the average of the others.
func (r *rates) estimatePrior(all int64, account string) float64 {
	return r.priorTotals[account] * max(float64(all)/float64(max(len(r.priorRates), 1)), 1)
}

// leaderShare returns the share of an account's rate that the leader admits itself.
func (r *rates) leaderShare(name string) float64 {
	// Entries that this leader never heard are assumed to use as much as the others.
	used, rate := r.silentRate(name)+r.unseenRatio*r.priorTotals[name], r.accounts[name].Rate
	if used == 0 || rate <= 0 {
		return 1
	}
	return max(1-allow.ReserveFactor*used/rate, minLeaderShare)
}

// cutOffShare returns the share of an account's rate that a scheduler of one data centre admits.
// Share is its fraction of all entries.
func (r *rates) cutOffShare(name string, share float64) float64 {
	return allow.StandaloneShare(share, r.priorTotals[name], r.accounts[name].Rate)
}

// silentRate returns how many units per second an account used at silent entries.
func (r *rates) silentRate(account string) float64 {
	total := 0.0
	for _, accounts := range r.silentRates {
		total += accounts[account]
	}
	return total
}
