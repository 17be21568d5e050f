// Package prefix remembers which prompt prefixes an upstream has probably cached.
package prefix

import (
	"maps"
	"time"
)

// Prefix holds the prefixes of one upstream. Cache events come late and with
// gaps: a prefix sent there a moment ago may be missing in them, and one that
// they name may be gone. The zero value is empty and ready.
type Prefix struct {
	told map[uint64]struct{}  // By the last announcement.
	sent map[uint64]time.Time // Dispatched there, for as long as no event can tell.
}

const (
	sentKeep = 10 * time.Second // Longer than events are late.
	sentMost = 1024
)

// Told replaces what the upstream announced.
func (p *Prefix) Told(now time.Time, list []uint64) {
	p.told = make(map[uint64]struct{}, len(list))
	for _, h := range list {
		p.told[h] = struct{}{}
	}
	maps.DeleteFunc(p.sent, func(_ uint64, at time.Time) bool { return now.Sub(at) > sentKeep })
}

// Sent notes that a request with the prefix was granted there.
func (p *Prefix) Sent(now time.Time, h uint64) {
	if p.sent == nil {
		p.sent = map[uint64]time.Time{}
	}
	if _, known := p.sent[h]; known || len(p.sent) < sentMost {
		p.sent[h] = now
	}
}

// Has reports whether the prefix is believed to be cached.
func (p *Prefix) Has(h uint64) bool {
	if _, ok := p.told[h]; ok {
		return true
	}
	_, ok := p.sent[h]
	return ok
}

// Wrong drops a belief that a run has shown to be wrong, so that it costs one
// prefill and not one for each request until the next event.
func (p *Prefix) Wrong(h uint64) {
	delete(p.told, h)
	delete(p.sent, h)
}
