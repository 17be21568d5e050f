package hub

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// rosterOf returns the upstreams that a first poll is told of, by ID.
func rosterOf(t *testing.T, n *wire.News) map[string]wire.Upstream_State {
	t.Helper()
	must.True(t, n.GetWhole())
	var base wire.News
	if len(n.GetBase()) > 0 {
		data, err := io.ReadAll(flate.NewReader(bytes.NewReader(n.GetBase())))
		must.NoError(t, err)
		must.NoError(t, proto.Unmarshal(data, &base))
	}
	all := map[string]wire.Upstream_State{}
	for _, u := range append(base.GetRoster(), n.GetRoster()...) {
		all[u.GetId()] = u.GetState()
	}
	return all
}

// Guards against a leader that encodes the whole roster for each entry after a restart of the
// deployment: the work grew as the entries times the upstreams, and the leader lost its quorum over
// it.
func TestWholeRosterIsPackedOnce(t *testing.T) {
	const upstreams = 1000
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		for i := range upstreams {
			must.NoError(t, h.Report(t.Context(), newReport(fmt.Sprint("s", i), 1, wire.Upstream_STATE_SERVING)))
		}
		ask := func(entry int) *wire.News {
			n, err := askNews(h, &wire.Watch{Node: fmt.Sprint("e", entry), Incarnation: fmt.Sprint("i", entry), Version: 1, Leader: h.scheduler().id})
			must.NoError(t, err)
			return n
		}
		first := ask(0)
		must.MapLen(t, upstreams, rosterOf(t, first))
		must.NoError(t, h.Report(t.Context(), newReport("s7", 2, wire.Upstream_STATE_LEAVING)))
		must.NoError(t, h.Report(t.Context(), newReport("new", 1, wire.Upstream_STATE_SERVING)))
		for entry := range 100 {
			n := ask(entry)
			must.Eq(t, &first.GetBase()[0], &n.GetBase()[0], must.Sprint("the same bytes"))
			must.Len(t, 2, n.GetRoster())
			must.Greater(t, first.GetRevision(), n.GetRevision())
			all := rosterOf(t, n)
			must.MapLen(t, upstreams+1, all)
			must.Eq(t, wire.Upstream_STATE_LEAVING, all["s7"], must.Sprint("changes are not lost"))
		}
		for i := range upstreams / 4 {
			must.NoError(t, h.Report(t.Context(), newReport(fmt.Sprint("s", i), 3, wire.Upstream_STATE_LEAVING)))
		}
		n := ask(0)
		must.SliceEmpty(t, n.GetRoster(), must.Sprint("packed anew after many changes"))
		must.Eq(t, wire.Upstream_STATE_LEAVING, rosterOf(t, n)["s0"])
	})
}

// Guards against a leader that sends the whole roster to a thousand entries at the same moment after a
// stop of everything, and loses its quorum over it. An entry that has just started gets what it needs
// to serve at once, and the rest later, each at another time.
func TestStartingEntriesGetTheRosterLater(t *testing.T) {
	const entries, step = 200, 100 * time.Millisecond
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("engine", 1, wire.Upstream_STATE_SERVING)))
		plain := newReport("plain", 1, wire.Upstream_STATE_SERVING)
		plain.Upstream.Pool = "plain"
		must.NoError(t, h.Report(t.Context(), plain))
		var mu sync.Mutex
		var wg sync.WaitGroup
		times := map[time.Duration]int{}
		start := time.Now()
		for e := range entries {
			wg.Go(func() {
				w := &wire.Watch{Node: fmt.Sprint("e", e), Incarnation: fmt.Sprint("i", e), WaitUs: (2 * time.Second).Microseconds()}
				n, err := askNews(h, w)
				must.NoError(t, err)
				must.Eq(t, time.Duration(0), time.Since(start))
				must.NotNil(t, n.GetDocument())
				must.Eq(t, map[string]wire.Upstream_State{"plain": wire.Upstream_STATE_SERVING}, rosterOf(t, n))
				w.Version, w.Leader, w.Revision = n.GetVersion(), n.GetLeader(), n.GetRevision()
				n, err = askNews(h, w)
				must.NoError(t, err)
				must.MapLen(t, 2, rosterOf(t, n))
				must.Less(t, maxNewsSpread+newsBatchDelay, time.Since(start))
				mu.Lock()
				defer mu.Unlock()
				times[time.Since(start)/step]++
			})
		}
		wg.Wait()
		for at, n := range times {
			must.Less(t, entries/4, n, must.Sprint(at*step))
		}
	})
}

// Guards against a leader that lists all upstreams for each entry that starts. After a stop of
// everything the work of a thousand entries times three thousand upstreams kept it from its
// heartbeats for more than a second.
func TestStartingEntriesDoNotListTheRoster(t *testing.T) {
	const entries = 50
	for _, upstreams := range []int{100, 400} {
		t.Run(strconv.Itoa(upstreams), func(t *testing.T) {
			runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
				for i := range upstreams {
					must.NoError(t, h.Report(t.Context(), newReport(fmt.Sprint("s", i), 1, wire.Upstream_STATE_SERVING)))
				}
				f.mu.Lock()
				before := f.listed
				f.mu.Unlock()
				for e := range entries {
					w := &wire.Watch{Node: fmt.Sprint("e", e), Incarnation: fmt.Sprint("i", e), WaitUs: (2 * time.Second).Microseconds()}
					n, err := askNews(h, w)
					must.NoError(t, err)
					w.Version, w.Leader, w.Revision = n.GetVersion(), n.GetLeader(), n.GetRevision()
					n, err = askNews(h, w)
					must.NoError(t, err)
					must.MapLen(t, upstreams, rosterOf(t, n))
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				must.LessEq(t, 3*upstreams, f.listed-before) // Once for waking polls and for each kind of answer.
			})
		})
	}
}

// Guards against entries that start without an upstream of their own pools, or with one that is
// gone, because the list is kept by changes.
func TestStartingEntriesGetCurrentUnscheduledUpstreams(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		report := func(id string, incarnation uint64, s wire.Upstream_State) {
			r := newReport(id, incarnation, s)
			r.Upstream.Pool = "plain"
			must.NoError(t, h.Report(t.Context(), r))
		}
		must.NoError(t, h.Report(t.Context(), newReport("engine", 1, wire.Upstream_STATE_SERVING)))
		report("a", 1, wire.Upstream_STATE_SERVING)
		for i, tc := range []struct {
			change func()
			want   map[string]wire.Upstream_State
		}{
			{func() {}, map[string]wire.Upstream_State{"a": wire.Upstream_STATE_SERVING}},
			{func() { report("b", 1, wire.Upstream_STATE_SERVING) }, map[string]wire.Upstream_State{"a": wire.Upstream_STATE_SERVING, "b": wire.Upstream_STATE_SERVING}},
			{func() { report("a", 2, wire.Upstream_STATE_LEAVING) }, map[string]wire.Upstream_State{"a": wire.Upstream_STATE_LEAVING, "b": wire.Upstream_STATE_SERVING}},
			{func() { report("a", 3, wire.Upstream_STATE_GONE) }, map[string]wire.Upstream_State{"b": wire.Upstream_STATE_SERVING}},
		} {
			tc.change()
			n, err := askNews(h, &wire.Watch{Node: fmt.Sprint("e", i), Incarnation: fmt.Sprint("i", i)})
			must.NoError(t, err)
			must.Eq(t, tc.want, rosterOf(t, n))
		}
	})
}
