package hub

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/blame"
	"azurelane/core/digest"
	"azurelane/core/doubt"
	"azurelane/core/poison"
	"azurelane/core/wire"
)

// bans holds the crash reports and bans of requests, and of parts of prompts, that crash upstreams. Entries report all
// crashes and bans that they know to a new scheduler, including crashes that led to no ban. Bans
// are also recorded in the replicated log, because all processes may stop at once. The zero value
// is ready.
type bans struct {
	mu             sync.Mutex
	poison         poison.Poison
	doubt          doubt.Doubt // Crashes that are not sure.
	blame          blame.Blame // Of parts of prompts.
	change         signal
	lifted         map[digest.Digest]bool        // Lifted here; the log may still list them.
	recorded       map[digest.Digest]recordedBan // As this scheduler last recorded them.
	evaluationDue  bool                          // An evaluation of the reports is coming.
	loadedRevision uint64                        // Revision of the recorded bans that were loaded last.
}

// recordedBan is what changes of a ban.
type recordedBan struct {
	tries int
	with  int // Number of parts that a request must hold to be banned.
}

// evaluateDelay is the time for which reports are collected before they are evaluated.
const evaluateDelay = 50 * time.Millisecond

// recordRetryDelay is the pause before another attempt to record bans.
const recordRetryDelay = 500 * time.Millisecond

// merge adds the crashes, bans and cleared requests that an entry reports.
func (b *bans) merge(log logr.Logger, c *wire.Crashes) {
	if len(c.GetCrashes())+len(c.GetBanned())+len(c.GetCleared())+len(c.GetAnswered()) == 0 {
		return
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	c = b.withoutUnsure(now, c)
	before := b.revision()
	banned, lifted := b.poison.Merge(now, requestsOnly(c))
	for _, d := range banned {
		delete(b.lifted, d)
		log.Info("Request banned: it crashes upstreams.", "digest", d.String())
	}
	for _, d := range lifted {
		b.markLifted(d)
		log.Info("Ban lifted: an upstream completed the request.", "digest", d.String())
	}
	for _, key := range b.blame.Merge(now, c) {
		b.markLifted(key)
		log.Info("Ban lifted: an upstream answered a request with the part.", "digest", key.String())
	}
	b.evaluateAfter(log, evaluateDelay)
	if len(c.GetCrashes()) > 0 {
		time.AfterFunc(blame.SettleTime, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.evaluateAfter(log, evaluateDelay)
		})
	}
	b.notify(before)
}

// withoutUnsure keeps the crashes that are not sure, and returns the reports without them. b.mu must be held.
func (b *bans) withoutUnsure(now time.Time, c *wire.Crashes) *wire.Crashes {
	sure := &wire.Crashes{Banned: c.GetBanned(), Cleared: c.GetCleared(), Answered: c.GetAnswered()}
	for _, crash := range c.GetCrashes() {
		if crash.GetUnsure() {
			b.doubt.Add(now, now.Add(-micros(crash.GetAgeUs())), crash)
			continue
		}
		sure.Crashes = append(sure.Crashes, crash)
	}
	for _, raw := range c.GetCleared() {
		if d, ok := digest.From(raw); ok {
			b.doubt.Clear(d)
		}
	}
	return sure
}

// settle counts the crashes that were not sure and are by now, as another process has taken the upstream's
// place.
func (b *bans) settle(log logr.Logger, replaced func(id string, born int64) bool) {
	b.mu.Lock()
	list := b.doubt.Settle(time.Now(), replaced)
	b.mu.Unlock()
	for _, c := range list {
		d, _ := digest.From(c.GetDigest())
		log.Info("Crash confirmed: the upstream was replaced.", "digest", d.String(), "upstream", c.GetUpstream(), "ago", micros(c.GetAgeUs()).String())
	}
	b.merge(log, &wire.Crashes{Crashes: list})
}

// evaluateAfter evaluates all reports that come until then at once: after a crash each entry reports the
// answers to the same popular parts. b.mu must be held.
func (b *bans) evaluateAfter(log logr.Logger, delay time.Duration) {
	if b.evaluationDue {
		return
	}
	b.evaluationDue = true
	time.AfterFunc(delay, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.evaluationDue = false
		before := b.revision()
		b.evaluate(log)
		b.notify(before)
	})
}

// evaluate bans the parts of prompts that are known to be bad. b.mu must be held.
func (b *bans) evaluate(log logr.Logger) {
	now := time.Now()
	banned := b.blame.Evaluate(now)
	if len(banned) == 0 {
		return
	}
	list, _ := b.blame.Bans(now)
	for _, n := range list {
		key, _ := digest.From(n.GetDigest())
		if !slices.Contains(banned, key) {
			continue
		}
		delete(b.lifted, key)
		log.Info("Part of prompts banned: it crashes upstreams.", "digest", key.String(), "account", n.GetPart().GetAccount(),
			"part", n.GetPart().GetName(), "with", len(n.GetPart().GetWith()), "upstreams", n.GetPart().GetUpstreams())
	}
}

// expire drops crashes that no longer count.
func (b *bans) expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.revision()
	b.blame.Refresh(now)
	b.notify(before)
}

// requestsOnly returns reports without the bans of parts of prompts.
func requestsOnly(c *wire.Crashes) *wire.Crashes {
	only := &wire.Crashes{Crashes: c.GetCrashes(), Cleared: c.GetCleared()}
	for _, n := range c.GetBanned() {
		if n.GetPart() == nil {
			only.Banned = append(only.Banned, n)
		}
	}
	return only
}

