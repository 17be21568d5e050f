// Package poison finds requests that crash the upstreams that run them.
package poison

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const (
	// banAt is the number of upstreams that must have crashed under a request before it
	// is banned, and watchAt that before it is watched for a whole answer. All that runs
	// at an upstream is suspect when it crashes; what was there by chance is seldom
	// there again, and seldom without a whole answer in between.
	banAt   = 3
	watchAt = 2
	// settled is for how long reports of a crash come in. Only then is it known who else
	// was on the upstream.
	settled = 500 * time.Millisecond
	// mostCrashes bounds the crashes that are remembered of one request.
	mostCrashes = 16
	// mostTries is how often a banned request may be sent to see whether it is innocent,
	// once tryAfter has passed. What was banned by mistake is served again soon; what was
	// not crashes so many upstreams more and no others.
	mostTries = 1
	tryAfter  = 3 * time.Second
	// mostSuspects bounds the requests that are remembered.
	mostSuspects = 4096
)

type (
	// Poison counts crashes by request. Crashes form sets, so that it does not matter in
	// which order, how often and from whom they become known. The zero value is ready.
	Poison struct {
		suspects map[digest.Digest]*suspect
		revision uint64
	}

	suspect struct {
		crashes  []crash
		answered bool // An upstream ran it well before.
		first    time.Time
		last     time.Time
		banned   bool
		tries    int
		next     time.Time // When it may be tried.
	}

	crash struct {
		upstream string // Incarnation.
		at       time.Time
	}
)

// Crash notes that an incarnation of an upstream crashed while it ran a request, and
// whether that request was answered whole before. It reports whether the request is
// banned from now on.
func (p *Poison) Crash(now time.Time, d digest.Digest, upstream string, answered bool) bool {
	s := p.of(now, d)
	s.answered = s.answered || answered
	if s.on(upstream) || (!s.answered && len(s.crashes) >= banAt) {
		return false
	}
	if len(s.crashes) >= mostCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, crash{upstream, now})
	s.last = now
	if len(s.crashes) >= watchAt {
		p.revision++
	}
	if s.banned || p.counted(now, s) < banAt {
		return false
	}
	s.ban(now)
	return true
}

// counted is the number of crashes that count against a request. One that upstreams ran
// well before may be popular, and on each upstream when a whole pool crashes: those count
// that no request explains which never ran well and was there at several crashes.
func (p *Poison) counted(now time.Time, s *suspect) int {
	if !s.answered {
		return len(s.crashes)
	}
	n := 0
	for _, c := range s.crashes {
		if now.Sub(c.at) >= settled && !p.explained(c.upstream) {
			n++
		}
	}
	return n
}

func (p *Poison) explained(upstream string) bool {
	for _, s := range p.suspects {
		if !s.answered && len(s.crashes) >= watchAt && s.on(upstream) {
			return true
		}
	}
	return false
}

func (s *suspect) on(upstream string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.upstream == upstream })
}

func (s *suspect) ban(now time.Time) { s.banned, s.next = true, now.Add(tryAfter) }

// Ban notes that a request is banned elsewhere, and how often it was tried since.
func (p *Poison) Ban(now time.Time, d digest.Digest, tries int) {
	s := p.of(now, d)
	if s.banned && s.tries >= tries {
		return
	}
	if !s.banned {
		s.ban(now)
	}
	s.tries = max(s.tries, tries)
	p.revision++
}

// Try reports whether a banned request may be sent once.
func (p *Poison) Try(now time.Time, d digest.Digest) bool {
	s := p.suspects[d]
	if s == nil || !s.banned || s.tries >= mostTries || now.Before(s.next) {
		return false
	}
	s.tries++
	p.revision++
	return true
}

// Clear forgets the crashes of a request, and reports whether it was banned.
func (p *Poison) Clear(d digest.Digest) bool {
	s := p.suspects[d]
	if s == nil {
		return false
	}
	delete(p.suspects, d)
	if s.watched() {
		p.revision++
	}
	return s.banned
}

