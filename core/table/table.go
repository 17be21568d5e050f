// Package table keeps the announced upstreams of one pool.
package table

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Table holds upstreams by name. The zero value is empty and ready.
type Table struct {
	ups  map[string]*upstr.Upstream
	list []*upstr.Upstream // Sorted by name, so that the same input gives the same decisions.
}

// Put takes an announcement. One that a newer one of the same incarnation has
// overtaken is dropped, so that a delayed "serving" can't undo a "leaving".
func (t *Table) Put(now time.Time, a *wire.Announce) {
	u := t.Named(a.GetUpstream())
	if u.GetIncarnation() != a.GetIncarnation() || a.GetSeq() >= u.GetSeq() {
		u.Update(now, a)
	}
}

// Named returns the upstream of that name. One that has not announced itself
// yet is entered without a lease, so that slots taken over from a former owner
// are counted before its first announcement arrives here.
func (t *Table) Named(name string) *upstr.Upstream {
	if u := t.ups[name]; u != nil {
		return u
	}
	if t.ups == nil {
		t.ups = map[string]*upstr.Upstream{}
	}
	u := upstr.New(name)
	t.ups[name] = u
	t.list = append(t.list, u)
	slices.SortFunc(t.list, func(a, b *upstr.Upstream) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	return u
}

// All returns every known upstream, sorted by name. The slice is the table's own.
func (t *Table) All() []*upstr.Upstream { return t.list }

// Expire forgets upstreams whose lease ended longer than grace ago and on
// which nothing runs.
func (t *Table) Expire(now time.Time, grace time.Duration) {
	t.list = slices.DeleteFunc(t.list, func(u *upstr.Upstream) bool {
		if u.Running > 0 || now.Before(u.LeaseEnd.Add(grace)) {
			return false
		}
		delete(t.ups, u.GetUpstream())
		return true
	})
}
