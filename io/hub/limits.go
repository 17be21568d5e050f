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
	// limits is what upstreams have named of the requests that they take, by the answers
	// that entries have seen. The zero value is ready.
	limits struct {
		mu     sync.Mutex
		byUp   map[string]limited
		change signal
	}

	limited struct {
		rate  float64   // Requests a second.
		sent  time.Time // When the request was sent whose answer named it.
		heard time.Time // When that was reported last.
	}
)

// take notes what entries have seen, and returns the upstreams whose limits changed.
// Answers may come in another order than that in which they were made: a stream's head
// waits at a slow entry, or its report on a bad link. An answer without a limit ends one
// only if its request was sent after the limit was heard of, and one to an older request
// changes nothing.
func (l *limits) take(now time.Time, list []*wire.Limit) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var changed []string
	listed := len(l.byUp)
	named := false
	for _, r := range list {
		sent := now.Add(-time.Duration(r.GetAgeUs()) * time.Microsecond)
		was, had := l.byUp[r.GetUpstream()]
		switch {
		case r.GetEnded():
			if !had || !sent.After(was.heard) {
				continue
			}
			delete(l.byUp, r.GetUpstream())
		case had && sent.Before(was.sent):
			continue
		default:
			if l.byUp == nil {
				l.byUp = map[string]limited{}
			}
			l.byUp[r.GetUpstream()] = limited{r.GetPerSecond(), sent, now}
			if had && was.rate == r.GetPerSecond() {
				continue
			}
			named = named || !had
		}
		changed = append(changed, r.GetUpstream())
	}
	// A rate that changes with each answer must not wake all entries each time. They
	// hear it with their next question; the scheduler's own grants keep to it at once.
	if named || len(l.byUp) != listed {
		l.change.raise()
	}
	return changed
}

// keep drops the limits of upstreams that are gone.
func (l *limits) keep(known func(upstream string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.byUp, func(id string, _ limited) bool { return !known(id) })
}

// drop forgets the limit of an upstream that has started anew.
func (l *limits) drop(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byUp, upstream)
}

// changed is closed when an upstream next names a limit or no longer does.
func (l *limits) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.change.wait()
}

// rate is the limit of an upstream; ok is false where it has none.
func (l *limits) rate(upstream string) (rate float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byUp[upstream]
	return e.rate, ok
}

// list is what an entry is told, with its own shares among the entries. Unless these are
// all, it keeps the shares that it has.
func (l *limits) list(now time.Time, node string, known func() (entries []string, all bool)) []*wire.Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byUp) == 0 {
		return nil
	}
	entries, all := known()
	list := make([]*wire.Limit, 0, len(l.byUp))
	for _, id := range slices.Sorted(maps.Keys(l.byUp)) {
		e := l.byUp[id]
		list = append(list, &wire.Limit{
			Upstream: id, PerSecond: e.rate, AgeUs: now.Sub(e.sent).Microseconds(), Share: share(id, e.rate, node, entries), KeepShare: !all,
		})
	}
	return list
}

// share is the part of an upstream's limit that an entry may use by itself. Only so many
// entries have one that each soon gets a whole request of it: with a small part for each
// of hundreds, each would save up one, and all of them send it at once.
func share(upstream string, rate float64, node string, entries []string) float64 {
	most := min(1+int(min(rate, float64(len(entries)))), len(entries))
	weight := func(n string) uint64 { return xxhash.Sum64String(n + "\x00" + upstream) }
	before := 0
	for _, n := range entries {
		if n != node && cmp.Or(cmp.Compare(weight(n), weight(node)), cmp.Compare(n, node)) < 0 {
			before++
		}
	}
	if before >= most {
		return 0
	}
	return 1 / float64(most)
}

// handleLimits takes what an entry has heard.
func (h *Hub) handleLimits(l *wire.Limits) error {
	r := h.scheduler()
	if r == nil {
		return h.moved()
	}
	h.limit(r, l.GetLimits())
	return nil
}

// limit notes limits and has the scheduler keep to them.
func (h *Hub) limit(r *reign, list []*wire.Limit) {
	for _, id := range r.limits.take(time.Now(), list) {
		rate, ok := r.limits.rate(id)
		h.Log.Info("Limit of an upstream changed.", "upstream", id, "limited", ok, "per-second", rate)
		if a := r.beats.limit(time.Now(), id, r.limited(id)); a != nil {
			r.sched.Announce(a)
		}
	}
}

// limited is the limit of an upstream as this scheduler keeps it, nil for none. One of a
// data centre that is cut off has the part of its entries.
func (r *reign) limited(upstream string) *wire.Limit {
	rate, ok := r.limits.rate(upstream)
	if !ok {
		return nil
	}
	if r.scope == centre {
		r.mu.Lock()
		rate *= float64(r.here) / float64(max(r.all, r.here, 1))
		r.mu.Unlock()
	}
	return &wire.Limit{Upstream: upstream, PerSecond: rate}
}
