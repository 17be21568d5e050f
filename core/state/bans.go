package state

import (
	"bytes"
	"slices"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// MaxBans limits the number of stored bans. Above the limit, the oldest are deleted.
const MaxBans = 1024

// bans holds the banned requests, which are no longer sent to upstreams except for a few tries.
// The zero value is empty and ready to use.
type bans struct {
	list     []*wire.Ban // Oldest first; copied on each change.
	revision uint64      // Local to this replica; grows with each change.
}

// record adds and lifts bans. The number of tries of a request that stays banned never decreases.
func (b *bans) record(r *wire.RecordBans) *wire.Result {
	list := slices.Clone(b.list)
	for _, n := range r.GetBanned() {
		if _, ok := digest.From(n.GetDigest()); !ok {
			return &wire.Result{Code: Invalid, Text: "state: no digest"}
		}
		add := &wire.Ban{Digest: n.GetDigest(), Tries: n.GetTries(), Part: n.GetPart()}
		if i := findBan(list, n.GetDigest()); i >= 0 {
			add.Tries = max(add.GetTries(), list[i].GetTries())
			list[i] = add
			continue
		}
		list = append(list, add)
	}
	list = slices.DeleteFunc(list, func(old *wire.Ban) bool {
		return slices.ContainsFunc(r.GetLifted(), func(d []byte) bool { return bytes.Equal(d, old.GetDigest()) })
	})
	b.list = list[max(len(list)-MaxBans, 0):]
	b.revision++
	return &wire.Result{Code: OK}
}

// findBan returns the index of the ban of a request digest, or -1.
func findBan(list []*wire.Ban, d []byte) int {
	return slices.IndexFunc(list, func(b *wire.Ban) bool { return bytes.Equal(b.GetDigest(), d) })
}

// Bans returns the bans and a revision that grows whenever they change. The caller must not modify
// the list.
func (s *State) Bans() (list []*wire.Ban, revision uint64) { return s.bans.list, s.bans.revision }
