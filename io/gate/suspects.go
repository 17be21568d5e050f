package gate

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/digest"
	"azurelane/core/doubt"
	"azurelane/core/poison"
	"azurelane/core/recent"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

type (
	// suspects tracks requests, and parts of prompts, that may crash upstreams. The scheduler merges
	// the reports of all entries. The zero value is ready to use.
	suspects struct {
		mu      sync.Mutex
		crashes poison.Poison         // Crashes that this entry observed.
		banned  map[digest.Digest]ban // Banned by the scheduler.
		// watched holds the requests that the scheduler suspects, with the time of their first
		// crash. A complete response after that time clears a request.
		watched  map[digest.Digest]time.Time
		answered recent.Recent
		queue    crashReports // Not reported yet.
		taken    crashReports // The latest report that is on its way.
		unsure   doubt.Doubt  // Crashes that the scheduler has to confirm.
		parts    suspectParts
	}

	// ban is a request, or a part of prompts, that may not be sent any more.
	ban struct {
		part      bool // It is a part of prompts.
		trials    int
		nextTrial time.Time // When the scheduler may be asked to allow a trial; zero for never.
	}

	// trier asks the scheduler for permission to send a banned request once.
	trier interface {
		Try(ctx context.Context, d digest.Digest) error
	}

	// prober checks whether any process listens at an address. It is not sure while this entry may have no
	// path to upstreams.
	prober interface {
		Closed(ctx context.Context, addr netip.AddrPort) (closed, sure bool)
		// Runs reports whether a process accepts a connection and keeps it open for a moment.
		Runs(ctx context.Context, addr netip.AddrPort) bool
	}
)

// checkCrash records a crash if a run broke off because the process of its upstream ended. It
// connects to the upstream's address, and only a refused connection counts as a crash. A broken
// link, an invalid response and a reset connection also break a run off, but afterwards the
// upstream accepts the new connection, or the connection attempt gets no reply.
func (q *request) checkCrash(p *placement, res result) {
	if res.outcome != outcomeInterrupted || errors.Is(res.err, errSilent) || errors.Is(res.err, errDeadline) {
		return
	}
	if _, leaving := q.gate.leavesSince(time.Now(), p.upstream); leaving != "" && errors.Is(res.err, errDoubted) {
		return // It may have closed its listener before its last responses.
	}
	addr, err := netip.ParseAddrPort(p.upstream.GetAddress())
	if err != nil {
		return // Only an IP address and port can be probed.
	}
	g, d, id, up, at := q.gate, q.digest(), q.meta.ID, q.upstreamIncarnation(p), time.Now()
	ctx := context.WithoutCancel(q.r.Context())
	checkAddress := func() {
		closed, sure := g.Prober.Closed(ctx, addr)
		if !closed {
			return
		}
		g.Log.Info("Upstream crashed while it ran a request.", "request", id, "digest", d.String(), "upstream", up, "address", addr.String(),
			"account", q.account, "parts", q.meta.SharedParts(), "events", res.events, "took", res.total.String(), "sure", sure)
		c := q.crash(d, up, res)
		if sure {
			g.Stats.Count("crashes-seen", 1)
			g.suspects.recordCrash(at, c)
		} else {
			c.Unsure, c.Id, c.Born = true, p.upstream.GetId(), q.born(p)
			g.suspects.recordUnsure(at, c)
		}
		g.reportSignal.notify()
	}
	if !q.route.Repeatable() {
		// The result affects later copies of the request only, so its caller need not wait.
		go checkAddress()
		return
	}
	checkAddress()
}

// upstreamIncarnation returns a name for the process of an upstream. A restarted upstream may have
// the same ID as before.
func (q *request) upstreamIncarnation(p *placement) string {
	id := p.upstream.GetId()
	if born := q.born(p); born > 0 {
		return id + "@" + strconv.FormatInt(born, 10)
	}
	return id
}

// born returns when the process of an upstream started, zero if that is unknown.
func (q *request) born(p *placement) int64 {
	return max(p.upstream.GetBorn(), q.view.Upstream(p.upstream.GetId()).GetBorn())
}

// banRefusal returns the refusal of a banned request, or nil if the request may be sent. If the
// scheduler allows a trial, a banned request may be sent too.
func (q *request) banRefusal(ctx context.Context) *refuse.Error {
	standalone := q.gate.Cluster.View().Owner == nil
	d, what := q.digest(), "it before"
	if !q.gate.suspects.isBanned(d, standalone) {
		n, banned := q.bannedPart(standalone)
		if !banned {
			return nil
		}
		d, what = n.key, "part "+n.name+" of its prompt"
	}
	if q.gate.suspects.claimTrial(time.Now(), d) {
		err := q.gate.Trier.Try(ctx, d)
		if err == nil {
			q.banTrial = true
			return nil
		}
		q.gate.Log.V(1).Info("Trial of a banned request not allowed.", "digest", d.String(), "err", err.Error())
	}
	return refuse.New(refuse.Crashes, "upstreams crashed under "+what+"; the digest is "+d.String(), 0)
}

