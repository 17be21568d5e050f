// Package recent remembers which requests were answered whole lately.
package recent

import (
	"time"

	"azurelane/core/digest"
)

// most bounds the answers that are remembered.
const most = 1024

// Recent holds the latest answers. The zero value is empty and ready.
type Recent struct {
	at   map[digest.Digest]time.Time
	ring [most]digest.Digest
	next int
}

// Add notes a whole answer.
func (r *Recent) Add(now time.Time, d digest.Digest) {
	if r.at == nil {
		r.at = make(map[digest.Digest]time.Time, most)
	}
	if _, ok := r.at[d]; !ok {
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = d
		r.next = (r.next + 1) % most
	}
	r.at[d] = now
}

// Has reports whether any answer to the request is remembered.
func (r *Recent) Has(d digest.Digest) bool { return !r.at[d].IsZero() }

// Since reports whether the request was answered whole after a moment.
func (r *Recent) Since(moment time.Time, d digest.Digest) bool { return r.at[d].After(moment) }
