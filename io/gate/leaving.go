package gate

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/depart"
	"azurelane/core/wire"
)

const (
	// drainShare is the fraction of an upstream's drain in which streams may go on there that no other
	// upstream may go on with.
	drainShare = 0.6
	// leavingRetention is how long an upstream that leaves is kept after it is gone from the roster.
	leavingRetention = time.Minute
)

// errLeaves ends a send whose upstream has said meanwhile that it leaves.
var errLeaves = errors.New("gate: upstream leaves")

// leaving holds the upstreams that have said in responses to this entry that they leave, whatever the
// roster says. The zero value is ready.
type leaving struct {
	active     atomic.Bool // Any upstream is known. Read without the lock.
	mu         sync.Mutex
	known      depart.Depart
	unreported []*wire.Leaving
}

// recordLeaving records that an upstream leaves if its response says so. The caller does not see it.
func (q *request) recordLeaving(p *placement, resp *http.Response) {
	g, l, u := q.gate, &q.gate.leaving, p.upstream
	leaves := g.Dialect.Leaving(resp)
	g.Dialect.Return(resp.Header)
	if !leaves || g.Dialect.Other(resp) {
		return
	}
	view := g.Cluster.View()
	now, born := time.Now(), max(u.GetBorn(), view.Upstream(u.GetId()).GetBorn())
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known.Record(u.GetId(), born, now) {
		return
	}
	l.active.Store(true)
	l.known.Forget(now.Add(-leavingRetention), func(id string) bool { return view.Upstream(id) != nil })
	l.unreported = append(l.unreported, g.leavingReport(now, u.GetId(), born, now))
	g.Stats.Count("leaving-seen", 1)
	g.Log.Info("Upstream said in a response that it leaves.", "upstream", u.GetId(), "address", u.GetAddress(), "pool", q.pool,
		"version", u.GetVersion(), "born", born, "request", q.meta.ID, "status", resp.StatusCode, "state-in-roster", view.Upstream(u.GetId()).GetState().String())
	g.reportSignal.notify()
}

func (g *Gate) leavingReport(now time.Time, id string, born int64, since time.Time) *wire.Leaving {
	return &wire.Leaving{Upstream: id, Born: born, AgeUs: now.Sub(since).Microseconds(), Entry: g.Node}
}

// leaves reports whether a request may not be sent to an upstream because it leaves.
func (q *request) leaves(u *wire.Upstream) bool {
	l := &q.gate.leaving
	if !l.active.Load() {
		return false
	}
	born := max(u.GetBorn(), q.gate.Cluster.View().Upstream(u.GetId()).GetBorn())
	l.mu.Lock()
	defer l.mu.Unlock()
	since, ok := l.known.Since(u.GetId(), born)
	return ok && !q.mayGoOn(since)
}

// mayGoOn reports whether the request may go on at an upstream that leaves since a time, if no other
// upstream may go on with it.
func (q *request) mayGoOn(since time.Time) bool {
	return q.origin.goesOn && q.origin.bound && time.Since(since) < time.Duration(drainShare*float64(q.gate.UpstreamDrain))
}

// avoided returns the upstreams that must not get the request: those that failed it or rest, and those that
// leave although the roster does not say so.
func (q *request) avoided() []string {
	return q.withLeaving(func(since time.Time) bool { return !q.mayGoOn(since) })
}

// avoidedInTurn returns what a choice avoids, and what it avoids if it finds no upstream: those that leave
// get the request, where it may go on there, only if there is no other.
func (q *request) avoidedInTurn() [][]string {
	all := q.withLeaving(func(time.Time) bool { return true })
	if !q.origin.goesOn || !q.gate.leaving.active.Load() {
		return [][]string{all}
	}
	return [][]string{all, q.avoided()}
}

func (q *request) withLeaving(selected func(since time.Time) bool) []string {
	l := &q.gate.leaving
	if !l.active.Load() {
		return q.unavailable()
	}
	view, list := q.gate.Cluster.View(), slices.Clip(q.unavailable())
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.known.All() {
		u := view.Upstream(id)
		if u != nil && (u.GetPool() != q.pool || u.GetState() != wire.Upstream_STATE_SERVING) {
			continue
		}
		if since, ok := l.known.Since(id, u.GetBorn()); ok && selected(since) {
			list = append(list, id)
		}
	}
	return list
}

// AllLeave reports whether all upstreams of a list have said that they leave.
func (g *Gate) AllLeave(list []*wire.Upstream) bool {
	l := &g.leaving
	if !l.active.Load() {
		return len(list) == 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(list, func(u *wire.Upstream) bool {
		_, ok := l.known.Since(u.GetId(), u.GetBorn())
		return !ok
	})
}

// KnownLeaving returns the upstreams that have said to this entry that they leave, for a new scheduler.
func (g *Gate) KnownLeaving() []*wire.Leaving {
	now, l := time.Now(), &g.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.Leaving
	for id, born := range l.known.All() {
		if since, ok := l.known.Since(id, born); ok {
			list = append(list, g.leavingReport(now, id, born, since))
		}
	}
	return list
}

// TakeLeavingReports returns the queued reports and clears the queue.
func (g *Gate) TakeLeavingReports() []*wire.Leaving {
	g.leaving.mu.Lock()
	defer g.leaving.mu.Unlock()
	list := g.leaving.unreported
	g.leaving.unreported = nil
	return list
}

// RequeueLeavingReports queues reports again that the scheduler did not take.
func (g *Gate) RequeueLeavingReports(list []*wire.Leaving) {
	g.leaving.mu.Lock()
	g.leaving.unreported = append(list, g.leaving.unreported...)
	g.leaving.mu.Unlock()
	g.reportSignal.notify()
}
