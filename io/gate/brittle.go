package gate

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
)

// brittle holds how many requests upstreams may refuse in a second, as their responses tell. The zero
// value is ready.
type brittle struct {
	mu         sync.Mutex
	byUpstream map[string]brittleUpstream
	ticketed   []string // Pools whose requests take tickets, as the scheduler says.
	deferring  []string // Of ticketed: pools whose requests are placed at once while no scheduler answers.
	unreported []string // Upstreams of which the scheduler has not been told yet.
}

type brittleUpstream struct {
	most int64     // Zero for any number.
	sent time.Time // Send time of the request whose response told it.
}

// recordBrittle records what a response tells of its upstream's brittleness. Sent is the time at which
// the request was sent.
func (g *Gate) recordBrittle(pool, upstream string, sent time.Time, resp *http.Response) {
	most, told := g.Dialect.Brittle(resp)
	if g.Dialect.Other(resp) || (!told && !g.Dialect.Genuine(resp)) {
		return // The response may not come from this upstream.
	}
	b := &g.brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	old, known := b.byUpstream[upstream]
	if !told && !known && !slices.Contains(b.ticketed, pool) {
		return
	}
	if old.sent.After(sent) || (known && old.most == most) {
		return
	}
	if b.byUpstream == nil {
		b.byUpstream = map[string]brittleUpstream{}
	}
	b.byUpstream[upstream] = brittleUpstream{most, sent}
	b.unreported = append(b.unreported, upstream)
	g.Log.Info("Upstream told how many requests it may refuse in a second.", "upstream", upstream, "most", most, "brittle", told)
	g.reportSignal.notify()
}

// SetTicketed takes the pools whose requests take tickets although this entry could place them, and those of
// them whose requests it places at once while no scheduler answers. It forgets brittle upstreams that this
// entry no longer knows.
func (g *Gate) SetTicketed(pools, deferring []string) {
	b, view := &g.brittle, g.Cluster.View()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticketed, b.deferring = pools, deferring
	for id := range b.byUpstream {
		if view.Upstream(id) == nil {
			delete(b.byUpstream, id)
		}
	}
}

// scheduled reports whether requests of a pool take tickets: those of model engines, those of brittle
// upstreams, for which the scheduler counts what they have to refuse, and those of upstreams that name a
// limit, which then serves the requests wherever they come. So do those of plain upstreams that wait in one
// order.
func (g *Gate) scheduled(pool string, slots int64) bool {
	if slots > 0 {
		return true
	}
	g.brittle.mu.Lock()
	defer g.brittle.mu.Unlock()
	return slices.Contains(g.brittle.ticketed, pool)
}

// defers reports whether requests of a pool take tickets only to wait in one order.
func (g *Gate) defers(pool string) bool {
	g.brittle.mu.Lock()
	defer g.brittle.mu.Unlock()
	return slices.Contains(g.brittle.deferring, pool)
}

// KnownBrittle returns all that this entry knows of brittle upstreams, for a new scheduler.
func (g *Gate) KnownBrittle() []*wire.Brittle {
	b := &g.brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.describe(slices.Collect(maps.Keys(b.byUpstream)))
}

// TakeBrittleReports returns the queued reports and clears the queue.
func (g *Gate) TakeBrittleReports() []*wire.Brittle {
	b := &g.brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.describe(b.unreported)
	b.unreported = nil
	return list
}

// RequeueBrittleReports queues reports again that could not be delivered.
func (g *Gate) RequeueBrittleReports(list []*wire.Brittle) {
	b := &g.brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		b.unreported = append(b.unreported, r.GetUpstream())
	}
	g.reportSignal.notify()
}

// describe returns what is known of upstreams. b.mu must be held.
func (b *brittle) describe(upstreams []string) []*wire.Brittle {
	slices.Sort(upstreams)
	var list []*wire.Brittle
	for _, id := range slices.Compact(upstreams) {
		if u, known := b.byUpstream[id]; known {
			list = append(list, &wire.Brittle{Upstream: id, Most: u.most, AgeUs: time.Since(u.sent).Microseconds()})
		}
	}
	return list
}