// revision grows with each change of the list. b.mu must be held.
func (b *bans) revision() uint64 { return b.poison.Revision() + b.blame.Revision() }

// isBanned reports whether a request or a part of prompts is banned. b.mu must be held.
func (b *bans) isBanned(d digest.Digest) bool { return b.poison.Banned(d) || b.blame.Banned(d) }

// all lists the bans, and what entries watch. b.mu must be held.
func (b *bans) all() *wire.Bans {
	now := time.Now()
	list := b.poison.Bans(now)
	banned, watched := b.blame.Bans(now)
	list.Revision, list.Banned, list.WatchedParts = b.revision(), append(list.GetBanned(), banned...), watched
	return list
}

// lift removes the bans of the requests and parts with the given digests.
func (b *bans) lift(log logr.Logger, list [][]byte) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.revision()
	for _, raw := range list {
		d, ok := digest.From(raw)
		if !ok {
			continue
		}
		b.doubt.Clear(d)
		if b.poison.Clear(d) || b.blame.Lift(now, d) {
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
	before, now := b.revision(), time.Now()
	for _, r := range list {
		d, ok := digest.From(r.GetDigest())
		switch {
		case !ok || b.lifted[d]:
		case r.GetPart() != nil:
			b.blame.RecordBan(now, r)
		default:
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
	known := map[digest.Digest]recordedBan{}
	for _, r := range list {
		if d, ok := digest.From(r.GetDigest()); ok {
			known[d] = recordOf(r)
		}
	}
	c := &wire.RecordBans{}
	for _, n := range b.all().GetBanned() {
		d, _ := digest.From(n.GetDigest())
		old, ok := known[d]
		if ours, recorded := b.recorded[d]; recorded {
			old, ok = recordedBan{max(old.tries, ours.tries), ours.with}, true
		}
		if now := recordOf(n); !ok || old.tries < now.tries || old.with != now.with {
			c.Banned = append(c.Banned, n)
		}
	}
	for d := range b.lifted {
		if _, ok := known[d]; ok && !b.isBanned(d) {
			c.Lifted = append(c.Lifted, d[:])
		}
	}
	if len(c.GetBanned())+len(c.GetLifted()) == 0 {
		return nil
	}
	return c
}

func recordOf(n *wire.Ban) recordedBan {
	return recordedBan{int(n.GetTries()), len(n.GetPart().GetWith())}
}

// markRecorded notes that bans have been recorded.
func (b *bans) markRecorded(c *wire.RecordBans) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.recorded == nil {
		b.recorded = map[digest.Digest]recordedBan{}
	}
	for _, n := range c.GetBanned() {
		if d, _ := digest.From(n.GetDigest()); b.isBanned(d) { // Otherwise it was lifted in the meantime.
			b.recorded[d] = recordOf(n)
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
	before, now := b.revision(), time.Now()
	d, ok := digest.From(raw)
	if !ok || (!b.poison.Try(now, d) && !b.blame.Try(now, d)) {
		return false
	}
	log.Info("Banned request, or one with a banned part, may be sent once.", "digest", d.String())
	b.notify(before)
	return true
}

// notify wakes the entries that wait for news if the list's revision differs from the earlier
// revision before. b.mu must be held.
func (b *bans) notify(before uint64) {
	if b.revision() != before {
		b.change.broadcast()
	}
}

// since returns the list, or nil if the list still has the given revision.
func (b *bans) since(revision uint64) *wire.Bans {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.revision() == revision {
		return nil
	}
	return b.all()
}

// list returns the whole list.
func (b *bans) list() *wire.Bans {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.all()
}

// count returns the number of banned requests and of banned parts of prompts.
func (b *bans) count() (requests, parts int64) {
	for _, n := range b.list().GetBanned() {
		if n.GetPart() != nil {
			parts++
		} else {
			requests++
		}
	}
	return requests, parts
}

// changed returns a channel that is closed when the list next changes.
func (b *bans) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change.wait()
}

// mergeCrashes adds what an entry reports.
func (h *Hub) mergeCrashes(s *scheduler, c *wire.Crashes) {
	s.bans.merge(h.Log, c)
	s.bans.settle(h.Log, s.upstreams.replaced)
}

// liftBans lifts bans, and returns once the log lacks them. A ban that is just being recorded precedes its removal there.
func (h *Hub) liftBans(ctx context.Context, s *scheduler, list [][]byte) error {
	if len(list) == 0 {
		return nil
	}
	s.bans.lift(h.Log, list)
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_RecordBans{RecordBans: &wire.RecordBans{Lifted: list}}}); err != nil {
		return fmt.Errorf("hub: lift bans: %w", err)
	}
	return nil
}

// handleBans answers a frame about requests that crash upstreams.
//
// While the network is partitioned, schedulers on both sides don't know each other's trials. So
// only the leader allows trials of banned requests.
func (h *Hub) handleBans(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	if c := f.GetCrashes(); c != nil {
		s := h.scheduler()
		if s == nil {
			return nil, h.notLeaderFault()
		}
		h.mergeCrashes(s, c)
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
	if err := h.liftBans(ctx, s, f.GetBanQuery().GetLift()); err != nil {
		return nil, err
	}
	return &wire.Frame{Body: &wire.Frame_Bans{Bans: s.bans.list()}}, nil
}
