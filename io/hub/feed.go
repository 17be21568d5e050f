package hub

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/conf"
	"azurelane/core/wire"
)

const (
	// newsBatchDelay is how long news waits for further changes, so that a burst of changes does
	// not send every entry a separate answer for each.
	newsBatchDelay = 15 * time.Millisecond
	// newsSpread is the time, for each entry that polls, over which the answers to all polls are
	// spread. Answers to a thousand entries at once would hold up tickets for a tenth of a second.
	newsSpread = 500 * time.Microsecond
	// maxNewsSpread bounds the delay of a change at the last entry.
	maxNewsSpread = time.Second
)

// feed wakes the polls of entries when the replicated state has news that entries need at once: a
// configuration, an upstream of a pool whose requests entries place themselves, or one that leaves a
// pool whose streams entries move off upstreams that leave. News of other
// upstreams waits for the end of a poll, because only the scheduler places requests there, and it
// knows at once. Without that distinction the answers to polls would grow as the entries times the
// changes of all upstreams. The zero value is ready.
type feed struct {
	mu        sync.Mutex
	scheduled map[string]bool // Pools whose requests the scheduler places.
	moving    map[string]bool // Pools whose streams move off upstreams that leave.
	version   uint64          // Of the configuration last looked at.
	revision  uint64          // Of the roster last looked at.
	change    signal

	unscheduled         map[string]*wire.Upstream // Upstreams of pools whose requests entries place.
	unscheduledRevision uint64                    // Of the roster in unscheduled; zero to list it again.
	unscheduledChanges  uint64                    // Changes of unscheduled so far.
}

// setPools takes the pools of a configuration.
func (f *feed) setPools(cfg *conf.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unscheduledRevision = 0
	f.scheduled = make(map[string]bool, len(cfg.Pools))
	f.moving = map[string]bool{}
	for name, p := range cfg.Pools {
		f.scheduled[name], f.moving[name] = p.Slots > 0, p.Moving()
	}
}

// update looks at what has changed in the replicated state since the last call.
func (f *feed) update(r replica) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version, _ := r.Publication()
	list, whole, revision := r.Roster(f.revision)
	if version != f.version || (revision != f.revision && f.urgentLocked(list, whole)) {
		f.change.broadcast()
	}
	f.version, f.revision = version, revision
}

// isScheduled reports whether the scheduler places the requests of a pool.
func (f *feed) isScheduled(pool string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.scheduled[pool]
}

// urgent reports whether entries need to know of changes in the roster at once. A whole roster goes
// to entries that have none.
func (f *feed) urgent(list []*wire.Upstream, whole bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.urgentLocked(list, whole)
}

// urgentLocked is urgent with f.mu held.
func (f *feed) urgentLocked(list []*wire.Upstream, whole bool) bool {
	return whole || slices.ContainsFunc(list, func(u *wire.Upstream) bool {
		return !f.scheduled[u.GetPool()] || (f.moving[u.GetPool()] && u.GetState() == wire.Upstream_STATE_LEAVING)
	})
}

// listUnscheduled returns the upstreams of pools whose requests entries place, by ID, and the number of
// changes of them so far.
func (f *feed) listUnscheduled(r replica) ([]*wire.Upstream, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, whole, revision := r.Roster(f.unscheduledRevision)
	if whole {
		f.unscheduled = map[string]*wire.Upstream{}
	}
	for _, u := range list {
		if f.scheduled[u.GetPool()] {
			delete(f.unscheduled, u.GetId())
			continue
		}
		f.unscheduledChanges++
		if u.GetState() == wire.Upstream_STATE_GONE {
			delete(f.unscheduled, u.GetId())
			continue
		}
		f.unscheduled[u.GetId()] = u
	}
	f.unscheduledRevision = revision
	return slices.SortedFunc(maps.Values(f.unscheduled), func(a, b *wire.Upstream) int { return cmp.Compare(a.GetId(), b.GetId()) }), f.unscheduledChanges
}

// wake wakes all polls.
func (f *feed) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.change.broadcast()
}

// changed returns a channel that is closed when there is urgent news next.
func (f *feed) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.change.wait()
}

// rosterDelay returns how long the whole roster waits for an entry.
func rosterDelay(node string) time.Duration {
	return time.Duration(xxhash.Sum64String(node) % uint64(maxNewsSpread)) //nolint:gosec // Below a second.
}

// newsDelay returns how long news waits for one of the given number of entries.
func newsDelay(node string, entries int64) time.Duration {
	spread := min(time.Duration(entries)*newsSpread, maxNewsSpread)
	return newsBatchDelay + time.Duration(xxhash.Sum64String(node)%uint64(max(spread, 1))) //nolint:gosec // Below a second.
}
