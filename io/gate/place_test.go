package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/index"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
)

// The scheduler refuses: the caller gets it at once, with the time to come back,
// and no upstream is asked.
func TestRefusedByScheduler(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	s.scheduled(func(*wire.Ticket) (*wire.Grant, error) {
		return nil, refuse.New(refuse.Overloaded, "", 1500*time.Millisecond)
	})
	r := s.ask("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, "1.5s", r.header.Get("Retry-After"))
	must.Eq(t, 0, u.count())
}

// A place is given back with what the run was like, whatever became of it.
func TestPlacesAreGivenBack(t *testing.T) {
	u := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 0 {
			return answer(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")(n, r, w)
		}
		events(r, w, 1, 5, true)
		return true
	})
	s := newSite(t, u)
	var tickets []*wire.Ticket
	g := s.scheduled(func(t *wire.Ticket) (*wire.Grant, error) {
		tickets = append(tickets, t)
		return &wire.Grant{Slot: uint64(len(tickets)), Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
	})
	must.Eq(t, streamTo(5), s.ask("POST", "/stream/x").body)
	must.Len(t, 2, tickets)
	must.Eq(t, []string{"up-0"}, tickets[1].GetAvoid())
	must.Eq(t, 200, tickets[0].GetUnits())
	must.Eq(t, 0, tickets[1].GetUnits(), must.Sprint("charged once"))
	must.Len(t, 2, g.released)
	must.True(t, g.released[0].GetBusy())
	must.Eq(t, 5, g.released[1].GetPieces())
	must.Greater(t, 0, g.released[1].GetFirstTokenUs())
}

// Upstreams fail all the time. Second sends stay within the budget of all
// entries, so that a pool in trouble is not sent twice its load.
func TestBudget(t *testing.T) {
	bad := answer(http.StatusInternalServerError, "", "")
	first, second := newUpstream(t, bad), newUpstream(t, bad)
	s := newSite(t, first, second)
	s.RetryRatio, s.RetrySlack = 0.2, 10
	for range 100 {
		s.ask("POST", "/again/x")
	}
	must.LessEq(t, 100+20+10, first.count()+second.count())
	must.Greater(t, 105, first.count()+second.count())
}

// While no scheduler answers, an entry keeps an account to its share.
func TestAloneWithinTheShare(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 2000, 2000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Entries = index.New(&cfg), 2
	var status []int
	for range 20 {
		status = append(status, s.ask("POST", "/once/x").status)
	}
	must.SliceContains(t, status, http.StatusTooManyRequests)
	must.Eq(t, http.StatusOK, status[0])
	must.Between(t, 1, u.count(), 8)
	s.view.Owner = &wire.Member{Incarnation: "owner"}
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	must.Eq(t, 200, s.TakeUsage().GetAccounts()[0].GetUnits())
	must.Nil(t, s.TakeUsage())
}

// An account uses up its rate while a scheduler answers. The scheduler is lost:
// each entry would give the account a burst of its own, and together they would
// pass its rate by far.
func TestNoBurstWhenTheSchedulerIsLost(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 200, 10000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	for range 60 {
		must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	}
	s.view.Owner = nil
	must.Eq(t, http.StatusTooManyRequests, s.ask("POST", "/once/x").status)
}

// A cut leaves two of six entries alone for three seconds, and an account asks
// for all that it may have on both sides. What the two let pass, beside a whole
// burst and the whole rate on the other side, stays within what the account may
// pass in eight seconds.
func TestCutEntriesKeepTheRate(t *testing.T) {
	const rate, entries, cut, span = 1000.0, 6, 2, 3 * time.Second
	passed := 0.0
	for range cut {
		var own allow.Allow
		now := time.Unix(1000, 0)
		own.Set(now, map[string]acct.Account{"radio": {Rate: rate, Burst: rate}}, allow.EqualPart/entries)
		own.Charge(now, "radio", -int64(rate)) // Full: the account asked for little before.
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			if _, ok := own.Take(now, "radio", 1); ok {
				passed++
			}
		}
	}
	const over, scheduler = 1.1, 0.25 // Allowed beyond the rate, and the part of that which the scheduler uses.
	other := (8*rate + rate) * (1 + (over-1)*scheduler)
	must.LessEq(t, (8*rate+rate)*over, other+passed)
}

// A route has a rank and its caller's account another one. The scheduler is told both:
// with one in place of the other it could not tell the urgent requests of an account
// from the rest.
func TestTicketTellsBothRanks(t *testing.T) {
	two := 2
	for _, tc := range []struct {
		name    string
		account *int
		want    int32
	}{{"both", &two, 2}, {"the route alone", nil, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			g := &Gate{}
			q := &request{gate: g, route: &route.Route{Priority: 1, Timeout: time.Second}, limits: acct.Account{Priority: tc.account}, start: time.Now()}
			must.Eq(t, 1, q.ticket().GetPriority())
			must.Eq(t, tc.want, q.ticket().GetAccountPriority())
		})
	}
}
