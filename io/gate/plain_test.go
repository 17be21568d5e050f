package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/index"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/grant"
)

// newPlainGate returns a gate of a pool that defers plain requests. Its scheduler answers tickets by a function
// that gets their number, from 0.
func newPlainGate(t *testing.T, decide func(s *testGate, n int, ticket *wire.Ticket) (*wire.Grant, error), ups ...*upstream) (*testGate, *fakeScheduler) {
	t.Helper()
	s := newTestGate(t, ups...)
	tickets := 0
	g := s.withScheduler(func(ticket *wire.Ticket) (*wire.Grant, error) {
		tickets++
		return decide(s, tickets-1, ticket)
	})
	cfg := *s.view.Index.Config()
	cfg.Pools = map[string]pool.Pool{"p": {ByRoute: true}}
	s.view.Index = index.New(&cfg)
	s.SetTicketed([]string{"p"}, []string{"p"})
	return s, g
}

// ownerIs sets whether a scheduler is known.
func (s *testGate) ownerIs(known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Owner = nil
	if known {
		s.view.Owner = &wire.Member{Incarnation: "owner"}
	}
}

func grantAt(u *upstream, id string) *wire.Grant {
	return &wire.Grant{Slot: 1, Owner: "owner", Upstream: id, Address: u.Addr().String()}
}

// Guards against requests that wait for a scheduler although none answers, and against deferred ones that are all
// sent at once when their scheduler has ended.
func TestWaitForAnotherScheduler(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name         string
		deferring    []string
		hadScheduler bool
		age          time.Duration // Of the request.
		want         time.Duration
	}{
		{"in time", []string{"p"}, false, 0, 0},
		{"late", []string{"p"}, false, 500 * ms, 0},
		{"its scheduler ended", []string{"p"}, true, 0, schedulerWait},
		{"its scheduler ended late", []string{"p"}, true, 500 * ms, 1750*ms - answerMargin/2},
		{"another pool", []string{"q"}, false, 0, schedulerWait},
		{"another pool, its scheduler ended late", []string{"q"}, true, 500 * ms, -100 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestGate(t)
			s.SetTicketed([]string{"p"}, tc.deferring)
			q := &request{gate: s.Gate, pool: "p", route: &route.Route{Objective: 300 * ms, Timeout: 4 * time.Second}, start: time.Now().Add(-tc.age)}
			must.InDelta(t, tc.want.Seconds(), q.schedulerWait(tc.hadScheduler).Seconds(), 0.1)
		})
	}
}

// Guards against a deferred request that its entry sends alone when its scheduler ends, although another one
// comes, or that is never sent because none comes. The objective is 100 ms, the timeout 2 s.
func TestSchedulerEndsWhilePlainTicketWaits(t *testing.T) {
	for _, tc := range []struct {
		name    string
		next    time.Duration // Until another scheduler is known; zero for never.
		tickets int
	}{{"another one comes", 300 * time.Millisecond, 2}, {"none comes", 0, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, respondText("ok"))
			tickets := 0
			s, _ := newPlainGate(t, func(s *testGate, n int, _ *wire.Ticket) (*wire.Grant, error) {
				tickets++
				if n > 0 {
					return grantAt(u, "up-0"), nil
				}
				time.Sleep(150 * time.Millisecond)
				s.ownerIs(false)
				if tc.next > 0 {
					time.AfterFunc(tc.next, func() { s.ownerIs(true) })
				}
				return nil, grant.ErrNoOwner
			}, u)
			must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
			must.Eq(t, tc.tickets, tickets)
			must.Eq(t, 1, u.count())
		})
	}
}

// Guards against a request of the kind that may run once that runs twice, or that is refused as not run although
// it may have run, when servers die, refuse it or are gone.
func TestPlainRequestsThatMayRunOnce(t *testing.T) {
	dies := func(_ int, _ *http.Request, w io.Writer) bool {
		closeConn(w)
		return false
	}
	for _, tc := range []struct {
		name     string
		first    func(int, *http.Request, io.Writer) bool // Nil for a server that is gone.
		second   error                                    // Refusal of the second ticket; nil for a grant.
		status   int
		tickets  int
		runs     int    // At both servers.
		released []bool // Dispatched, failed, busy.
	}{
		{"dies", dies, nil, http.StatusBadGateway, 1, 1, []bool{true, true, false}},
		{"gone", nil, nil, http.StatusOK, 2, 1, []bool{false, true, false}},
		{"full", respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n"), nil, http.StatusOK, 2, 2, []bool{true, false, true}},
		{"gone, and no other place", nil, refuse.New(refuse.Overloaded, "", time.Second), http.StatusServiceUnavailable, 2, 0, []bool{false, true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newUpstream(t, tc.first), newUpstream(t, respondText("ok"))
			if tc.first == nil {
				must.NoError(t, first.Close())
			}
			tickets := 0
			s, g := newPlainGate(t, func(_ *testGate, n int, ticket *wire.Ticket) (*wire.Grant, error) {
				tickets++
				if n == 0 {
					return grantAt(first, "up-0"), nil
				}
				must.SliceContains(t, ticket.GetAvoid(), "up-0")
				return grantAt(second, "up-1"), tc.second
			}, first, second)
			must.Eq(t, tc.status, s.do("POST", "/once/x").status)
			must.Eq(t, tc.tickets, tickets)
			must.Eq(t, tc.runs, first.count()+second.count())
			r := g.released[0]
			must.Eq(t, tc.released, []bool{r.GetDispatched(), r.GetFailed(), r.GetBusy()})
		})
	}
}
