// Package canary decides how a rollout goes on. It compares the target version of a pool's
// upstreams with the base version, which serves the other requests at the same time, and says which
// share of the requests goes to the target version, and when the rollout completes or is rolled
// back.
//
// A version may turn bad at any moment: at once, later, under load only, or on one route only. So
// the share of the target version stays small for as long as the rollout's length allows. It then
// gets all requests while the upstreams of the base version still run, because only that shows how
// the target version behaves under the whole load. The rollout completes after that.
package canary

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"azurelane/core/wire"
)

const (
	// minTail and maxTail bound the time at the end of a rollout in which all requests go to the
	// target version. It has to cover the runs that still go on at upstreams of the base version,
	// which stop when the rollout completes.
	minTail      = 2400 * time.Millisecond
	maxTail      = 5 * time.Second
	tailFraction = 0.4 // Of the length, between these bounds.
	// fewRequests is the number of requests in the tail below which it is shortened; see tail.
	fewRequests = 400
	// minShift is how long the target version must have carried the whole load before the rollout
	// completes.
	minShift = 700 * time.Millisecond
	// endMargin is the fraction of the length before the deadline at which a rollout ends, whatever
	// still runs, between minEndMargin and maxEndMargin.
	endMargin    = 0.06
	minEndMargin = 400 * time.Millisecond
	maxEndMargin = 700 * time.Millisecond
	// rampTime is how long the target version gets rampShare of the requests before it gets all. A
	// version that fails under load shows it there at a quarter of the exposure.
	rampTime  = 300 * time.Millisecond
	rampShare = 0.25
	// reactionTime is how long it takes until entries stop sending to a version whose answers show
	// that it is bad: the interval of their reports, the next decision, and the way to the entries.
	reactionTime = 350 * time.Millisecond
	// reactionSamples is how many more answers it takes to tell that a version is bad where one in
	// twenty fails, and minCanary the number of requests that the canary phase may use although
	// too few are left for that.
	reactionSamples = 200
	minCanary       = 80
	// plannedShare and plannedSlack are the fractions of the exposure bounds that the canary phase
	// plans to use. The rest covers what is sent until a verdict has taken effect.
	plannedShare = 0.6
	plannedSlack = 0.5
	// maxShare bounds the share in the canary phase, so that pools with few requests do not spend
	// all of the slack at once.
	maxShare = 0.3
	// maxRouteShare bounds the share of one route. Routes with few requests get a larger share than
	// others, because a version may be bad on one route only.
	maxRouteShare = 0.5
	// provenShare bounds the share once the evidence speaks for the version. It is enough to notice
	// that the version turns bad, and saves exposure for the full shift.
	provenShare = 0.02
	// futureFraction is the part of the present request rate that is counted on for the rest of the
	// rollout.
	futureFraction = 0.8
	// minCapacity is the capacity of the target version, as a fraction of that of the base version,
	// below which it does not get all requests.
	minCapacity = 0.9
	// planInterval is the time over which the canary phase works off a difference between the
	// planned and the actual number of requests sent to the target version.
	planInterval = 500 * time.Millisecond
	// evidenceTimeout is how long a decision maker waits for the evidence of all entries after it
	// has taken over a rollout.
	evidenceTimeout = 1500 * time.Millisecond
)

// Limits bound the exposure of callers to a bad version.
type Limits struct {
	Share  float64       // Of the requests of the pool from the order to its deadline.
	Slack  float64       // Requests beyond that.
	Length time.Duration // From the order to its deadline.
}

// Situation is what a decision depends on besides the evidence.
type Situation struct {
	Phase          wire.Rollout_Phase
	Elapsed        time.Duration // Since the order.
	Entries        int           // Number of entries that may send requests.
	BaseCapacity   int64         // Slots of the serving upstreams of the base version.
	TargetCapacity int64
}

// Step is a decision.
type Step struct {
	Phase  wire.Rollout_Phase
	Cause  string             // Why the phase changes; empty if it stays.
	Share  float64            // Share of the requests that goes to the target version.
	Routes map[string]float64 // Shares of single routes that differ from Share.
	// Slow is the time after which an answer counts as slow, by route. Entries report requests that
	// wait longer before their answers come.
	Slow map[string]time.Duration
}

