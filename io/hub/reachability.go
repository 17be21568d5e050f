package hub

import (
	"maps"
	"slices"
	"sync"
	"time"

	"azurelane/core/raft"
)

const (
	// reachCheckInterval is the interval between two checks whether data centres are reachable.
	reachCheckInterval = 50 * time.Millisecond
	// unreachedAfter is how long a data centre must show no sign of life before it counts as
	// unreached: no replica there answers the leader, which sends heartbeats every 40 ms, and no
	// upstream there completes a request for an entry that reaches the leader. It is 250 ms
	// because a request sent to a data centre that is cut off waits half a second for a connection
	// that never opens.
	unreachedAfter = 250 * time.Millisecond
)

// reachability tracks which data centres seem cut off from this one. The zero value knows of no
// data centre.
type reachability struct {
	mu             sync.Mutex
	servedAt       map[string]time.Time // Time of the last completed request, by data centre.
	unreachedSince map[string]time.Time // Data centres that seem cut off, and since when.
	heardAt        map[string]time.Time // Time of the last reply from a replica, by data centre.
	change         signal
}

// markServed records that an upstream of a data centre completed a request.
func (r *reachability) markServed(now time.Time, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servedAt == nil {
		r.servedAt = map[string]time.Time{}
	}
	r.servedAt[dataCentre] = now
}

// update takes the times since the leader last heard from each of the other replicas, and returns
// whether the list of unreached data centres has changed.
func (r *reachability) update(now time.Time, peers []raft.PeerStatus) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heardAt == nil {
		r.heardAt, r.unreachedSince = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, p := range peers {
		if at := now.Add(-p.Silence); at.After(r.heardAt[p.GetDataCentre()]) {
			r.heardAt[p.GetDataCentre()] = at
		}
	}
	changed := false
	for dc, at := range r.heardAt {
		since, unreached := r.unreachedSince[dc]
		// A request that an upstream completes after the replica has been silent for
		// unreachedAfter shows that the replica is down and the network is not. The data centre is
		// not suspected again until its replica answers.
		silent := now.Sub(at) > unreachedAfter && now.Sub(r.servedAt[dc]) > unreachedAfter && !r.servedAt[dc].After(at.Add(unreachedAfter))
		switch {
		case unreached && (at.After(since) || r.servedAt[dc].After(since)):
			delete(r.unreachedSince, dc)
			changed = true
		case !unreached && silent:
			r.unreachedSince[dc] = now
			changed = true
		}
	}
	if changed {
		r.change.broadcast()
	}
	return changed
}

// list returns the data centres that seem cut off, sorted.
func (r *reachability) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.unreachedSince))
}

// changed returns a channel that is closed when the list next changes.
func (r *reachability) changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.change.wait()
}
