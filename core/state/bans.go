package state

import (
	"bytes"
	"slices"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// MaxBans bounds the bans that are recorded. Beyond it the oldest go.
const MaxBans = 1024

// bans are the requests that are not sent any more. The zero value is empty and ready.
type bans struct {
	list     []*wire.Ban // Oldest first; replaced with each change.
	revision uint64      // Of this replica; grows with each change.
}

// record takes bans and lifts others. How often a request was tried never falls.
func (b *bans) record(r *wire.RecordBans) *wire.Result {
	list := slices.Clone(b.list)
	for _, n := range r.GetBanned() {
		if _, ok := digest.From(n.GetDigest()); !ok {
			return &wire.Result{Code: Invalid, Text: "state: no digest"}
		}
		add := &wire.Ban{Digest: n.GetDigest(), Tries: n.GetTries()}
		if i := find(list, n.GetDigest()); i >= 0 {
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

func find(list []*wire.Ban, d []byte) int {
	return slices.IndexFunc(list, func(b *wire.Ban) bool { return bytes.Equal(b.GetDigest(), d) })
}

// Bans lists the recorded bans, and a number that changes with them. The caller must not
// change the list.
func (s *State) Bans() (list []*wire.Ban, revision uint64) { return s.bans.list, s.bans.revision }
