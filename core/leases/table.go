// Package leases holds the upstreams of one pool and the leases from their announcements.
package leases

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/upstr"
	"azurelane/core/wire"
)

// Table holds upstreams by name. The zero value is empty and ready to use.
type Table struct {
	byName map[string]*upstr.Upstream
	sorted []*upstr.Upstream // Ordered by name, so that the same input leads to the same decisions.
}

// Update records an announcement and renews the lease of its upstream. It ignores an announcement
// that is older than the latest one of the same incarnation, so that a delayed "serving" can't undo
// a "leaving".
func (t *Table) Update(now time.Time, a *wire.Announce) {
	u := t.GetOrAdd(a.GetUpstream())
	if u.GetIncarnation() != a.GetIncarnation() || a.GetSeq() >= u.GetSeq() {
		u.Update(now, a)
	}
}

// GetOrAdd returns the upstream with the given name. An upstream that has not announced itself yet
// is added without a lease, so that slots taken over from the previous owner of the pool are
// counted before its first announcement arrives.
func (t *Table) GetOrAdd(name string) *upstr.Upstream {
	if u := t.byName[name]; u != nil {
		return u
	}
	if t.byName == nil {
		t.byName = map[string]*upstr.Upstream{}
	}
	u := upstr.New(name)
	t.byName[name] = u
	n, _ := slices.BinarySearchFunc(t.sorted, name, func(u *upstr.Upstream, name string) int { return cmp.Compare(u.GetUpstream(), name) })
	t.sorted = slices.Insert(t.sorted, n, u)
	return u
}

// All returns all upstreams, sorted by name. The caller must not modify the slice.
func (t *Table) All() []*upstr.Upstream { return t.sorted }

// Expire removes the upstreams whose lease expired at least grace ago and that have no running
// requests.
func (t *Table) Expire(now time.Time, grace time.Duration) {
	t.sorted = slices.DeleteFunc(t.sorted, func(u *upstr.Upstream) bool {
		if u.Running > 0 || now.Before(u.LeaseEnd.Add(grace)) {
			return false
		}
		delete(t.byName, u.GetUpstream())
		return true
	})
}
