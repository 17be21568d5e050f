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

// handlePathQuery answers an entry that may reach no upstream.
func (h *Hub) handlePathQuery(q *wire.PathQuery) (*wire.Frame, error) {
	if h.scheduler() == nil {
		return nil, h.notLeaderFault()
	}
	return &wire.Frame{Body: &wire.Frame_Paths{Paths: &wire.Paths{Addresses: h.watchers.paths(time.Now(), q)}}}, nil
}

// paths notes that an entry has no path, or may have none, and returns the tunnels of entries that have
// one, those of its data centre first. Entries that may have none are named only if there are no others.
// Each entry gets others of them, so that none carries the connections of all.
func (ws *watchers) paths(now time.Time, q *wire.PathQuery) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if e := ws.byNode[q.GetNode()]; e != nil {
		e.pathDoubtUntil = now.Add(noPathRetention)
		if !q.GetDoubt() {
			e.noPathUntil = e.pathDoubtUntil
		}
	}
	type candidate struct {
		tunnel string
		doubt  bool
		far    bool
		weight uint64
	}
	var list []candidate
	for node, e := range ws.byNode {
		if node == q.GetNode() || e.tunnel == "" || now.Before(e.noPathUntil) || now.Sub(e.lastSeen) > entrySilentAfter {
			continue
		}
		list = append(list, candidate{e.tunnel, now.Before(e.pathDoubtUntil), e.dataCentre != q.GetDataCentre(), xxhash.Sum64String(q.GetNode() + "\x00" + node)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(compareBools(a.doubt, b.doubt), compareBools(a.far, b.far), cmp.Compare(a.weight, b.weight))
	})
	var tunnels []string
	for _, c := range list[:min(len(list), pathCount)] {
		if c.doubt && !list[0].doubt {
			break
		}
		tunnels = append(tunnels, c.tunnel)
	}
	return tunnels
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
