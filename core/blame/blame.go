// Package blame finds parts of prompts that crash the upstreams that answer them, and bans them.
//
// A part is bad if each upstream that begins to answer a prompt with it crashes, whatever else the
// prompt holds. So at each crash the bad part is in some request that ran there and had no answer yet,
// and no request with it is answered anywhere. Other parts of those requests, and those of requests that
// ran beside them, are told apart by answers to other requests that hold them.
package blame

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const (
	// banThreshold is the number of crashes after which a part is banned. They must have happened one
	// after the other, to different requests: what ran at several upstreams that crashed together is
	// known to have been at one crash only, and a request that crashes upstreams as a whole is banned
	// by itself.
	banThreshold = 3
	// noisyThreshold is the same where at least as many other upstreams crashed within noiseWindow
	// without the part: it was more likely at some of the crashes by chance.
	noisyThreshold = 4
	noiseWindow    = 10 * time.Second
	// SettleTime is how long after a crash the entries have reported all requests that ran there.
	SettleTime = 200 * time.Millisecond
	// reportRetention is how long a crash counts. An answer does as long, as crashes before it may be
	// reported late, or again to a new scheduler.
	reportRetention = 10 * time.Minute
	maxReports      = 512
	maxCleared      = 512
	maxBans         = 256
	// maxUpstreams is the number of upstreams that are named with a ban.
	maxUpstreams = 8
)

// trialDelays are the times after a ban, or after the trial before, at which a request with a banned part
// may be sent once. A part that was banned by mistake is soon served again, and so is one that a new
// version of the upstreams can answer. A part that stays bad crashes one upstream a trial.
var trialDelays = []time.Duration{3 * time.Second, time.Minute}

type (
	// Blame holds reports of crashes. Reports are a set, so the result does not depend on their order,
	// number or sender. The zero value is ready to use.
	Blame struct {
		reports  []report
		cleared  map[digest.Digest]time.Time // When the latest request with a part was sent that was answered.
		bans     map[digest.Digest]*ban
		watched  map[digest.Digest]time.Time // First crash of the parts that entries report answers to.
		revision uint64
	}

	// report is a request that ran without an answer on an upstream that crashed.
	report struct {
		request  digest.Digest
		upstream string // Its incarnation.
		account  string
		sent, at time.Time // Of the request and of the crash.
		parts    []part
	}

	part struct {
		key  digest.Digest
		name string
	}

	ban struct {
		account, name string
		with          []digest.Digest // A request is banned if it holds these too; sorted.
		upstreams     []string
		since         time.Time // Latest crash that led to it.
		tries         int
		nextTrial     time.Time
	}

	// suspect is what the reports say of one part.
	suspect struct {
		part
		account string
		crashes map[string]span // By upstream.
		first   time.Time
		with    []digest.Digest // Parts in all requests that hold this one, itself included; sorted.
	}

	// span is when the requests with a part ran on an upstream that crashed: from when the first of them
	// was sent until the crash.
	span struct {
		sent, at time.Time
		request  digest.Digest
	}
)

// Key identifies a part of an account's prompts. Names are the callers' own, so the same name means
// different parts to different accounts.
func Key(account, name string) digest.Digest { return digest.Of(account, "", "", []byte(name)) }

// Merge adds what another process reports, and returns the parts whose bans are lifted by it. Evaluate
// applies the rest.
func (b *Blame) Merge(now time.Time, c *wire.Crashes) (lifted []digest.Digest) {
	for _, crash := range c.GetCrashes() {
		b.add(now, crash)
	}
	for _, n := range c.GetBanned() {
		b.RecordBan(now, n)
	}
	for _, a := range c.GetAnswered() {
		key, ok := digest.From(a.GetKey())
		if ok && b.Clear(key, now.Add(-micros(a.GetAgeUs()))) {
			lifted = append(lifted, key)
		}
	}
	return lifted
}

// Record adds a request that ran on an upstream that crashed. A request that had an answer before the
// crash, or has no parts, changes nothing.
func (b *Blame) Record(now time.Time, c *wire.Crash) {
	b.add(now, c)
	b.Refresh(now)
}

func (b *Blame) add(now time.Time, c *wire.Crash) {
	request, ok := digest.From(c.GetDigest())
	if !ok || len(c.GetParts()) == 0 {
		return
	}
	if slices.ContainsFunc(b.reports, func(r report) bool { return r.request == request && r.upstream == c.GetUpstream() }) {
		return
	}
	at := now.Add(-micros(c.GetAgeUs()))
	r := report{request: request, upstream: c.GetUpstream(), account: c.GetAccount(), sent: at.Add(-micros(c.GetRunUs())), at: at}
	for _, p := range c.GetParts() {
		if key, ok := digest.From(p.GetKey()); ok {
			r.parts = append(r.parts, part{key, p.GetName()})
		}
	}
	if len(b.reports) >= maxReports {
		b.reports = slices.Delete(b.reports, 0, 1)
	}
	b.reports = append(b.reports, r)
}

