package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/acct"
	"azurelane/core/aged"
	"azurelane/core/allow"
	"azurelane/core/index"
	"azurelane/core/refuse"
	"azurelane/core/usage"
	"azurelane/core/wire"
)

// localQuota enforces the rates of client accounts while no scheduler is known. Each entry then
// allows a share of every rate. The zero value is ready to use.
type localQuota struct {
	buckets    allow.Limiter         // Hold this entry's share of each rate.
	used       usage.Usage           // Recent usage at this entry.
	recent     map[string]*aged.Aged // The same usage by age.
	index      *index.Index          // Configuration that the shares were computed from.
	entries    int                   // Number of entries that the shares were computed for.
	standalone bool                  // No scheduler was known at the last update.
	toppedUpAt time.Time             // Last top-up of accounts after the loss of a scheduler.
	lostAt     time.Time             // When the last scheduler was lost.
	restricted bool                  // Accounts at their rates have a restricted share.
	limitedAt  map[string]time.Time  // When the scheduler last refused an account for its rate.
}

const (
	// topUpInterval is the minimum time between two top-ups. It is longer than the 8 s over which
	// tests measure rates (rateWindow in package hub), so that such a window contains at most one
	// top-up.
	topUpInterval = 10 * time.Second
	// An account that the scheduler has refused for its rate within limitedMemory uses its whole rate
	// at the other entries. Until the scheduler has noticed that it does not hear this entry, which
	// takes noticeTime, whatever this entry admits for the account is beyond the rate, and only
	// limitedFraction of its share may pass.
	limitedFraction = 0.4
	limitedMemory   = 2 * time.Second
	noticeTime      = 3 * time.Second
	// unreportedFraction is the fraction of the slack of rates that all entries together may use
	// between two reports.
	unreportedFraction = 0.25
	// chargeTimeout is how long the scheduler may take to charge a plain request. It is a part of the
	// usual objectives of such requests.
	chargeTimeout = 50 * time.Millisecond
)

