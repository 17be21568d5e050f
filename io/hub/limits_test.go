package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against a limit that is lost or taken back by answers that come late, and
// against one that stays when it is no longer named.
func TestLateAnswersChangeNoLimit(t *testing.T) {
	const sec = time.Second
	start := time.Unix(1000, 0)
	named := func(rate float64, age time.Duration) *wire.Limit {
		return &wire.Limit{Upstream: "a", PerSecond: rate, AgeUs: age.Microseconds()}
	}
	ended := func(age time.Duration) *wire.Limit {
		return &wire.Limit{Upstream: "a", Ended: true, AgeUs: age.Microseconds()}
	}
	for _, tc := range []struct {
		name  string
		comes []*wire.Limit // A second between two.
		want  float64       // Below zero for none.
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
		for i, r := range tc.comes {
			l.take(start.Add(time.Duration(i)*sec), []*wire.Limit{r})
		}
		rate, ok := l.rate("a")
		must.Eq(t, tc.want >= 0, ok, must.Sprint(tc.name))
		if ok {
			must.Eq(t, tc.want, rate, must.Sprint(tc.name))
		}
	}
}

// Guards against entries that use more than a limit together, or by so small parts that
// each saves up a request and all are sent at once.
func TestSharesOfALimit(t *testing.T) {
	for _, n := range []int{1, 3, 200} {
		for _, rate := range []float64{0, 1.3, 9, 1000} {
			var entries []string
			for i := range n {
				entries = append(entries, fmt.Sprint("entry-", i))
			}
			sum, parts := 0.0, 0
			for _, e := range entries {
				if s := share("up", rate, e, entries); s > 0 {
					sum += s
					parts++
				}
			}
			must.Between(t, 0.999, sum, 1.001, must.Sprint(n, rate))
			must.LessEq(t, rate+1, float64(parts), must.Sprint(n, rate))
		}
	}
}

// Guards against a limit that outlives the process that named it.
func TestLimitsOfUpstreamsThatAreGone(t *testing.T) {
	var l limits
	now := time.Unix(1000, 0)
	l.take(now, []*wire.Limit{{Upstream: "a", PerSecond: 1}, {Upstream: "b", PerSecond: 1}, {Upstream: "c", PerSecond: 1}})
	l.keep(func(id string) bool { return id != "a" })
	l.drop("b")
	list := l.list(now, "e", func() ([]string, bool) { return []string{"e"}, true })
	must.Len(t, 1, list)
	must.Eq(t, "c", list[0].GetUpstream())
}

// Guards against a limit that changes with each answer and wakes all entries each time.
func TestChangedRateWakesNobody(t *testing.T) {
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
		must.Len(t, 1, l.take(now, []*wire.Limit{tc.limit}))
		select {
		case <-ch:
			must.True(t, tc.wakes, must.Sprint(tc.name))
		default:
			must.False(t, tc.wakes, must.Sprint(tc.name))
		}
	}
}

// Guards against a new scheduler that divides a limit among the few entries that have come
// to it, so that together they send several times as much, and that tells each of them
// that it is one of those few.
func TestNewSchedulerLeavesShares(t *testing.T) {
	const n, rate = 7, 3
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("up", 1, wire.Upstream_STATE_SERVING)))
		var entries []string
		for i := range n {
			entries = append(entries, fmt.Sprint("entry-", i))
		}
		shares := map[string]float64{}
		for _, e := range entries {
			shares[e] = share("up", rate, e, entries)
		}
		limit := []*wire.Limit{{Upstream: "up", PerSecond: rate}}
		for _, e := range entries {
			news, err := ask(h, &wire.Watch{Node: e, Incarnation: e, Entries: n, Limits: limit})
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

// Guards against shares that stay for good when an entry of the scheduler before never comes.
func TestSharesOfEntriesThatNeverCome(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("up", 1, wire.Upstream_STATE_SERVING)))
		w := &wire.Watch{Node: "e", Incarnation: "i", Entries: 2, Limits: []*wire.Limit{{Upstream: "up", PerSecond: 1}}}
		news, err := ask(h, w)
		must.NoError(t, err)
		must.True(t, news.GetLimits()[0].GetKeepShare())
		time.Sleep(countFor)
		news, err = ask(h, w)
		must.NoError(t, err)
		must.False(t, news.GetLimits()[0].GetKeepShare())
		must.Eq(t, 1, news.GetLimits()[0].GetShare())
	})
}

// Guards against upstreams behind a cut that get nothing, and whose limit does not end,
// because the entries with a share are on the other side.
func TestSharesBehindACut(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		h.DataCentre = "z1"
		cutOff(t, h, f)
		w := &wire.Watch{
			Node: "e", Incarnation: "i", DataCentre: "z1", Entries: 40, Alone: true, Limits: []*wire.Limit{{Upstream: "near", PerSecond: 1}},
		}
		news, err := ask(h, w)
		must.NoError(t, err)
		must.Len(t, 1, news.GetLimits())
		must.False(t, news.GetLimits()[0].GetKeepShare())
		must.Eq(t, 1, news.GetLimits()[0].GetShare())
	})
}

// Guards against an entry that takes a former limit for a new one: it dates what it is told
// by the moment at which it comes.
func TestNewsAreNotAsOldAsTheWait(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("up", 1, wire.Upstream_STATE_SERVING)))
		w := &wire.Watch{Node: "e", Incarnation: "i", Limits: []*wire.Limit{{Upstream: "up", PerSecond: 3}}}
		news, err := ask(h, w)
		must.NoError(t, err)
		time.AfterFunc(time.Second, func() { h.limit(h.lead(), []*wire.Limit{{Upstream: "up", PerSecond: 1}}) })
		news, err = ask(h, &wire.Watch{
			Node: "e", Incarnation: "i", Leader: news.GetLeader(), Version: news.GetVersion(), Revision: news.GetRevision(),
			WaitUs: (2 * time.Second).Microseconds(),
		})
		must.NoError(t, err)
		must.Eq(t, 1, news.GetLimits()[0].GetPerSecond())
		must.Eq(t, time.Second.Microseconds(), news.GetLimits()[0].GetAgeUs())
	})
}
