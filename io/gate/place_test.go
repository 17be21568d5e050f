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

// If the scheduler refuses, the caller gets the refusal at once, with the time to retry, and no
// upstream receives the request.
func TestRefusedByScheduler(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
		return nil, refuse.New(refuse.Overloaded, "", 1500*time.Millisecond)
	})
	r := s.do("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, "1.5s", r.header.Get("Retry-After"))
	must.Eq(t, 0, u.count())
}

// Every slot is released with the result of its send, whatever the result is.
func TestSlotsAreReleased(t *testing.T) {
	u := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 0 {
			return respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")(n, r, w)
		}
		writeEvents(r, w, 1, 5, true)
		return true
	})
	s := newTestGate(t, u)
	var tickets []*wire.Ticket
	g := s.withScheduler(func(t *wire.Ticket) (*wire.Grant, error) {
		tickets = append(tickets, t)
		return &wire.Grant{Slot: uint64(len(tickets)), Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
	})
	must.Eq(t, eventsUpTo(5), s.do("POST", "/stream/x").body)
	must.Len(t, 2, tickets)
	must.Eq(t, []string{"up-0"}, tickets[1].GetAvoid())
	must.Eq(t, 200, tickets[0].GetUnits())
	must.Eq(t, 0, tickets[1].GetUnits(), must.Sprint("charged once"))
	must.Len(t, 2, g.released)
	must.True(t, g.released[0].GetBusy())
	must.Eq(t, 5, g.released[1].GetPieces())
	must.Greater(t, 0, g.released[1].GetFirstTokenUs())
}

// Upstreams always fail. Retries stay within the budget, so that a pool in trouble does not receive
// twice its load.
func TestRetryBudget(t *testing.T) {
	bad := respond(http.StatusInternalServerError, "", "")
	first, second := newUpstream(t, bad), newUpstream(t, bad)
	s := newTestGate(t, first, second)
	s.RetryRatio, s.RetrySlack = 0.2, 10
	for range 100 {
		s.do("POST", "/again/x")
	}
	must.LessEq(t, 100+20+10, first.count()+second.count())
	must.Greater(t, 105, first.count()+second.count())
}

// While no scheduler answers, an entry holds an account to the entry's share of its rate.
func TestQuotaShareWithoutScheduler(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 2000, 2000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Entries = index.New(&cfg), 2
	var status []int
	for range 20 {
		status = append(status, s.do("POST", "/once/x").status)
	}
	must.SliceContains(t, status, http.StatusTooManyRequests)
	must.Eq(t, http.StatusOK, status[0])
	must.Between(t, 1, u.count(), 8)
	s.view.Owner = &wire.Member{Incarnation: "owner"}
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 200*int64(u.count()), reportedUnits(t, s.Gate)+s.chargedUnits, must.Sprint("those sent without a scheduler, too"))
	must.Eq(t, 0, reportedUnits(t, s.Gate))
}

// Guards against a burst from every entry when the scheduler is lost. The account has used up its
// rate before; together such bursts would far exceed the rate.
func TestNoBurstWhenTheSchedulerIsLost(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 200, 10000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	for range 60 {
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	}
	s.view.Owner = nil
	must.Eq(t, http.StatusTooManyRequests, s.do("POST", "/once/x").status)
}

// Guards against an account that exceeds its allowance during a network partition. The partition
// isolates two of six entries for 3 s, while the account uses all that it may on both sides. Within
// any 8 s an account may use 8 s of its rate and one burst, which equals one second of the rate
// here, and 10 % more. On the other side, the scheduler allows all of that, but only a quarter of
// the 10 %. The units that the two isolated entries allow must fit into the remainder.
func TestPartitionedEntriesKeepTheRate(t *testing.T) {
	const rate, entries, isolated, span = 1000.0, 6, 2, 3 * time.Second
	passed := 0.0
	for range isolated {
		var own allow.Limiter
		now := time.Unix(1000, 0)
		own.Set(now, map[string]acct.Account{"radio": {Rate: rate, Burst: rate}}, allow.EqualShareFraction/entries)
		own.Charge(now, "radio", -int64(rate)) // Full: the account used little before.
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			if _, ok := own.Take(now, "radio", 1); ok {
				passed++
			}
		}
	}
	// over is the factor by which usage may exceed the rate, scheduler the fraction of the excess
	// that the scheduler may use.
	const over, scheduler = 1.1, 0.25
	other := (8*rate + rate) * (1 + (over-1)*scheduler)
	must.LessEq(t, (8*rate+rate)*over, other+passed)
}

// Guards against a ticket that has the route's priority in place of the account's or the reverse.
// The scheduler could not tell the urgent requests of an account from its other requests.
func TestTicketHasBothPriorities(t *testing.T) {
	two := 2
	for _, tc := range []struct {
		name    string
		account *int
		want    int32
	}{{"both", &two, 2}, {"the route alone", nil, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			g := &Gate{}
			q := &request{gate: g, route: &route.Route{Priority: 1, Timeout: time.Second}, accountConfig: acct.Account{Priority: tc.account}, start: time.Now()}
			must.Eq(t, 1, q.ticket().GetPriority())
			must.Eq(t, tc.want, q.ticket().GetAccountPriority())
		})
	}
}

// Guards against requests that are refused as soon as a scheduler is lost, because their route has
// no objective to derive a wait from.
func TestPlacementWait(t *testing.T) {
	for _, test := range []struct {
		name      string
		objective time.Duration
		want      time.Duration // At most; at least half of it.
	}{
		{"no objective", 0, maxLocalWait},
		{"half of the objective", 100 * time.Millisecond, 50 * time.Millisecond},
		{"long objective", time.Minute, maxLocalWait},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := &request{start: time.Now(), route: &route.Route{Objective: test.objective, Timeout: 5 * time.Second}}
			must.Between(t, test.want/2, q.placementWait(), test.want)
		})
	}
}

// Guards against a request that is sent only to have been sent: its grant comes when too little time
// is left for a run. It has not run, so the caller is told so, and the slot is free again.
func TestNoSendWithoutTimeForARun(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	for n := range s.view.Index.Config().Routes {
		s.view.Index.Config().Routes[n].Objective = time.Second
	}
	g := s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
		time.Sleep(150 * time.Millisecond)
		return &wire.Grant{Slot: 1, Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
	})
	r := s.do("POST", "/once/x", "X-Wait", "200ms")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, 0, u.count())
	must.Len(t, 1, g.released)
	must.False(t, g.released[0].GetDispatched())
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x", "X-Wait", "2s").status)
}

// Guards against upstreams that the scheduler blames, and excludes for all entries, because one entry
// has lost its path; and against an entry without any path that keeps its callers.
func TestLostPathBlamesNoUpstream(t *testing.T) {
	s := newTestGate(t)
	g := s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
		return &wire.Grant{Slot: 1, Owner: "owner", Upstream: "up-0", Address: "127.0.0.1:1"}, nil
	})
	s.do("POST", "/once/x")
	must.True(t, g.released[0].GetFailed())
	q := &request{gate: s.Gate, view: s.View(), route: &route.Route{}}
	s.noPath = true
	before := len(g.released)
	(&placement{request: q, ticket: &wire.Ticket{}, grant: &wire.Grant{}, upstream: &wire.Upstream{Id: "up-0"}}).release(result{outcome: outcomeNotSent})
	must.Len(t, before+1, g.released)
	must.False(t, g.released[before].GetFailed())
	must.False(t, g.released[before].GetDispatched())
	r := s.do("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, noPathRetryAfter.String(), r.header.Get("Retry-After"))
	must.Len(t, before+1, g.released)
}