// Canary judges one rollout. Its exported fields must be set before use.
type Canary struct {
	Limits Limits

	entries      map[string]*entry // By incarnation.
	routes       map[string]*route
	all          test     // Failures of all routes, each against its own base.
	baseFailures failures // Of the base version, over all routes.
	allTimes     test     // Slow answers of all routes, each against its own base.
	total        int64    // Requests sent to either version.
	spent        int64    // Requests sent to the target version.
	backlog      int64    // Requests in the first reports of entries, which may cover any time.
	rate         float64  // Requests per second; zero while unknown.
	ratedAt      time.Duration
	ratedTotal   int64
	startedAt    time.Duration // Elapsed time at the first decision.
	started      bool
	shiftedAt    time.Duration // Elapsed time at which the target version first got requests in the shift.
	shifting     bool
	carries      bool // The target version gets all requests.
}

// entry is the newest evidence of one entry.
type entry struct {
	routes      map[routeKey]*wire.RouteEvidence
	baseRunning int64
	reports     int64
}

type routeKey struct {
	name   string
	target bool
}

// Record takes the evidence of one entry. Counts grow from the start of the rollout, so a report
// that is lost or arrives twice does no harm, and a decision maker that takes over gets all of
// them.
func (c *Canary) Record(incarnation string, ev *wire.RolloutEvidence) {
	if c.entries == nil {
		c.entries, c.routes = map[string]*entry{}, map[string]*route{}
	}
	e := c.entries[incarnation]
	if e == nil {
		e = &entry{routes: map[routeKey]*wire.RouteEvidence{}}
		c.entries[incarnation] = e
	}
	e.baseRunning, e.reports = ev.GetBaseRunning(), e.reports+1
	for _, target := range []bool{false, true} {
		for _, r := range ev.GetRoutes() {
			if r.GetTarget() != target {
				continue
			}
			k := routeKey{r.GetRoute(), target}
			if e.reports == 1 {
				c.backlog += r.GetSent()
			}
			c.add(k, e.routes[k], r)
			e.routes[k] = r
		}
	}
}

// add counts what is new in r against the evidence before it.
func (c *Canary) add(k routeKey, before, r *wire.RouteEvidence) {
	sent := r.GetSent() - before.GetSent()
	if sent < 0 {
		return // An older report that was delayed.
	}
	c.total += sent
	if k.target {
		c.spent += sent
	}
	rt := c.routes[k.name]
	if rt == nil {
		rt = &route{}
		c.routes[k.name] = rt
	}
	ended, failed := r.GetEnded()-before.GetEnded(), r.GetFailed()-before.GetFailed()
	rt.sent += sent
	if !k.target {
		m := c.memory(rt)
		rt.failures.addBase(ended, failed, m)
		c.baseFailures.addBase(ended, failed, memory{all: maxMemory})
		rt.times.addBase(before, r, m)
		return
	}
	base := rt.failures.base(&c.baseFailures)
	rt.failures.add(ended, failed, base, failureStep)
	c.all.pooled = true
	c.all.add(ended, failed, base, failureStep)
	for _, s := range rt.times.compare(newCounts(before, r)) {
		rt.times.add(s.answers, s.slow, s.base, slowStep)
		c.allTimes.add(s.answers, s.slow, s.base, slowStep)
	}
}

// memory returns how many of a route's answers from the base version count.
func (c *Canary) memory(rt *route) memory {
	rate := c.rate * float64(rt.sent) / float64(max(c.total, 1))
	return memory{all: min(max(memoryTime.Seconds()*rate, minMemory), maxMemory), recent: recentTime.Seconds() * rate}
}

// Decide returns the next step. It is called several times a second.
func (c *Canary) Decide(s Situation) Step {
	step := c.decide(s)
	step.Slow = make(map[string]time.Duration, len(c.routes))
	for name, r := range c.routes {
		step.Slow[name] = r.times.slowLimit()
	}
	return step
}

func (c *Canary) decide(s Situation) Step {
	if !c.started {
		c.started, c.startedAt, c.ratedAt, c.ratedTotal = true, s.Elapsed, s.Elapsed, c.total-c.backlog
	}
	c.updateRate(s.Elapsed)
	if cause := c.badCause(); cause != "" {
		return Step{Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: cause}
	}
	if !c.informed(s) {
		return Step{Phase: s.Phase}
	}
	if s.Phase == wire.Rollout_PHASE_SHIFT {
		return c.decideShift(s)
	}
	return c.decideCanary(s)
}

// informed reports whether the evidence of most entries is known. A decision maker that has just
// taken over must not send requests to a version that the entries may know to be bad.
func (c *Canary) informed(s Situation) bool {
	if s.Elapsed-c.startedAt >= evidenceTimeout {
		return true
	}
	n := 0
	for _, e := range c.entries {
		if e.reports > 0 {
			n++
		}
	}
	return n > 0 && n*10 >= s.Entries*9
}

