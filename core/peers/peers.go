// Package peers chooses among upstreams by the observations of a single entry. Entries use it for
// plain services, and for all pools while no scheduler answers.
package peers

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/meter"
	"azurelane/core/wire"
)

type (
	// Peers holds an entry's observations of upstreams. The zero value is ready.
	Peers struct {
		stats       map[string]*upstreamStats
		dataCentres map[string]*dataCentre
	}

	upstreamStats struct {
		running             int
		latency             time.Duration // Of successes, and of failures that took longer; smoothed.
		failureRate         float64       // Share of the responses that were failures, smoothed.
		skipped             int           // Requests sent to other upstreams since its last response.
		consecutiveFailures int           // Sends without a response.
		excludedUntil       time.Time     // Used only if there is no other until then.
		lastComplete        time.Time     // When it last sent a complete response.
		lastUsed            time.Time
		load                Load
		loadReportedAt      time.Time
		meter               meter.Meter // Enforces the request rate that it announced.
	}

	// Load is the load that an upstream reports in its responses, in requests.
	Load struct {
		Running, Waiting, Slots int
		// Pace is how long work currently takes there, 100 for the usual time; 0 if it is not stated.
		Pace float64
	}

	// Choice holds the conditions for the choice of an upstream.
	Choice struct {
		Self       string // Name of this entry.
		DataCentre string // Data centre of this entry; it never counts as cut off.
		Avoid      []string
		Silent     map[string]bool // Upstreams that control has not heard from lately.
		// Unreached holds the data centres that control takes for cut off. Isolated means that
		// the entry's own data centre is cut off from all others.
		Unreached  map[string]bool
		Isolated   bool
		MaxRunning int // Most requests of this entry that may run on one upstream; 0 for no limit.
		// Version is the version of upstreams that may run the request; empty for any. An upstream
		// that names no version counts as being of it.
		Version string
		// Bound means that only upstreams which name Version may run the request, or only those
		// which name none if Version is empty.
		Bound bool
	}
)

const (
	learningRate = 0.1
	// halfLifeRequests is the number of requests sent elsewhere after which an observation of an
	// upstream has half its weight. It counts requests, not time, so that an entry with few
	// requests does not spend most of them on upstreams that stay slow.
	halfLifeRequests = 32
	// unknownLatency is the longest latency that is expected of an upstream without observations.
	unknownLatency = 20 * time.Millisecond
	// remoteCost is added to the cost of upstreams in other data centres, for the round trip and
	// for the price of the traffic.
	remoteCost     = 4 * time.Millisecond
	failurePenalty = 6 // Multiples of its latency that are added for an upstream that always fails.
	minExclusion   = 500 * time.Millisecond
	maxExclusion   = 8 * time.Second
	// servedTrust is how long a complete response outweighs that control does not hear from an
	// upstream.
	servedTrust = 2 * time.Second
	// loadFreshness is how long a reported load is used. reservedSlots are the reported free slots
	// that are left to other entries.
	loadFreshness  = 300 * time.Millisecond
	reservedSlots  = 1
	forgetAfter    = time.Minute
	sweepThreshold = 1024      // Number of upstreams above which unused ones are dropped.
	lastResortCost = time.Hour // Of an upstream that is used only if there is no other.
)

func (p *Peers) getOrCreate(id string) *upstreamStats {
	if p.stats == nil {
		p.stats = map[string]*upstreamStats{}
	}
	e := p.stats[id]
	if e == nil {
		e = &upstreamStats{}
		p.stats[id] = e
	}
	return e
}

