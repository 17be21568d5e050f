package gate

import (
	"net/http"
	"sync"
	"time"

	"azurelane/core/wire"
)

type (
	// limits is what upstreams say of the requests that they take. Their scheduler
	// brings together what all entries hear. The zero value is ready.
	limits struct {
		mu     sync.Mutex
		known  map[string]*limited // By upstream.
		told   map[string]float64  // By the scheduler, likewise.
		unsent []*wire.Limit       // Not reported yet.
	}

	limited struct {
		rate     float64   // Requests a second.
		share    float64   // Part of it that this entry may use by itself.
		sent     time.Time // When the request was sent whose answer named it.
		heard    time.Time // When an answer here named it last; zero for none.
		reported time.Time
	}
)

const (
	// reportAgain is the time between two reports of the same: the scheduler's list is
	// on its way back for less.
	reportAgain = 250 * time.Millisecond
	// ownFor is how long a limit that an answer here has named is kept though the
	// scheduler does not list it.
	ownFor = time.Second
)

// limited notes what the answer to a request sent at some time says of its upstream's
// limit.
func (g *Gate) limited(upstream string, sent time.Time, resp *http.Response) {
	rate, named := g.Dialect.Limit(resp)
	if g.Dialect.Other(resp) || (!named && !g.Dialect.Genuine(resp)) {
		return // It does not speak for the upstream.
	}
	now, l := time.Now(), &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[upstream]
	if !named {
		g.unnamed(now, upstream, sent, k)
		return
	}
	if k == nil {
		k = &limited{share: 1 / float64(max(g.Cluster.View().Entries, 1))} // Until the scheduler tells it.
		if l.known == nil {
			l.known = map[string]*limited{}
		}
		l.known[upstream] = k
	}
	k.heard = now
	if k.sent.After(sent) {
		return // An answer to a later request has told more.
	}
	changed := k.sent.IsZero() || k.rate != rate
	k.rate, k.sent = rate, sent
	if changed {
		g.Log.Info("Upstream limits its requests.", "upstream", upstream, "per-second", rate)
		g.limitPeer(now, upstream, k)
	}
	if told, ok := l.told[upstream]; (!ok || told != rate) && (changed || now.Sub(k.reported) > reportAgain) {
		k.reported = now
		g.reportLimit(&wire.Limit{Upstream: upstream, PerSecond: rate, AgeUs: now.Sub(sent).Microseconds()})
	}
}

// unnamed notes an answer without a limit. It ends one if its request was sent after the
// last answer that named it. The lock is held.
func (g *Gate) unnamed(now time.Time, upstream string, sent time.Time, k *limited) {
	if k == nil || !sent.After(k.heard) || !sent.After(k.sent) || now.Sub(k.reported) < reportAgain {
		return
	}
	k.reported = now
	g.reportLimit(&wire.Limit{Upstream: upstream, Ended: true, AgeUs: now.Sub(sent).Microseconds()})
	if g.Cluster.View().Owner == nil {
		g.unlimit(upstream)
	}
}

// reportLimit queues a report. The lock is held.
func (g *Gate) reportLimit(l *wire.Limit) {
	g.limits.unsent = append(g.limits.unsent, l)
	g.reports.notify()
}

// unlimit forgets a limit. The lock is held.
func (g *Gate) unlimit(upstream string) {
	delete(g.limits.known, upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Unlimit(upstream)
	g.Log.Info("Upstream no longer limits its requests.", "upstream", upstream)
}

func (g *Gate) limitPeer(now time.Time, upstream string, k *limited) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Limit(now, upstream, k.rate, k.share)
}

// SetLimits takes the scheduler's list, with this entry's shares.
func (g *Gate) SetLimits(list []*wire.Limit) {
	now, l := time.Now(), &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = make(map[string]float64, len(list))
	if l.known == nil {
		l.known = map[string]*limited{}
	}
	for _, t := range list {
		id, sent := t.GetUpstream(), now.Add(-time.Duration(t.GetAgeUs())*time.Microsecond)
		l.told[id] = t.GetPerSecond()
		k := l.known[id]
		if k == nil {
			k = &limited{}
			l.known[id] = k
		}
		if !k.sent.After(sent) {
			k.rate, k.sent = t.GetPerSecond(), sent
		}
		if !t.GetKeepShare() {
			k.share = t.GetShare()
		}
		g.limitPeer(now, id, k)
	}
	for id, k := range l.known {
		if _, ok := l.told[id]; !ok && now.Sub(k.heard) > ownFor {
			g.unlimit(id)
		}
	}
}

// KnownLimits is all that this entry knows, for a scheduler that is new to it.
func (g *Gate) KnownLimits() []*wire.Limit {
	now, l := time.Now(), &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*wire.Limit, 0, len(l.known))
	for id, k := range l.known {
		list = append(list, &wire.Limit{Upstream: id, PerSecond: k.rate, AgeUs: now.Sub(k.sent).Microseconds()})
	}
	return list
}

// TakeLimitReports takes what is to be reported.
func (g *Gate) TakeLimitReports() []*wire.Limit {
	l := &g.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.unsent
	l.unsent = nil
	return list
}
