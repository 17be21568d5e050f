package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// Guards against answers to polls that grow as the entries times the changes of all upstreams: the
// leader of a deployment of a thousand entries answered tens of thousands of polls a second while
// upstreams started.
func TestScheduledUpstreamsWakeNoPolls(t *testing.T) {
	for _, tc := range []struct {
		name, pool string
		wakes      bool
	}{
		{"the scheduler places their requests", "engines", false},
		{"entries place their requests", "plain", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
				const wait, changes = 2 * time.Second, 100
				n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
				must.NoError(t, err)
				go func() {
					for i := range changes {
						r := newReport(fmt.Sprint("s", i), 1, wire.Upstream_STATE_SERVING)
						r.Upstream.Pool = tc.pool
						must.NoError(t, h.Report(t.Context(), r))
						time.Sleep(wait / changes)
					}
				}()
				start, answers := time.Now(), 0
				for time.Since(start) < wait {
					n, err = askNews(h, &wire.Watch{
						Node: "e", Incarnation: "i", Version: 1, Leader: n.GetLeader(), Revision: n.GetRevision(), WaitUs: wait.Microseconds(),
					})
					must.NoError(t, err)
					answers++
				}
				must.Eq(t, changes, n.GetRevision(), must.Sprint("the answer at the end of the poll has all changes"))
				must.Eq(t, tc.wakes, answers > 2, must.Sprint(answers))
			})
		})
	}
}

// Guards against a thousand answers at the same moment, which hold up all tickets, and against news
// that takes long in a large deployment.
func TestNewsIsSpreadOverEntries(t *testing.T) {
	const entries, step = 2000, 50 * time.Millisecond
	count := map[time.Duration]int{}
	for i := range entries {
		d := newsDelay(fmt.Sprint("entry-", i), entries)
		must.Less(t, newsBatchDelay+maxNewsSpread, d)
		count[d/step]++
	}
	for at, n := range count {
		must.Less(t, entries/5, n, must.Sprint(at*step))
	}
	must.Less(t, 2*newsBatchDelay, newsDelay("entry", 10))
}

// Guards against an entry that hears of plain upstreams up to a second late because it has just started:
// it places requests there itself, and finds no second upstream for one that failed. The delay of whole
// rosters is for deployments of many entries.
func TestNewEntryHearsOfPlainUpstreams(t *testing.T) {
	for i := range 8 {
		runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
			must.NoError(t, h.Report(t.Context(), newReport("engine", 1, wire.Upstream_STATE_SERVING)))
			w := &wire.Watch{Node: fmt.Sprint("e-", i), Incarnation: "i"}
			n, err := askNews(h, w)
			must.NoError(t, err)
			w.Version, w.Leader, w.WaitUs = n.GetVersion(), n.GetLeader(), (2 * time.Second).Microseconds()
			r := newReport("app", 1, wire.Upstream_STATE_SERVING)
			r.Upstream.Pool = "plain"
			must.NoError(t, h.Report(t.Context(), r))
			start := time.Now()
			for known := false; !known; w.Revision = n.GetRevision() {
				n, err = askNews(h, w)
				must.NoError(t, err)
				_, known = rosterOf(t, n)["app"]
			}
			must.Less(t, 100*time.Millisecond, time.Since(start))
		})
	}
}

// Guards against streams that are cut off because their entry hears too late that their upstream leaves, and
// against polls that end for news that only the scheduler needs.
func TestUrgentNews(t *testing.T) {
	f := feed{}
	f.setPools(&conf.Config{Pools: map[string]pool.Pool{
		"plain": {}, "engines": {Slots: 4}, "moving": {Slots: 4, Moves: true, Migrate: true, HandleTime: 1}, "silent": {Slots: 4, Migrate: true, HandleTime: 1},
	}})
	const leaving = wire.Upstream_STATE_LEAVING
	for _, tc := range []struct {
		pool   string
		state  wire.Upstream_State
		urgent bool
	}{
		{"plain", wire.Upstream_STATE_SERVING, true},
		{"engines", leaving, false},
		{"silent", leaving, false},
		{"moving", leaving, true},
		{"moving", wire.Upstream_STATE_SERVING, false},
	} {
		must.Eq(t, tc.urgent, f.urgent([]*wire.Upstream{{Pool: tc.pool, State: tc.state}}, false), must.Sprint(tc.pool, " ", tc.state))
	}
}
