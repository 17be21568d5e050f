package tally

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/canary"
	"azurelane/core/wire"
)

func split(number uint64, reporting bool) []*wire.Split {
	return []*wire.Split{{
		Pool: "p", Base: "v1", To: "v2", Number: number, Reporting: reporting,
		Shares: []*wire.RouteShare{{Route: "r", SlowUs: (50 * time.Millisecond).Microseconds()}},
	}}
}

func TestCounts(t *testing.T) {
	var tally Tally
	now := time.Unix(1000, 0)
	tally.SetSplits(now, split(1, true))
	for _, test := range []struct {
		version string
		result  Result
	}{
		{"v1", Result{Counts: true, Time: 20 * time.Millisecond}},
		{"v2", Result{Counts: true, Time: 20 * time.Millisecond}},
		{"v2", Result{Counts: true, Failed: true}},
		{"v2", Result{}},
		{"v0", Result{Counts: true, Failed: true}}, // Neither version.
	} {
		tally.End(tally.Begin(now, "p", "r", test.version, 100), test.result)
	}
	ev := tally.Evidence(now)
	must.Len(t, 1, ev)
	must.Len(t, 2, ev[0].GetRoutes())
	base, target := ev[0].GetRoutes()[0], ev[0].GetRoutes()[1]
	must.Eq(t, []int64{1, 1, 0}, []int64{base.GetSent(), base.GetEnded(), base.GetFailed()})
	must.Eq(t, []int64{3, 2, 1}, []int64{target.GetSent(), target.GetEnded(), target.GetFailed()})
	must.Eq(t, 1, target.GetTimes()[0].GetCounts()[canary.Bucket(20*time.Millisecond)])
}

// Guards against a slow version that is noticed only once its answers have come. A request that
// waits counts once, also when its answer comes later.
func TestWaitingRequestsCountAsSlow(t *testing.T) {
	var tally Tally
	now := time.Unix(1000, 0)
	tally.SetSplits(now, split(1, true))
	s := tally.Begin(now, "p", "r", "v2", 100)
	must.SliceEmpty(t, tally.Evidence(now.Add(40 * time.Millisecond))[0].GetRoutes()[0].GetTimes())
	late := tally.Evidence(now.Add(80 * time.Millisecond))[0].GetRoutes()[0]
	must.Eq(t, 1, late.GetTimes()[0].GetCounts()[canary.Bucket(80*time.Millisecond)])
	tally.End(s, Result{Counts: true, Time: 200 * time.Millisecond})
	after := tally.Evidence(now.Add(time.Second))[0].GetRoutes()[0]
	must.Eq(t, late.GetTimes(), after.GetTimes())
	must.Eq(t, 1, after.GetEnded())
}

// Guards against a rollout that completes, which stops the upstreams of the base version, while
// requests that began before the rollout still run there.
func TestRunsFromBeforeTheRolloutCount(t *testing.T) {
	var tally Tally
	now := time.Unix(1000, 0)
	s := tally.Begin(now, "p", "r", "v1", 100)
	tally.SetSplits(now, split(1, true))
	must.Eq(t, 1, tally.Evidence(now)[0].GetBaseRunning())
	tally.End(s, Result{Counts: true, Failed: true})
	ev := tally.Evidence(now)[0]
	must.Eq(t, 0, ev.GetBaseRunning())
	must.SliceEmpty(t, ev.GetRoutes(), must.Sprint("it says nothing about this rollout"))
}

// A stop of all control replicas must not lengthen a rollout: entries know for how long it has run.
func TestAge(t *testing.T) {
	var tally Tally
	now := time.Unix(1000, 0)
	tally.SetSplits(now, split(1, true))
	tally.SetSplits(now.Add(time.Second), split(1, true))
	must.Eq(t, (3 * time.Second).Microseconds(), tally.Evidence(now.Add(3 * time.Second))[0].GetAgeUs())
	tally.SetSplits(now.Add(4*time.Second), split(2, true))
	must.Eq(t, time.Second.Microseconds(), tally.Evidence(now.Add(5 * time.Second))[0].GetAgeUs())
}

// Counts of one rollout must not count for the next.
func TestEachRolloutCountsAnew(t *testing.T) {
	var tally Tally
	now := time.Unix(1000, 0)
	tally.SetSplits(now, split(1, true))
	s := tally.Begin(now, "p", "r", "v2", 100)
	tally.SetSplits(now, split(1, false))
	must.SliceEmpty(t, tally.Evidence(now))
	tally.SetSplits(now, split(2, true))
	tally.End(s, Result{Counts: true, Failed: true})
	must.SliceEmpty(t, tally.Evidence(now)[0].GetRoutes())
}
