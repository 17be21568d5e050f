package gate

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/digest"
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
		{"replaced", respond(http.StatusMisdirectedRequest, "", "")},
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

// Guards against an upstream that an entry never uses again, because the answer to a request for its
// former process arrives after its restart at another address is known.
func TestReplacedAtItsFormerAddress(t *testing.T) {
	var s *testGate
	next := newUpstream(t, respondText("ok"))
	former := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		s.mu.Lock()
		s.view.Upstreams = map[string][]*wire.Upstream{"p": {{Id: "up-0", Address: next.Addr().String(), Slots: 1, DataCentre: "z0", Born: 2}}}
		s.mu.Unlock()
		return respond(http.StatusMisdirectedRequest, "", "")(n, r, w)
	})
	s = newTestGate(t, former)
	s.do("POST", "/once/x")
	must.Eq(t, 1, former.count())
	must.SliceEmpty(t, s.replaced)
}