// Pick returns the upstream where a request is expected to complete first, or nil. Upstreams that
// fail or are silent are used only if there is no other. Upstreams of a data centre that seems cut
// off get only an occasional trial request.
func (p *Peers) Pick(now time.Time, list []*wire.Upstream, c Choice) *wire.Upstream {
	var best *wire.Upstream
	var least time.Duration
	var nearest uint64
	fastest := p.fastest(list)
	for _, u := range list {
		if !c.accepts(u.GetVersion()) {
			continue
		}
		e := p.getOrCreate(u.GetId())
		if !p.allows(now, u, e, c) {
			continue
		}
		e.skipped++
		cost := e.cost(u.GetSlots(), fastest)
		if u.GetDataCentre() != c.DataCentre {
			cost += remoteCost
		}
		if now.Before(e.excludedUntil) || (c.Silent[u.GetId()] && now.Sub(e.lastComplete) > servedTrust) {
			cost += lastResortCost
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
		p.recordTrial(now, best.GetDataCentre(), &c)
	}
	return best
}

// fastest returns the lowest expected latency among the upstreams that have responded, or zero if
// none has.
func (p *Peers) fastest(list []*wire.Upstream) time.Duration {
	var least time.Duration
	for _, u := range list {
		if l := p.getOrCreate(u.GetId()).expectedLatency(); l > 0 && (least == 0 || l < least) {
			least = l
		}
	}
	return least
}

// allows reports whether a request may be sent to an upstream.
func (p *Peers) allows(now time.Time, u *wire.Upstream, e *upstreamStats, c Choice) bool {
	switch {
	case !p.allowsDataCentre(now, u.GetDataCentre(), &c), contains(c.Avoid, u.GetId()), !e.meter.CanSend(now):
		return false
	case c.MaxRunning > 0:
		return !e.isFull(now) && (e.running < c.MaxRunning || e.hasRoom(now))
	}
	return true
}

// accepts reports whether upstreams of a version may run the request.
func (c *Choice) accepts(version string) bool {
	return version == c.Version || (!c.Bound && (c.Version == "" || version == ""))
}

// distance orders upstreams of equal cost, differently for each entry. After the loss of a
// scheduler, no entry has observations of any engine. With the same order everywhere, the next
// request of each of 81 entries went to the same engine with four slots.
func (c *Choice) distance(u *wire.Upstream) uint64 {
	return xxhash.Sum64String(c.Self + u.GetId())
}

// RecordLoad records the load that an upstream reports.
func (p *Peers) RecordLoad(now time.Time, id string, l Load) {
	e := p.getOrCreate(id)
	e.load, e.loadReportedAt = l, now
}

// hasRoom reports whether the upstream has just reported free slots. While the network is
// partitioned, few entries share an upstream, and their equal shares would leave most of it unused.
// One additional request for each report that shows free slots fills the upstream without
// overloading it.
func (e *upstreamStats) hasRoom(now time.Time) bool {
	return now.Sub(e.loadReportedAt) < loadFreshness && e.load.Waiting == 0 && e.load.Running+reservedSlots < e.load.Slots
}

// isFull reports whether the upstream has just reported that no slot is free. Other entries use its
// slots as well.
func (e *upstreamStats) isFull(now time.Time) bool {
	return now.Sub(e.loadReportedAt) < loadFreshness && e.load.Slots > 0 && e.load.Running >= e.load.Slots
}

// cost returns the expected latency of a request, which grows with the running requests. An
// upstream without observations is expected to be like the fastest, and observations fade towards
// that: an upstream that seems slow gets no requests, so only their responses could show that it
// has recovered.
func (e *upstreamStats) cost(slots int64, fastest time.Duration) time.Duration {
	if fastest == 0 {
		fastest = unknownLatency
	}
	l := fastest + time.Duration(e.weight()*float64(e.expectedLatency()-fastest))
	switch {
	case e.latency == 0 && e.failureRate == 0:
		l = min(fastest, unknownLatency)
	case e.latency == 0: // It has failed only, which does not show how long a success takes.
		l = fastest + time.Duration(e.weight()*float64(e.penalize(fastest)-fastest))
	}
	load := 1 + float64(e.running)/float64(max(slots, 1))*2
	return time.Duration(float64(l) * load)
}

// expectedLatency returns the latency of an idle upstream by its responses, with a penalty for
// failures.
func (e *upstreamStats) expectedLatency() time.Duration { return e.penalize(e.latency) }

// penalize adds the penalty for failures to a latency.
func (e *upstreamStats) penalize(latency time.Duration) time.Duration {
	return time.Duration(float64(latency) * (1 + failurePenalty*e.failureRate))
}

// weight returns the weight of the observations, at most 1.
func (e *upstreamStats) weight() float64 { return math.Exp2(-float64(e.skipped) / halfLifeRequests) }

// Limit limits this entry to a share of the requests per second that an upstream accepts.
func (p *Peers) Limit(now time.Time, id string, rate, share float64) {
	e := p.getOrCreate(id)
	e.meter.SetLimit(now, rate, share)
	e.lastUsed = now
}

// Unlimit removes the limit of an upstream.
func (p *Peers) Unlimit(id string) {
	if e := p.stats[id]; e != nil {
		e.meter.Unlimit()
	}
}

// Wait returns the shortest time until the rate limit of an upstream allows a request, or zero if no
// rate limit delays one.
func (p *Peers) Wait(now time.Time, list []*wire.Upstream) time.Duration {
	least := time.Duration(0)
	for _, u := range list {
		if w := p.getOrCreate(u.GetId()).meter.Wait(now); w > 0 && (least == 0 || w < least) {
			least = w
		}
	}
	return least
}

// Begin records that a request is sent.
func (p *Peers) Begin(now time.Time, id string) {
	e := p.getOrCreate(id)
	e.meter.Take(now)
	e.running++
	e.load.Running++
	e.lastUsed = now
	if len(p.stats) > sweepThreshold {
		p.sweep(now)
	}
}

// End records the end of a request: whether the upstream responded, and whether the response was a
// success.
func (p *Peers) End(now time.Time, id string, took time.Duration, answered, good bool) {
	e := p.getOrCreate(id)
	e.running = max(e.running-1, 0)
	if !answered {
		e.consecutiveFailures++
		e.excludedUntil = now.Add(min(minExclusion<<min(e.consecutiveFailures-1, 5), maxExclusion))
		return
	}
	e.consecutiveFailures, e.excludedUntil = 0, time.Time{}
	bad := 1.0
	if good {
		bad, e.lastComplete = 0, now
	}
	// Observations that have faded are replaced faster.
	rate := 1 - (1-learningRate)*e.weight()
	e.skipped = 0
	e.failureRate += rate * (bad - e.failureRate)
	switch {
	case good && e.latency == 0:
		e.latency = took
	case good || (e.latency > 0 && took > e.latency): // A quick failure does not make it fast.
		e.latency += time.Duration(rate * float64(took-e.latency))
	}
}

// Drop records the end of a request that says nothing about the upstream, such as one that did not
// run.
func (p *Peers) Drop(id string) {
	e := p.getOrCreate(id)
	e.running = max(e.running-1, 0)
}

func (p *Peers) sweep(now time.Time) {
	for id, e := range p.stats {
		if _, limited := e.meter.Rate(); !limited && e.running == 0 && now.Sub(e.lastUsed) > forgetAfter {
			delete(p.stats, id)
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
