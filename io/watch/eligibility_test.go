package watch

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against a scheduler that never learns what entries know of upstreams, because its replica lost
// the leadership and won it again before the entries noticed.
func TestNewSchedulerOfTheSameReplicaIsTold(t *testing.T) {
	for _, tc := range []struct {
		name string
		told func(p *wire.Watch) bool
	}{
		{"usage", func(p *wire.Watch) bool { return len(p.GetRates()) > 0 }},
		{"origins", func(p *wire.Watch) bool { return len(p.GetOrigins()) > 0 }},
		{"limits", func(p *wire.Watch) bool { return len(p.GetLimits()) > 0 }},
		{"brittle", func(p *wire.Watch) bool { return len(p.GetBrittle()) > 0 }},
		{"crashes", func(p *wire.Watch) bool { return p.GetCrashes() != nil }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			scheduler, told := "", false
			w := newWatcher(&fakeControl{news: func(p *wire.Watch) (*wire.News, error) {
				told = tc.told(p)
				return &wire.News{Leader: scheduler}, nil
			}})
			w.Usage = func() []*wire.AccountUsage { return []*wire.AccountUsage{{Account: "a"}} }
			w.Origins = func() []*wire.Origin { return []*wire.Origin{{Version: "v1"}} }
			w.Limits = func() []*wire.Limit { return []*wire.Limit{{Upstream: "a"}} }
			w.Brittle = func() []*wire.Brittle { return []*wire.Brittle{{Upstream: "a"}} }
			w.Crashes = func() *wire.Crashes { return &wire.Crashes{Crashes: []*wire.Crash{{Upstream: "a"}}} }
			for _, poll := range []struct {
				scheduler string
				told      bool
			}{{"first", true}, {"first", false}, {"second", false}, {"second", true}, {"second", false}} {
				scheduler = poll.scheduler
				must.NoError(t, w.poll(t.Context(), target{addr: addr}, pollTimeout))
				must.Eq(t, poll.told, told, must.Sprint("scheduler ", scheduler))
			}
		})
	}
}
