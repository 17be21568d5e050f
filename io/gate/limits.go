package gate

import (
	"net/http"
	"sync"
	"time"

	"azurelane/core/wire"
)

type (
	// rateLimits holds the request rates that upstreams announce in their responses. The scheduler
	// merges the reports of all entries. The zero value is ready to use.
	rateLimits struct {
		mu    sync.Mutex
		known map[string]*rateLimit // By upstream.
		// fromScheduler is the scheduler's last list: requests per second by upstream.
		fromScheduler map[string]float64
		unreported    []*wire.Limit // Reports that have not been sent yet.
	}

	rateLimit struct {
		rate   float64   // Requests per second.
		share  float64   // Fraction of the rate for requests placed without a scheduler.
		sentAt time.Time // Send time of the request whose response announced the rate.
		// heardAt is when a response to this entry last announced the limit; zero if none did.
		heardAt    time.Time
		reportedAt time.Time
	}
)

const (
	// reportInterval is the minimum time between two reports about the same limit. The scheduler's
	// updated list arrives in less time.
	reportInterval = 250 * time.Millisecond
	// localLimitTTL is how long this entry keeps a limit that a response announced to it although
	// the scheduler does not list that limit.
	localLimitTTL = time.Second
)

// recordLimit records the rate limit that a response from an upstream announces, or its absence.
// sent is the time at which the request was sent.
func (g *Gate) recordLimit(upstream string, sent time.Time, resp *http.Response) {
	rate, announced := g.Dialect.Limit(resp)
	if g.Dialect.Other(resp) || (!announced && !g.Dialect.Genuine(resp)) {
		return // The response may not come from this upstream.
	}
	now, l := time.Now(), &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.known[upstream]
	if !announced {
		g.recordNoLimit(now, upstream, sent, k)
		return
	}
	if k == nil {
		// The share applies until the scheduler assigns one.
		k = &rateLimit{share: 1 / float64(max(g.Cluster.View().Entries, 1))}
		if l.known == nil {
			l.known = map[string]*rateLimit{}
		}
		l.known[upstream] = k
	}
	k.heardAt = now
	if k.sentAt.After(sent) {
		return // The response to a later request is more recent.
	}
	changed := k.sentAt.IsZero() || k.rate != rate
	k.rate, k.sentAt = rate, sent
	if changed {
		g.Log.Info("Upstream announced a request rate limit.", "upstream", upstream, "per-second", rate)
		g.applyLimit(now, upstream, k)
	}
	if listed, ok := l.fromScheduler[upstream]; (!ok || listed != rate) && (changed || now.Sub(k.reportedAt) > reportInterval) {
		k.reportedAt = now
		g.queueLimitReport(&wire.Limit{Upstream: upstream, PerSecond: rate, AgeUs: now.Sub(sent).Microseconds()})
	}
}

// recordNoLimit handles a response that announces no limit. It ends a known limit only if its
// request was sent after the last response that announced the limit had arrived. While a scheduler
// is known, the limit stays in force until the scheduler drops it. g.rateLimits.mu must be held.
func (g *Gate) recordNoLimit(now time.Time, upstream string, sent time.Time, k *rateLimit) {
	if k == nil || !sent.After(k.heardAt) || !sent.After(k.sentAt) || now.Sub(k.reportedAt) < reportInterval {
		return
	}
	k.reportedAt = now
	g.queueLimitReport(&wire.Limit{Upstream: upstream, Ended: true, AgeUs: now.Sub(sent).Microseconds()})
	if g.Cluster.View().Owner == nil {
		g.removeLimit(upstream)
	}
}

// queueLimitReport queues a report for the scheduler. g.rateLimits.mu must be held.
func (g *Gate) queueLimitReport(l *wire.Limit) {
	g.rateLimits.unreported = append(g.rateLimits.unreported, l)
	g.reportSignal.notify()
}

// removeLimit removes an upstream's limit. g.rateLimits.mu must be held.
func (g *Gate) removeLimit(upstream string) {
	delete(g.rateLimits.known, upstream)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Unlimit(upstream)
	g.Log.Info("Upstream's request rate limit ended.", "upstream", upstream)
}

func (g *Gate) applyLimit(now time.Time, upstream string, k *rateLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers.Limit(now, upstream, k.rate, k.share)
}

// SetLimits applies the scheduler's list of limits, which contains this entry's shares.
func (g *Gate) SetLimits(list []*wire.Limit) {
	now, l := time.Now(), &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fromScheduler = make(map[string]float64, len(list))
	if l.known == nil {
		l.known = map[string]*rateLimit{}
	}
	for _, t := range list {
		id, sent := t.GetUpstream(), now.Add(-time.Duration(t.GetAgeUs())*time.Microsecond)
		l.fromScheduler[id] = t.GetPerSecond()
		k := l.known[id]
		if k == nil {
			k = &rateLimit{}
			l.known[id] = k
		}
		if !k.sentAt.After(sent) {
			k.rate, k.sentAt = t.GetPerSecond(), sent
		}
		if !t.GetKeepShare() {
			k.share = t.GetShare()
		}
		g.applyLimit(now, id, k)
	}
	for id, k := range l.known {
		if _, ok := l.fromScheduler[id]; !ok && now.Sub(k.heardAt) > localLimitTTL {
			g.removeLimit(id)
		}
	}
}

// KnownLimits returns all limits that this entry knows, for a scheduler that it has not reported to
// before.
func (g *Gate) KnownLimits() []*wire.Limit {
	now, l := time.Now(), &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*wire.Limit, 0, len(l.known))
	for id, k := range l.known {
		list = append(list, &wire.Limit{Upstream: id, PerSecond: k.rate, AgeUs: now.Sub(k.sentAt).Microseconds()})
	}
	return list
}

// TakeLimitReports returns the queued reports and clears the queue.
func (g *Gate) TakeLimitReports() []*wire.Limit {
	l := &g.rateLimits
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.unreported
	l.unreported = nil
	return list
}
