package gate

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/digest"
	"azurelane/core/poison"
	"azurelane/core/recent"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

type (
	// suspects is what an entry knows of requests that crash upstreams. Its scheduler
	// brings together what all entries saw. The zero value is ready.
	suspects struct {
		mu      sync.Mutex
		seen    poison.Poison               // Crashes at this entry.
		banned  map[digest.Digest]ban       // By the scheduler.
		watched map[digest.Digest]time.Time // By the scheduler; a whole answer since then clears it.
		whole   recent.Recent
		unsent  wire.Crashes // Not reported yet.
	}

	// ban is a request that is not sent any more.
	ban struct {
		tries int
		next  time.Time // When the scheduler may be asked to let it be tried; zero for never.
	}

	// trier asks the scheduler for leave to send a banned request once.
	trier interface {
		Try(ctx context.Context, d digest.Digest) error
	}

	// prober tells whether a process still listens at an address.
	prober interface {
		Closed(ctx context.Context, addr netip.AddrPort) bool
	}
)

// suspect notes a request whose run broke off because its upstream crashed. A cut link,
// a broken answer or a reset connection look alike at first, but the upstream still
// takes connections then, or nothing comes back from it at all.
func (q *request) suspect(p *place, res result) {
	if res.end != broken || errors.Is(res.err, errQuiet) || errors.Is(res.err, errDeadline) {
		return
	}
	addr, err := netip.ParseAddrPort(p.up.GetAddress())
	if err != nil {
		return // What was sent to went by another form of address.
	}
	g, d, id, up := q.gate, q.digest(), q.meta.ID, q.incarnation(p)
	ctx := context.WithoutCancel(q.r.Context())
	look := func() {
		if !g.Prober.Closed(ctx, addr) {
			return
		}
		g.Log.Info("Upstream crashed under a request.", "request", id, "digest", d.String(), "upstream", up, "address", addr.String())
		g.Stats.Count("crashes-seen", 1)
		g.suspects.crash(time.Now(), d, up)
		g.reports.notify()
	}
	if !q.route.Repeatable() {
		go look() // Its caller need not wait for what concerns the next copy alone.
		return
	}
	look()
}

// incarnation names the process of an upstream, which may come back under the same id.
func (q *request) incarnation(p *place) string {
	id := p.up.GetId()
	if born := max(p.up.GetBorn(), q.view.Upstream(id).GetBorn()); born > 0 {
		return id + "@" + strconv.FormatInt(born, 10)
	}
	return id
}

// refusedAs returns the refusal of a request that is banned, nil for all others.
func (q *request) refusedAs(ctx context.Context) *refuse.Error {
	d := q.digest()
	if !q.gate.suspects.has(d, q.gate.Cluster.View().Owner == nil) {
		return nil
	}
	if q.gate.suspects.due(time.Now(), d) {
		err := q.gate.Trier.Try(ctx, d)
		if err == nil {
			q.trying = true
			return nil
		}
		q.gate.Log.V(1).Info("Banned request is not tried.", "digest", d.String(), "err", err.Error())
	}
	return refuse.New(refuse.Crashes, "upstreams crashed under it before; its digest is "+q.digest().String(), 0)
}

// has reports whether a request is banned. What this entry saw by itself decides only
// while it is alone: the scheduler knows who else was at the upstreams that crashed.
func (s *suspects) has(d digest.Digest, alone bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.banned[d]
	return ok || (alone && s.seen.Banned(d))
}

// due reports whether the scheduler is to be asked to let a banned request be tried. It
// is asked once by each entry; its next list tells when it may be again.
func (s *suspects) due(now time.Time, d digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.banned[d]
	if b.next.IsZero() || now.Before(b.next) {
		return false
	}
	b.next = time.Time{}
	s.banned[d] = b
	return true
}

func (s *suspects) crash(now time.Time, d digest.Digest, upstream string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := s.whole.Has(d)
	s.seen.Crash(now, d, upstream, answered)
	s.unsent.Crashes = append(s.unsent.Crashes, &wire.Crash{Digest: d[:], Upstream: upstream, Answered: answered})
}

// answered notes a whole answer. What an upstream has run to its end does not crash
// each one that runs it.
func (g *Gate) answered(now time.Time, d digest.Digest) {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole.Add(now, d)
	if _, ok := s.watched[d]; ok || s.seen.Knows(d) {
		s.clear(d)
		g.reports.notify()
	}
}

// clear notes and reports that a request is innocent. The lock is held.
func (s *suspects) clear(d digest.Digest) {
	s.seen.Clear(d)
	delete(s.watched, d) // One report is enough.
	s.unsent.Cleared = append(s.unsent.Cleared, d[:])
}

// SetBans takes the scheduler's list. What it no longer lists was lifted, unless the
// scheduler is another one than before: that one may not have heard of it yet.
func (g *Gate) SetBans(list *wire.Bans, other bool) {
	now, s := time.Now(), &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	watched := s.watched
	s.banned, s.watched = map[digest.Digest]ban{}, map[digest.Digest]time.Time{}
	for _, b := range list.GetBanned() {
		d, ok := digest.From(b.GetDigest())
		if !ok {
			continue
		}
		it := ban{tries: int(b.GetTries())}
		if b.GetNextUs() >= 0 {
			it.next = now.Add(time.Duration(b.GetNextUs()) * time.Microsecond)
		}
		s.banned[d] = it
	}
	for _, w := range list.GetWatched() {
		if d, ok := digest.From(w.GetDigest()); ok {
			s.watched[d] = now.Add(-time.Duration(w.GetAgeUs()) * time.Microsecond)
		}
	}
	if !other {
		s.lift(now, watched)
	}
	for d, since := range s.watched {
		if s.whole.Since(since, d) {
			s.clear(d)
			g.reports.notify()
		}
	}
}

// lift forgets the crashes of requests that the scheduler watched, and of those that this
// entry has banned by itself, where the list of now has them no longer. The lock is held.
func (s *suspects) lift(now time.Time, watched map[digest.Digest]time.Time) {
	for d := range watched {
		if _, ok := s.watched[d]; !ok {
			s.seen.Clear(d)
		}
	}
	for _, b := range s.seen.Bans(now).GetBanned() {
		d, _ := digest.From(b.GetDigest())
		if _, ok := s.banned[d]; !ok {
			s.seen.Clear(d)
		}
	}
}

// KnownCrashes is all that this entry knows, for a scheduler that is new to it.
func (g *Gate) KnownCrashes() *wire.Crashes {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.seen.Crashes(time.Now())
	s.unsent.Crashes = nil
	for d, b := range s.banned {
		c.Banned = append(c.Banned, &wire.Ban{Digest: d[:], Tries: int32(b.tries)}) //nolint:gosec // A few.
	}
	return c
}

// TakeCrashReports takes what is to be reported.
func (g *Gate) TakeCrashReports() *wire.Crashes {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &wire.Crashes{Crashes: s.unsent.GetCrashes(), Cleared: s.unsent.GetCleared()}
	s.unsent.Crashes, s.unsent.Cleared = nil, nil
	return c
}

// RequeueCrashReports takes back what could not be reported.
func (g *Gate) RequeueCrashReports(c *wire.Crashes) {
	s := &g.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsent.Crashes = append(s.unsent.Crashes, c.GetCrashes()...)
	s.unsent.Cleared = append(s.unsent.Cleared, c.GetCleared()...)
	g.reports.notify()
}
