package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// newVersionGate is a gate before an upstream of a base version and one of the target version of a
// rollout, which has a share of the requests.
func newVersionGate(t *testing.T, base, target *upstream, share float64) *testGate {
	t.Helper()
	s := newTestGate(t, base, target)
	s.SplitValid = time.Minute
	for n, u := range s.view.Upstreams["p"] {
		u.DataCentre, u.Version = "z0", []string{"v1", "v2"}[n]
	}
	s.SetSplits(splitOf(share))
	return s
}

func splitOf(share float64) *wire.Rollouts {
	return &wire.Rollouts{Scheduler: "s", Revision: 1, Splits: []*wire.Split{{
		Pool: "p", Base: "v1", To: "v2", Number: 1, Share: share, Reporting: true,
	}}}
}

func (s *testGate) targetCounts(t *testing.T) (sent, ended, failed int64) {
	t.Helper()
	ev := s.Evidence()
	must.NotNil(t, ev)
	for _, r := range ev.GetRollouts()[0].GetRoutes() {
		if r.GetTarget() {
			sent, ended, failed = sent+r.GetSent(), ended+r.GetEnded(), failed+r.GetFailed()
		}
	}
	return sent, ended, failed
}

// Guards against an entry that goes on sending to a version which has been rolled back, because it
// has lost touch with the scheduler.
func TestNoWordNoTargetVersion(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respondText("ok"))
	s := newVersionGate(t, base, target, 1)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, []int{0, 1}, []int{base.count(), target.count()})
	s.SplitValid = time.Nanosecond
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, []int{1, 1}, []int{base.count(), target.count()})
}

// Guards against callers who are refused because the target version has no upstream that can take
// their requests.
func TestBaseVersionStandsIn(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respondText("ok"))
	s := newVersionGate(t, base, target, 1)
	s.view.Upstreams["p"] = s.view.Upstreams["p"][:1]
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 1, base.count())
}

// Guards against callers of an entry that was cut off while a rollout completed: the upstreams of
// the base version have stopped.
func TestTargetVersionStandsIn(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respondText("ok"))
	s := newVersionGate(t, base, target, 0)
	s.SplitValid = time.Nanosecond
	_ = base.Close()
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 1, target.count())
}

// A request that the target version fails is sent again to the base version, and the failure
// counts against the target version.
func TestSecondSendGoesToTheBaseVersion(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respond(http.StatusInternalServerError, "no", ""))
	s := newVersionGate(t, base, target, 1)
	must.Eq(t, http.StatusOK, s.do("POST", "/again/x").status)
	must.Eq(t, []int{1, 1}, []int{base.count(), target.count()})
	sent, ended, failed := s.targetCounts(t)
	must.Eq(t, []int64{1, 1, 1}, []int64{sent, ended, failed})
}

// An answer of another upstream that has taken over the address says nothing about the version.
func TestMisdirectedIsNoEvidence(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respond(http.StatusMisdirectedRequest, "", "X-Instance: other\r\n"))
	s := newVersionGate(t, base, target, 1)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	_, ended, _ := s.targetCounts(t)
	must.Zero(t, ended)
}

// Guards against an older answer of the scheduler that arrives late and brings a split back.
func TestOlderSplitsAreIgnored(t *testing.T) {
	base, target := newUpstream(t, respondText("ok")), newUpstream(t, respondText("ok"))
	s := newVersionGate(t, base, target, 1)
	newer := splitOf(0)
	newer.Revision = 2
	s.SetSplits(newer)
	s.SetSplits(splitOf(1))
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 0, target.count())
	other := splitOf(1)
	other.Scheduler = "another"
	s.SetSplits(other)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 1, target.count())
}
