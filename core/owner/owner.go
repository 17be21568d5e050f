// Package owner picks the member that schedules a pool.
package owner

import "github.com/cespare/xxhash/v2"

// Pick returns the member with the highest rendezvous weight for a pool, or
// the empty string when there is none. Every entry that sees the same members
// picks the same one, and the loss of a member moves only its own pools.
func Pick(pool string, members []string) string {
	var best string
	var top uint64
	for _, m := range members {
		w := weight(pool, m)
		if best == "" || w > top || (w == top && m < best) {
			best, top = m, w
		}
	}
	return best
}

func weight(pool, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(member)
	return d.Sum64()
}