// Clear records that an upstream answered a request with a part, sent at the given time, and reports
// whether this lifts a ban. Crashes before that time say nothing about the part; later ones may come from
// another version of the upstreams.
func (b *Blame) Clear(key digest.Digest, sent time.Time) (lifted bool) {
	if !sent.After(b.cleared[key]) {
		return false
	}
	if b.cleared == nil {
		b.cleared = map[digest.Digest]time.Time{}
	}
	b.cleared[key] = sent
	n := b.bans[key]
	if n == nil || !sent.After(n.since) {
		return false
	}
	delete(b.bans, key)
	b.revision++
	return true
}

// Lift removes the ban of a part and what is known against it.
func (b *Blame) Lift(now time.Time, key digest.Digest) bool {
	lifted := b.Clear(key, now)
	b.Refresh(now)
	return lifted
}

// Evaluate bans the parts that are now known to be bad, and returns them. It considers crashes that are
// SettleTime old.
func (b *Blame) Evaluate(now time.Time) (banned []digest.Digest) {
	suspects := b.suspects()
	keys := slices.SortedFunc(maps.Keys(suspects), digest.Digest.Compare)
	for _, key := range keys {
		s := suspects[key]
		if n := b.bans[key]; n != nil {
			b.narrow(n, s.common(now, suspects))
			continue
		}
		if !s.proven(now, b.threshold(s)) || s.explained(now, suspects) {
			continue
		}
		with := s.common(now, suspects)
		if b.bannedAlike(key, with) {
			continue
		}
		b.addBan(key, &ban{account: s.account, name: s.name, with: with, upstreams: s.upstreams(), since: s.last(), nextTrial: now.Add(trialDelays[0])})
		banned = append(banned, key)
	}
	b.Refresh(now)
	return banned
}

// threshold returns the number of crashes after which a part is banned.
func (b *Blame) threshold(s *suspect) int {
	others, from := map[string]struct{}{}, s.last().Add(-noiseWindow)
	for _, r := range b.reports {
		if _, ok := s.crashes[r.upstream]; !ok && r.at.After(from) {
			others[r.upstream] = struct{}{}
		}
	}
	if len(others) >= banThreshold {
		return noisyThreshold
	}
	return banThreshold
}

// narrow updates the parts that a request must hold to be banned. Parts that were answered since are no
// longer among them.
func (b *Blame) narrow(n *ban, with []digest.Digest) {
	if len(with) < len(n.with) {
		n.with = with
		b.revision++
	}
}

// bannedAlike reports whether the same requests are banned already for another part that they hold.
func (b *Blame) bannedAlike(key digest.Digest, with []digest.Digest) bool {
	for other, n := range b.bans {
		if slices.Contains(with, other) && slices.Contains(n.with, key) {
			return true
		}
	}
	return false
}

func (b *Blame) addBan(key digest.Digest, n *ban) {
	if b.bans == nil {
		b.bans = map[digest.Digest]*ban{}
	}
	if len(b.bans) >= maxBans {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(b.bans)), func(x, y digest.Digest) int {
			return b.bans[x].since.Compare(b.bans[y].since)
		})
		delete(b.bans, oldest)
	}
	b.bans[key] = n
	b.revision++
}

// RecordBan records that another process has banned a part, and the number of trials since.
func (b *Blame) RecordBan(now time.Time, n *wire.Ban) {
	key, ok := digest.From(n.GetDigest())
	if !ok || n.GetPart() == nil {
		return
	}
	tries := int(n.GetTries())
	if old := b.bans[key]; old != nil {
		if tries > old.tries {
			old.tries, old.nextTrial = tries, now.Add(trialDelay(tries))
			b.revision++
		}
		b.narrow(old, digests(n.GetPart().GetWith()))
		return
	}
	add := &ban{
		account: n.GetPart().GetAccount(), name: n.GetPart().GetName(), upstreams: n.GetPart().GetUpstreams(),
		since: now.Add(-micros(n.GetPart().GetAgeUs())), tries: tries, nextTrial: now.Add(trialDelay(tries)),
		with: digests(n.GetPart().GetWith()),
	}
	if add.since.After(b.cleared[key]) {
		b.addBan(key, add)
	}
}

// digests converts a list of digests, without those that are malformed.
func digests(list [][]byte) []digest.Digest {
	var all []digest.Digest
	for _, raw := range list {
		if d, ok := digest.From(raw); ok {
			all = append(all, d)
		}
	}
	return all
}

