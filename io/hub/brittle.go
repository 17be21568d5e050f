package hub

import (
	"maps"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
)

// brittleRetention is how long an upstream that is silent makes its pool count as brittle.
const brittleRetention = 30 * time.Second

type (
	// brittle holds how many requests upstreams may refuse in a second. Upstreams tell it in their
	// responses, and entries report it. The zero value is ready.
	brittle struct {
		mu         sync.Mutex
		byUpstream map[string]brittleUpstream
		byPool     map[string]int64 // Least number of a pool's brittle upstreams.
		change     signal
	}

	brittleUpstream struct {
		pool string
		most int64     // Zero for any number.
		sent time.Time // Send time of the request whose response told it.
	}
)

// merge records what entries report. It returns the upstreams and the pools for which that changes
// something. A response changes nothing if its request was sent before the one whose response counts
// so far.
func (b *brittle) merge(now time.Time, list []*wire.Brittle, poolOf func(upstream string) string) (upstreams, pools map[string]bool) {
	if len(list) == 0 {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	upstreams = map[string]bool{}
	for _, r := range list {
		id, sent := r.GetUpstream(), now.Add(-micros(r.GetAgeUs()))
		old, known := b.byUpstream[id]
		pool := poolOf(id)
		if pool == "" || (known && sent.Before(old.sent)) || (!known && r.GetMost() <= 0 && b.byPool[pool] == 0) {
			continue
		}
		if b.byUpstream == nil {
			b.byUpstream = map[string]brittleUpstream{}
		}
		b.byUpstream[id] = brittleUpstream{pool, max(r.GetMost(), 0), sent}
		if !known || old.most != r.GetMost() {
			upstreams[id] = true
		}
	}
	return upstreams, b.updatePools()
}

// updatePools computes the least numbers of the pools, and returns the pools whose number has changed.
// b.mu must be held.
func (b *brittle) updatePools() map[string]bool {
	before := b.byPool
	b.byPool = map[string]int64{}
	for _, u := range b.byUpstream {
		if least := b.byPool[u.pool]; u.most > 0 && (least == 0 || u.most < least) {
			b.byPool[u.pool] = u.most
		}
	}
	changed := map[string]bool{}
	for _, list := range []map[string]int64{before, b.byPool} {
		for pool := range list {
			if before[pool] != b.byPool[pool] {
				changed[pool] = true
			}
		}
	}
	if len(changed) > 0 {
		b.change.broadcast()
	}
	return changed
}

// of returns how many requests an upstream may refuse in a second, and whether that is known from
// others of its pool only.
func (b *brittle) of(id, pool string) (most int64, fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u, ok := b.byUpstream[id]; ok {
		return u.most, false
	}
	return b.byPool[pool], b.byPool[pool] > 0
}

// pools returns the pools with brittle upstreams.
func (b *brittle) pools() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.byPool))
}

// retain drops the upstreams for which known returns false, and returns the pools for which that
// changes something.
func (b *brittle) retain(known func(upstream string) bool) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.byUpstream, func(id string, _ brittleUpstream) bool { return !known(id) })
	return b.updatePools()
}

// changed returns a channel that closes with the next change of a pool.
func (b *brittle) changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.change.wait()
}

// applyBrittle records what entries report of brittle upstreams.
func (h *Hub) applyBrittle(s *scheduler, list []*wire.Brittle) {
	upstreams, pools := s.brittle.merge(time.Now(), list, s.upstreams.poolOf)
	h.announceBrittle(s, upstreams, pools)
}

// announceBrittle announces the upstreams for which something has changed, by themselves or with their
// pools.
func (h *Hub) announceBrittle(s *scheduler, upstreams, pools map[string]bool) {
	if len(upstreams)+len(pools) == 0 {
		return
	}
	h.Log.Info("Brittle upstreams changed.", "upstreams", len(upstreams), "pools", s.brittle.pools())
	for _, a := range s.upstreams.announceIf(time.Now(), func(u *wire.Upstream) bool { return upstreams[u.GetId()] || pools[u.GetPool()] }) {
		s.announce(a)
	}
}

// announce passes the announcement of an upstream to the policies, with what is known of its
// brittleness.
func (s *scheduler) announce(a *wire.Announce) {
	a.Brittle, a.Fresh = s.brittle.of(a.GetUpstream(), a.GetPools()[0])
	s.sched.Announce(a)
}
