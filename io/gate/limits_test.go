package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against an entry that alone sends more than its share of a limit, that never
// reports one, and that keeps one which the upstream no longer names.
func TestLimitAlone(t *testing.T) {
	limited, free := newUpstream(t, answer(http.StatusOK, "ok", "X-Limit: 2\r\n")), newUpstream(t, text("ok"))
	s := newSite(t, limited, free)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	must.Eq(t, 1, limited.count())
	reports := s.TakeLimitReports()
	must.Len(t, 1, reports)
	must.Eq(t, 2, reports[0].GetPerSecond())
	start := time.Now()
	for range 20 {
		must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	}
	must.LessEq(t, 1+int(2*time.Since(start).Seconds()), limited.count())
	must.Len(t, 1, s.KnownLimits())

	s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 0}})
	before := limited.count()
	time.Sleep(600 * time.Millisecond)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	must.Eq(t, before, limited.count())
	time.Sleep(ownFor)
	s.SetLimits(nil)
	must.SliceEmpty(t, s.KnownLimits())
}

// Guards against all of hundreds of entries that each take a share when an upstream names
// another limit, though the scheduler has given it to a few.
func TestShareStaysWhenALimitChanges(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")), newUpstream(t, text("ok")))
	s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 0}})
	s.named(time.Now(), "3")
	time.Sleep(time.Second)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	u := s.view.Upstreams["p"]
	must.Positive(t, s.peers.Wait(time.Now(), u[:1]))
}

// Guards against an entry that gives up its share, or takes another one, for a scheduler that
// does not know all entries yet.
func TestShareStaysWhileEntriesCome(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")))
	for _, share := range []float64{0.25, 0} {
		s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: share}})
		s.SetLimits([]*wire.Limit{{Upstream: "up-0", PerSecond: 2, Share: 1, KeepShare: true}})
		must.Eq(t, share, s.limits.known["up-0"].share)
	}
}

// Guards against a limit that is forgotten because an answer from before it comes late,
// and against one that stays.
func TestLimitEndsByLaterRequestsOnly(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")))
	start := time.Now()
	s.named(start, "1.5")
	s.named(start.Add(-time.Second), "")
	s.named(start.Add(-time.Second), "9")
	must.Len(t, 1, s.KnownLimits())
	must.Eq(t, 1.5, s.KnownLimits()[0].GetPerSecond())
	for _, h := range []http.Header{{}, {"X-Limit": {"7"}}} { // Another upstream at the same address.
		s.limited("up-0", time.Now(), &http.Response{StatusCode: http.StatusMisdirectedRequest, Header: h})
		must.Len(t, 1, s.KnownLimits())
		must.Eq(t, 1.5, s.KnownLimits()[0].GetPerSecond())
	}
	time.Sleep(reportAgain)
	s.named(time.Now(), "")
	must.SliceEmpty(t, s.KnownLimits())
	reports := s.TakeLimitReports()
	must.True(t, reports[len(reports)-1].GetEnded())
}

// named is an answer of an upstream that names a limit; empty for none.
func (s *site) named(sent time.Time, rate string) {
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	r.Header.Set(markHeader, "m")
	if rate != "" {
		r.Header.Set("X-Limit", rate)
	}
	s.limited("up-0", sent, r)
}
