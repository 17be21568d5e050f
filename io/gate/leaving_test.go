package gate

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/origin"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const leavingHeader = "X-Leaving: 1\r\n"

// leaver is an upstream that says in each response that it leaves.
func leaver(t *testing.T) *upstream {
	t.Helper()
	return newUpstream(t, respond(http.StatusOK, "leaver", leavingHeader))
}

// Guards against an upstream that gets requests because its word that it leaves is not taken from a
// response of some kind, and against one that gets none because of what another one said.
func TestWhereLeavingIsSaid(t *testing.T) {
	broken := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, leavingHeader+"Content-Length: 9\r\n\r\nhalf"))
		closeConn(w)
		return false
	}
	events := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, leavingHeader+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		writeChunk(w, "id: 1\ndata: 1\n\n")
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	for _, tc := range []struct {
		name, path string
		script     func(int, *http.Request, io.Writer) bool
		leaves     bool
	}{
		{"whole response", "/once/x", respond(http.StatusOK, "ok", leavingHeader), true},
		{"events", "/stream/x", events, true},
		{"refusal", "/once/x", respond(http.StatusServiceUnavailable, "", leavingHeader+"X-Not-Run: 1\r\n"), true},
		{"failure", "/once/x", respond(http.StatusInternalServerError, "", leavingHeader), true},
		{"broken response", "/once/x", broken, true},
		{"another upstream", "/once/x", respond(http.StatusMisdirectedRequest, "", leavingHeader+"X-Instance: other\r\n"), false},
		{"another value", "/once/x", respond(http.StatusOK, "ok", "X-Leaving: 0\r\n"), false},
		{"nothing", "/once/x", respondText("ok"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, other := newUpstream(t, tc.script), newUpstream(t, respondText("other"))
			s := newTestGate(t, first, other)
			must.Eq(t, "", s.do("POST", tc.path).header.Get("X-Leaving"), must.Sprint("it concerns this hop only"))
			must.Eq(t, 1, first.count())
			list := s.TakeLeavingReports()
			if !tc.leaves {
				must.SliceEmpty(t, list)
				must.SliceEmpty(t, s.KnownLeaving())
				return
			}
			must.Len(t, 1, list, must.Sprint("reported once"))
			must.Eq(t, "up-0", list[0].GetUpstream())
			must.Eq(t, "e", list[0].GetEntry())
			must.Len(t, 1, s.KnownLeaving())
			for range 20 {
				must.Eq(t, "other", s.do("POST", "/once/x").body)
			}
			must.Eq(t, 1, first.count())
			must.SliceEmpty(t, s.TakeLeavingReports())
			s.RequeueLeavingReports(list)
			must.Eq(t, list, s.TakeLeavingReports())
		})
	}
}

// Guards against requests to an upstream that leaves by a scheduler that has not heard of it, by a grant
// made before, and against loops with a scheduler that grants nothing else.
func TestGrantsOfUpstreamsThatLeave(t *testing.T) {
	for _, tc := range []struct {
		name    string
		grant   func(s *testGate, t *wire.Ticket) string // ID of the upstream.
		status  int
		tickets int // At most.
	}{
		{"not heard", func(_ *testGate, t *wire.Ticket) string {
			if len(t.GetAvoid()) > 0 {
				return "up-1"
			}
			return "up-0"
		}, http.StatusOK, 1},
		{"granted before", func(s *testGate, t *wire.Ticket) string {
			if len(t.GetAvoid()) > 0 {
				return "up-1"
			}
			s.leaving.known.Record("up-0", 0, time.Now()) // Another request has just got the response.
			s.leaving.active.Store(true)
			return "up-0"
		}, http.StatusOK, 2},
		{"grants nothing else", func(*testGate, *wire.Ticket) string { return "up-0" }, http.StatusServiceUnavailable, maxSends},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, other := leaver(t), newUpstream(t, respondText("other"))
			s := newTestGate(t, first, other)
			known := tc.name != "granted before"
			if known {
				s.do("POST", "/once/x")
			}
			before := first.count()
			var tickets []*wire.Ticket
			g := s.withScheduler(func(t *wire.Ticket) (*wire.Grant, error) {
				tickets = append(tickets, t)
				id := tc.grant(s, t)
				up := map[string]*upstream{"up-0": first, "up-1": other}[id]
				return &wire.Grant{Slot: uint64(len(tickets)), Owner: "owner", Upstream: id, Address: up.Addr().String()}, nil
			})
			r := s.do("POST", "/once/x")
			must.Eq(t, tc.status, r.status)
			must.Eq(t, tc.status != http.StatusOK, r.header.Get("Retry-After") != "")
			must.Eq(t, before, first.count())
			must.LessEq(t, tc.tickets, len(tickets))
			units := int64(0)
			for _, ticket := range tickets {
				units += ticket.GetUnits()
			}
			must.Eq(t, 200, units, must.Sprint("charged once"))
			must.Len(t, len(tickets), g.released)
			for _, rel := range g.released {
				must.Eq(t, rel.GetUpstream() == "up-1", rel.GetDispatched())
				must.False(t, rel.GetFailed())
			}
		})
	}
}

