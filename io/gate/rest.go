package gate

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"azurelane/core/refuse"
	"azurelane/core/rest"
)

// rests holds which upstreams have asked this entry for rest, or refuse its requests. Others don't
// tell it: an upstream asks each entry by itself. The zero value is ready to use.
type rests struct {
	active atomic.Bool // Something is known.
	mu     sync.Mutex
	known  rest.Rests
}

// recordRest records whether an upstream took a request or refused it, by its response, and for how
// long it wants no others. Sent is the time at which the request was sent.
func (g *Gate) recordRest(p *placement, sent time.Time, resp *http.Response) {
	if g.Dialect.Other(resp) {
		return
	}
	q, id, now := p.request, p.upstream.GetId(), time.Now()
	d, notRun := g.Dialect.Rest(resp), g.Dialect.NotRun(resp)
	if d <= 0 && notRun && g.isBrittle(id) {
		return // The scheduler counts the refusals of brittle upstreams, at all entries.
	}
	if d <= 0 && !notRun && !g.rests.active.Load() {
		return
	}
	k := &g.rests
	k.mu.Lock()
	begins := false
	switch {
	case d > 0:
		k.known.Self = g.Node
		begins = k.known.Ask(now, q.pool, id, g.born(id), d)
	case notRun:
		k.known.Refuse(now, q.pool, id, g.born(id), sent)
	case resp.StatusCode != http.StatusServiceUnavailable:
		k.known.Accept(id, sent)
	}
	k.active.Store(!k.known.Empty())
	k.mu.Unlock()
	if d > 0 {
		g.Stats.Count("rests-asked", 1)
	}
	if begins {
		g.Log.Info("Upstream asks for rest.", "upstream", id, "pool", q.pool, "for", d.String(), "status", resp.StatusCode, "request", q.meta.ID)
	}
}

// place finds an upstream that does not rest. An upstream may have asked for rest since the scheduler
// granted it, so that the grant is given back and another one is asked for.
func (q *request) place(ctx context.Context) (*placement, error) {
	for {
		if err := q.awaitRest(ctx); err != nil {
			return nil, err
		}
		p, err := q.placeOnce(ctx)
		if err != nil || q.takeSend(p) {
			return p, err
		}
		q.paid = true
		q.gate.Stats.Count("grants-to-resting", 1)
		p.release(result{outcome: outcomeUnused})
	}
}

// takeSend reports whether the request may be sent to the upstream where it was placed.
func (q *request) takeSend(p *placement) bool {
	k := &q.gate.rests
	if !k.active.Load() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	id := p.upstream.GetId()
	return k.known.Take(time.Now(), id, q.gate.born(id))
}

// awaitRest waits while all upstreams rest, if one of them may be sent to before placementWait has
// passed. Otherwise it returns a refusal at once, so that the caller still has its time.
func (q *request) awaitRest(ctx context.Context) error {
	var until time.Time
	for {
		wait := q.restWait()
		if wait <= 0 {
			return nil
		}
		now := time.Now()
		if until.IsZero() {
			until = now.Add(q.placementWait())
		}
		if now.Add(wait).After(until) || !q.pollWait(ctx, until) {
			return refuse.New(refuse.Resting, "all upstreams have asked for rest", wait)
		}
	}
}

// restWait returns the time until the first upstream may be sent a request, or zero if one may be now.
func (q *request) restWait() time.Duration {
	k := &q.gate.rests
	if !k.active.Load() {
		return 0
	}
	now, least, excluded := time.Now(), time.Duration(0), q.excluded()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, u := range q.gate.Cluster.View().Upstreams[q.pool] {
		if slices.Contains(excluded, u.GetId()) || (q.origin.bound && u.GetVersion() != q.origin.began) {
			continue
		}
		wait := k.known.Wait(now, u.GetId(), u.GetBorn())
		if wait <= 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// unavailable lists the upstreams that the request is not to be sent to: those that have failed it,
// those that rest, and, if there are others, those that keep refusing requests.
func (q *request) unavailable() []string {
	k, excluded := &q.gate.rests, q.excluded()
	if !k.active.Load() {
		return excluded
	}
	k.mu.Lock()
	never, rather := k.known.Avoid(time.Now(), q.pool, q.gate.born)
	k.mu.Unlock()
	if len(never)+len(rather) == 0 {
		return excluded
	}
	list := append(never, excluded...)
	all := append(rather, list...)
	for _, u := range q.gate.Cluster.View().Upstreams[q.pool] {
		if !slices.Contains(all, u.GetId()) {
			return all
		}
	}
	return list
}

// born returns when the process of an upstream started, in Unix milliseconds, or 0 if that is unknown.
func (g *Gate) born(id string) int64 { return g.Cluster.View().Upstream(id).GetBorn() }

// isBrittle reports whether an upstream has told how many requests it may refuse in a second.
func (g *Gate) isBrittle(id string) bool {
	g.brittle.mu.Lock()
	defer g.brittle.mu.Unlock()
	return g.brittle.byUpstream[id].most > 0
}

// Resting returns the number of upstreams that have asked this entry for rest.
func (g *Gate) Resting() int64 {
	g.rests.mu.Lock()
	defer g.rests.mu.Unlock()
	return g.rests.known.Count(time.Now())
}
