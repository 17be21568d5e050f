package gate

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/blame"
	"azurelane/core/digest"
	"azurelane/core/wire"
)

const (
	// begunEvents is the number of events from which on an upstream counts as having begun to answer. One
	// that crashes as it begins may still have sent the first.
	begunEvents = 2
	// maxSuspectParts is the number of parts of one request that are suspected, and maxPartName the
	// length of a name, in bytes, up to which it is reported.
	maxSuspectParts = 128
	maxPartName     = 64
	// answerInterval is the time between two reports that the same part was answered. Popular parts are
	// in most requests.
	answerInterval = 100 * time.Millisecond
	// partsRefresh is the time between two looks for crashes that no longer count.
	partsRefresh = 10 * time.Second
)

// errPartBanned ends the wait of a request with a part that is banned meanwhile.
var errPartBanned = errors.New("gate: a part of the prompt is banned")

type (
	// suspectParts tracks parts of prompts that may crash upstreams. suspects.mu guards it.
	suspectParts struct {
		own     blame.Blame // By what this entry observed.
		banned  blame.Blame // By the scheduler's list.
		watched map[digest.Digest]time.Time
		active  atomic.Bool                          // Anything is known of any part. Read without the lock.
		waiting map[*request]context.CancelCauseFunc // Requests with parts that wait for an upstream.

		refreshedAt time.Time
		reportedAt  map[digest.Digest]time.Time // When an answer to a watched part was last reported.
	}

	// partBan is a banned part as it is told to callers.
	partBan struct {
		key  digest.Digest
		name string
	}

	// crashReports are observations for the scheduler.
	crashReports struct {
		crashes []seenCrash
		cleared [][]byte                    // Digests of requests.
		parts   map[digest.Digest]time.Time // When the latest request with a part was sent that was answered.
	}

	seenCrash struct {
		crash *wire.Crash
		at    time.Time
	}
)

// crash describes the crash of an upstream under this request. Its parts are suspects only if the
// upstream had not begun to answer it.
func (q *request) crash(d digest.Digest, upstream string, res result) *wire.Crash {
	c := &wire.Crash{Digest: d[:], Upstream: upstream, Account: q.account, RunUs: res.total.Microseconds()}
	if res.events >= begunEvents {
		return c
	}
	keys := q.partKeys()
	for i, name := range q.meta.SharedParts()[:len(keys)] {
		// A header may hold any bytes, and a report with invalid text would not be delivered.
		c.Parts = append(c.Parts, &wire.CrashPart{Key: keys[i][:], Name: strings.ToValidUTF8(name[:min(len(name), maxPartName)], "?")})
	}
	return c
}

// partKeys identifies the parts of the prompt that other requests may share.
func (q *request) partKeys() []digest.Digest {
	if q.cachedKeys == nil {
		for _, name := range q.meta.SharedParts() {
			if len(q.cachedKeys) == maxSuspectParts {
				break
			}
			q.cachedKeys = append(q.cachedKeys, blame.Key(q.account, name))
		}
	}
	return q.cachedKeys
}

// bannedPart returns the banned part because of which the request is refused. The crashes that this entry
// itself observed decide only while it has no scheduler.
func (q *request) bannedPart(standalone bool) (n partBan, banned bool) {
	s := &q.gate.suspects
	if !s.parts.active.Load() {
		return n, false
	}
	keys := q.partKeys()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.refuses(time.Now(), keys, standalone)
}

func (p *suspectParts) refuses(now time.Time, keys []digest.Digest, standalone bool) (n partBan, banned bool) {
	if now.Sub(p.refreshedAt) > partsRefresh {
		p.refreshedAt = now
		p.own.Refresh(now)
		p.update()
	}
	if key, ok := p.banned.Refuses(keys); ok {
		return partBan{key, p.banned.Name(key)}, true
	}
	if !standalone {
		return n, false
	}
	p.own.Evaluate(now)
	key, ok := p.own.Refuses(keys)
	return partBan{key, p.own.Name(key)}, ok
}

func (p *suspectParts) recordCrash(at time.Time, c *wire.Crash) {
	p.own.Record(at, c)
	p.update()
}

// update sets active. suspects.mu must be held.
func (p *suspectParts) update() {
	p.active.Store(p.own.Watching() || p.banned.Watching() || len(p.watched) > 0)
}

