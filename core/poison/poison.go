// Package poison detects requests that crash the upstreams that run them, and bans them.
package poison

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const (
	// banThreshold is the number of upstreams that must crash while they run a request before it is
	// banned, and watchThreshold the number before entries report complete answers to it. When an
	// upstream crashes, all requests that it runs are suspects. A request that ran there by chance
	// is unlikely to be there at further crashes without a complete answer in between.
	banThreshold   = 3
	watchThreshold = 2
	// reportDelay is the time after a crash within which the entries report it. Only after that are
	// all requests known that ran on the upstream.
	reportDelay = 500 * time.Millisecond
	// maxCrashes is the number of crashes that are kept for one request.
	maxCrashes = 16
	// maxTries is the number of trials of a banned request, the first of them trialDelay after the
	// ban. A request that was banned by mistake is soon served again. Any other crashes at most
	// maxTries more upstreams.
	maxTries   = 1
	trialDelay = 3 * time.Second
	// maxSuspects is the number of requests for which crashes are kept.
	maxSuspects = 4096
)

type (
	// Poison counts crashes by request. Crashes are sets, so the result does not depend on the
	// order, the number or the sender of the reports. The zero value is ready to use.
	Poison struct {
		suspects map[digest.Digest]*suspect
		revision uint64
	}

	suspect struct {
		crashes   []crash
		answered  bool // An upstream has answered it completely before.
		first     time.Time
		last      time.Time
		banned    bool
		tries     int
		nextTrial time.Time // Earliest time of the next trial.
	}

	crash struct {
		upstream string // Its incarnation.
		at       time.Time
	}
)

// RecordCrash records that an incarnation of an upstream crashed while it ran a request, and whether
// the request has been answered completely before. It reports whether this bans the request.
func (p *Poison) RecordCrash(now time.Time, d digest.Digest, upstream string, answered bool) bool {
	s := p.getOrCreate(now, d)
	s.answered = s.answered || answered
	if s.crashed(upstream) || (!s.answered && len(s.crashes) >= banThreshold) {
		return false
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, crash{upstream, now})
	s.last = now
	if len(s.crashes) >= watchThreshold {
		p.revision++
	}
	if s.banned || p.countCrashes(now, s) < banThreshold {
		return false
	}
	s.ban(now)
	return true
}

// countCrashes returns the number of crashes that count against a request. A request that has been
// answered before may simply be frequent, and so run on every upstream when a whole pool crashes.
// For such a request, crashes don't count that are explained by another suspect: one that has never
// been answered and was present at several crashes.
func (p *Poison) countCrashes(now time.Time, s *suspect) int {
	if !s.answered {
		return len(s.crashes)
	}
	n := 0
	for _, c := range s.crashes {
		if now.Sub(c.at) >= reportDelay && !p.explained(c.upstream) {
			n++
		}
	}
	return n
}

// explained reports whether a suspect that has never been answered accounts for a crash.
func (p *Poison) explained(upstream string) bool {
	for _, s := range p.suspects {
		if !s.answered && len(s.crashes) >= watchThreshold && s.crashed(upstream) {
			return true
		}
	}
	return false
}

func (s *suspect) crashed(upstream string) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.upstream == upstream })
}

func (s *suspect) ban(now time.Time) { s.banned, s.nextTrial = true, now.Add(trialDelay) }

// RecordBan records that another process has banned a request, and the number of trials since.
func (p *Poison) RecordBan(now time.Time, d digest.Digest, tries int) {
	s := p.getOrCreate(now, d)
	if s.banned && s.tries >= tries {
		return
	}
	if !s.banned {
		s.ban(now)
	}
	s.tries = max(s.tries, tries)
	p.revision++
}

// Try reports whether a banned request may be sent as a trial now, and counts the trial.
func (p *Poison) Try(now time.Time, d digest.Digest) bool {
	s := p.suspects[d]
	if s == nil || !s.banned || s.tries >= maxTries || now.Before(s.nextTrial) {
		return false
	}
	s.tries++
	p.revision++
	return true
}

// Clear removes the crashes of a request and reports whether it was banned.
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

// Knows reports whether a crash of the request is recorded.
func (p *Poison) Knows(d digest.Digest) bool { return p.suspects[d] != nil }

// Banned reports whether a request is banned.
func (p *Poison) Banned(d digest.Digest) bool {
	s := p.suspects[d]
	return s != nil && s.banned
}

// Revision returns a number that grows with each change of Bans.
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

// Crashes returns all recorded crashes and bans, for Merge.
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
	b := &wire.Ban{Digest: d[:], Tries: int32(s.tries), NextUs: noTrial} //nolint:gosec // Below mostTries.
	if s.tries < maxTries {
		b.NextUs = max(s.nextTrial.Sub(now), 0).Microseconds()
	}
	return b
}

// noTrial stands for the time until the next trial if there will be none.
const noTrial = -1

// Merge adds the crashes and bans of another process. It returns the requests that are banned because
// of them, and those whose bans are lifted.
func (p *Poison) Merge(now time.Time, c *wire.Crashes) (banned, lifted []digest.Digest) {
	for _, crash := range c.GetCrashes() {
		if d, ok := digest.From(crash.GetDigest()); ok && p.RecordCrash(now, d, crash.GetUpstream(), crash.GetAnswered()) {
			banned = append(banned, d)
		}
	}
	for _, b := range c.GetBanned() {
		if d, ok := digest.From(b.GetDigest()); ok {
			p.RecordBan(now, d, int(b.GetTries()))
		}
	}
	for _, raw := range c.GetCleared() {
		if d, ok := digest.From(raw); ok && p.Clear(d) {
			lifted = append(lifted, d)
		}
	}
	return banned, lifted
}

func (s *suspect) watched() bool { return s.banned || len(s.crashes) >= watchThreshold }

func (p *Poison) getOrCreate(now time.Time, d digest.Digest) *suspect {
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

// evict drops one request if maxSuspects are kept: the one with the fewest crashes, and among those
// the one whose last crash is the oldest. Banned requests are dropped last.
func (p *Poison) evict() {
	if len(p.suspects) < maxSuspects {
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
		return maxCrashes + 1
	}
	return len(s.crashes)
}
