package hub

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurelane/core/wire"
)

type (
	// limits holds the request rates that upstreams accept. Upstreams announce their limits in
	// responses, and entries report these limits to the hub. The zero value is ready.
	limits struct {
		mu         sync.Mutex
		byUpstream map[string]upstreamLimit
		ended      map[string]time.Time // Send time of the latest request whose response ended the upstream's limit.
		change     signal
	}

	// upstreamLimit is the limit of one upstream.
	upstreamLimit struct {
		rate  float64   // Requests per second.
		sent  time.Time // Send time of the request whose response announced the limit.
		heard time.Time // When the limit was last reported.
	}
)

// merge records the limits that entries report and returns the upstreams whose limits changed.
// Reports may arrive out of order: a slow entry may be late to read the header of a response, and
// a bad link may delay the entry's report. So a response without a limit ends the limit only if
// its request was sent after the limit was last reported. A response changes nothing if its
// request was sent before the request whose response announced the limit.
func (l *limits) merge(now time.Time, list []*wire.Limit) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []string
	countBefore := len(l.byUpstream)
	added := false
	for _, r := range list {
		sent := now.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond)
		prev, known := l.byUpstream[r.GetUpstream()]
		switch {
		case r.GetEnded():
			if !known || !sent.After(prev.heard) {
				continue
			}
			delete(l.byUpstream, r.GetUpstream())
			l.markEnded(r.GetUpstream(), sent)
		case (known && sent.Before(prev.sent)) || sent.Before(l.ended[r.GetUpstream()]):
			continue
		default:
			if l.byUpstream == nil {
				l.byUpstream = map[string]upstreamLimit{}
			}
			l.byUpstream[r.GetUpstream()] = upstreamLimit{r.GetPerSecond(), sent, now}
			if known && prev.rate == r.GetPerSecond() {
				continue
			}
			added = added || !known
		}
		changed = append(changed, r.GetUpstream())
	}
	// A rate that changes with each response must not wake all entries each time. Entries get the
	// new rate with their next poll. The scheduler's own grants respect it at once.
	if added || len(l.byUpstream) != countBefore {
		l.change.broadcast()
	}
	return changed
}

// markEnded records that a limit has ended. l.mu must be held.
func (l *limits) markEnded(upstream string, sent time.Time) {
	if l.ended == nil {
		l.ended = map[string]time.Time{}
	}
	l.ended[upstream] = sent
}

// retain drops the limits of upstreams for which known returns false.
func (l *limits) retain(known func(upstream string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byUpstream, func(id string, _ upstreamLimit) bool { return !known(id) })
	maps.DeleteFunc(l.ended, func(id string, _ time.Time) bool { return !known(id) })
}

// drop removes the limit of an upstream that has restarted.
func (l *limits) drop(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byUpstream, upstream)
	delete(l.ended, upstream)
}

// changed returns a channel that is closed when an upstream without a limit next announces one,
// or when a limit next ends.
func (l *limits) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change.wait()
}

// rate returns the limit of an upstream in requests per second, or false if it has none.
func (l *limits) rate(upstream string) (rate float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.byUpstream[upstream]
	return limit.rate, ok
}

// upstreams lists the upstreams with limits.
func (l *limits) upstreams() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.byUpstream))
}

// listFor returns the limits for an entry, with the shares of that entry. The function known
// returns the entries that share the limits, and whether these are all entries. If they are not
// all, the entry is told to keep its present shares.
func (l *limits) listFor(now time.Time, node string, known func() (entries []string, all bool)) []*wire.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byUpstream) == 0 {
		return nil
	}
	entries, all := known()
	list := make([]*wire.Limit, 0, len(l.byUpstream))
	for _, id := range slices.Sorted(maps.Keys(l.byUpstream)) {
		limit := l.byUpstream[id]
		list = append(list, &wire.Limit{
			Upstream: id, PerSecond: limit.rate, AgeUs: now.Sub(limit.sent).Microseconds(), Share: limitShare(id, limit.rate, node, entries), KeepShare: !all,
		})
	}
	return list
}

// ticketedPools returns the pools whose requests take tickets although entries could place them: those
// with brittle upstreams, those with upstreams that accept a limited rate, and those that defer plain requests.
// With fixed shares of a limit, an entry at which most callers arrive would refuse requests while the shares of
// others are unused. It also returns the pools that are among them only because they defer plain requests.
func (s *scheduler) ticketedPools() (pools, deferring []string) {
	pools = s.brittle.pools()
	for _, id := range s.limits.upstreams() {
		if pool := s.upstreams.poolOf(id); pool != "" {
			pools = append(pools, pool)
		}
	}
	for _, pool := range s.deferringPools() {
		if !slices.Contains(pools, pool) {
			deferring = append(deferring, pool)
		}
	}
	pools = append(pools, deferring...)
	slices.Sort(pools)
	return slices.Compact(pools), deferring
}

// limitShare returns the fraction of an upstream's limit that an entry may use while it places
// requests by itself. The number of entries with a share is limited so that each of them can soon
// send a whole request: if hundreds of entries had a tiny share, each would save up for one
// request, and all would send it at once. The entries are chosen by rendezvous hashing.
func limitShare(upstream string, rate float64, node string, entries []string) float64 {
	holders := min(1+int(min(rate, float64(len(entries)))), len(entries))
	weight := func(n string) uint64 { return xxhash.Sum64String(n + "\x00" + upstream) }
	rank := 0
	for _, n := range entries {
		if n != node && cmp.Or(cmp.Compare(weight(n), weight(node)), cmp.Compare(n, node)) < 0 {
			rank++
		}
	}
	if rank >= holders {
		return 0
	}
	return 1 / float64(holders)
}

// handleLimits takes the limits that an entry has seen.
func (h *Hub) handleLimits(l *wire.Limits) error {
	s := h.scheduler()
	if s == nil {
		return h.notLeaderFault()
	}
	h.applyLimits(s, l.GetLimits())
	h.applyBrittle(s, l.GetBrittle())
	h.applyLeaving(s, l.GetLeaving())
	s.sched.RecordSpeeds(l.GetSpeeds())
	return nil
}

// applyLimits records limits and announces the changed ones to the scheduler.
func (h *Hub) applyLimits(s *scheduler, list []*wire.Limit) {
	for _, id := range s.limits.merge(time.Now(), list) {
		rate, ok := s.limits.rate(id)
		h.Log.Info("Rate limit of an upstream changed.", "upstream", id, "limited", ok, "per-second", rate)
		if a := s.upstreams.setLimit(time.Now(), id, s.limitFor(id)); a != nil {
			s.announce(a)
		}
	}
}

// limitFor returns the limit that this scheduler enforces for an upstream, or nil for none. A
// scheduler of a data centre that is cut off enforces a fraction in proportion to the entries
// there.
func (s *scheduler) limitFor(upstream string) *wire.Limit {
	rate, ok := s.limits.rate(upstream)
	if !ok {
		return nil
	}
	if s.scope == scopeDataCentre {
		s.mu.Lock()
		rate *= float64(s.entriesHere) / float64(max(s.entriesTotal, s.entriesHere, 1))
		s.mu.Unlock()
	}
	return &wire.Limit{Upstream: upstream, PerSecond: rate}
}
