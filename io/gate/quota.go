package gate

import (
	"time"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/index"
	"azurelane/core/usage"
	"azurelane/core/wire"
)

// localQuota enforces the rates of client accounts while no scheduler is known. Each entry then
// allows a share of every rate. The zero value is ready to use.
type localQuota struct {
	buckets    allow.Limiter // Hold this entry's share of each rate.
	used       usage.Usage   // Recent usage at this entry.
	index      *index.Index  // Configuration that the shares were computed from.
	entries    int           // Number of entries that the shares were computed for.
	standalone bool          // No scheduler was known at the last update.
	toppedUpAt time.Time     // Last top-up of accounts after the loss of a scheduler.
}

const (
	// topUpInterval is the minimum time between two top-ups. It is longer than the 8 s over which
	// tests measure rates (rateWindow in package hub), so that such a window contains at most one
	// top-up.
	topUpInterval = 10 * time.Second
)

// chargeAccount charges a request to its account. It reports whether the request may proceed and,
// if not, when to retry. While a scheduler is known, the scheduler decides, and requests that it
// has not seen are reported to it later. Without a scheduler each entry enforces its own share. The
// local bucket is charged in both cases: otherwise an account at its limit would get a burst from
// every entry when the scheduler is lost. g.mu must be held.
func (g *Gate) chargeAccount(now time.Time, q *request, seenByScheduler bool) (time.Duration, bool) {
	if q.sends > 0 || q.account == "" {
		return 0, true
	}
	a := &g.localQuota
	a.buckets.Slack = allow.SlackFraction * g.QuotaSlack
	a.updateShares(now, q)
	if a.standalone {
		wait, ok := a.buckets.Take(now, q.account, q.units())
		if ok {
			a.used.Add(now, q.account, q.units())
		}
		return wait, ok
	}
	a.buckets.Charge(now, q.account, q.units())
	a.used.Add(now, q.account, q.units())
	if !seenByScheduler {
		if g.unreportedUsage == nil {
			g.unreportedUsage = map[string]int64{}
		}
		g.unreportedUsage[q.account] += q.units()
	}
	return 0, true
}

// updateShares recomputes the shares if the configuration, the number of entries or the presence of
// a scheduler has changed. If the scheduler was just lost, it also tops up accounts that are below
// their rate, at most once per topUpInterval.
func (a *localQuota) updateShares(now time.Time, q *request) {
	entries, standalone := max(q.view.Entries, 1), q.view.Owner == nil
	if a.index == q.view.Index && a.entries == entries && a.standalone == standalone {
		return
	}
	lost := standalone && !a.standalone
	a.index, a.entries, a.standalone = q.view.Index, entries, standalone
	accounts := a.index.Config().Accounts
	a.buckets.SetShares(now, accounts, func(name string) float64 { return a.shareOf(now, name, accounts[name]) })
	if !lost || now.Sub(a.toppedUpAt) < topUpInterval {
		return
	}
	a.toppedUpAt = now
	for name, c := range accounts {
		// An account whose usage at this entry alone reaches its whole rate has had its share.
		if a.used.Rate(now, name) < c.Rate {
			a.buckets.TopUp(now, name)
		}
	}
}

// shareOf returns the fraction of an account's rate that this entry may allow.
func (a *localQuota) shareOf(now time.Time, name string, c acct.Account) float64 {
	share := 1 / float64(a.entries)
	if !a.standalone {
		return allow.EqualShareFraction * share
	}
	return allow.StandaloneShare(share, a.used.Rate(now, name), c.Rate)
}

// UsageRates returns the recent usage of accounts at this entry, in units per second, for a
// scheduler that has no record of it yet.
func (g *Gate) UsageRates() []*wire.AccountUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*wire.AccountUsage
	for name, units := range g.localQuota.used.Rates(time.Now()) {
		list = append(list, &wire.AccountUsage{Account: name, Units: int64(units)})
	}
	return list
}