// decideCanary decides while the target version gets a small share.
func (c *Canary) decideCanary(s Situation) Step {
	length := c.Limits.Length
	end := endOf(length)
	tail := c.tail(s.Elapsed)
	enough := s.TargetCapacity > 0 && float64(s.TargetCapacity) >= minCapacity*float64(s.BaseCapacity)
	ready := c.proven(acceptLimit) || (s.Elapsed >= length-tail*19/20 && c.plausible())
	switch {
	case s.Elapsed >= end && !enough:
		return Step{Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: "too few upstreams of the version at the deadline"}
	case s.Elapsed >= end:
		return Step{Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: "not enough evidence at the deadline: " + c.evidence()}
	case s.Elapsed >= length-tail && enough && ready && c.affordsShift(s):
		return Step{Phase: wire.Rollout_PHASE_SHIFT, Cause: "no worse than the base version", Share: rampShare}
	}
	step := Step{Phase: s.Phase}
	if s.TargetCapacity > 0 && c.rate > 0 {
		step.Share, step.Routes = c.shares(s)
	}
	return step
}

// tail returns how long before the deadline the target version gets all requests. Where a pool has
// few requests, it is short enough that a bad version stays within its bounds even if nothing
// shows that it is bad.
func (c *Canary) tail(elapsed time.Duration) time.Duration {
	tail := tailOf(c.Limits.Length)
	if c.rate <= 0 || c.rate*tail.Seconds() >= fewRequests {
		return tail
	}
	if t := time.Duration((c.allowed(elapsed) - float64(c.spent)) / c.rate * float64(time.Second)); t >= minTail/2 {
		return min(tail, max(t, minTail))
	}
	return tail
}

func tailOf(length time.Duration) time.Duration {
	return min(max(time.Duration(tailFraction*float64(length)), minTail), maxTail, length/2)
}

// endOf returns the elapsed time at which a rollout of the given length ends at the latest.
func endOf(length time.Duration) time.Duration {
	return length - min(max(time.Duration(endMargin*float64(length)), minEndMargin), maxEndMargin)
}

// decideShift decides while the target version gets all requests.
func (c *Canary) decideShift(s Situation) Step {
	if !c.shifting {
		c.shifting, c.shiftedAt = true, s.Elapsed
	}
	since := s.Elapsed - c.shiftedAt
	if since < rampTime {
		return Step{Phase: s.Phase, Share: rampShare}
	}
	if !c.carries {
		c.carries = true
		c.restartTests() // What counts now is how the version behaves under the whole load.
	}
	end := endOf(c.Limits.Length)
	carried := since >= rampTime+minShift
	step := Step{Phase: s.Phase, Share: 1}
	switch {
	case s.Elapsed >= end && !carried:
		step = Step{Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: "the version did not carry the whole load for long enough"}
	case carried && c.drained() && c.proven(shiftAcceptLimit), s.Elapsed >= end && c.plausible():
		step = Step{Phase: wire.Rollout_PHASE_COMPLETED, Cause: "no worse than the base version under the whole load", Share: 1}
	case s.Elapsed >= end:
		step = Step{Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: "the version seems worse at the deadline"}
	}
	return step
}

// drained reports whether no entry has a request at an upstream of the base version.
func (c *Canary) drained() bool {
	for _, e := range c.entries {
		if e.baseRunning > 0 {
			return false
		}
	}
	return true
}

// Forget drops the running requests of an entry that is gone. Its counts stay.
func (c *Canary) Forget(incarnation string) {
	if e := c.entries[incarnation]; e != nil {
		e.baseRunning = 0
	}
}

// updateRate estimates the requests per second of the pool. The first report of each entry does not
// count: after a takeover it holds all requests since the order.
func (c *Canary) updateRate(elapsed time.Duration) {
	const first, window = 200 * time.Millisecond, time.Second
	total := c.total - c.backlog
	switch d := elapsed - c.ratedAt; {
	case d >= window:
		c.rate = float64(total-c.ratedTotal) / d.Seconds()
		c.ratedAt, c.ratedTotal = elapsed, total
	case d >= first && c.ratedTotal == 0:
		c.rate = float64(total) / d.Seconds()
	}
}

// allowed estimates how many requests the target version may get until the deadline.
func (c *Canary) allowed(elapsed time.Duration) float64 {
	left := max(c.Limits.Length-elapsed, 0).Seconds()
	return c.Limits.Share*(float64(c.total)+futureFraction*c.rate*left) + c.Limits.Slack
}

