package gate

import (
	"net/http"
	"sync"
	"time"

	"azurelane/core/rest"
)

// rests holds which upstreams have asked this entry for rest. Others don't tell it: an upstream asks
// each entry by itself. The zero value is ready to use.
type rests struct {
	mu    sync.Mutex
	known rest.Rests
}

// recordRest records what a response tells of its upstream's wish for rest.
func (g *Gate) recordRest(p *placement, resp *http.Response) {
	d := g.Dialect.Rest(resp)
	if d <= 0 {
		return
	}
	g.Stats.Count("rests-asked", 1)
	id, pool := p.upstream.GetId(), p.request.pool
	g.rests.mu.Lock()
	begins := g.rests.known.Ask(time.Now(), pool, id, p.request.born(id), d)
	g.rests.mu.Unlock()
	if begins {
		g.Log.Info("Upstream asks for rest.", "upstream", id, "pool", pool, "for", d.String(), "status", resp.StatusCode,
			"request", p.request.meta.ID)
	}
}

// born returns when the process of an upstream started, in Unix milliseconds, or 0 if that is unknown.
func (q *request) born(id string) int64 { return q.view.Upstream(id).GetBorn() }

// Resting returns the number of upstreams that have asked this entry for rest.
func (g *Gate) Resting() int64 {
	g.rests.mu.Lock()
	defer g.rests.mu.Unlock()
	return g.rests.known.Count(time.Now())
}