// chargePlain has the scheduler charge a request that this entry places itself, if the account has
// used much here since the last report. Reports alone can't hold an account to its rate, since they
// come after the requests. It returns a refusal if the account's rate does not allow the request.
func (q *request) chargePlain(ctx context.Context, slots int64) error {
	g := q.gate
	if slots > 0 || q.tried.Sends() > 0 || q.paid || q.charged || q.account == "" || q.accountConfig.Rate <= 0 || q.view.Owner == nil || !g.usedMuch(time.Now(), q) {
		return nil
	}
	if g.takePrepaid(q) {
		q.charged = true
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	err := g.Charger.Charge(ctx, &wire.Usage{Incarnation: g.Incarnation, Ask: true, Accounts: []*wire.AccountUsage{{Account: q.account, Units: q.units()}}})
	var refusal *refuse.Error
	switch {
	case err == nil:
		q.charged = true
	case errors.As(err, &refusal):
		g.recordLimited(q, err)
		return refusal
	default:
		g.Log.V(1).Info("Plain request not charged by the scheduler; it is reported later.", "account", q.account, "err", err.Error())
	}
	return nil
}

// usedMuch reports whether a request would exceed the units of its account that may be unreported here.
// The first request after a report never does.
func (g *Gate) usedMuch(now time.Time, q *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	unreported := g.unreportedUsage[q.account]
	if unreported == nil {
		return false
	}
	return float64(unreported.Total(now)+q.units()) > g.unreportedLimit(q)
}

// unreportedLimit returns how many units of an account this entry may use between two reports.
func (g *Gate) unreportedLimit(q *request) float64 {
	return unreportedFraction * g.QuotaSlack / float64(max(q.view.Entries, 1))
}

// keepPrepaid keeps the charge of a request that was not sent for the account's next one.
func (g *Gate) keepPrepaid(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prepaid == nil {
		g.prepaid = map[string]int64{}
	}
	q.charged = false
	g.prepaid[q.account] = min(g.prepaid[q.account]+q.units(), max(int64(g.unreportedLimit(q)), q.units()))
}

// takePrepaid pays for a request with the charges of earlier ones that were not sent.
func (g *Gate) takePrepaid(q *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prepaid[q.account] < q.units() {
		return false
	}
	g.prepaid[q.account] -= q.units()
	return true
}

// chargeAccount charges a request to its account. It reports whether the request may proceed and,
// if not, when to retry. While a scheduler is known, the scheduler decides. Without a scheduler each
// entry enforces its own share. Requests that no scheduler has seen are reported to the next one. The
// local bucket is charged in both cases: otherwise an account at its limit would get a burst from
// every entry when the scheduler is lost. g.mu must be held.
func (g *Gate) chargeAccount(now time.Time, q *request, seenByScheduler bool) (time.Duration, bool) {
	if q.tried.Sends() > 0 || q.paid || q.account == "" {
		return 0, true
	}
	a := &g.localQuota
	a.buckets.Slack = allow.SlackFraction * g.QuotaSlack
	a.updateShares(now, q)
	if a.standalone {
		wait, ok := a.buckets.Take(now, q.account, q.units())
		if ok {
			a.record(now, q)
			g.addUnreported(now, q)
		}
		return wait, ok
	}
	a.buckets.Charge(now, q.account, q.units())
	a.record(now, q)
	if !seenByScheduler {
		g.addUnreported(now, q)
	}
	return 0, true
}

// record records the units of a request as used at this entry.
func (a *localQuota) record(now time.Time, q *request) {
	a.used.Add(now, q.account, q.units())
	if a.recent == nil {
		a.recent = map[string]*aged.Aged{}
	}
	if a.recent[q.account] == nil {
		a.recent[q.account] = &aged.Aged{}
	}
	a.recent[q.account].Add(now, q.units())
}

// addUnreported adds the units of a request to the next report. g.mu must be held.
func (g *Gate) addUnreported(now time.Time, q *request) {
	if g.unreportedUsage == nil {
		g.unreportedUsage = map[string]*aged.Aged{}
	}
	if g.unreportedUsage[q.account] == nil {
		g.unreportedUsage[q.account] = &aged.Aged{}
	}
	g.unreportedUsage[q.account].Add(now, q.units())
}

// ReportUsage passes the usage that no scheduler has seen to report, with the times of the usage. If
// report returns an error, the usage is reported again with the next call.
func (g *Gate) ReportUsage(report func(*wire.Usage) error) error {
	now := time.Now()
	g.mu.Lock()
	taken := g.unreportedUsage
	g.unreportedUsage = nil
	g.mu.Unlock()
	u := &wire.Usage{Incarnation: g.Incarnation}
	for account, units := range taken {
		if total := units.Total(now); total > 0 {
			u.Accounts = append(u.Accounts, &wire.AccountUsage{Account: account, Units: total, ByAge: units.ByAge(now)})
		}
	}
	if len(u.GetAccounts()) == 0 {
		return nil
	}
	err := report(u)
	if err == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for account, units := range g.unreportedUsage {
		if old := taken[account]; old != nil {
			units.Merge(old)
		}
		taken[account] = units
	}
	g.unreportedUsage = taken
	return err
}

// updateShares recomputes the shares if the configuration, the number of entries or the presence of
// a scheduler has changed. If the scheduler was just lost, it also tops up accounts that are below
// their rate, at most once per topUpInterval.
func (a *localQuota) updateShares(now time.Time, q *request) {
	entries, standalone := max(q.view.Entries, 1), q.view.Owner == nil
	lost := standalone && !a.standalone
	if lost {
		a.lostAt = now
	}
	restricted := standalone && now.Sub(a.lostAt) < noticeTime
	if a.index == q.view.Index && a.entries == entries && a.standalone == standalone && a.restricted == restricted {
		return
	}
	a.index, a.entries, a.standalone, a.restricted = q.view.Index, entries, standalone, restricted
	accounts := a.index.Config().Accounts
	a.buckets.SetShares(now, accounts, func(name string) float64 { return a.shareOf(now, name, accounts[name]) })
	if !lost || now.Sub(a.toppedUpAt) < topUpInterval {
		return
	}
	a.toppedUpAt = now
	for name, c := range accounts {
		// An account whose usage at this entry alone reaches its whole rate has had its share.
		if a.used.Rate(now, name) < c.Rate && !a.wasLimited(name) {
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
	s := allow.StandaloneShare(share, a.used.Rate(now, name), c.Rate)
	if a.restricted && a.wasLimited(name) {
		return limitedFraction * s
	}
	return s
}

// wasLimited reports whether the scheduler had just refused an account for its rate when it was lost.
func (a *localQuota) wasLimited(account string) bool {
	at, ok := a.limitedAt[account]
	return ok && a.lostAt.Sub(at) < limitedMemory
}

// recordLimited records that the scheduler has refused the request if it did so for the account's rate.
func (g *Gate) recordLimited(q *request, err error) {
	var refusal *refuse.Error
	if !errors.As(err, &refusal) || refusal.Code != refuse.AccountLimit {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.localQuota.limitedAt == nil {
		g.localQuota.limitedAt = map[string]time.Time{}
	}
	g.localQuota.limitedAt[q.account] = time.Now()
}

// UsageRates returns the recent usage of accounts at this entry, in units per second and by age, for
// a scheduler that has no record of it yet.
func (g *Gate) UsageRates() []*wire.AccountUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*wire.AccountUsage
	now := time.Now()
	for name, units := range g.localQuota.used.Rates(now) {
		list = append(list, &wire.AccountUsage{Account: name, Units: int64(units), ByAge: g.localQuota.recent[name].ByAge(now)})
	}
	return list
}