func trialDelay(tries int) time.Duration { return trialDelays[min(tries, len(trialDelays)-1)] }

// Try reports whether a request with a banned part may be sent as a trial now, and counts the trial.
func (b *Blame) Try(now time.Time, key digest.Digest) bool {
	n := b.bans[key]
	if n == nil || n.tries >= len(trialDelays) || now.Before(n.nextTrial) {
		return false
	}
	n.tries++
	n.nextTrial = now.Add(trialDelay(n.tries))
	b.revision++
	return true
}

// Banned reports whether a part is banned.
func (b *Blame) Banned(key digest.Digest) bool { return b.bans[key] != nil }

// Refuses returns the banned part because of which a request with these parts is refused.
func (b *Blame) Refuses(keys []digest.Digest) (key digest.Digest, ok bool) {
	for _, k := range keys {
		if n := b.bans[k]; n != nil && n.matches(keys) {
			return k, true
		}
	}
	return key, false
}

func (n *ban) matches(keys []digest.Digest) bool {
	return !slices.ContainsFunc(n.with, func(d digest.Digest) bool { return !slices.Contains(keys, d) })
}

// Name returns the name of a banned part, as the caller gave it.
func (b *Blame) Name(key digest.Digest) string {
	if n := b.bans[key]; n != nil {
		return n.name
	}
	return ""
}

// Watching reports whether anything is known of any part.
func (b *Blame) Watching() bool { return len(b.reports)+len(b.bans) > 0 }

// Knows reports whether a crash of a request with the part is recorded, and the time of the first one.
func (b *Blame) Knows(key digest.Digest) (first time.Time, ok bool) {
	for _, r := range b.reports {
		if r.holds(key) && (!ok || r.at.Before(first)) {
			first, ok = r.at, true
		}
	}
	return first, ok
}

// Revision returns a number that grows with each change of the bans and of the parts to watch.
func (b *Blame) Revision() uint64 { return b.revision }

// Bans lists the banned parts, and the parts of which entries report answers.
func (b *Blame) Bans(now time.Time) (banned []*wire.Ban, watched []*wire.Watched) {
	for key, n := range b.bans {
		banned = append(banned, n.wire(now, key))
	}
	for key, first := range b.watched {
		watched = append(watched, &wire.Watched{Digest: key[:], AgeUs: now.Sub(first).Microseconds()})
	}
	slices.SortFunc(banned, func(x, y *wire.Ban) int { return bytes.Compare(x.GetDigest(), y.GetDigest()) })
	slices.SortFunc(watched, func(x, y *wire.Watched) int { return bytes.Compare(x.GetDigest(), y.GetDigest()) })
	return banned, watched
}

func (n *ban) wire(now time.Time, key digest.Digest) *wire.Ban {
	w := &wire.Ban{Digest: key[:], Tries: int32(n.tries), NextUs: noTrial, Part: &wire.PartBan{ //nolint:gosec // A few.
		Account: n.account, Name: n.name, Upstreams: n.upstreams, AgeUs: now.Sub(n.since).Microseconds(),
	}}
	for _, d := range n.with {
		w.Part.With = append(w.Part.With, d[:])
	}
	if n.tries < len(trialDelays) {
		w.NextUs = max(n.nextTrial.Sub(now), 0).Microseconds()
	}
	return w
}

// noTrial stands for the time until the next trial if there will be none.
const noTrial = -1

// Crashes returns all that is known, for Merge.
func (b *Blame) Crashes(now time.Time) *wire.Crashes {
	b.forget(now)
	c := &wire.Crashes{}
	for _, r := range b.reports {
		crash := &wire.Crash{
			Digest: r.request[:], Upstream: r.upstream, Account: r.account,
			AgeUs: now.Sub(r.at).Microseconds(), RunUs: r.at.Sub(r.sent).Microseconds(),
		}
		for _, p := range r.parts {
			crash.Parts = append(crash.Parts, &wire.CrashPart{Key: p.key[:], Name: p.name})
		}
		c.Crashes = append(c.Crashes, crash)
	}
	for key, sent := range b.cleared {
		c.Answered = append(c.Answered, &wire.AnsweredPart{Key: key[:], AgeUs: now.Sub(sent).Microseconds()})
	}
	c.Banned, _ = b.Bans(now)
	return c
}

// Refresh drops what no longer counts, and updates the parts to watch.
func (b *Blame) Refresh(now time.Time) {
	b.forget(now)
	watched := map[digest.Digest]time.Time{}
	for key, s := range b.suspects() {
		watched[key] = s.first
	}
	for key, n := range b.bans {
		if _, ok := watched[key]; !ok {
			watched[key] = n.since
		}
	}
	if !maps.EqualFunc(b.watched, watched, func(_, _ time.Time) bool { return true }) {
		b.revision++
	}
	b.watched = watched
}