// shiftExposure is the number of requests that a version which turns bad under the whole load gets
// until entries stop sending to it, if its first answers show that it is bad.
func (c *Canary) shiftExposure() float64 {
	seconds := reactionTime.Seconds() + rampShare*rampTime.Seconds()
	for _, r := range c.routes {
		seconds += r.times.slowLimit().Seconds() * float64(r.sent) / float64(max(c.total, 1))
	}
	return c.rate * seconds
}

// affordsShift reports whether a full shift stays within the exposure bounds if the version turns
// bad under the whole load.
func (c *Canary) affordsShift(s Situation) bool {
	return float64(c.spent)+c.shiftExposure() <= c.allowed(s.Elapsed)
}

// shares returns the share of the target version in the canary phase, and those of single routes.
func (c *Canary) shares(s Situation) (float64, map[string]float64) {
	planned := plannedShare*c.Limits.Share*float64(c.total) + plannedSlack*c.Limits.Slack
	rest := c.allowed(s.Elapsed) - c.shiftExposure()
	planned = min(planned, max(rest-reactionSamples, min(rest, minCanary)))
	if c.suspected() { // Without more answers, a score that chance has raised stays until the deadline.
		planned = min(planned+reactionSamples, rest)
	}
	more := planned - float64(c.spent)
	if more <= 0 {
		return 0, nil
	}
	perInterval := max(c.rate*planInterval.Seconds(), 1)
	base := min(more/perInterval+plannedShare*c.Limits.Share, maxShare)
	if c.proven(acceptLimit) {
		base = min(base, provenShare)
	}
	if s.BaseCapacity > 0 {
		base = min(base, float64(s.TargetCapacity)/float64(s.BaseCapacity))
	}
	if c.total == 0 || len(c.routes) < 2 {
		return base, nil
	}
	// Each route gets the same number of requests, as far as its share allows.
	shares, perRoute := map[string]float64{}, base*float64(c.total)/float64(len(c.routes))
	for name, r := range c.routes {
		shares[name] = min(perRoute/max(float64(r.sent), 1), maxRouteShare)
	}
	return base, shares
}

// suspected reports whether the evidence of a route speaks against the target version, but not enough
// for a rollback.
func (c *Canary) suspected() bool {
	for _, r := range c.routes {
		if r.failures.score >= suspicionLimit || r.times.score >= suspicionLimit {
			return true
		}
	}
	return false
}

// badCause says why the target version counts as bad; it is empty if it does not.
func (c *Canary) badCause() string {
	for _, name := range slices.Sorted(maps.Keys(c.routes)) {
		r := c.routes[name]
		if r.failures.bad() {
			return fmt.Sprintf("route %s fails: %s", name, r.failures.String())
		}
		if r.times.bad() {
			return fmt.Sprintf("route %s is slow: %s", name, r.times.String())
		}
	}
	switch {
	case c.all.bad():
		return "all routes together fail: " + c.all.String()
	case c.allTimes.bad():
		return "all routes together are slow: " + c.allTimes.String()
	}
	return ""
}

// proven reports whether the evidence of each route speaks for the target version.
func (c *Canary) proven(limit float64) bool {
	for _, r := range c.routes {
		if r.sent > 0 && (!r.failures.good(limit) || !r.times.good(limit)) {
			return false
		}
	}
	return c.total > 0
}

// plausible reports whether no evidence speaks against the target version, and there is some. That
// is enough near the deadline, for routes with few requests.
func (c *Canary) plausible() bool {
	return !c.suspected() && c.all.answers >= minAnswers && c.all.score < suspicionLimit && c.allTimes.score < suspicionLimit
}

func (c *Canary) restartTests() {
	c.all.restart()
	c.allTimes.restart()
	for _, r := range c.routes {
		r.failures.restart()
		r.times.restart()
	}
}

// evidence describes what is known, for logs.
func (c *Canary) evidence() string {
	list := []string{fmt.Sprintf("failures %s; slow answers %s", c.all.String(), c.allTimes.String())}
	for _, name := range slices.Sorted(maps.Keys(c.routes)) {
		if r := c.routes[name]; !r.failures.good(acceptLimit) || !r.times.good(acceptLimit) {
			list = append(list, fmt.Sprintf("route %s: failures %s; slow answers %s", name, r.failures.String(), r.times.String()))
		}
	}
	return strings.Join(list, "; ")
}

// Counts returns the requests sent to the target version and to both.
func (c *Canary) Counts() (target, total int64) { return c.spent, c.total }