// Knows reports whether any crash of a request is known.
func (p *Poison) Knows(d digest.Digest) bool { return p.suspects[d] != nil }

// Banned reports whether a request must not be sent any more.
func (p *Poison) Banned(d digest.Digest) bool {
	s := p.suspects[d]
	return s != nil && s.banned
}

// Revision changes with each change of Bans.
func (p *Poison) Revision() uint64 { return p.revision }

// Bans lists the requests that are banned or watched.
func (p *Poison) Bans(now time.Time) *wire.Bans {
	list := &wire.Bans{Revision: p.revision}
	for d, s := range p.suspects {
		if s.banned {
			list.Banned = append(list.Banned, s.wire(now, d))
		}
		if s.watched() {
			list.Watched = append(list.Watched, &wire.Watched{Digest: d[:], AgeUs: now.Sub(s.first).Microseconds()})
		}
	}
	slices.SortFunc(list.Banned, func(a, b *wire.Ban) int { return slices.Compare(a.GetDigest(), b.GetDigest()) })
	slices.SortFunc(list.Watched, func(a, b *wire.Watched) int { return slices.Compare(a.GetDigest(), b.GetDigest()) })
	return list
}

// Crashes lists all that is known, for another Poison to Take.
func (p *Poison) Crashes(now time.Time) *wire.Crashes {
	list := &wire.Crashes{}
	for d, s := range p.suspects {
		if s.banned {
			list.Banned = append(list.Banned, s.wire(now, d))
		}
		for _, c := range s.crashes {
			list.Crashes = append(list.Crashes, &wire.Crash{Digest: d[:], Upstream: c.upstream, Answered: s.answered})
		}
	}
	return list
}

func (s *suspect) wire(now time.Time, d digest.Digest) *wire.Ban {
	b := &wire.Ban{Digest: d[:], Tries: int32(s.tries), NextUs: never} //nolint:gosec // Below mostTries.
	if s.tries < mostTries {
		b.NextUs = max(s.next.Sub(now), 0).Microseconds()
	}
	return b
}

// never is the time to the next try of what is not tried any more.
const never = -1

// Take adds what another one knows, and returns the requests that are banned or lifted
// because of it.
func (p *Poison) Take(now time.Time, c *wire.Crashes) (banned, lifted []digest.Digest) {
	for _, crash := range c.GetCrashes() {
		if d, ok := digest.From(crash.GetDigest()); ok && p.Crash(now, d, crash.GetUpstream(), crash.GetAnswered()) {
			banned = append(banned, d)
		}
	}
	for _, b := range c.GetBanned() {
		if d, ok := digest.From(b.GetDigest()); ok {
			p.Ban(now, d, int(b.GetTries()))
		}
	}
	for _, raw := range c.GetCleared() {
		if d, ok := digest.From(raw); ok && p.Clear(d) {
			lifted = append(lifted, d)
		}
	}
	return banned, lifted
}

func (s *suspect) watched() bool { return s.banned || len(s.crashes) >= watchAt }

func (p *Poison) of(now time.Time, d digest.Digest) *suspect {
	if p.suspects == nil {
		p.suspects = map[digest.Digest]*suspect{}
	}
	s := p.suspects[d]
	if s == nil {
		p.evict()
		s = &suspect{first: now, last: now}
		p.suspects[d] = s
	}
	return s
}

// evict makes room for one more. Those with the fewest crashes go first, and of these
// the ones whose last crash is longest ago: bans stay as long as anything else is there.
func (p *Poison) evict() {
	if len(p.suspects) < mostSuspects {
		return
	}
	var least digest.Digest
	var worst *suspect
	for d, s := range p.suspects {
		if worst == nil || s.compare(worst) < 0 {
			least, worst = d, s
		}
	}
	p.Clear(least)
}

func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(s.rank(), other.rank()), s.last.Compare(other.last))
}

func (s *suspect) rank() int {
	if s.banned {
		return mostCrashes + 1
	}
	return len(s.crashes)
}
