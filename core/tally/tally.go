// Package tally counts what one entry sees of the versions of a pool's upstreams while a rollout
// runs. Package canary judges the counts of all entries.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"azurelane/core/canary"
	"azurelane/core/wire"
)

type (
	// Tally holds the counts of one entry and its sends in progress. The zero value is ready.
	Tally struct {
		pools map[string]*pool
	}

	// Send is one send in progress.
	Send struct {
		key     key
		number  uint64 // Of the rollout at its start; zero for none.
		pool    string
		version string
		class   int32
		at      time.Time
		timed   bool // Its time has been counted.
	}

	// Result says how a send ended.
	Result struct {
		Counts bool          // The result says something about the version.
		Failed bool          // The upstream failed the request.
		Time   time.Duration // Until the first event, or until the complete answer of other requests; zero for none.
	}

	pool struct {
		split   *wire.Split
		since   time.Time // When the entry learned of the split's rollout.
		running map[*Send]struct{}
		routes  map[key]*counts
		slow    map[string]time.Duration // By route.
	}

	key struct {
		route  string
		target bool
	}

	counts struct {
		sent, ended, failed int64
		times               map[int32][]int64 // Buckets by size class.
	}
)

// SetSplits takes the splits in force. The counts of a pool start anew with each rollout, and are
// dropped when none runs.
func (t *Tally) SetSplits(now time.Time, splits []*wire.Split) {
	for _, s := range splits {
		p := t.pool(s.GetPool())
		if p.split.GetNumber() != s.GetNumber() {
			p.since = now
		}
		if !s.GetReporting() || p.split.GetNumber() != s.GetNumber() {
			p.routes = nil
		}
		p.split, p.slow = s, map[string]time.Duration{}
		for _, r := range s.GetShares() {
			p.slow[r.GetRoute()] = time.Duration(r.GetSlowUs()) * time.Microsecond
		}
	}
}

func (t *Tally) pool(name string) *pool {
	if t.pools == nil {
		t.pools = map[string]*pool{}
	}
	p := t.pools[name]
	if p == nil {
		p = &pool{running: map[*Send]struct{}{}}
		t.pools[name] = p
	}
	return p
}

// Begin counts a send to an upstream of the given version.
func (t *Tally) Begin(now time.Time, poolName, route, version string, promptTokens int64) *Send {
	p := t.pool(poolName)
	s := &Send{pool: poolName, version: version, class: canary.SizeClass(promptTokens), at: now}
	p.running[s] = struct{}{}
	if !p.split.GetReporting() || (version != p.split.GetTo() && version != p.split.GetBase()) {
		return s
	}
	s.number, s.key = p.split.GetNumber(), key{route, version == p.split.GetTo()}
	p.counts(s.key).sent++
	return s
}

func (p *pool) counts(k key) *counts {
	if p.routes == nil {
		p.routes = map[key]*counts{}
	}
	c := p.routes[k]
	if c == nil {
		c = &counts{times: map[int32][]int64{}}
		p.routes[k] = c
	}
	return c
}

// End counts how a send ended.
func (t *Tally) End(s *Send, r Result) {
	p := t.pool(s.pool)
	delete(p.running, s)
	if s.number == 0 || p.split.GetNumber() != s.number || !p.split.GetReporting() || !r.Counts {
		return
	}
	c := p.counts(s.key)
	c.ended++
	if r.Failed {
		c.failed++
	} else if r.Time > 0 {
		c.addTime(s, r.Time)
	}
}

// Started counts the time until the first event of a stream, which goes on.
func (t *Tally) Started(s *Send, after time.Duration) {
	if p := t.pool(s.pool); s.number != 0 && p.split.GetNumber() == s.number && p.split.GetReporting() {
		p.counts(s.key).addTime(s, after)
	}
}

// addTime counts the time of a send once.
func (c *counts) addTime(s *Send, d time.Duration) {
	if s.timed {
		return
	}
	s.timed = true
	if c.times[s.class] == nil {
		c.times[s.class] = make([]int64, canary.Buckets)
	}
	c.times[s.class][canary.Bucket(d)]++
}

// Evidence returns the counts of each pool with a running rollout. Sends that have waited for
// longer than the pool's slow time are counted with the time that they have waited.
func (t *Tally) Evidence(now time.Time) []*wire.RolloutEvidence {
	var list []*wire.RolloutEvidence
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		p := t.pools[name]
		if !p.split.GetReporting() {
			continue
		}
		ev := &wire.RolloutEvidence{Pool: name, Number: p.split.GetNumber(), AgeUs: now.Sub(p.since).Microseconds()}
		for s := range p.running {
			if s.version != p.split.GetTo() {
				ev.BaseRunning++
			}
			slow := p.slow[s.key.route]
			if age := now.Sub(s.at); s.number == p.split.GetNumber() && !s.timed && slow > 0 && age > slow {
				p.counts(s.key).addTime(s, age)
			}
		}
		for k, c := range p.routes {
			ev.Routes = append(ev.Routes, c.evidence(k))
		}
		slices.SortFunc(ev.GetRoutes(), func(a, b *wire.RouteEvidence) int {
			return cmp.Or(cmp.Compare(a.GetRoute(), b.GetRoute()), cmp.Compare(bit(a.GetTarget()), bit(b.GetTarget())))
		})
		list = append(list, ev)
	}
	return list
}

func bit(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func (c *counts) evidence(k key) *wire.RouteEvidence {
	r := &wire.RouteEvidence{Route: k.route, Target: k.target, Sent: c.sent, Ended: c.ended, Failed: c.failed}
	for _, class := range slices.Sorted(maps.Keys(c.times)) {
		r.Times = append(r.Times, &wire.TimeCounts{SizeClass: class, Counts: slices.Clone(c.times[class])})
	}
	return r
}
