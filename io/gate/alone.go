package gate

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/index"
	"azurelane/core/usage"
	"azurelane/core/wire"
)

// alone is what an entry knows of client accounts' rates for the time without a
// scheduler, when each entry keeps to a share of its own. The zero value is ready.
type alone struct {
	own     allow.Allow
	used    usage.Usage  // Of late, at this entry.
	of      *index.Index // What own was made from,
	entries int          // for how many entries,
	on      bool         // and whether there was no scheduler.
	freshAt time.Time    // When accounts were given a fresh part last.
}

const (
	// freshEvery is the least time between two fresh parts. Windows of rates are
	// shorter.
	freshEvery = 10 * time.Second
)

// allowed counts a request against its account. While there is a scheduler that
// one decides; what it does not see is reported to it. Without one each entry
// keeps to its share. The share is charged all the time: an account that is at
// its limit when the scheduler is lost must not get a burst from every entry.
// The lock is held.
func (g *Gate) allowed(now time.Time, q *request, seen bool) (time.Duration, bool) {
	if q.sends > 0 || q.account == "" {
		return 0, true
	}
	a := &g.alone
	a.own.Slack = allow.SlackPart * g.QuotaSlack
	a.share(now, q)
	if a.on {
		wait, ok := a.own.Take(now, q.account, q.units())
		if ok {
			a.used.Add(now, q.account, q.units())
		}
		return wait, ok
	}
	a.own.Charge(now, q.account, q.units())
	a.used.Add(now, q.account, q.units())
	if !seen {
		if g.usage == nil {
			g.usage = map[string]int64{}
		}
		g.usage[q.account] += q.units()
	}
	return 0, true
}

// share sets the shares anew when what they depend on has changed.
func (a *alone) share(now time.Time, q *request) {
	entries, on := max(q.view.Entries, 1), q.view.Owner == nil
	if a.of == q.view.Index && a.entries == entries && a.on == on {
		return
	}
	lost := on && !a.on
	a.of, a.entries, a.on = q.view.Index, entries, on
	accounts := a.of.Config().Accounts
	a.own.SetEach(now, accounts, func(name string) float64 { return a.part(now, name, accounts[name]) })
	if !lost || now.Sub(a.freshAt) < freshEvery {
		return
	}
	a.freshAt = now
	for name, c := range accounts {
		// One that alone this entry saw use its whole rate has had its part.
		if a.used.Rate(now, name) < c.Rate {
			a.own.Fresh(now, name)
		}
	}
}

// part is the share of an account's rate that this entry may use.
func (a *alone) part(now time.Time, name string, c acct.Account) float64 {
	share := 1 / float64(a.entries)
	if !a.on {
		return allow.EqualPart * share
	}
	return allow.Alone(share, a.used.Rate(now, name), c.Rate)
}

// UsageRates is what accounts used here of late, in units a second, for a scheduler that
// knows nothing of them yet.
func (g *Gate) UsageRates() []*wire.AccountUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*wire.AccountUsage
	for name, units := range g.alone.used.Rates(time.Now()) {
		list = append(list, &wire.AccountUsage{Account: name, Units: int64(units)})
	}
	return list
}
