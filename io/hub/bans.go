package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/digest"
	"azurelane/core/poison"
	"azurelane/core/wire"
)

// bans is what a scheduler knows of requests that crash upstreams. Entries bring what
// they know to a scheduler that is new, crashes that led to no ban among it; bans are
// recorded as well, as all processes may end at once. The zero value is ready.
type bans struct {
	mu       sync.Mutex
	poison   poison.Poison
	change   signal
	lifted   map[digest.Digest]bool // The record may still have them.
	recorded map[digest.Digest]int  // Tries, as this scheduler has recorded them.
	loaded   uint64                 // Revision of the recorded bans that are known here.
}

// recordAgain is the pause after bans that could not be recorded.
const recordAgain = 500 * time.Millisecond

// take adds what an entry knows.
func (b *bans) take(log logr.Logger, c *wire.Crashes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	banned, lifted := b.poison.Take(time.Now(), c)
	for _, d := range banned {
		delete(b.lifted, d)
		log.Info("Request banned: it crashes upstreams.", "digest", d.String())
	}
	for _, d := range lifted {
		b.unlist(d)
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
			b.unlist(d)
			log.Info("Ban lifted by an operator.", "digest", d.String())
		}
	}
	b.notify(before)
}

// unlist notes that a ban is to leave the record. The lock is held.
func (b *bans) unlist(d digest.Digest) {
	if b.lifted == nil {
		b.lifted = map[digest.Digest]bool{}
	}
	b.lifted[d] = true
	delete(b.recorded, d)
}

// load takes the recorded bans, but for those that were lifted here since.
func (b *bans) load(list []*wire.Ban, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loaded == revision {
		return
	}
	b.loaded = revision
	before, now := b.poison.Revision(), time.Now()
	for _, r := range list {
		if d, ok := digest.From(r.GetDigest()); ok && !b.lifted[d] {
			b.poison.Ban(now, d, int(r.GetTries()))
		}
	}
	b.notify(before)
}

// unrecorded is what the record lacks, nil for nothing. Each ban is recorded once by one
// scheduler, and once more when it was tried, so that a full record comes to rest.
func (b *bans) unrecorded(list []*wire.Ban) *wire.RecordBans {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[digest.Digest]int{}
	for _, r := range list {
		if d, ok := digest.From(r.GetDigest()); ok {
			known[d] = int(r.GetTries())
		}
	}
	c := &wire.RecordBans{}
	for _, n := range b.poison.Bans(time.Now()).GetBanned() {
		d, _ := digest.From(n.GetDigest())
		tries, ok := known[d]
		if done, mine := b.recorded[d]; mine {
			tries, ok = max(tries, done), true
		}
		if !ok || tries < int(n.GetTries()) {
			c.Banned = append(c.Banned, n)
		}
	}
	for d := range b.lifted {
		if _, ok := known[d]; ok && !b.poison.Banned(d) {
			c.Lifted = append(c.Lifted, d[:])
		}
	}
	if len(c.GetBanned())+len(c.GetLifted()) == 0 {
		return nil
	}
	return c
}

// record notes bans that have been recorded.
func (b *bans) record(c *wire.RecordBans) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recorded == nil {
		b.recorded = map[digest.Digest]int{}
	}
	for _, n := range c.GetBanned() {
		if d, _ := digest.From(n.GetDigest()); b.poison.Banned(d) { // Else it was lifted meanwhile.
			b.recorded[d] = int(n.GetTries())
		}
	}
}

// recordBans has the log keep bans until ctx ends. Without it all of them are forgotten
// when all processes end at once, and each request crashes as many upstreams again.
func (h *Hub) recordBans(ctx context.Context, r *reign) {
	for {
		changed := r.bans.changed()
		var later <-chan time.Time
		list, _ := h.Replica.Bans()
		if c := r.bans.unrecorded(list); c != nil {
			_, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_RecordBans{RecordBans: c}})
			if err == nil {
				r.bans.record(c)
				continue
			}
			h.Log.Info("Bans not recorded.", "banned", len(c.GetBanned()), "lifted", len(c.GetLifted()), "err", err.Error())
			later = time.After(recordAgain)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-later:
		}
	}
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
