package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/reqage"
	"azurelane/core/budget"
	"azurelane/core/peers"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/grant"
)

const (
	// doubtAfter is how long a ticket waits before the scheduler is asked whether
	// it lives. Most tickets are decided within milliseconds.
	doubtAfter = 60 * time.Millisecond
	// aloneShare is by how much the entries may together give an engine more
	// than its batch while each of them places requests by itself.
	aloneShare = 1.5
	// aloneWait is how long a request waits for room while no scheduler answers,
	// and aloneWaitPart the part of its objective, one in so many, if that is less.
	// Another scheduler is there within half a second. When one was lost, all that
	// waited for it was refused in the same instant.
	aloneWait     = 500 * time.Millisecond
	aloneWaitPart = 2
	aloneLook     = 15 * time.Millisecond // Between two looks.
	// schedulerWait is how long a request waits for another scheduler before this
	// entry places it by itself, at an upstream of which it knows little. One of this
	// data centre is found within that time where the rest is cut off, and so are most
	// new leaders.
	schedulerWait = 150 * time.Millisecond
	// budgetPart is the part of the deployment's bound on second sends that
	// entries use, so that uneven shares stay within it.
	budgetPart = 0.7
	// leastBurst is what an entry may always send again at once.
	leastBurst   = 2
	longestRetry = 4 * time.Second        // What callers are told at most.
	aloneRetry   = 700 * time.Millisecond // What callers are told while entries place requests by themselves.
)

// place is leave to send a request to one upstream.
type place struct {
	q      *request
	up     *wire.Upstream
	ticket *wire.Ticket
	grant  *wire.Grant // Nil when this entry chose by itself.
}

// place finds an upstream for the request. While no scheduler answers, one that
// finds no room waits a moment.
func (q *request) place(ctx context.Context) (*place, error) {
	var until time.Time
	held := false
	for {
		q.view = q.gate.News.View()
		pool := q.view.Index.Pool(q.pool)
		if pool.Slots > 0 && q.view.Owner != nil {
			p, err := q.granted(ctx)
			if !errors.Is(err, grant.ErrNoOwner) {
				return p, err
			}
			q.view = q.gate.News.View()
		}
		if pool.Slots > 0 && !held {
			held = true
			if q.awaitScheduler(ctx) {
				continue
			}
		}
		p, err := q.choose(ctx, pool.Slots)
		if err == nil || pool.Slots == 0 {
			return p, err
		}
		if until.IsZero() {
			until = time.Now().Add(q.patient())
		}
		if !q.lookAgain(ctx, until) {
			return nil, err
		}
	}
}

// awaitScheduler waits a moment for a scheduler and reports whether there is one.
func (q *request) awaitScheduler(ctx context.Context) bool {
	until := time.Now().Add(min(schedulerWait, q.patient()))
	for q.gate.News.View().Owner == nil {
		if !q.lookAgain(ctx, until) {
			return false
		}
	}
	return true
}

// patient is how long the request waits for a scheduler or for room.
func (q *request) patient() time.Duration {
	return min(aloneWait, (q.route.Objective-q.before-time.Since(q.start))/aloneWaitPart)
}

// lookAgain lets a moment pass and reports whether the request may look again.
func (q *request) lookAgain(ctx context.Context, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	look := time.NewTimer(min(left, aloneLook))
	defer look.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-look.C:
		return true
	}
}

// granted asks the scheduler.
func (q *request) granted(ctx context.Context) (*place, error) {
	t := q.ticket()
	var doubt *time.Timer
	doubt = time.AfterFunc(doubtAfter, func() {
		q.gate.News.Doubt(ctx)
		doubt.Reset(doubtAfter)
	})
	g, err := q.gate.Granter.Grant(ctx, t)
	doubt.Stop()
	if err != nil {
		return nil, err
	}
	q.gate.mu.Lock()
	q.gate.allowed(time.Now(), q, true)
	q.gate.mu.Unlock()
	return &place{q: q, ticket: t, grant: g, up: &wire.Upstream{Id: g.GetUpstream(), Address: g.GetAddress()}}, nil
}

