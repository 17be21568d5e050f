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
	// past holds the units that accounts used, at the entries that have reported, before this
	// scheduler began to count, by account and step, latest first.
	past map[string][]float64
	// covered holds how many of these entries were running in each of the steps.
	covered  []int64
	reported map[string]bool // Entries of which past holds the usage, by incarnation.
	// silentRates holds the units per second that accounts used at silent entries, by entry
	// incarnation and account.
	silentRates map[string]map[string]float64
	// reservations holds the latest time for which the rates of an entry were reserved, by
	// incarnation.
	reservations map[string]reservation
	countedFrom  map[string]time.Time // From when on reported usage is charged, by entry incarnation.
	// unseenRatio is the number of entries that never polled this scheduler, per entry that did.
	unseenRatio float64
}

// reservation is the time in which a silent entry's rates were reserved.
type reservation struct {
	from, until time.Time // until is zero while they are reserved.
	rates       map[string]float64
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
		if r.reservations == nil {
			r.reservations = map[string]reservation{}
		}
		r.reservations[inc] = reservation{from: now, rates: r.silentRates[inc]}
		for name := range r.accounts {
			if u := r.usage[inc]; u != nil {
				r.silentRates[inc][name] = u.Rate(now.Add(-entrySilentAfter), name)
			}
		}
	}
	for inc, v := range r.reservations {
		switch {
		case r.silentRates[inc] != nil:
		case v.until.IsZero():
			v.until = now
			r.reservations[inc] = v
		case now.Sub(v.until) > allow.Memory:
			delete(r.reservations, inc)
		}
	}
	return changed || len(old) != len(r.silentRates)
}

// reservedUnits returns how many units of an account were reserved for an entry in the step that ends
// at a time.
func (r *rates) reservedUnits(incarnation, account string, at time.Time) int64 {
	v, ok := r.reservations[incarnation]
	if !ok || at.Before(v.from) || (!v.until.IsZero() && at.After(v.until.Add(allow.Step))) {
		return 0
	}
	return int64(allow.ReserveFactor * v.rates[account] * allow.Step.Seconds())
}

// forget drops the usage of an entry that is gone.
func (r *rates) forget(incarnation string) {
	delete(r.usage, incarnation)
	delete(r.countedFrom, incarnation)
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

// estimatePrior estimates how many units per second an account used at all entries before they
// polled this scheduler. Entries that have not reported are assumed to match the average of the
// others.
func (r *rates) estimatePrior(entriesTotal int64, account string) float64 {
	return r.priorTotals[account] * max(float64(entriesTotal)/float64(max(len(r.priorRates), 1)), 1)
}

// addPast adds the units that an entry used before the scheduler began to count, which it did at start.
// It reports whether they are new.
func (r *rates) addPast(now, start time.Time, w *wire.Watch) bool {
	if w.GetUpUs() == 0 || r.reported[w.GetIncarnation()] || now.Sub(start) > allow.Memory {
		return false
	}
	if r.past == nil {
		r.past, r.covered, r.reported = map[string][]float64{}, make([]int64, allow.Memory/allow.Step), map[string]bool{}
	}
	r.reported[w.GetIncarnation()] = true
	since := now.Add(-time.Duration(w.GetUpUs()) * time.Microsecond)
	for n := range r.covered {
		if !since.After(start.Add(-time.Duration(n+1) * allow.Step)) {
			r.covered[n]++
		}
	}
	for _, a := range w.GetRates() {
		for age, units := range a.GetByAge() {
			// Of a step that reaches into the time that is counted, the scheduler has charged nothing.
			before := start.Sub(now.Add(-time.Duration(age) * allow.Step))
			if before < 0 {
				continue
			}
			n := int(before / allow.Step)
			for len(r.past[a.GetAccount()]) <= n {
				r.past[a.GetAccount()] = append(r.past[a.GetAccount()], 0)
			}
			r.past[a.GetAccount()][n] += float64(units)
		}
	}
	return true
}

// estimatePast estimates what an account used before the scheduler began to count at all entries.
// Entries that have not reported, or were not running yet, are assumed to match the average of the
// others: no other process knows what an entry admitted before it restarted.
func (r *rates) estimatePast(entriesTotal int64, account string) []float64 {
	list := make([]float64, min(len(r.past[account]), len(r.covered)))
	for n := range list {
		list[n] = r.past[account][n] * max(float64(entriesTotal)/float64(max(r.covered[n], 1)), 1)
	}
	return list
}

// leaderShare returns the share of an account's rate that the leader admits itself.
func (r *rates) leaderShare(name string) float64 {
	// Entries that never polled this leader are assumed to admit as much as the others.
	used, rate := r.silentRate(name)+r.unseenRatio*r.priorTotals[name], r.accounts[name].Rate
	if used == 0 || rate <= 0 {
		return 1
	}
	return max(1-allow.ReserveFactor*used/rate, minLeaderShare)
}

// cutOffShare returns the share of an account's rate that a scheduler of one data centre admits.
// The parameter share is the fraction of all entries that this scheduler serves.
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
