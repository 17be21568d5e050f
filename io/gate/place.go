package gate

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/budget"
	"azurelane/core/peers"
	"azurelane/core/refuse"
	"azurelane/core/reqage"
	"azurelane/core/wire"
	"azurelane/io/grant"
)

const (
	// livenessCheckAfter is how long a ticket waits before the entry checks whether the scheduler
	// is alive. Most tickets are decided within milliseconds.
	livenessCheckAfter = 60 * time.Millisecond
	// localOvercommit is the factor by which all entries together may exceed an upstream's slots
	// while each entry places requests without a scheduler. Each entry may use this multiple of an
	// equal share of the slots. With a factor of 1, slots would stay unused whenever the requests
	// are unevenly spread over the entries.
	localOvercommit = 1.5
	// maxLocalWait is the longest time that a request waits for a scheduler or for capacity while
	// no scheduler answers. A request waits for at most 1/localWaitDivisor of the time left until
	// its objective. A new scheduler is usually known within half a second. Without the wait, all
	// requests that were waiting at a lost scheduler would be refused at the same instant.
	maxLocalWait     = 500 * time.Millisecond
	localWaitDivisor = 2
	// maxOriginWait is the same for a stream that goes on. Its caller would otherwise lose the events
	// that it has, and most new schedulers know within this time at which version the stream began.
	maxOriginWait     = time.Second
	localPollInterval = 15 * time.Millisecond // Between two checks for a scheduler or for capacity.
	// schedulerWait is how long a request waits for another scheduler before this entry places the
	// request itself, with little knowledge of the upstreams. A data centre that is cut off from
	// the others finds its own scheduler within this time, and most newly elected leaders are found
	// within it too.
	schedulerWait = 150 * time.Millisecond
	// budgetFraction is the fraction of the deployment's retry limit that entries use, so that
	// retries stay within the limit when the requests are unevenly spread over the entries.
	budgetFraction = 0.7
	// minRetryBurst is the number of retries that an entry may always make at once.
	minRetryBurst   = 2
	maxRetryAfter   = 4 * time.Second        // Longest Retry-After for a rate limit.
	localRetryAfter = 700 * time.Millisecond // Retry-After while this entry places requests itself.
)

// placement is the permission to send a request to one upstream.
type placement struct {
	request  *request
	upstream *wire.Upstream
	ticket   *wire.Ticket
	grant    *wire.Grant // Nil if this entry chose the upstream itself.
	// takenAt is since when the slot is taken for a run that continues at the upstream; zero for other runs.
	takenAt time.Time
}

// placeOnce finds an upstream for the request. While no scheduler answers, a request that finds no
// capacity polls for it until placementWait has passed.
func (q *request) placeOnce(ctx context.Context) (*placement, error) {
	var until time.Time
	waited, hadScheduler := false, false
	for {
		q.view = q.gate.Cluster.View()
		pool := q.view.Index.Pool(q.pool)
		scheduled := q.gate.scheduled(q.pool, pool.Slots)
		if scheduled && q.view.Owner != nil {
			p, err := q.requestGrant(ctx)
			if !errors.Is(err, grant.ErrNoOwner) {
				return p, err
			}
			q.view, hadScheduler = q.gate.Cluster.View(), true
		}
		if scheduled && !waited {
			waited = true
			if q.awaitScheduler(ctx, q.schedulerWait(hadScheduler)) {
				continue
			}
		}
		p, err := q.chargeAndPlace(ctx, pool.Slots)
		if err == nil || !q.mayPlaceLater(err, pool.Slots) {
			return p, err
		}
		if until.IsZero() {
			until = time.Now().Add(q.placementWait())
		}
		if !q.pollWait(ctx, until) {
			return nil, err
		}
	}
}

// mayPlaceLater reports whether a request that this entry could not place itself may be placed soon.
func (q *request) mayPlaceLater(err error, slots int64) bool {
	return !isVersionGone(err) && (slots > 0 || q.mayLearnOrigin(err))
}

// schedulerWait returns how long the request waits for another scheduler before this entry places it. One of a
// pool that defers plain requests does not wait, unless its ticket waited at a scheduler that has ended. If it
// was deferred there, it waits for a part of its time: hundreds of such requests would otherwise be sent at
// once, and servers would refuse most of them.
func (q *request) schedulerWait(hadScheduler bool) time.Duration {
	wait := min(schedulerWait, q.placementWait())
	switch {
	case !q.gate.defers(q.pool):
		return wait
	case !hadScheduler:
		return 0
	case q.route.Objective > 0 && q.sinceFirstTry+time.Since(q.start) >= q.route.Objective:
		return q.remaining() / localWaitDivisor
	}
	return wait
}