// choose takes the upstream that looks best from here.
func (q *request) choose(ctx context.Context, slots int64) (*place, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	g, now := q.gate, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := peers.Choice{Self: g.Node, Centre: g.Centre, Avoid: q.avoid, Silent: q.view.Silent, Unreached: q.view.Unreached, Isolated: q.view.Isolated}
	if slots > 0 {
		c.Most = max(int(aloneShare*float64(slots)/float64(max(q.view.Entries, 1))), 1)
	}
	u := g.peers.Pick(now, q.view.Upstreams[q.pool], c)
	if u == nil {
		code := refuse.NoUpstream
		if slots > 0 {
			code = refuse.Overloaded
		}
		after := aloneRetry
		if wait := g.peers.Wait(now, q.view.Upstreams[q.pool]); wait > after {
			code, after = refuse.Overloaded, min(wait, longestRetry)
		}
		return nil, refuse.New(code, "no upstream with room is known here", after)
	}
	// Only what finds room counts against its account: a request that looks again
	// and again would use up the account's rate by itself.
	if wait, ok := g.allowed(now, q, false); !ok {
		return nil, refuse.New(refuse.AccountLimit, "", wait)
	}
	g.peers.Begin(now, u.GetId())
	return &place{q: q, up: u}, nil
}

// told notes what an upstream says of its load.
func (g *Gate) told(id string, l peers.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Told(time.Now(), id, l)
}

// done gives the place back with what the run was like.
func (p *place) done(res result) {
	g := p.q.gate
	if res.end == other {
		g.News.Replaced(p.up.GetId())
	}
	g.learn(p, res)
	if p.grant == nil {
		return
	}
	t := p.ticket
	g.Granter.Release(&wire.Release{
		Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(), Upstream: p.up.GetId(),
		Slot: p.grant.GetSlot(), Owner: p.grant.GetOwner(), Account: t.GetAccount(), Dispatched: res.end != unsent && res.end != other && res.end != unused,
		Whole: res.end == whole, Failed: res.end == failed || res.end == broken || res.end == unsent || res.end == other, Busy: res.end == busy,
		FirstTokenUs: res.first.Microseconds(), TotalUs: res.total.Microseconds(), Pieces: res.events,
		GapUs: res.gap.Microseconds(),
	})
}

// learn notes what a send shows of its upstream and of the way there. What runs
// under a grant is counted where it was granted.
func (g *Gate) learn(p *place, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch u := p.q.view.Upstream(p.up.GetId()); {
	case u == nil: // It has left meanwhile.
	case res.status != 0:
		g.peers.Reached(u)
	case res.missed():
		g.peers.Missed(now, u)
	}
	if p.grant != nil {
		return
	}
	switch res.end {
	case busy, other, left, unused:
		g.peers.Drop(p.up.GetId())
	case whole, failed:
		g.peers.End(now, p.up.GetId(), res.total, true, res.end == whole)
	case unsent, broken:
		g.peers.End(now, p.up.GetId(), res.total, false, false)
	}
}

// first counts a request's first send, and tells how long ago its caller first
// tried.
func (g *Gate) first(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.before == nil {
		g.before, g.budgets = map[string]*reqage.Estimator{}, map[string]*budget.Budget{}
	}
	if q.meta.Deadline > 0 {
		if g.before[q.route.Name] == nil {
			g.before[q.route.Name] = &reqage.Estimator{}
		}
		q.before = g.before[q.route.Name].Observe(q.meta.Deadline)
	}
	b := g.budgets[q.pool]
	if b == nil {
		b = &budget.Budget{Ratio: budgetPart * g.Ratio}
		g.budgets[q.pool] = b
	}
	b.Burst = max(budgetPart*g.Slack/float64(max(q.view.Entries, 1)), leastBurst)
	b.Add()
}

// spend reports whether a request may be sent to a second upstream of a pool.
func (g *Gate) spend(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[pool]
	return b != nil && b.Take()
}

// Usage takes what was served without asking a scheduler since the last call.
func (g *Gate) Usage() *wire.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.usage) == 0 {
		return nil
	}
	u := &wire.Usage{Incarnation: g.Incarnation}
	for a, n := range g.usage {
		u.Accounts = append(u.Accounts, &wire.AccountUsage{Account: a, Units: n})
	}
	g.usage = nil
	return u
}
