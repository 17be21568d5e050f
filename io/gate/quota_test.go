package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/index"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/watch"
)

// Guards against refusals of an account that is far below its rate. One of 20 entries serves a
// third of the account's requests, a network partition hides the scheduler, and the callers
// continue. With an equal share per entry, nearly all of their requests would be refused.
//
// The callers then double their requests, to 667 units per second. The entry may allow 0.95 of its
// recent usage of 333 units per second, which is 48 % of the requests. The entry's share of the
// slack, 0.317 × 2000 units, adds at most 16 % once. The bound is 65 %.
func TestQuotaFollowsRecentUsage(t *testing.T) {
	cfg := *newTestGate(t).view.Index.Config()
	cfg.Accounts = map[string]acct.Account{"radio": {Rate: 1000, Burst: 1000}}
	v := &watch.View{Index: index.New(&cfg), Owner: &wire.Member{Incarnation: "owner"}, Entries: 20}
	g, now := &Gate{QuotaSlack: 4000}, time.Unix(1000, 0)
	share := func(span, every time.Duration) float64 { // Fraction of requests of 20 units each that pass.
		passed, all := 0.0, 0.0
		for end := now.Add(span); now.Before(end); now = now.Add(every) {
			q := &request{gate: g, view: v, account: "radio", accountConfig: acct.Account{}, route: &route.Route{}}
			q.meta.Prompt = 20
			all++
			if _, ok := g.chargeAccount(now, q, true); ok {
				passed++
			}
		}
		return passed / all
	}
	const usual = 60 * time.Millisecond
	must.Eq(t, 1, share(30*time.Second, usual))
	v.Owner = nil
	must.Greater(t, 0.9, share(6*time.Second, usual))
	must.Less(t, 0.65, share(6*time.Second, usual/2), must.Sprint("at most 0.95 of recent usage passes, and the share of the slack once"))
	v.Owner = &wire.Member{Incarnation: "owner"}
	must.Eq(t, 1, share(time.Second, usual))
}

// Guards against more usage than an account may have when the scheduler is lost and found again
// every second and each loss tops the account up.
func TestTopUpIsRateLimited(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 1, 10000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Entries = index.New(&cfg), 1
	passed := 0
	for range 20 {
		s.view.Owner = &wire.Member{Incarnation: "owner"}
		s.Gate.chargeAccount(time.Now(), &request{gate: s.Gate, view: s.View(), account: "radio", route: &route.Route{}}, true)
		s.view.Owner = nil
		for range 10 {
			if s.do("POST", "/once/x").status == http.StatusOK {
				passed++
			}
		}
	}
	must.LessEq(t, 20, passed, must.Sprint("20 requests of 200 units each stay below one burst of the entry's share, 5000 units or more"))
}

// The scheduler is lost and no upstream has capacity that this entry may use. If another scheduler
// is found soon, waiting requests are served within their objective. Otherwise they are refused as
// soon as the objective is out of reach.
func TestWaitForNextScheduler(t *testing.T) {
	for _, tc := range []struct {
		name   string
		delay  time.Duration
		status int
	}{
		{"soon", 20 * time.Millisecond, http.StatusOK},
		{"too late", time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, respondText("ok"))
			s := newTestGate(t)
			s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
				return &wire.Grant{Slot: 1, Owner: "next", Upstream: "up-0", Address: u.Addr().String()}, nil
			})
			s.view.Owner = nil
			timer := time.AfterFunc(tc.delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.view.Owner = &wire.Member{Incarnation: "next"}
			})
			defer timer.Stop()
			start := time.Now()
			must.Eq(t, tc.status, s.do("POST", "/once/x").status)
			must.Less(t, tc.delay+500*time.Millisecond, time.Since(start))
		})
	}
}

// Guards against polling that counts against an account's rate. No scheduler answers and no
// upstream has capacity, so requests poll every few milliseconds until they are refused. If each
// poll were charged, the account's next requests would be refused for its rate.
func TestPollingIsNotCharged(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t)
	s.withScheduler(nil)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 1000, 20000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner = index.New(&cfg), nil
	for range 5 {
		must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	}
	s.mu.Lock()
	s.view.Upstreams["p"] = []*wire.Upstream{{Id: "up-0", Address: u.Addr().String(), Slots: 4}}
	s.mu.Unlock()
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
}

// reportedUnits returns the units of the next report.
func reportedUnits(t *testing.T, g *Gate) int64 {
	t.Helper()
	units := int64(0)
	must.NoError(t, g.ReportUsage(func(u *wire.Usage) error {
		for _, a := range u.GetAccounts() {
			units += a.GetUnits()
		}
		return nil
	}))
	return units
}

// Guards against usage that is forgotten because the scheduler did not take the report.
func TestFailedReportIsRepeated(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 20000, 20000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	lost := errors.New("lost")
	must.ErrorIs(t, s.Gate.ReportUsage(func(*wire.Usage) error {
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
		return lost
	}), lost)
	must.Eq(t, 400, reportedUnits(t, s.Gate))
	must.Eq(t, 0, reportedUnits(t, s.Gate))
}

// Guards against plain requests that no rate holds back. An entry places them itself and only reported
// them, so that an account that asks for nothing else had no limit. What is placed between two reports
// without asking is bounded, and an account with little use is never delayed by a question.
func TestPlainRequestsAskTheScheduler(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	s.QuotaSlack = 4 * 5 * 200 // A quarter of it is five requests of 200 units.
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 20000, 20000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner, s.view.Entries = index.New(&cfg), &wire.Member{Incarnation: "owner"}, 1
	s.refuseCharge = true
	for range 5 {
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	}
	must.Eq(t, http.StatusTooManyRequests, s.do("POST", "/once/x").status)
	must.Eq(t, 1000, reportedUnits(t, s.Gate))
	s.refuseCharge = false
	for range 7 {
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	}
	must.Eq(t, 400, s.chargedUnits)
	must.Eq(t, 1000, reportedUnits(t, s.Gate), must.Sprint("what was charged is not reported again"))
}

// Guards against an account that pays for plain requests that were never sent because no upstream was
// there. Its next request uses what the scheduler has charged.
func TestUnsentPlainRequestCostsNothing(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 20000, 20000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner, s.view.Entries = index.New(&cfg), &wire.Member{Incarnation: "owner"}, 1
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status) // Unreported, so that the next ones ask.
	upstreams := s.view.Upstreams
	s.mu.Lock()
	s.view.Upstreams = nil
	s.mu.Unlock()
	for range 5 {
		must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	}
	s.mu.Lock()
	s.view.Upstreams = upstreams
	s.mu.Unlock()
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 200, s.chargedUnits)
}