// isBanned reports whether a request is banned. The crashes that this entry itself observed decide
// only while it has no scheduler. A scheduler decides better, because it also knows which other
// requests ran at the upstreams that crashed, and thus whether another request explains a crash.
func (s *suspects) isBanned(d digest.Digest, standalone bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.banned[d]
	return (ok && !b.part) || (standalone && s.crashes.Banned(d))
}

// claimTrial reports whether the scheduler should be asked now to allow a trial of a banned
// request. Each entry asks once. The scheduler's next list says when it may ask again.
func (s *suspects) claimTrial(now time.Time, d digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.banned[d]
	if b.nextTrial.IsZero() || now.Before(b.nextTrial) {
		return false
	}
	b.nextTrial = time.Time{}
	s.banned[d] = b
	return true
}

// recordCrash records the crash of an upstream under a request, at a time that may be a moment ago.
func (s *suspects) recordCrash(at time.Time, c *wire.Crash) {
	d, _ := digest.From(c.GetDigest())
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Answered = s.answered.Answered(d)
	s.crashes.RecordCrash(at, d, c.GetUpstream(), c.GetAnswered())
	s.parts.recordCrash(at, c)
	s.queue.crashes = append(s.queue.crashes, seenCrash{c, at})
}

// recordUnsure reports a crash that the scheduler counts only once another process has taken the upstream's
// place.
func (s *suspects) recordUnsure(at time.Time, c *wire.Crash) {
	d, _ := digest.From(c.GetDigest())
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Answered = s.answered.Answered(d)
	s.unsure.Add(time.Now(), at, c)
	s.queue.crashes = append(s.queue.crashes, seenCrash{c, at})
}

// markAnswered records a complete response. A request that an upstream has run to completion does
// not crash every upstream, so it is cleared.
func (g *Gate) markAnswered(now time.Time, d digest.Digest) {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered.Add(now, d)
	if _, ok := s.watched[d]; ok || s.crashes.Knows(d) || s.unsure.Knows(now, d) {
		s.clearSuspect(d)
		g.reportSignal.notify()
	}
}

// clearSuspect clears a request of suspicion and queues a report of that. s.mu must be held.
func (s *suspects) clearSuspect(d digest.Digest) {
	s.crashes.Clear(d)
	s.unsure.Clear(d)
	delete(s.watched, d) // One report is enough.
	s.queue.cleared = append(s.queue.cleared, d[:])
}

// SetBans applies the scheduler's list of bans. A request that is no longer listed has been
// cleared, unless the list comes from another scheduler than before, which may not know of the
// request yet.
func (g *Gate) SetBans(list *wire.Bans, newScheduler bool) {
	now, s := time.Now(), &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.parts.set(now, list, newScheduler)
	watched := s.watched
	s.banned, s.watched = map[digest.Digest]ban{}, map[digest.Digest]time.Time{}
	for _, b := range list.GetBanned() {
		d, ok := digest.From(b.GetDigest())
		if !ok {
			continue
		}
		newBan := ban{part: b.GetPart() != nil, trials: int(b.GetTries())}
		if b.GetNextUs() >= 0 {
			newBan.nextTrial = now.Add(time.Duration(b.GetNextUs()) * time.Microsecond)
		}
		s.banned[d] = newBan
	}
	for _, w := range list.GetWatched() {
		if d, ok := digest.From(w.GetDigest()); ok {
			s.watched[d] = now.Add(-time.Duration(w.GetAgeUs()) * time.Microsecond)
		}
	}
	if !newScheduler {
		s.liftBans(now, watched)
	}
	for d, since := range s.watched {
		if s.answered.AnsweredAfter(since, d) {
			s.clearSuspect(d)
			g.reportSignal.notify()
		}
	}
}

// liftBans forgets the crashes of requests that the new list does not contain: requests that the
// scheduler watched before, and requests that this entry banned itself. s.mu must be held.
func (s *suspects) liftBans(now time.Time, watched map[digest.Digest]time.Time) {
	for d := range watched {
		if _, ok := s.watched[d]; !ok {
			s.crashes.Clear(d)
		}
	}
	for _, b := range s.crashes.Bans(now).GetBanned() {
		d, _ := digest.From(b.GetDigest())
		if _, ok := s.banned[d]; !ok {
			s.crashes.Clear(d)
		}
	}
}

// KnownCrashes returns all crashes and bans that this entry knows, for a scheduler that it has not
// reported to before.
func (g *Gate) KnownCrashes() *wire.Crashes {
	s, now := &g.suspects, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crashes.Crashes(now)
	c.Crashes = append(c.Crashes, s.unsure.Crashes(now)...)
	s.queue.crashes = nil
	for d, b := range s.banned {
		if !b.part {
			c.Banned = append(c.Banned, &wire.Ban{Digest: d[:], Tries: int32(b.trials)}) //nolint:gosec // A few.
		}
	}
	s.parts.addKnown(now, c)
	return c
}

// TakeCrashReports returns the queued reports and clears the queue.
func (g *Gate) TakeCrashReports() *wire.Crashes {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken, s.queue = s.queue, crashReports{}
	return s.taken.wire(time.Now())
}

// RequeueCrashReports puts the reports back that TakeCrashReports returned last. They could not be
// delivered.
func (g *Gate) RequeueCrashReports() {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.add(s.taken)
	g.reportSignal.notify()
}