// Guards against callers that wait, or are sent in circles, while all upstreams leave, and against
// upstreams at their addresses that are taken for them.
func TestAllUpstreamsLeave(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(u *wire.Upstream)
		serves bool
	}{
		{"still the same", func(*wire.Upstream) {}, false},
		{"said ready since", func(u *wire.Upstream) { u.Revision++ }, false},
		{"another ID at the address", func(u *wire.Upstream) { u.Id += "-next" }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, other := leaver(t), leaver(t)
			s := newTestGate(t, first, other)
			for range 2 {
				must.Eq(t, "leaver", s.do("POST", "/once/x").body)
			}
			must.Eq(t, 2, first.count()+other.count())
			for _, u := range s.view.Upstreams["p"] {
				tc.change(u)
			}
			start := time.Now()
			r := s.do("POST", "/again/x")
			must.Less(t, time.Second, time.Since(start))
			if tc.serves {
				must.Eq(t, "leaver", r.body)
				return
			}
			must.Eq(t, http.StatusServiceUnavailable, r.status)
			must.Eq(t, localRetryAfter.String(), r.header.Get("Retry-After"))
			must.Eq(t, 2, first.count()+other.count())
			must.True(t, s.AllLeave(s.view.Upstreams["p"]))
		})
	}
}

// Guards against streams that break off because the last upstream of their version leaves, against those
// that go on there for too long, and against new ones there.
func TestStreamsGoOnWhereUpstreamsLeave(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions []string // Of the upstreams; the first one leaves.
		drain    time.Duration
		header   []string
		want     []int // Requests by upstream, after the first one.
	}{
		{"last of its version", []string{"v1", "v2"}, 2 * time.Second, []string{"X-Last-Event", "2", "X-Resumes", "first"}, []int{1, 0}},
		{"another one of its version", []string{"v1", "v1"}, 2 * time.Second, []string{"X-Last-Event", "2", "X-Resumes", "first"}, []int{0, 1}},
		{"for too long", []string{"v1", "v2"}, 0, []string{"X-Last-Event", "2", "X-Resumes", "first"}, []int{0, 0}},
		{"new stream", []string{"v1", "v2"}, 2 * time.Second, nil, []int{0, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
				if n == 0 {
					return respond(http.StatusOK, "leaver", leavingHeader)(n, r, w)
				}
				return sendRest(4)(n, r, w)
			})
			other := newUpstream(t, sendRest(4))
			s := newMixedGate(t, tc.versions, first, other)
			s.UpstreamDrain = tc.drain
			s.origins.streams.Record(time.Now(), origin.Key("radio", "p", "first"), "v1", time.Minute)
			s.view.Owner = &wire.Member{Incarnation: "owner"} // The pool's requests need no ticket.
			s.view.Upstreams["p"][1].DataCentre = "z1"        // Farther away.
			s.do("POST", "/again/x")
			must.Eq(t, 1, first.count())
			before := other.count()
			r := s.do("POST", "/resume/x", tc.header...)
			must.Eq(t, tc.want, []int{first.count() - 1, other.count() - before})
			if tc.want[0]+tc.want[1] == 0 {
				must.Eq(t, http.StatusServiceUnavailable, r.status)
				must.StrContains(t, r.body, refuse.VersionGone)
				return
			}
			must.Eq(t, http.StatusOK, r.status)
			must.True(t, strings.HasSuffix(r.body, "id: 4\ndata: 4\n\n"))
		})
	}
}
