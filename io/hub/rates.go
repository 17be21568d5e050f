package hub

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/usage"
	"azurelane/core/wire"
)

const (
	// absentAfter is how long an entry is silent before the scheduler leaves it
	// its part of the accounts' rates. An entry that follows asks again within
	// two seconds.
	absentAfter = 2800 * time.Millisecond
	// comeWithin is how long entries of the leader before may take to come to a new one,
	// before it leaves those that stay away their parts of the rates: most come within
	// half of that.
	comeWithin = 300 * time.Millisecond
	// leastPart is what the scheduler keeps of a rate in any case.
	leastPart = 0.2
)

// rates are the accounts' rates as the scheduler holds them, less what entries
// may let pass that it doesn't hear. Without that an account which asks for all
// it may have on both sides of a cut passes its rate by what the entries behind
// it serve. The zero value is ready.
type rates struct {
	accounts map[string]acct.Account
	used     map[string]*usage.Usage       // By entry incarnation.
	told     map[string]map[string]float64 // Units a second before they came here, by entry incarnation and account.
	toldAll  map[string]float64            // The same of all entries together: hundreds come in a moment.
	absent   map[string]map[string]float64 // Units a second by entry incarnation and account.
	// unseen is how many entries there are, for each that came here, that never did.
	unseen float64
}

// add notes what an account used at an entry.
func (r *rates) add(now time.Time, incarnation, account string, units int64) {
	if account == "" {
		return
	}
	if r.used == nil {
		r.used = map[string]*usage.Usage{}
	}
	if r.used[incarnation] == nil {
		r.used[incarnation] = &usage.Usage{}
	}
	r.used[incarnation].Add(now, account, units)
}

// miss takes the list of silent entries and reports whether it has changed. What
// they used is taken as it was when they fell silent.
func (r *rates) miss(now time.Time, silent []string) bool {
	old, changed := r.absent, false
	r.absent = make(map[string]map[string]float64, len(silent))
	for _, inc := range silent {
		if old[inc] != nil {
			r.absent[inc] = old[inc]
			continue
		}
		changed, r.absent[inc] = true, map[string]float64{}
		for name := range r.accounts {
			if u := r.used[inc]; u != nil {
				r.absent[inc][name] = u.Rate(now.Add(-absentAfter), name)
			}
		}
	}
	return changed || len(old) != len(r.absent)
}

// forget drops what an entry used that is gone.
func (r *rates) forget(incarnation string) {
	delete(r.used, incarnation)
	for account, units := range r.told[incarnation] {
		r.toldAll[account] -= units
	}
	delete(r.told, incarnation)
}

// tell takes what accounts used at an entry before it came here, and reports whether
// that is new.
func (r *rates) tell(incarnation string, list []*wire.AccountUsage) bool {
	if r.told[incarnation] != nil || len(list) == 0 {
		return false
	}
	if r.told == nil {
		r.told, r.toldAll = map[string]map[string]float64{}, map[string]float64{}
	}
	r.told[incarnation] = make(map[string]float64, len(list))
	for _, a := range list {
		r.told[incarnation][a.GetAccount()] += float64(a.GetUnits())
		r.toldAll[a.GetAccount()] += float64(a.GetUnits())
	}
	return true
}

// guess is what an account used before, by what the entries that came have told: those
// that did not come yet are taken to be like them, of so many in all.
func (r *rates) guess(all int64, account string) float64 {
	return r.toldAll[account] * max(float64(all)/float64(max(len(r.told), 1)), 1)
}

// part is the part of an account's rate that is the leader's own.
func (r *rates) part(name string) float64 {
	// Those that this leader never heard are taken to use what the others do.
	used, rate := r.usedAbsent(name)+r.unseen*r.toldAll[name], r.accounts[name].Rate
	if used == 0 || rate <= 0 {
		return 1
	}
	return max(1-allow.LeftPart*used/rate, leastPart)
}

// alone is the part of an account's rate that is left to a scheduler of one data
// centre, which has a share of all entries.
func (r *rates) alone(name string, share float64) float64 {
	return allow.Alone(share, r.toldAll[name], r.accounts[name].Rate)
}

// usedAbsent is what an account used at entries that have fallen silent.
func (r *rates) usedAbsent(account string) float64 {
	n := 0.0
	for _, by := range r.absent {
		n += by[account]
	}
	return n
}
