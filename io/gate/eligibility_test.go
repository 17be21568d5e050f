package gate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
)

// Guards against a request that stays banned because the one trial that the scheduler allowed met an
// upstream which did not run it.
func TestTrialCountsOnlyIfItRan(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first func(n int, r *http.Request, w io.Writer) bool
	}{
		{"runs at once", respondText("ok")},
		{"busy", respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")},
		{"replaced", respond(http.StatusMisdirectedRequest, "", "X-Instance: other\r\n")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newUpstream(t, tc.first), newUpstream(t, respondText("ok"))
			s := newTestGate(t, first, second)
			one := trialsLeft(1)
			s.Trier = &one
			d := digest.Of("radio", "h", "/again/x", []byte("text"))
			s.SetBans(&wire.Bans{Revision: 1, Banned: []*wire.Ban{{Digest: d[:]}}, Watched: []*wire.Watched{{Digest: d[:]}}}, true)
			must.Eq(t, http.StatusOK, s.do("POST", "/again/x").status)
			must.Eq(t, 1, first.count())
		})
	}
}

// Guards against a banned request that crashes a second upstream under the permission for one trial.
func TestTrialRunsOnce(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first func(n int, r *http.Request, w io.Writer) bool
	}{
		{"failed", respond(http.StatusInternalServerError, "", "")},
		{"broken off", func(int, *http.Request, io.Writer) bool { return false }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newUpstream(t, tc.first), newUpstream(t, respondText("ok"))
			s := newTestGate(t, first, second)
			one := trialsLeft(1)
			s.Trier = &one
			d := digest.Of("radio", "h", "/again/x", []byte("text"))
			s.SetBans(&wire.Bans{Revision: 1, Banned: []*wire.Ban{{Digest: d[:]}}, Watched: []*wire.Watched{{Digest: d[:]}}}, true)
			must.NotEq(t, http.StatusOK, s.do("POST", "/again/x").status)
			must.Eq(t, 1, first.count())
			must.Eq(t, 0, second.count())
		})
	}
}

// Guards against a trial that goes on after a run at an upstream which may have run the request before.
func TestTrialEndsWithARun(t *testing.T) {
	for _, tc := range []struct {
		outcome outcome
		refused bool
	}{{outcomeNotSent, false}, {outcomeNotRun, false}, {outcomeMisdirected, false}, {outcomeFailed, true}, {outcomeInterrupted, true}} {
		s := newTestGate(t, newUpstream(t, respondText("ok")))
		none := trialsLeft(0)
		s.Trier = &none
		d := digest.Of("radio", "h", "/again/x", []byte("text"))
		s.SetBans(&wire.Bans{Revision: 1, Banned: []*wire.Ban{{Digest: d[:]}}, Watched: []*wire.Watched{{Digest: d[:]}}}, true)
		view := s.View()
		q := &request{gate: s.Gate, route: &route.Route{Timeout: time.Minute, Idempotent: true, Upstreams: 3}, pool: "p", view: view, start: time.Now(), cachedDigest: &d, banTrial: true}
		q.tried.GiveUp("other")
		q.prepareRetry(t.Context(), &placement{request: q, upstream: &wire.Upstream{Id: "other"}}, result{outcome: tc.outcome})
		_, err := q.placeUnlessBanned(t.Context())
		must.Eq(t, tc.refused, hasCode(err, refuse.Crashes), must.Sprint(tc.outcome, err))
		must.Eq(t, tc.refused, err != nil, must.Sprint(tc.outcome, err))
	}
}

// Guards against an upstream that an entry never uses again, because the answer to a request for its
// former process arrives after its restart at another address is known.
func TestReplacedAtItsFormerAddress(t *testing.T) {
	var s *testGate
	next := newUpstream(t, respondText("ok"))
	former := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		s.mu.Lock()
		s.view.Upstreams = map[string][]*wire.Upstream{"p": {{Id: "up-0", Address: next.Addr().String(), Slots: 1, DataCentre: "z0", Born: 2}}}
		s.mu.Unlock()
		return respond(http.StatusMisdirectedRequest, "", "X-Instance: other\r\n")(n, r, w)
	})
	s = newTestGate(t, former)
	s.do("POST", "/once/x")
	must.Eq(t, 1, former.count())
	must.SliceEmpty(t, s.replaced)
}
