package hub

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against entries without a path that are sent to each other, against one entry that gets the
// connections of all, and against a way through another data centre while there is one here.
func TestPaths(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		ask := func(n int) []string {
			f, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_PathQuery{PathQuery: &wire.PathQuery{Node: fmt.Sprint("e", n), DataCentre: fmt.Sprint("z", n%2)}}})
			must.NoError(t, err)
			return f.GetPaths().GetAddresses()
		}
		poll := func() {
			for n := range 12 {
				node := fmt.Sprint("e", n)
				_, err := askNews(h, &wire.Watch{Node: node, Incarnation: node, DataCentre: fmt.Sprint("z", n%2), Tunnel: fmt.Sprintf("10.0.0.%d:1", n)})
				must.NoError(t, err)
			}
		}
		poll()
		first := map[string]int{}
		for n := range 6 { // Three of each data centre have no path.
			ask(n)
		}
		for n := range 6 {
			list := ask(n)
			must.Len(t, pathCount, list)
			for i, addr := range list {
				var other int
				_, err := fmt.Sscanf(addr, "10.0.0.%d:1", &other)
				must.NoError(t, err)
				must.GreaterEq(t, 6, other)
				must.Eq(t, i < 3, other%2 == n%2, must.Sprint(list))
			}
			first[list[0]]++
		}
		must.Greater(t, 2, len(first))
		time.Sleep(noPathRetention + time.Millisecond)
		poll()
		list := ask(1)
		must.True(t, slices.Contains(list, "10.0.0.3:1") || slices.Contains(list, "10.0.0.5:1"), must.Sprint("they have their paths again"))
	})
}

// Guards against entries that are left without any other entry because all doubt their paths while
// upstreams crash, and against a way through one that doubts its own.
func TestDoubtfulPaths(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		for n := range 3 {
			node := fmt.Sprint("e", n)
			_, err := askNews(h, &wire.Watch{Node: node, Incarnation: node, Tunnel: fmt.Sprintf("10.0.0.%d:1", n)})
			must.NoError(t, err)
		}
		ask := func(n int, doubt bool) []string {
			f, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_PathQuery{PathQuery: &wire.PathQuery{Node: fmt.Sprint("e", n), Doubt: doubt}}})
			must.NoError(t, err)
			slices.Sort(f.GetPaths().GetAddresses())
			return f.GetPaths().GetAddresses()
		}
		must.Eq(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, ask(0, true))
		must.Eq(t, []string{"10.0.0.2:1"}, ask(1, true))
		must.Eq(t, []string{"10.0.0.0:1", "10.0.0.1:1"}, ask(2, true), must.Sprint("all doubt"))
		must.Eq(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, ask(0, false))
		must.Eq(t, []string{"10.0.0.2:1"}, ask(1, false))
		must.SliceEmpty(t, ask(2, false), must.Sprint("no entry has a path"))
	})
}
