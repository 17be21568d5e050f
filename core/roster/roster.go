// Package roster is the replicated list of upstreams: who exists, where, and
// whether it leaves. It is part of the replicated state machine.
package roster

import (
	"cmp"
	"slices"

	"azurelane/core/wire"
)

// keepGone is how many upstreams that are gone stay listed. A late announcement
// of one of them must not bring it back, and those come seconds late; at a
// release of all servers of a large deployment some hundred end in that time.
const keepGone = 512

// Roster holds upstreams by id. The zero value is empty and ready.
type Roster struct {
	ups      map[string]*wire.Upstream
	order    []*wire.Upstream // By revision, with some that were replaced or dropped since.
	gone     []string         // Oldest first.
	revision uint64           // Counts changes.
	dropped  uint64           // Revision of the newest upstream that was dropped from gone.
}

// Enroll takes what is known of an upstream and reports whether that is new.
// An upstream that leaves never serves again, and one that is gone never comes
// back, however late its announcements arrive. One that has started again under
// its id is another incarnation, of which nothing of that holds.
func (r *Roster) Enroll(u *wire.Upstream) bool {
	old := r.ups[u.GetId()]
	if u.GetId() == "" || Stale(old, u) {
		return false
	}
	if Restarted(old, u) {
		r.gone = slices.DeleteFunc(r.gone, func(id string) bool { return id == u.GetId() })
		old = nil
	}
	if old.GetState() > u.GetState() || Unchanged(old, u) {
		return false
	}
	if r.ups == nil {
		r.ups = map[string]*wire.Upstream{}
	}
	r.revision++
	r.ups[u.GetId()] = &wire.Upstream{
		Id: u.GetId(), Address: cmp.Or(u.GetAddress(), old.GetAddress()), Pool: cmp.Or(u.GetPool(), old.GetPool()),
		DataCentre: cmp.Or(u.GetDataCentre(), old.GetDataCentre()), Slots: cmp.Or(u.GetSlots(), old.GetSlots()),
		State: u.GetState(), Revision: r.revision, Born: cmp.Or(u.GetBorn(), old.GetBorn()),
	}
	r.order = append(r.order, r.ups[u.GetId()])
	if u.GetState() == wire.Upstream_STATE_GONE {
		r.gone = append(r.gone, u.GetId())
		r.forget()
	}
	if len(r.order) > 2*len(r.ups)+keepGone {
		r.order = slices.DeleteFunc(r.order, r.replaced)
	}
	return true
}

// replaced reports whether something newer is known of an upstream, or nothing any more.
func (r *Roster) replaced(u *wire.Upstream) bool { return r.ups[u.GetId()] != u }

// Restarted reports whether a, heard of an upstream that is known as b, comes from a
// later incarnation. The starts decide, as each incarnation tells its own; the
// order in which announcements arrive, and their numbers, which begin anew, say
// nothing. One that tells no start belongs to the incarnation that is known.
func Restarted(b, a *wire.Upstream) bool { return b != nil && a.GetBorn() > b.GetBorn() }

// Stale reports whether a comes from an incarnation before the one known as b.
func Stale(b, a *wire.Upstream) bool { return a.GetBorn() != 0 && a.GetBorn() < b.GetBorn() }

// Unchanged reports whether a tells nothing beyond what is known as b.
func Unchanged(b, a *wire.Upstream) bool {
	return b != nil && b.GetState() == a.GetState() && (a.GetAddress() == "" || b.GetAddress() == a.GetAddress()) &&
		(a.GetPool() == "" || b.GetPool() == a.GetPool()) && (a.GetSlots() == 0 || b.GetSlots() == a.GetSlots())
}

func (r *Roster) forget() {
	for len(r.gone) > keepGone {
		r.dropped = max(r.dropped, r.ups[r.gone[0]].GetRevision())
		delete(r.ups, r.gone[0])
		r.gone = r.gone[1:]
	}
}

// Find returns an upstream, or nil.
func (r *Roster) Find(id string) *wire.Upstream { return r.ups[id] }

// Revision grows with each change.
func (r *Roster) Revision() uint64 { return r.revision }

// Since lists what has changed after a revision, in the order of the changes.
// Whole is set when the list has all upstreams that are not gone instead,
// because the roster no longer knows all that has ended since.
func (r *Roster) Since(revision uint64) (list []*wire.Upstream, whole bool) {
	whole = revision == 0 || revision < r.dropped || revision > r.revision
	from := 0
	if !whole {
		from, _ = slices.BinarySearchFunc(r.order, revision+1, func(u *wire.Upstream, rev uint64) int {
			return cmp.Compare(u.GetRevision(), rev)
		})
	}
	for _, u := range r.order[from:] {
		if r.replaced(u) || (whole && u.GetState() == wire.Upstream_STATE_GONE) {
			continue
		}
		list = append(list, u)
	}
	return list, whole
}

// Save lists all that Load needs.
func (r *Roster) Save() []*wire.Upstream {
	return slices.DeleteFunc(slices.Clone(r.order), r.replaced)
}

// Load replaces the roster by a saved one. Revisions are numbers of the log, so
// they go on from the highest one.
func (r *Roster) Load(list []*wire.Upstream) {
	*r = Roster{ups: make(map[string]*wire.Upstream, len(list)), order: slices.Clone(list)}
	slices.SortFunc(r.order, func(a, b *wire.Upstream) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	for _, u := range r.order {
		r.ups[u.GetId()] = u
		r.revision = max(r.revision, u.GetRevision())
		if u.GetState() == wire.Upstream_STATE_GONE {
			r.gone = append(r.gone, u.GetId())
		}
	}
	if len(r.gone) >= keepGone { // Some were dropped before the oldest of these.
		r.dropped = r.ups[r.gone[0]].GetRevision()
	}
}
