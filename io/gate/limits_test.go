package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against an entry without a scheduler that exceeds its share of a limit, never reports the
// limit, or keeps a limit that the upstream no longer announces.
func TestLimitWithoutScheduler(t *testing.T) {
	limited, free := newUpstream(t, respond(http.StatusOK, "ok", "X-Limit: 2\r\n")), newUpstream(t, respondText("ok"))
	s := newTestGate(t, limited, free)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 1, limited.count())
	reports := s.TakeLimitReports()
	must.Len(t, 1, reports)
	must.Eq(t, 2, reports[0].GetPerSecond())
	start := time.Now()
	for range 20 {
		must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	}
	must.LessEq(t, 1+int(2*time.Since(start).Seconds()), limited.count())
	must.Len(t, 1, s.KnownLimits())

	s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 0}})
	before := limited.count()
	time.Sleep(600 * time.Millisecond)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, before, limited.count())
	time.Sleep(localLimitTTL)
	s.SetLimits(nil)
	must.SliceEmpty(t, s.KnownLimits())
}

// Guards against hundreds of entries that each take a share when an upstream announces another
// rate, although the scheduler has assigned shares to a few entries only.
func TestShareKeptWhenLimitChanges(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")), newUpstream(t, respondText("ok")))
	s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 0}})
	s.receiveLimit(time.Now(), "3")
	time.Sleep(time.Second)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	u := s.view.Upstreams["p"]
	must.Positive(t, s.peers.Wait(time.Now(), u[:1]))
}

// Guards against an entry that gives up or changes its share because of a list from a scheduler
// that does not know all entries yet.
func TestShareKeptWhileEntriesJoin(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	for _, share := range []float64{0.25, 0} {
		s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: share}})
		s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 1, KeepShare: true}})
		must.Eq(t, share, s.rateLimits.known["up-0"].share)
	}
}

// Guards against a limit that is removed by a late response to a request from before the limit, and
// against a limit that is never removed.
func TestLimitEndsByLaterRequestsOnly(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	start := time.Now()
	s.receiveLimit(start, "1.5")
	s.receiveLimit(start.Add(-time.Second), "")
	s.receiveLimit(start.Add(-time.Second), "9")
	must.Len(t, 1, s.KnownLimits())
	must.Eq(t, 1.5, s.KnownLimits()[0].GetPerSecond())
	for _, h := range []http.Header{{}, {"X-Limit": {"7"}}} { // Another upstream at the same address.
		s.recordLimit("up-0", time.Now(), &http.Response{StatusCode: http.StatusMisdirectedRequest, Header: h})
		must.Len(t, 1, s.KnownLimits())
		must.Eq(t, 1.5, s.KnownLimits()[0].GetPerSecond())
	}
	time.Sleep(reportInterval)
	s.receiveLimit(time.Now(), "")
	must.SliceEmpty(t, s.KnownLimits())
	reports := s.TakeLimitReports()
	must.True(t, reports[len(reports)-1].GetEnded())
}

// receiveLimit handles a response that announces a limit, or none if rate is empty.
func (s *testGate) receiveLimit(sent time.Time, rate string) {
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	r.Header.Set(genuineHeader, "m")
	if rate != "" {
		r.Header.Set("X-Limit", rate)
	}
	s.recordLimit("up-0", sent, r)
}
