// Package prefix remembers which prompt prefixes an upstream has probably cached.
package prefix

import (
	"maps"
	"time"
)

// Prefix holds the prefixes of one upstream. Announcements of cached prefixes arrive late and with
// gaps: one may lack a prefix that was sent to the upstream a moment ago, or list one that has been
// evicted. The zero value is empty and ready to use.
type Prefix struct {
	announced map[uint64]struct{}  // Listed in the last announcement.
	sent      map[uint64]time.Time // When a request with the prefix was granted there.
}

const (
	sentRetention = 10 * time.Second // Longer than the delay of announcements.
	maxSent       = 1024
)

// SetAnnounced replaces the announced prefixes, and drops prefixes that were sent more than sentRetention ago.
func (p *Prefix) SetAnnounced(now time.Time, list []uint64) {
	p.announced = make(map[uint64]struct{}, len(list))
	for _, h := range list {
		p.announced[h] = struct{}{}
	}
	maps.DeleteFunc(p.sent, func(_ uint64, at time.Time) bool { return now.Sub(at) > sentRetention })
}

// RecordSent records that a request with the prefix was granted on the upstream.
func (p *Prefix) RecordSent(now time.Time, h uint64) {
	if p.sent == nil {
		p.sent = map[uint64]time.Time{}
	}
	if _, known := p.sent[h]; known || len(p.sent) < maxSent {
		p.sent[h] = now
	}
}

// Has reports whether the upstream has probably cached the prefix.
func (p *Prefix) Has(h uint64) bool {
	if _, ok := p.announced[h]; ok {
		return true
	}
	_, ok := p.sent[h]
	return ok
}

// Forget removes a prefix that a run has shown not to be cached. Otherwise each request until the next
// announcement would be sent here for it and prefilled in full.
func (p *Prefix) Forget(h uint64) {
	delete(p.announced, h)
	delete(p.sent, h)
}
