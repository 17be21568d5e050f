package hub

import (
	"maps"
	"slices"
	"sync"
	"time"

	"azurelane/core/raft"
)

const (
	// reachEvery is the time between two looks whether data centres are reached.
	reachEvery = 50 * time.Millisecond
	// silentFor is for how long a data centre must give no sign of life to seem cut
	// off: no replica there answers the leader, which beats each 40 ms, and no
	// upstream there has ended a run for an entry that reaches the leader. A run sent
	// there waits half a second for a connection that never comes about.
	silentFor = 250 * time.Millisecond
)

// reach tells which data centres seem cut off from this one. The zero value has seen
// no sign of any.
type reach struct {
	mu     sync.Mutex
	served map[string]time.Time // Last run that ended well, by data centre.
	lost   map[string]time.Time // Data centres that seem cut off, since when.
	heard  map[string]time.Time // When a replica there was last heard.
	change signal
}

// ended notes that an upstream of a data centre has ended a run.
func (r *reach) ended(now time.Time, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.served == nil {
		r.served = map[string]time.Time{}
	}
	r.served[dataCentre] = now
}

// look takes what the leader hears of the other replicas and reports whether the
// list of lost data centres has changed.
func (r *reach) look(now time.Time, peers []raft.PeerStatus) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard == nil {
		r.heard, r.lost = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, p := range peers {
		if at := now.Add(-p.Silence); at.After(r.heard[p.GetDataCentre()]) {
			r.heard[p.GetDataCentre()] = at
		}
	}
	changed := false
	for dc, at := range r.heard {
		since, lost := r.lost[dc]
		// A data centre without a replica that answers is not doubted again once an
		// upstream there has served: its replica has ended, and not the way to it.
		quiet := now.Sub(at) > silentFor && now.Sub(r.served[dc]) > silentFor && !r.served[dc].After(at.Add(silentFor))
		switch {
		case lost && (at.After(since) || r.served[dc].After(since)):
			delete(r.lost, dc)
			changed = true
		case !lost && quiet:
			r.lost[dc] = now
			changed = true
		}
	}
	if changed {
		r.change.raise()
	}
	return changed
}

// list names the data centres that seem cut off, sorted.
func (r *reach) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.lost))
}

// changed is closed when the list next changes.
func (r *reach) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change.wait()
}
