package canary

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// evidence returns counts of one route, all answers of which took the same time.
func evidence(base, target int64, took time.Duration) *wire.RolloutEvidence {
	counts := func(n int64) []*wire.TimeCounts {
		list := make([]int64, Buckets)
		list[Bucket(took)] = n
		return []*wire.TimeCounts{{Counts: list}}
	}
	return &wire.RolloutEvidence{Routes: []*wire.RouteEvidence{
		{Route: "r", Sent: base, Ended: base, Times: counts(base)},
		{Route: "r", Target: true, Sent: target, Ended: target, Times: counts(target)},
	}}
}

func situation(elapsed time.Duration) Situation {
	return Situation{Elapsed: elapsed, Entries: 1, BaseCapacity: 10, TargetCapacity: 10}
}

// Guards against a takeover that takes a good version for a bad one: the new leader gets all counts
// of an entry in one report, before it knows any time of the base version.
func TestFirstReportOfManyAnswers(t *testing.T) {
	c := Canary{Limits: Limits{Share: 0.1, Slack: 50, Length: 10 * time.Second}}
	c.Record("e", evidence(400, 20, 20*time.Millisecond))
	must.Eq(t, wire.Rollout_PHASE_CANARY, c.Decide(situation(4*time.Second)).Phase)
}

// Guards against a takeover that overestimates the requests to come, and so what a version may get:
// an entry's first report holds all requests since the order.
func TestRateAfterTakeover(t *testing.T) {
	c := Canary{Limits: Limits{Share: 0.1, Slack: 50, Length: 10 * time.Second}}
	must.Eq(t, wire.Rollout_PHASE_CANARY, c.Decide(situation(4*time.Second)).Phase)
	for n := range int64(30) {
		c.Record("e", evidence(4000+40*n, 200, 20*time.Millisecond))
		at := 4*time.Second + time.Duration(n)*100*time.Millisecond
		c.Decide(situation(at))
		left := (10*time.Second - at).Seconds()
		must.LessEq(t, 50+0.1*(float64(4200+40*n)+400*left)+1, c.allowed(at))
	}
}

// Guards against a takeover that sends requests to a version which entries know to be bad.
func TestNothingIsSentBeforeEntriesReport(t *testing.T) {
	c := Canary{Limits: Limits{Share: 0.1, Slack: 50, Length: 10 * time.Second}}
	s := situation(4 * time.Second)
	s.Phase, s.Entries = wire.Rollout_PHASE_SHIFT, 2
	must.Zero(t, c.Decide(s).Share)
	c.Record("e", evidence(400, 20, 20*time.Millisecond))
	must.Zero(t, c.Decide(s).Share, must.Sprint("one of two"))
	c.Record("f", evidence(400, 20, 20*time.Millisecond))
	must.Greater(t, 0, c.Decide(s).Share)
}

// Counts are cumulative: a report that arrives twice, or late, changes nothing.
func TestRecordAgain(t *testing.T) {
	var c Canary
	c.Record("e", evidence(100, 10, time.Millisecond))
	c.Record("e", evidence(200, 20, time.Millisecond))
	c.Record("e", evidence(200, 20, time.Millisecond))
	target, total := c.Counts()
	must.Eq(t, 20, target)
	must.Eq(t, 220, total)
}

// A pool with no requests, or without upstreams of the version, is rolled back at the deadline: no
// evidence is no reason to stop the upstreams of the base version.
func TestNoEvidence(t *testing.T) {
	for _, test := range []struct {
		name     string
		capacity int64
		cause    string
	}{
		{"no upstreams", 0, "too few upstreams"},
		{"no requests", 10, "not enough evidence"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := Canary{Limits: Limits{Share: 0.1, Slack: 50, Length: 10 * time.Second}}
			s := situation(time.Second)
			s.TargetCapacity = test.capacity
			must.Eq(t, wire.Rollout_PHASE_CANARY, c.Decide(s).Phase)
			s.Elapsed = 9900 * time.Millisecond
			step := c.Decide(s)
			must.Eq(t, wire.Rollout_PHASE_ROLLED_BACK, step.Phase)
			must.StrContains(t, step.Cause, test.cause)
		})
	}
}

// Each request goes to the version that the split says, and to the same one when it is sent again.
func TestVersion(t *testing.T) {
	s := &wire.Split{Base: "v1", To: "v2", Share: 0.2, Shares: []*wire.RouteShare{{Route: "all", Share: 1}, {Route: "none"}}}
	counts := map[string]int{}
	for n := range 10000 {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		v := Version(s, "r", id)
		must.Eq(t, v, Version(s, "r", id))
		counts[v]++
		must.Eq(t, "v2", Version(s, "all", id))
		must.Eq(t, "v1", Version(s, "none", id))
	}
	must.Between(t, 1800, counts["v2"], 2200)
	must.Eq(t, "v1", Version(&wire.Split{Base: "v1"}, "r", "x"))
	must.Eq(t, "", Version(nil, "r", "x"))
}
