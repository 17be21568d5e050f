package hub

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/digest"
	"azurelane/core/poison"
	"azurelane/core/wire"
)

// bans is what a scheduler knows of requests that crash upstreams. Entries bring what
// they know to a scheduler that is new, so that it needs no disk. The zero value is ready.
type bans struct {
	mu     sync.Mutex
	poison poison.Poison
	change signal
}

// take adds what an entry knows.
func (b *bans) take(log logr.Logger, c *wire.Crashes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	banned, lifted := b.poison.Take(time.Now(), c)
	for _, d := range banned {
		log.Info("Request banned: it crashes upstreams.", "digest", d.String())
	}
	for _, d := range lifted {
		log.Info("Ban lifted: an upstream ran the request.", "digest", d.String())
	}
	b.notify(before)
}

// lift takes requests off the list.
func (b *bans) lift(log logr.Logger, list [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	for _, raw := range list {
		if d, ok := digest.From(raw); ok && b.poison.Clear(d) {
			log.Info("Ban lifted by an operator.", "digest", d.String())
		}
	}
	b.notify(before)
}

// try reports whether a banned request may be sent once.
func (b *bans) try(log logr.Logger, raw []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	d, ok := digest.From(raw)
	if !ok || !b.poison.Try(time.Now(), d) {
		return false
	}
	log.Info("Banned request is tried.", "digest", d.String())
	b.notify(before)
	return true
}

// notify wakes the entries that wait for news if the list has changed. The lock is held.
func (b *bans) notify(before uint64) {
	if b.poison.Revision() != before {
		b.change.raise()
	}
}

// since returns the list, nil when the asker has this revision.
func (b *bans) since(revision uint64) *wire.Bans {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.poison.Revision() == revision {
		return nil
	}
	return b.poison.Bans(time.Now())
}

// list returns the whole list.
func (b *bans) list() *wire.Bans {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.poison.Bans(time.Now())
}

// changed is closed when the list next changes.
func (b *bans) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change.wait()
}

// handleBans answers a frame about requests that crash upstreams.
//
// Of two schedulers on the sides of a cut only the leader lets requests be tried, as
// neither knows the tries of the other.
func (h *Hub) handleBans(f *wire.Frame) (*wire.Frame, error) {
	if c := f.GetCrashes(); c != nil {
		r := h.scheduler()
		if r == nil {
			return nil, h.moved()
		}
		r.bans.take(h.Log, c)
		return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
	}
	r := h.lead()
	if r == nil {
		return nil, h.moved()
	}
	if t := f.GetTry(); t != nil {
		if !r.bans.try(h.Log, t.GetDigest()) {
			return nil, &wire.Fault{Code: banned}
		}
		return nil, nil //nolint:nilnil // As above.
	}
	r.bans.lift(h.Log, f.GetBanQuery().GetLift())
	return &wire.Frame{Body: &wire.Frame_Bans{Bans: r.bans.list()}}, nil
}
