package hub

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// Guards against a limit that is dropped or reverted by responses that arrive late, and against a
// limit that stays after the upstream has stopped announcing it.
func TestLateAnswersDoNotChangeLimits(t *testing.T) {
	const sec = time.Second
	start := time.Unix(1000, 0)
	named := func(rate float64, age time.Duration) *wire.Limit {
		return &wire.Limit{Upstream: "a", PerSecond: rate, AgeUs: age.Microseconds()}
	}
	ended := func(age time.Duration) *wire.Limit {
		return &wire.Limit{Upstream: "a", Ended: true, AgeUs: age.Microseconds()}
	}
	for _, tc := range []struct {
		name    string
		reports []*wire.Limit // One second apart.
		want    float64       // Below zero for none.
	}{
		{"none named", []*wire.Limit{ended(0)}, -1},
		{"named", []*wire.Limit{named(2, 0)}, 2},
		{"changed", []*wire.Limit{named(2, 0), named(3, sec/2)}, 3},
		{"changed by an older answer", []*wire.Limit{named(2, 0), named(3, 2*sec)}, 2},
		{"ended by an older answer", []*wire.Limit{named(2, 0), ended(2 * sec)}, 2},
		{"ended by an answer that was under way", []*wire.Limit{named(2, sec/2), ended(1100 * time.Millisecond)}, 2},
		{"ended", []*wire.Limit{named(2, 0), ended(sec / 2)}, -1},
		{"named again", []*wire.Limit{named(2, 0), ended(sec / 2), named(1, 0)}, 1},
	} {
		var l limits
		for i, r := range tc.reports {
			l.merge(start.Add(time.Duration(i)*sec), []*wire.Limit{r})
		}
		rate, ok := l.rate("a")
		must.Eq(t, tc.want >= 0, ok, must.Sprint(tc.name))
		if ok {
			must.Eq(t, tc.want, rate, must.Sprint(tc.name))
		}
	}
}

// Guards against a limit that has ended and comes back, because an entry that had no scheduler for a while
// tells the limits that it knew.
func TestEndedLimitStaysEnded(t *testing.T) {
	const sec = time.Second
	for _, tc := range []struct {
		name  string
		age   time.Duration // Of the answer that named the limit, one second after the limit ended.
		again bool
	}{
		{"from before the end", 3 * sec, false},
		{"from just before the end", 1600 * time.Millisecond, false},
		{"from after the end", sec / 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l limits
			now := time.Unix(1000, 0)
			l.merge(now, []*wire.Limit{{Upstream: "a", PerSecond: 2, AgeUs: sec.Microseconds()}})
			must.Len(t, 1, l.merge(now.Add(sec), []*wire.Limit{{Upstream: "a", Ended: true, AgeUs: (sec / 2).Microseconds()}}))
			now = now.Add(2 * sec)
			l.merge(now, []*wire.Limit{{Upstream: "a", PerSecond: 2, AgeUs: tc.age.Microseconds()}})
			_, ok := l.rate("a")
			must.Eq(t, tc.again, ok)
			l.drop("a")
			l.merge(now, []*wire.Limit{{Upstream: "a", PerSecond: 2, AgeUs: (5 * sec).Microseconds()}})
			_, ok = l.rate("a")
			must.True(t, ok, must.Sprint("another incarnation"))
		})
	}
}

// Guards against entries that together exceed a limit, and against shares so small that all
// entries save up for one request and send it at once.
func TestLimitShares(t *testing.T) {
	for _, n := range []int{1, 3, 200} {
		for _, rate := range []float64{0, 1.3, 9, 1000} {
			var entries []string
			for i := range n {
				entries = append(entries, fmt.Sprint("entry-", i))
			}
			sum, holders := 0.0, 0
			for _, e := range entries {
				if s := limitShare("up", rate, e, entries); s > 0 {
					sum += s
					holders++
				}
			}
			must.Between(t, 0.999, sum, 1.001, must.Sprint(n, rate))
			must.LessEq(t, rate+1, float64(holders), must.Sprint(n, rate))
		}
	}
}

// Guards against a limit that outlives the upstream process that announced it.
func TestLimitsOfGoneUpstreamsAreDropped(t *testing.T) {
	var l limits
	now := time.Unix(1000, 0)
	l.merge(now, []*wire.Limit{{Upstream: "a", PerSecond: 1}, {Upstream: "b", PerSecond: 1}, {Upstream: "c", PerSecond: 1}})
	l.retain(func(id string) bool { return id != "a" })
	l.drop("b")
	list := l.listFor(now, "e", func() ([]string, bool) { return []string{"e"}, true })
	must.Len(t, 1, list)
	must.Eq(t, "c", list[0].GetUpstream())
}

// Guards against a limit that changes with each response and wakes all entries each time.
func TestChangedRateDoesNotWakeWatchers(t *testing.T) {
	var l limits
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		name  string
		limit *wire.Limit
		wakes bool
	}{
		{"named", &wire.Limit{Upstream: "a", PerSecond: 1}, true},
		{"changed", &wire.Limit{Upstream: "a", PerSecond: 2}, false},
		{"another", &wire.Limit{Upstream: "b", PerSecond: 2}, true},
		{"ended", &wire.Limit{Upstream: "a", Ended: true}, true},
	} {
		now = now.Add(time.Second)
		ch := l.changed()
		must.Len(t, 1, l.merge(now, []*wire.Limit{tc.limit}))
		select {
		case <-ch:
			must.True(t, tc.wakes, must.Sprint(tc.name))
		default:
			must.False(t, tc.wakes, must.Sprint(tc.name))
		}
	}
}

