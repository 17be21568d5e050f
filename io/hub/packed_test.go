package hub

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// rosterOf returns the upstreams that a first poll is told of, by ID.
func rosterOf(t *testing.T, n *wire.News) map[string]wire.Upstream_State {
	t.Helper()
	must.True(t, n.GetWhole())
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(n.GetBase())))
	must.NoError(t, err)
	var base wire.News
	must.NoError(t, proto.Unmarshal(data, &base))
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
			n, err := askNews(h, &wire.Watch{Node: fmt.Sprint("e", entry), Incarnation: fmt.Sprint("i", entry)})
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
