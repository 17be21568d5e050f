package gate

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/index"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// Guards against brittle upstreams that the scheduler does not hear of: any response tells, also a
// refusal, once for each change, and one that tells nothing counts only if it comes from the upstream.
func TestBrittleReports(t *testing.T) {
	more := "X-Brittle: 3\r\n"
	u := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		switch n {
		case 0:
			return respond(http.StatusServiceUnavailable, "", more+"X-Not-Run: 1\r\n")(n, r, w)
		case 3:
			more = ""
		}
		return respond(http.StatusOK, "ok", more)(n, r, w)
	})
	s := newTestGate(t, u)
	reports := func() (most []int64) {
		for _, r := range s.TakeBrittleReports() {
			most = append(most, r.GetMost())
		}
		return most
	}
	s.do("POST", "/once/x")
	must.Eq(t, []int64{3}, reports())
	s.do("POST", "/once/x")
	s.do("POST", "/once/x")
	must.SliceEmpty(t, reports(), must.Sprint("nothing new"))
	must.Len(t, 1, s.KnownBrittle())
	s.do("POST", "/once/x")
	must.Eq(t, []int64{0}, reports())
}

// Guards against a brittle upstream that the scheduler never hears of, because the one report of it could
// not be delivered; and against a repeated report of what is no longer so.
func TestLostBrittleReport(t *testing.T) {
	most := "3"
	u := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		return respond(http.StatusOK, "ok", "X-Brittle: "+most+"\r\n")(n, r, w)
	})
	s := newTestGate(t, u)
	s.do("POST", "/once/x")
	lost := s.TakeBrittleReports()
	must.Len(t, 1, lost)
	must.SliceEmpty(t, s.TakeBrittleReports())
	s.RequeueBrittleReports(lost)
	must.Len(t, 1, s.TakeBrittleReports())
	most = "5"
	s.do("POST", "/once/x")
	s.RequeueBrittleReports(lost)
	got := s.TakeBrittleReports()
	must.Len(t, 1, got)
	must.Eq(t, 5, got[0].GetMost())
}

// Guards against requests of a brittle pool that entries place without the scheduler, which alone knows
// all that its upstreams refuse.
func TestBrittlePoolsTakeTickets(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	tickets := 0
	s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
		tickets++
		return &wire.Grant{Slot: 1, Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
	})
	cfg := *s.view.Index.Config()
	cfg.Pools = map[string]pool.Pool{"p": {ByRoute: true}}
	s.view.Index = index.New(&cfg)
	for _, test := range []struct {
		pools []string
		want  int
	}{{nil, 0}, {[]string{"q"}, 0}, {[]string{"p"}, 1}, {nil, 1}} {
		s.SetTicketed(test.pools, nil)
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
		must.Eq(t, test.want, tickets)
	}
}