// forget drops what no longer counts. A report whose parts were all answered since only shows how often
// upstreams crash.
func (b *Blame) forget(now time.Time) {
	b.reports = slices.DeleteFunc(b.reports, func(r report) bool {
		age := now.Sub(r.at)
		return age > reportRetention || (age > noiseWindow && !slices.ContainsFunc(r.parts, func(p part) bool { return r.at.After(b.cleared[p.key]) }))
	})
	maps.DeleteFunc(b.cleared, func(_ digest.Digest, sent time.Time) bool { return now.Sub(sent) > reportRetention })
	for len(b.cleared) > maxCleared {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(b.cleared)), func(x, y digest.Digest) int {
			return b.cleared[x].Compare(b.cleared[y])
		})
		delete(b.cleared, oldest)
	}
}

// suspects returns what the reports say of each part that was not answered since.
func (b *Blame) suspects() map[digest.Digest]*suspect {
	all := map[digest.Digest]*suspect{}
	for _, r := range b.reports {
		for _, p := range r.parts {
			if !r.at.After(b.cleared[p.key]) {
				continue
			}
			s := all[p.key]
			if s == nil {
				s = &suspect{part: p, account: r.account, crashes: map[string]span{}, first: r.at, with: r.keys()}
				all[p.key] = s
			}
			s.add(r)
		}
	}
	return all
}

func (r *report) holds(key digest.Digest) bool {
	return slices.ContainsFunc(r.parts, func(p part) bool { return p.key == key })
}

func (r *report) keys() []digest.Digest {
	keys := make([]digest.Digest, 0, len(r.parts))
	for _, p := range r.parts {
		keys = append(keys, p.key)
	}
	slices.SortFunc(keys, digest.Digest.Compare)
	return slices.Compact(keys)
}

func (s *suspect) add(r report) {
	s.with = slices.DeleteFunc(s.with, func(d digest.Digest) bool { return !r.holds(d) })
	if r.at.Before(s.first) {
		s.first = r.at
	}
	c, ok := s.crashes[r.upstream]
	if !ok {
		c = span{r.sent, r.at, r.request}
	}
	if r.sent.Before(c.sent) {
		c.sent = r.sent
	}
	s.crashes[r.upstream] = c
}

// proven reports whether enough crashes happened one after the other, to different requests.
func (s *suspect) proven(now time.Time, threshold int) bool {
	spans := slices.SortedFunc(maps.Values(s.crashes), func(x, y span) int {
		return cmp.Or(x.at.Compare(y.at), x.request.Compare(y.request))
	})
	var last time.Time
	var requests []digest.Digest
	for _, c := range spans {
		if now.Sub(c.at) < SettleTime || !c.sent.After(last) || slices.Contains(requests, c.request) {
			continue
		}
		last, requests = c.at, append(requests, c.request)
	}
	return len(requests) >= threshold
}

// explained reports whether another part was at all crashes of this one and may be the bad one. The next
// answer or the next crash tells them apart. A part that all requests with this one hold is no other
// explanation: the ban names both.
func (s *suspect) explained(now time.Time, suspects map[digest.Digest]*suspect) bool {
	for key, o := range suspects {
		if key != s.key && !slices.Contains(s.with, key) && o.covers(now, s) {
			return true
		}
	}
	return false
}

// last returns the time of the latest crash.
func (s *suspect) last() time.Time {
	last := s.first
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// covers reports whether a part was at all settled crashes of another one.
func (s *suspect) covers(now time.Time, o *suspect) bool {
	for up, c := range o.crashes {
		if _, ok := s.crashes[up]; !ok && now.Sub(c.at) >= SettleTime {
			return false
		}
	}
	return true
}

// common returns the other parts that were in all requests with this one and were not answered since.
func (s *suspect) common(now time.Time, suspects map[digest.Digest]*suspect) []digest.Digest {
	var list []digest.Digest
	for _, d := range s.with {
		if o := suspects[d]; d != s.key && o != nil && o.covers(now, s) {
			list = append(list, d)
		}
	}
	return list
}

// upstreams names the latest upstreams that crashed.
func (s *suspect) upstreams() []string {
	names := slices.SortedFunc(maps.Keys(s.crashes), func(x, y string) int {
		return cmp.Or(s.crashes[x].at.Compare(s.crashes[y].at), cmp.Compare(x, y))
	})
	return names[max(len(names)-maxUpstreams, 0):]
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
