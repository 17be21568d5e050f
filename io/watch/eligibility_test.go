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

// Guards against a restarted upstream that an entry never uses, because the answer that its former
// process was replaced arrives after the roster shows the restart; and against one that an entry goes on
// to use although another upstream answers at its address.
func TestLateReplacement(t *testing.T) {
	for _, tc := range []struct {
		name   string
		former *wire.Upstream
		stays  bool
	}{
		{"same process", &wire.Upstream{Id: "a", Address: "10.0.0.1:80", Born: 2}, false},
		{"restarted elsewhere", &wire.Upstream{Id: "a", Address: "10.0.0.2:80", Born: 1}, true},
		{"restarted at the same address", &wire.Upstream{Id: "a", Address: "10.0.0.1:80", Born: 1}, true},
		{"at another address, process not known yet", &wire.Upstream{Id: "a", Address: "10.0.0.2:80", Born: 2}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWatcher(&fakeControl{})
			roster := []*wire.Upstream{{Id: "a", Pool: "p", Address: "10.0.0.1:80", Born: 2}}
			must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Whole: true, Revision: 2, Roster: roster}))
			w.Replaced(tc.former)
			must.Eq(t, tc.stays, len(w.View().Upstreams["p"]) == 1)
			must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Revision: 3, Roster: []*wire.Upstream{{Id: "b", Pool: "q"}}}))
			must.Eq(t, tc.stays, len(w.View().Upstreams["p"]) == 1)
			restarted := []*wire.Upstream{{Id: "a", Pool: "p", Address: "10.0.0.1:80", Born: 3}}
			must.NoError(t, w.applyNews(target{addr: addr}, &wire.News{Revision: 4, Roster: restarted}))
			must.Len(t, 1, w.View().Upstreams["p"])
		})
	}
}
