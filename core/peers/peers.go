// Package peers chooses among upstreams by what one entry has seen of them
// itself: for plain services, and for all while no scheduler answers.
package peers

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/meter"
	"azurelane/core/wire"
)

type (
	// Peers holds what was seen of upstreams. The zero value is ready.
	Peers struct {
		seen    map[string]*peer
		centres map[string]*centre
	}

	peer struct {
		running int
		latency time.Duration // Of answers, smoothed.
		errors  float64       // Part of the answers that were failures, smoothed.
		passed  int           // Requests that went elsewhere since its last answer.
		fails   int           // In a row, without an answer.
		out     time.Time     // Left out until then.
		served  time.Time     // Last whole answer.
		used    time.Time
		load    Load
		loadAt  time.Time
		meter   meter.Meter // Of the limit that it names.
	}

	// Load is what an upstream says of itself.
	Load struct {
		Running, Waiting, Slots int
	}

	// Choice says what is wanted of an upstream.
	Choice struct {
		Self   string // Name of this entry.
		Centre string // Data centre of this entry, which is never doubted.
		Avoid  []string
		Silent map[string]bool // Upstreams that control does not hear.
		// Unreached are data centres that seem cut off, and Isolated says that this
		// entry's own does, so that all others are.
		Unreached map[string]bool
		Isolated  bool
		Most      int // Requests of this entry that may run on one; 0 for any.
		// Version is the version of upstreams that may run the request; empty for any. An upstream
		// that names no version counts as being of it.
		Version string
	}
)

const (
	learnRate = 0.1
	// fadeAfter is the number of requests that go elsewhere after which what was seen of an
	// upstream counts half. Counted in requests, so that entries with few of them do not
	// spend most on upstreams that stay slow.
	fadeAfter = 32
	// firstLatency is the most that an upstream is expected to take which was not seen yet.
	firstLatency = 20 * time.Millisecond
	// abroadCost is what an upstream of another data centre must be better by:
	// the way there and back, and the price of the bytes between them.
	abroadCost  = 4 * time.Millisecond
	errorFactor = 6 // An upstream that fails always seems so many times slower, and once more.
	firstOut    = 500 * time.Millisecond
	mostOut     = 8 * time.Second
	// trust is how long an answer shows that an upstream serves which control
	// does not hear.
	trust = 2 * time.Second
	// freshLoad is how long what an upstream says of its load counts, and
	// spareSlots the places that are left to others then.
	freshLoad  = 300 * time.Millisecond
	spareSlots = 1
	forget     = time.Minute
	sweepAt    = 1024 // Upstreams that are remembered before old ones are forgotten.
	lastWays   = time.Hour
)

func (p *Peers) of(id string) *peer {
	if p.seen == nil {
		p.seen = map[string]*peer{}
	}
	e := p.seen[id]
	if e == nil {
		e = &peer{}
		p.seen[id] = e
	}
	return e
}

// Pick returns the upstream where a request is expected to end first, or nil.
// Upstreams that fail or are silent are taken only when there is no other, and
// those of a data centre that seems cut off not even then, but for a trial.
func (p *Peers) Pick(now time.Time, list []*wire.Upstream, c Choice) *wire.Upstream {
	var best *wire.Upstream
	var least time.Duration
	var nearest uint64
	fastest := p.fastest(list)
	for _, u := range list {
		if c.Version != "" && u.GetVersion() != "" && u.GetVersion() != c.Version {
			continue
		}
		e := p.of(u.GetId())
		if !p.allows(now, u, e, c) {
			continue
		}
		e.passed++
		cost := e.cost(u.GetSlots(), fastest)
		if u.GetDataCentre() != c.Centre {
			cost += abroadCost
		}
		if now.Before(e.out) || (c.Silent[u.GetId()] && now.Sub(e.served) > trust) {
			cost += lastWays
		}
		if best != nil && cost > least {
			continue
		}
		far := c.distance(u)
		if best == nil || cost < least || far < nearest {
			best, least, nearest = u, cost, far
		}
	}
	if best != nil {
		p.tried(now, best.GetDataCentre(), &c)
	}
	return best
}

