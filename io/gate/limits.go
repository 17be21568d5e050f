package gate

import (
	"net/http"
	"sync"
)

// limits is what upstreams say of the requests that they take. The zero value is ready.
type limits struct {
	mu    sync.Mutex
	named map[string]float64 // Requests a second, by upstream.
}

// limited notes what an answer says of its upstream's limit.
func (g *Gate) limited(upstream string, resp *http.Response) {
	rate, ok := g.Dialect.Limit(resp)
	if !ok && (g.Dialect.Other(resp) || !g.Dialect.Genuine(resp)) {
		return // It does not speak for the upstream.
	}
	l := &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	was, had := l.named[upstream]
	switch {
	case ok && (!had || was != rate):
		if l.named == nil {
			l.named = map[string]float64{}
		}
		l.named[upstream] = rate
		g.Log.Info("Upstream limits its requests.", "upstream", upstream, "per-second", rate, "before", was)
	case !ok && had:
		delete(l.named, upstream)
		g.Log.Info("Upstream no longer limits its requests.", "upstream", upstream, "before", was)
	}
}