// Guards against a new scheduler that divides a limit among the few entries that have polled it
// so far: each would get a share that is too large, and together they would send several times
// the limit.
func TestNewSchedulerKeepsLimitShares(t *testing.T) {
	const n, rate = 7, 3
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("up", 1, wire.Upstream_STATE_SERVING)))
		var entries []string
		for i := range n {
			entries = append(entries, fmt.Sprint("entry-", i))
		}
		shares := map[string]float64{}
		for _, e := range entries {
			shares[e] = limitShare("up", rate, e, entries)
		}
		limit := []*wire.Limit{{Upstream: "up", PerSecond: rate}}
		for _, e := range entries {
			news, err := askNews(h, &wire.Watch{Node: e, Incarnation: e, Entries: n, Limits: limit})
			must.NoError(t, err)
			must.Eq(t, n, news.GetEntries())
			must.Len(t, 1, news.GetLimits())
			if l := news.GetLimits()[0]; !l.GetKeepShare() {
				shares[e] = l.GetShare()
			}
			sum := 0.0
			for _, s := range shares {
				sum += s
			}
			must.Between(t, 0.999, sum, 1.001, must.Sprint(e))
		}
	})
}

// Guards against shares that stay reserved for ever for an entry that never polls the new
// scheduler.
func TestLimitSharesOfUnseenEntriesExpire(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("up", 1, wire.Upstream_STATE_SERVING)))
		w := &wire.Watch{Node: "e", Incarnation: "i", Entries: 2, Limits: []*wire.Limit{{Upstream: "up", PerSecond: 1}}}
		news, err := askNews(h, w)
		must.NoError(t, err)
		must.True(t, news.GetLimits()[0].GetKeepShare())
		time.Sleep(silentEntryRetention)
		news, err = askNews(h, w)
		must.NoError(t, err)
		must.False(t, news.GetLimits()[0].GetKeepShare())
		must.Eq(t, 1, news.GetLimits()[0].GetShare())
	})
}

// Guards against upstreams that get no requests while their data centre is cut off, because all
// entries that hold shares of their limits are on the other side. Without requests, these limits
// would never end.
func TestLimitSharesWhileCutOff(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOffReplica(t, h, f)
		w := &wire.Watch{
			Node: "e", Incarnation: "i", DataCentre: "z1", Entries: 40, Alone: true, Limits: []*wire.Limit{{Upstream: "near", PerSecond: 1}},
		}
		news, err := askNews(h, w)
		must.NoError(t, err)
		must.Len(t, 1, news.GetLimits())
		must.False(t, news.GetLimits()[0].GetKeepShare())
		must.Eq(t, 1, news.GetLimits()[0].GetShare())
	})
}

// Guards against an entry that takes a former limit for a new one. The entry computes the time
// of a limit from its age and the time at which the reply to its poll arrives, so the age must
// not be from before the wait.
func TestLimitAgeIsCurrentAfterLongPoll(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("up", 1, wire.Upstream_STATE_SERVING)))
		synctest.Wait() // Polls have heard of the upstream, so that the second one gets the whole roster.
		w := &wire.Watch{Node: "e", Incarnation: "i", Limits: []*wire.Limit{{Upstream: "up", PerSecond: 3}}}
		news, err := askNews(h, w)
		must.NoError(t, err)
		news, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "i", Leader: news.GetLeader(), Version: news.GetVersion()}) // The roster.
		must.NoError(t, err)
		time.AfterFunc(time.Second, func() { h.applyLimits(h.leaderScheduler(), []*wire.Limit{{Upstream: "up", PerSecond: 1}}) })
		news, err = askNews(h, &wire.Watch{
			Node: "e", Incarnation: "i", Leader: news.GetLeader(), Version: news.GetVersion(), Revision: news.GetRevision(),
			WaitUs: (2 * time.Second).Microseconds(),
		})
		must.NoError(t, err)
		must.Eq(t, 1, news.GetLimits()[0].GetPerSecond())
		must.Eq(t, time.Second.Microseconds(), news.GetLimits()[0].GetAgeUs())
	})
}

// Guards against plain pools with late-service whose requests take no tickets, against others whose requests do,
// and against requests of brittle upstreams that entries place at once while a scheduler is looked for.
func TestDeferringPoolsTakeTickets(t *testing.T) {
	on, off := true, false
	for _, tc := range []struct {
		name                string
		pool                pool.Pool
		brittle             bool
		ticketed, deferring []string
	}{
		{"no switch", pool.Pool{}, false, nil, nil},
		{"off", pool.Pool{LateService: &off}, false, nil, nil},
		{"on", pool.Pool{LateService: &on}, false, []string{"p"}, []string{"p"}},
		{"on, and brittle", pool.Pool{LateService: &on}, true, []string{"p"}, nil},
		{"off, and brittle", pool.Pool{}, true, []string{"p"}, nil},
		{"another switch", pool.Pool{FairShares: &on, TimedReturn: &on}, false, nil, nil},
		{"engines", pool.Pool{LateService: &on, Slots: 4}, false, nil, nil},
		{"another policy", pool.Pool{LateService: &on, Scheduler: "batch"}, false, nil, nil},
		{"live speed", pool.Pool{LiveSpeed: true, Slots: 4}, false, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &scheduler{}
			if tc.brittle {
				s.brittle.merge(time.Unix(1000, 0), []*wire.Brittle{{Upstream: "a", Most: 3}}, func(string) string { return "p" })
			}
			s.setPools(&conf.Config{Pools: map[string]pool.Pool{"p": tc.pool}})
			ticketed, deferring := s.ticketedPools()
			must.Eq(t, tc.ticketed, ticketed)
			must.Eq(t, tc.deferring, deferring)
		})
	}
}