// markBegun records that an upstream has begun to answer the request, which was sent at the given time.
func (q *request) markBegun(sent time.Time) {
	s := &q.gate.suspects
	if !s.parts.active.Load() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range q.partKeys() {
		first, watched := s.parts.watched[key]
		if !watched {
			first, watched = s.parts.own.Knows(key)
		}
		if !watched || !sent.After(first) || now.Sub(s.parts.reportedAt[key]) < answerInterval {
			continue
		}
		if s.parts.reportedAt == nil {
			s.parts.reportedAt = map[digest.Digest]time.Time{}
		}
		s.parts.reportedAt[key] = now
		s.parts.own.Clear(key, sent)
		s.queue.clearPart(key, sent)
		q.gate.reportSignal.notify()
	}
}

// set applies the scheduler's list. What it no longer lists has been cleared, unless the list comes from
// another scheduler than before, which may not know of it yet.
func (p *suspectParts) set(now time.Time, list *wire.Bans, newScheduler bool) {
	watched := maps.Clone(p.watched)
	if watched == nil {
		watched = map[digest.Digest]time.Time{}
	}
	p.banned, p.watched = blame.Blame{}, map[digest.Digest]time.Time{}
	for _, b := range list.GetBanned() {
		p.banned.RecordBan(now, b)
	}
	for _, w := range list.GetWatchedParts() {
		if key, ok := digest.From(w.GetDigest()); ok {
			p.watched[key] = now.Add(-time.Duration(w.GetAgeUs()) * time.Microsecond)
		}
	}
	if !newScheduler {
		banned, _ := p.own.Bans(now)
		for _, n := range banned {
			key, _ := digest.From(n.GetDigest())
			watched[key] = now
		}
		for key := range watched {
			if _, ok := p.watched[key]; !ok {
				p.own.Lift(now, key)
			}
		}
	}
	maps.DeleteFunc(p.reportedAt, func(key digest.Digest, _ time.Time) bool {
		_, ok := p.watched[key]
		return !ok
	})
	p.update()
	for q, cancel := range p.waiting {
		if _, banned := p.banned.Refuses(q.partKeys()); banned {
			cancel(errPartBanned)
		}
	}
}

// addKnown adds what this entry knows of parts, for a scheduler that it has not reported to before.
func (p *suspectParts) addKnown(now time.Time, c *wire.Crashes) {
	own := p.own.Crashes(now)
	banned, _ := p.banned.Bans(now)
	c.Crashes = append(c.Crashes, own.GetCrashes()...)
	c.Banned = append(append(c.Banned, own.GetBanned()...), banned...)
	c.Answered = own.GetAnswered()
}

// placeWhileAllowed finds an upstream, and gives up as soon as a part of the prompt is banned. While
// nothing is known of any part there is nothing to watch.
func (q *request) placeWhileAllowed(ctx context.Context) (*placement, error) {
	s := &q.gate.suspects
	if q.banTrial || !s.parts.active.Load() || len(q.partKeys()) == 0 {
		return q.place(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.mu.Lock()
	if s.parts.waiting == nil {
		s.parts.waiting = map[*request]context.CancelCauseFunc{}
	}
	s.parts.waiting[q] = cancel
	s.mu.Unlock()
	p, err := q.place(ctx)
	s.mu.Lock()
	delete(s.parts.waiting, q)
	s.mu.Unlock()
	if err != nil && errors.Is(context.Cause(ctx), errPartBanned) {
		err = errPartBanned
	}
	return p, err
}

func (r *crashReports) clearPart(key digest.Digest, sent time.Time) {
	if r.parts == nil {
		r.parts = map[digest.Digest]time.Time{}
	}
	if sent.After(r.parts[key]) {
		r.parts[key] = sent
	}
}

// add adds the reports of another queue.
func (r *crashReports) add(other crashReports) {
	r.crashes = append(other.crashes, r.crashes...)
	r.cleared = append(other.cleared, r.cleared...)
	for key, sent := range other.parts {
		r.clearPart(key, sent)
	}
}

func (r *crashReports) wire(now time.Time) *wire.Crashes {
	c := &wire.Crashes{Cleared: r.cleared}
	for _, s := range r.crashes {
		s.crash.AgeUs = now.Sub(s.at).Microseconds()
		c.Crashes = append(c.Crashes, s.crash)
	}
	for key, sent := range r.parts {
		c.Answered = append(c.Answered, &wire.AnsweredPart{Key: key[:], AgeUs: now.Sub(sent).Microseconds()})
	}
	return c
}