// awaitScheduler waits for a scheduler and reports whether one is known.
func (q *request) awaitScheduler(ctx context.Context, wait time.Duration) bool {
	until := time.Now().Add(wait)
	for q.gate.Cluster.View().Owner == nil {
		if !q.pollWait(ctx, until) {
			return false
		}
	}
	return true
}

// placementWait returns how long the request may wait for a scheduler or for capacity.
func (q *request) placementWait() time.Duration {
	if q.origin.goesOn {
		return min(maxOriginWait, q.remaining()/localWaitDivisor)
	}
	if q.route.Objective <= 0 {
		return min(maxLocalWait, q.remaining()/localWaitDivisor)
	}
	return min(maxLocalWait, (q.route.Objective-q.sinceFirstTry-time.Since(q.start))/localWaitDivisor)
}

// pollWait waits for localPollInterval, or until the given time if that is sooner. It reports
// whether the request may poll again.
func (q *request) pollWait(ctx context.Context, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, localPollInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// checkLiveness checks whether the scheduler is alive each time that livenessCheckAfter has passed,
// until the returned function is called.
func (q *request) checkLiveness(ctx context.Context) (stop func()) {
	var mu sync.Mutex // Guards timer, whose function may run before it is assigned, and stopped.
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(livenessCheckAfter, func() {
		q.gate.Cluster.Doubt(ctx)
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(livenessCheckAfter)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// requestGrant asks the scheduler for a slot.
func (q *request) requestGrant(ctx context.Context) (*placement, error) {
	t := q.ticket()
	q.origin.describe(t)
	stop := q.checkLiveness(ctx)
	g, err := q.gate.Granter.Grant(ctx, t)
	stop()
	if err != nil {
		q.gate.recordLimited(q, err)
		return nil, err
	}
	q.gate.mu.Lock()
	q.gate.chargeAccount(time.Now(), q, true)
	q.gate.mu.Unlock()
	q.origin.granted(g)
	return &placement{request: q, ticket: t, grant: g, upstream: &wire.Upstream{Id: g.GetUpstream(), Address: g.GetAddress(), Version: g.GetVersion()}}, nil
}

// chargeAndPlace charges the request, where the scheduler has to be asked, and picks an upstream.
func (q *request) chargeAndPlace(ctx context.Context, slots int64) (*placement, error) {
	if err := q.findOrigin(ctx); err != nil {
		return nil, err
	}
	if err := q.chargePlain(ctx, slots); err != nil {
		return nil, err
	}
	p, err := q.placeLocally(ctx, slots)
	if err != nil && q.charged {
		q.gate.keepPrepaid(q)
	}
	return p, err
}

// placeLocally picks the best upstream by this entry's own observations.
func (q *request) placeLocally(ctx context.Context, slots int64) (*placement, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	g, now := q.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := peers.Choice{Self: g.Node, DataCentre: g.DataCentre, Silent: q.view.Silent, Unreached: q.view.Unreached, Isolated: q.view.Isolated}
	if slots > 0 {
		c.MaxRunning = max(int(localOvercommit*float64(slots)/float64(max(q.view.Entries, 1))), 1)
	}
	var u *wire.Upstream
	c.Bound = q.origin.bound
	versions := g.versions.choose(now, q, g.SplitValid)
	for _, c.Avoid = range q.avoidedInTurn() {
		for _, c.Version = range versions {
			if u == nil {
				u = g.peers.Pick(now, q.view.Upstreams[q.pool], c)
			}
		}
	}
	if u == nil && q.versionGone() {
		return nil, refuse.New(refuse.VersionGone, "no upstream of the stream's version is left", 0)
	}
	if u == nil {
		code := refuse.NoUpstream
		if slots > 0 {
			code = refuse.Overloaded
		}
		after := localRetryAfter
		if wait := g.peers.Wait(now, q.view.Upstreams[q.pool]); wait > after {
			code, after = refuse.Overloaded, min(wait, maxRetryAfter)
		}
		return nil, refuse.New(code, "no upstream with room is known here", after)
	}
	// Charge the account only once an upstream was found: otherwise a request that polls repeatedly
	// would use up the account's rate by itself.
	if wait, ok := g.chargeAccount(now, q, q.charged); !ok {
		return nil, refuse.New(refuse.AccountLimit, "", wait)
	}
	g.peers.Begin(now, u.GetId())
	return &placement{request: q, upstream: u}, nil
}

// recordLoad records the load that an upstream reports.
func (g *Gate) recordLoad(id string, l peers.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.RecordLoad(time.Now(), id, l)
}

// release records the result of the send and returns the slot to the scheduler, if one granted it.
func (p *placement) release(res result) {
	g := p.request.gate
	if res.outcome == outcomeMisdirected {
		g.Cluster.Replaced(&wire.Upstream{Id: p.upstream.GetId(), Address: p.upstream.GetAddress(), Born: p.request.born(p)})
	}
	g.recordOutcome(p, res)
	if p.grant == nil {
		return
	}
	t := p.ticket
	// While this entry has no path, a send without an answer says nothing about the upstream.
	blameless := res.status == 0 && (res.outcome == outcomeNotSent || res.outcome == outcomeInterrupted) && g.Path.Excuses(p.upstream.GetAddress())
	if !p.takenAt.IsZero() {
		// The first event came without a prefill, and the events are a part of the answer. The scheduler would
		// learn wrong speeds and lengths from them.
		res.firstAfter, res.events, res.total = 0, 0, time.Since(p.takenAt)
	}
	g.Granter.Release(&wire.Release{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(), Upstream: p.upstream.GetId(),
		Slot: p.grant.GetSlot(), Owner: p.grant.GetOwner(), Account: t.GetAccount(), Dispatched: !blameless && res.outcome != outcomeNotSent && res.outcome != outcomeMisdirected && res.outcome != outcomeUnused,
		Whole: res.outcome == outcomeComplete, Failed: !blameless && (res.outcome == outcomeFailed || res.outcome == outcomeInterrupted || res.outcome == outcomeNotSent || res.outcome == outcomeMisdirected), Busy: res.outcome == outcomeNotRun,
		FirstTokenUs: res.firstAfter.Microseconds(), TotalUs: res.total.Microseconds(), Pieces: res.events,
		GapUs: res.gap.Microseconds(), Speeds: g.TakeSpeeds(),
	})
}

// recordOutcome updates the entry's knowledge of an upstream, and of the network path to it, by the
// result of a send. The scheduler keeps track of sends that it granted.
func (g *Gate) recordOutcome(p *placement, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch u := p.request.view.Upstream(p.upstream.GetId()); {
	case u == nil: // It has left the deployment since.
	case res.status != 0:
		g.peers.RecordReached(u)
	case res.unresponsive():
		g.peers.RecordUnreachable(now, u)
	}
	if p.grant != nil {
		return
	}
	switch res.outcome {
	case outcomeNotRun, outcomeMisdirected, outcomeCallerLeft, outcomeUnused, outcomeDropped, outcomeMoved:
		g.peers.Drop(p.upstream.GetId())
	case outcomeComplete, outcomeFailed:
		g.peers.End(now, p.upstream.GetId(), res.total, true, res.outcome == outcomeComplete)
	case outcomeNotSent, outcomeInterrupted:
		g.peers.End(now, p.upstream.GetId(), res.total, false, false)
	}
}

// countFirstSend adds a request's first send to the retry budget and estimates how long ago its
// caller first tried.
func (g *Gate) countFirstSend(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retryAges == nil {
		g.retryAges, g.budgets = map[string]*reqage.Estimator{}, map[string]*budget.Budget{}
	}
	if q.meta.Deadline > 0 {
		if g.retryAges[q.route.Name] == nil {
			g.retryAges[q.route.Name] = &reqage.Estimator{}
		}
		q.sinceFirstTry = g.retryAges[q.route.Name].Observe(q.meta.Deadline)
	}
	b := g.budgets[q.pool]
	if b == nil {
		b = &budget.Budget{Ratio: budgetFraction * g.RetryRatio}
		g.budgets[q.pool] = b
	}
	b.Burst = max(budgetFraction*g.RetrySlack/float64(max(q.view.Entries, 1)), minRetryBurst)
	b.AddFirstAttempt()
}

// takeRetry takes a retry from a pool's budget and reports whether the budget allowed it.
func (g *Gate) takeRetry(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[pool]
	return b != nil && b.TakeRetry()
}

// hasRetry reports whether a pool's budget allows a retry.
func (g *Gate) hasRetry(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[pool]
	return b != nil && b.HasRetry()
}
