package hub

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/wire"
)

const (
	// noPathRetention is how long an entry counts as without a path after it has asked for others.
	// It asks each second.
	noPathRetention = 2500 * time.Millisecond
	// pathCount is the number of entries that an entry without a path is told of.
	pathCount = 4
)

// handlePathQuery answers an entry that reaches no upstream.
func (h *Hub) handlePathQuery(q *wire.PathQuery) (*wire.Frame, error) {
	if h.scheduler() == nil {
		return nil, h.notLeaderFault()
	}
	return &wire.Frame{Body: &wire.Frame_Paths{Paths: &wire.Paths{Addresses: h.watchers.paths(time.Now(), q)}}}, nil
}

// paths notes that an entry has no path, and returns the tunnels of entries that have one, those of its
// data centre first. Each entry gets others of them, so that none carries the connections of all.
func (ws *watchers) paths(now time.Time, q *wire.PathQuery) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e := ws.byNode[q.GetNode()]; e != nil {
		e.noPathUntil = now.Add(noPathRetention)
	}
	type candidate struct {
		tunnel string
		far    bool
		weight uint64
	}
	var list []candidate
	for node, e := range ws.byNode {
		if node == q.GetNode() || e.tunnel == "" || now.Before(e.noPathUntil) || now.Sub(e.lastSeen) > entrySilentAfter {
			continue
		}
		list = append(list, candidate{e.tunnel, e.dataCentre != q.GetDataCentre(), xxhash.Sum64String(q.GetNode() + "\x00" + node)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.far != b.far {
			return map[bool]int{true: 1, false: -1}[a.far]
		}
		return cmp.Compare(a.weight, b.weight)
	})
	var tunnels []string
	for _, c := range list[:min(len(list), pathCount)] {
		tunnels = append(tunnels, c.tunnel)
	}
	return tunnels
}
