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

// bans holds the crash reports and bans of requests that crash upstreams. Entries report all
// crashes and bans that they know to a new scheduler, including crashes that led to no ban. Bans
// are also recorded in the replicated log, because all processes may stop at once. The zero value
// is ready.
type bans struct {
	mu             sync.Mutex
	poison         poison.Poison
	change         signal
	lifted         map[digest.Digest]bool // Lifted here; the log may still list them.
	recorded       map[digest.Digest]int  // Number of trials, as this scheduler last recorded it.
	loadedRevision uint64                 // Revision of the recorded bans that were loaded last.
}

// recordRetryDelay is the pause before another attempt to record bans.
const recordRetryDelay = 500 * time.Millisecond

// merge adds the crashes, bans and cleared requests that an entry reports.
func (b *bans) merge(log logr.Logger, c *wire.Crashes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	banned, lifted := b.poison.Merge(time.Now(), c)
	for _, d := range banned {
		delete(b.lifted, d)
		log.Info("Request banned: it crashes upstreams.", "digest", d.String())
	}
	for _, d := range lifted {
		b.markLifted(d)
		log.Info("Ban lifted: an upstream completed the request.", "digest", d.String())
	}
	b.notify(before)
}

// lift removes the bans of the requests with the given digests.
func (b *bans) lift(log logr.Logger, list [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	for _, raw := range list {
		if d, ok := digest.From(raw); ok && b.poison.Clear(d) {
			b.markLifted(d)
			log.Info("Ban lifted by an operator.", "digest", d.String())
		}
	}
	b.notify(before)
}

// markLifted notes that a ban has to be removed from the log. b.mu must be held.
func (b *bans) markLifted(d digest.Digest) {
	if b.lifted == nil {
		b.lifted = map[digest.Digest]bool{}
	}
	b.lifted[d] = true
	delete(b.recorded, d)
}

// load adds the recorded bans, except for bans that have been lifted here.
func (b *bans) load(list []*wire.Ban, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loadedRevision == revision {
		return
	}
	b.loadedRevision = revision
	before, now := b.poison.Revision(), time.Now()
	for _, r := range list {
		if d, ok := digest.From(r.GetDigest()); ok && !b.lifted[d] {
			b.poison.RecordBan(now, d, int(r.GetTries()))
		}
	}
	b.notify(before)
}

// unrecorded returns the changes that the log lacks, or nil. Each scheduler records a ban once,
// and once more after a trial. The number of recorded bans is bounded; without this rule, bans
// that were evicted from the full record would be recorded over and over.
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
		if recordedTries, ours := b.recorded[d]; ours {
			tries, ok = max(tries, recordedTries), true
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

// markRecorded notes that bans have been recorded.
func (b *bans) markRecorded(c *wire.RecordBans) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recorded == nil {
		b.recorded = map[digest.Digest]int{}
	}
	for _, n := range c.GetBanned() {
		if d, _ := digest.From(n.GetDigest()); b.poison.Banned(d) { // Otherwise it was lifted in the meantime.
			b.recorded[d] = int(n.GetTries())
		}
	}
}

// recordBans records bans in the replicated log until ctx ends. Without the record, bans would
// be lost when all processes stop at once, and each request would crash as many upstreams again.
func (h *Hub) recordBans(ctx context.Context, s *scheduler) {
	for {
		changed := s.bans.changed()
		var retry <-chan time.Time
		list, _ := h.Replica.Bans()
		if c := s.bans.unrecorded(list); c != nil {
			_, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_RecordBans{RecordBans: c}})
			if err == nil {
				s.bans.markRecorded(c)
				continue
			}
			h.Log.Info("Bans not recorded; trying again.", "banned", len(c.GetBanned()), "lifted", len(c.GetLifted()), "err", err.Error())
			retry = time.After(recordRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// try reports whether a banned request may be sent once, to see whether it still crashes
// upstreams.
func (b *bans) try(log logr.Logger, raw []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.poison.Revision()
	d, ok := digest.From(raw)
	if !ok || !b.poison.Try(time.Now(), d) {
		return false
	}
	log.Info("Banned request may be sent once.", "digest", d.String())
	b.notify(before)
	return true
}

// notify wakes the entries that wait for news if the list's revision differs from the earlier
// revision before. b.mu must be held.
func (b *bans) notify(before uint64) {
	if b.poison.Revision() != before {
		b.change.broadcast()
	}
}

// since returns the list, or nil if the list still has the given revision.
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

// changed returns a channel that is closed when the list next changes.
func (b *bans) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change.wait()
}

// handleBans answers a frame about requests that crash upstreams.
//
// While the network is partitioned, schedulers on both sides don't know each other's trials. So
// only the leader allows trials of banned requests.
func (h *Hub) handleBans(f *wire.Frame) (*wire.Frame, error) {
	if c := f.GetCrashes(); c != nil {
		s := h.scheduler()
		if s == nil {
			return nil, h.notLeaderFault()
		}
		s.bans.merge(h.Log, c)
		return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
	}
	s := h.leaderScheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	if t := f.GetTry(); t != nil {
		if !s.bans.try(h.Log, t.GetDigest()) {
			return nil, &wire.Fault{Code: codeBanned}
		}
		return nil, nil //nolint:nilnil // As above.
	}
	s.bans.lift(h.Log, f.GetBanQuery().GetLift())
	return &wire.Frame{Body: &wire.Frame_Bans{Bans: s.bans.list()}}, nil
}