// fastest is the least that a request is expected to take at an idle upstream by its answers,
// or zero where none has answered.
func (p *Peers) fastest(list []*wire.Upstream) time.Duration {
	var least time.Duration
	for _, u := range list {
		if l := p.of(u.GetId()).seen(); l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least
}

// allows reports whether a request may go to an upstream at all.
func (p *Peers) allows(now time.Time, u *wire.Upstream, e *peer, c Choice) bool {
	switch {
	case !p.mayTry(now, u.GetDataCentre(), &c), contains(c.Avoid, u.GetId()), !e.meter.CanSend(now):
		return false
	case c.Most > 0:
		return !e.full(now) && (e.running < c.Most || e.room(now))
	}
	return true
}

// distance orders upstreams that seem alike, for each entry in another way. When a
// scheduler is lost no entry has seen any engine itself: in one order for all, the
// next request of each of 81 entries went to the same engine of four places.
func (c *Choice) distance(u *wire.Upstream) uint64 {
	return xxhash.Sum64String(c.Self + u.GetId())
}

// Told notes what an upstream says of its load.
func (p *Peers) Told(now time.Time, id string, l Load) {
	e := p.of(id)
	e.load, e.loadAt = l, now
}

// room reports whether the upstream has just said that places are free. Behind
// a cut few entries share an upstream, and each would leave most of it unused by
// its share alone; one more for each answer that says so fills it and stops by
// itself.
func (e *peer) room(now time.Time) bool {
	return now.Sub(e.loadAt) < freshLoad && e.load.Waiting == 0 && e.load.Running+spareSlots < e.load.Slots
}

// full reports whether the upstream has just said that none of its places is
// free: others place requests there, too.
func (e *peer) full(now time.Time) bool {
	return now.Sub(e.loadAt) < freshLoad && e.load.Slots > 0 && e.load.Running >= e.load.Slots
}

// cost is how long a request is expected to take. An upstream that was not seen is expected
// to be like the fastest, and what was seen fades towards that: an upstream gets nothing
// while others seem better, and only its answers could tell that it is well again.
func (e *peer) cost(slots int64, fastest time.Duration) time.Duration {
	l := fastest + time.Duration(e.weight()*float64(e.seen()-fastest))
	switch {
	case fastest == 0:
		l = firstLatency
	case e.latency == 0:
		l = min(fastest, firstLatency)
	}
	load := 1 + float64(e.running)/float64(max(slots, 1))*2
	return time.Duration(float64(l) * load)
}

// seen is how long a request is expected to take at an idle upstream by its answers.
func (e *peer) seen() time.Duration {
	return time.Duration(float64(e.latency) * (1 + errorFactor*e.errors))
}

// weight is how much of what was seen counts, at most 1.
func (e *peer) weight() float64 { return math.Exp2(-float64(e.passed) / fadeAfter) }

// Limit holds this entry to a share of the requests a second that an upstream takes.
func (p *Peers) Limit(now time.Time, id string, rate, share float64) {
	e := p.of(id)
	e.meter.SetLimit(now, rate, share)
	e.used = now
}

// Unlimit ends the limit of an upstream.
func (p *Peers) Unlimit(id string) {
	if e := p.seen[id]; e != nil {
		e.meter.Unlimit()
	}
}

// Wait is the time until the limit of some upstream lets a request pass; zero where none
// holds one back.
func (p *Peers) Wait(now time.Time, list []*wire.Upstream) time.Duration {
	least := time.Duration(0)
	for _, u := range list {
		if w := p.of(u.GetId()).meter.Wait(now); w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// Begin notes that a request is sent.
func (p *Peers) Begin(now time.Time, id string) {
	e := p.of(id)
	e.meter.Take(now)
	e.running++
	e.load.Running++
	e.used = now
	if len(p.seen) > sweepAt {
		p.sweep(now)
	}
}

// End notes how a request ended: answered says that an answer came, good that
// it was no failure.
func (p *Peers) End(now time.Time, id string, took time.Duration, answered, good bool) {
	e := p.of(id)
	e.running = max(e.running-1, 0)
	if !answered {
		e.fails++
		e.out = now.Add(min(firstOut<<min(e.fails-1, 5), mostOut))
		return
	}
	e.fails, e.out = 0, time.Time{}
	bad := 1.0
	if good {
		bad, e.served = 0, now
	}
	// What has faded gives way to what is seen now.
	rate := 1 - (1-learnRate)*e.weight()
	e.passed = 0
	e.errors += rate * (bad - e.errors)
	if e.latency == 0 {
		e.latency = took
	}
	e.latency += time.Duration(rate * float64(took-e.latency))
}

// Drop notes that a request was not run after all, and tells nothing.
func (p *Peers) Drop(id string) {
	e := p.of(id)
	e.running = max(e.running-1, 0)
}

func (p *Peers) sweep(now time.Time) {
	for id, e := range p.seen {
		if _, limited := e.meter.Rate(); !limited && e.running == 0 && now.Sub(e.used) > forget {
			delete(p.seen, id)
		}
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
