// Package roster implements the replicated list of upstreams with their addresses and states. It
// is part of the replicated state machine.
package roster

import (
	"cmp"
	"slices"

	"azurelane/core/wire"
)

// maxGone is the number of upstreams in STATE_GONE that stay in the list as tombstones. An
// announcement can arrive seconds after its upstream has gone and must not revive it. When a large
// deployment replaces all its servers, some hundred upstreams stop within that time.
const maxGone = 512

// Roster holds upstreams by id. The zero value is empty and ready to use.
type Roster struct {
	upstreams       map[string]*wire.Upstream
	byRevision      []*wire.Upstream // May contain outdated and dropped versions.
	goneIDs         []string         // Ids of the tombstones, oldest first.
	revision        uint64           // Number of changes so far.
	droppedRevision uint64           // Highest revision of a dropped tombstone.
}

// Enroll records the state of an upstream and reports whether it changed the roster. Empty fields
// keep their known values. Within one incarnation, the state only moves from serving to leaving to
// gone, however late announcements arrive. An upstream that restarts under the same id is a new
// incarnation and starts from any state.
func (r *Roster) Enroll(u *wire.Upstream) bool {
	old := r.upstreams[u.GetId()]
	if u.GetId() == "" || Stale(old, u) {
		return false
	}
	if Restarted(old, u) {
		r.goneIDs = slices.DeleteFunc(r.goneIDs, func(id string) bool { return id == u.GetId() })
		old = nil
	}
	if old.GetState() > u.GetState() || Unchanged(old, u) {
		return false
	}
	if r.upstreams == nil {
		r.upstreams = map[string]*wire.Upstream{}
	}
	r.revision++
	r.upstreams[u.GetId()] = &wire.Upstream{
		Id: u.GetId(), Address: cmp.Or(u.GetAddress(), old.GetAddress()), Pool: cmp.Or(u.GetPool(), old.GetPool()),
		DataCentre: cmp.Or(u.GetDataCentre(), old.GetDataCentre()), Slots: cmp.Or(u.GetSlots(), old.GetSlots()),
		State: u.GetState(), Revision: r.revision, Born: cmp.Or(u.GetBorn(), old.GetBorn()),
		Version: cmp.Or(u.GetVersion(), old.GetVersion()),
	}
	r.byRevision = append(r.byRevision, r.upstreams[u.GetId()])
	if u.GetState() == wire.Upstream_STATE_GONE {
		r.goneIDs = append(r.goneIDs, u.GetId())
		r.dropOldestGone()
	}
	if len(r.byRevision) > 2*len(r.upstreams)+maxGone {
		r.byRevision = slices.DeleteFunc(r.byRevision, r.isOutdated)
	}
	return true
}

// isOutdated reports whether an element of byRevision was superseded by a newer one or dropped.
func (r *Roster) isOutdated(u *wire.Upstream) bool { return r.upstreams[u.GetId()] != u }

// Restarted reports whether heard comes from a later incarnation of the upstream than known. It
// compares the start times of the incarnations. The order of arrival can't decide this, nor can
// the sequence numbers of announcements, which start again with each incarnation. An announcement
// without a start time belongs to the known incarnation.
func Restarted(known, heard *wire.Upstream) bool {
	return known != nil && heard.GetBorn() > known.GetBorn()
}

// Stale reports whether heard comes from an earlier incarnation of the upstream than known.
func Stale(known, heard *wire.Upstream) bool {
	return heard.GetBorn() != 0 && heard.GetBorn() < known.GetBorn()
}

// Unchanged reports whether heard has the same state as known and no new address, pool, number of
// slots or version. Empty fields of heard count as unchanged.
func Unchanged(known, heard *wire.Upstream) bool {
	return known != nil && known.GetState() == heard.GetState() && (heard.GetAddress() == "" || known.GetAddress() == heard.GetAddress()) &&
		(heard.GetPool() == "" || known.GetPool() == heard.GetPool()) && (heard.GetSlots() == 0 || known.GetSlots() == heard.GetSlots()) &&
		(heard.GetVersion() == "" || known.GetVersion() == heard.GetVersion())
}

// dropOldestGone deletes the oldest tombstones in excess of maxGone.
func (r *Roster) dropOldestGone() {
	for len(r.goneIDs) > maxGone {
		r.droppedRevision = max(r.droppedRevision, r.upstreams[r.goneIDs[0]].GetRevision())
		delete(r.upstreams, r.goneIDs[0])
		r.goneIDs = r.goneIDs[1:]
	}
}

// Find returns the upstream with the given id, or nil.
func (r *Roster) Find(id string) *wire.Upstream { return r.upstreams[id] }

// Revision returns the revision of the roster, which grows by one with each change.
func (r *Roster) Revision() uint64 { return r.revision }

// Since lists the upstreams that changed after a revision, in order of their revisions. If full is
// set, the list contains all upstreams that are not gone instead. This is the case for revision
// zero, for a revision that the roster has not reached, and if tombstones newer than the revision
// were dropped.
func (r *Roster) Since(revision uint64) (list []*wire.Upstream, full bool) {
	full = revision == 0 || revision < r.droppedRevision || revision > r.revision
	from := 0
	if !full {
		from, _ = slices.BinarySearchFunc(r.byRevision, revision+1, func(u *wire.Upstream, rev uint64) int {
			return cmp.Compare(u.GetRevision(), rev)
		})
	}
	for _, u := range r.byRevision[from:] {
		if r.isOutdated(u) || (full && u.GetState() == wire.Upstream_STATE_GONE) {
			continue
		}
		list = append(list, u)
	}
	return list, full
}

// Save returns the upstreams, with tombstones, in order of their revisions.
func (r *Roster) Save() []*wire.Upstream {
	return slices.DeleteFunc(slices.Clone(r.byRevision), r.isOutdated)
}

// Load replaces the roster by a saved list. Revisions are replicated state, so they continue
// from the highest one in the list.
func (r *Roster) Load(list []*wire.Upstream) {
	*r = Roster{upstreams: make(map[string]*wire.Upstream, len(list)), byRevision: slices.Clone(list)}
	slices.SortFunc(r.byRevision, func(a, b *wire.Upstream) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	for _, u := range r.byRevision {
		r.upstreams[u.GetId()] = u
		r.revision = max(r.revision, u.GetRevision())
		if u.GetState() == wire.Upstream_STATE_GONE {
			r.goneIDs = append(r.goneIDs, u.GetId())
		}
	}
	if len(r.goneIDs) >= maxGone { // Older tombstones may have been dropped.
		r.droppedRevision = r.upstreams[r.goneIDs[0]].GetRevision()
	}
}
