// Package owner determines which member owns a pool, that is, schedules its requests.
package owner

import "github.com/cespare/xxhash/v2"

// Pick returns the member with the highest rendezvous weight for a pool, or an empty string if there
// are no members. Entries with the same list of members pick the same owner, and the loss of a
// member moves only the pools that it owned.
func Pick(pool string, members []string) string {
	var best string
	var top uint64
	for _, m := range members {
		w := rendezvousWeight(pool, m)
		if best == "" || w > top || (w == top && m < best) {
			best, top = m, w
		}
	}
	return best
}

func rendezvousWeight(pool, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
