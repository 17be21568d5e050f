package hub

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/depart"
	"azurelane/core/wire"
)

// leaving holds the upstreams that have said in responses to entries that they leave, whatever their
// reports say. The zero value is ready.
type leaving struct {
	mu         sync.Mutex
	known      depart.Depart
	unrecorded []*wire.Leaving // The roster does not say so yet.
	change     signal          // Of unrecorded.
}

// add records what entries report and returns what is new.
func (l *leaving) add(now time.Time, list []*wire.Leaving) []*wire.Leaving {
	if len(list) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []*wire.Leaving
	for _, r := range list {
		if l.known.Record(r.GetUpstream(), r.GetBorn(), now.Add(-micros(r.GetAgeUs()))) {
			added = append(added, r)
		}
	}
	if len(added) > 0 {
		l.unrecorded = append(l.unrecorded, added...)
		l.change.broadcast()
	}
	return added
}

// apply returns the roster entry of an upstream as it has to be scheduled.
func (l *leaving) apply(u *wire.Upstream) *wire.Upstream {
	if u.GetState() != wire.Upstream_STATE_SERVING {
		return u
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known.Since(u.GetId(), u.GetBorn()); !ok {
		return u
	}
	return leaver(u)
}

// leaver returns the roster entry of an upstream that leaves from now on.
func leaver(u *wire.Upstream) *wire.Upstream {
	u = proto.CloneOf(u)
	u.State = wire.Upstream_STATE_LEAVING
	return u
}

// next returns what the roster does not say yet, and a channel that closes when there is more.
func (l *leaving) next() ([]*wire.Leaving, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unrecorded, l.change.wait()
}

// recorded drops the first elements of unrecorded.
func (l *leaving) recorded(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unrecorded = l.unrecorded[n:]
}

// forget drops upstreams that have been gone for goneRetention.
func (l *leaving) forget(now time.Time, known func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known.Forget(now.Add(-goneRetention), known)
}

// applyLeaving takes the upstreams that leave, as entries report. They get no more requests at once.
func (h *Hub) applyLeaving(s *scheduler, list []*wire.Leaving) {
	for _, r := range s.leaving.add(time.Now(), list) {
		u := h.Replica.Upstream(r.GetUpstream())
		h.Log.Info("Upstream has said in a response that it leaves.", "upstream", r.GetUpstream(), "born", r.GetBorn(), "entry", r.GetEntry(),
			"age", micros(r.GetAgeUs()).String(), "pool", u.GetPool(), "state", u.GetState().String())
		// The roster may say so already: recordLeaving runs as soon as the report is known.
		if u != nil && s.leaving.apply(u).GetState() == wire.Upstream_STATE_LEAVING {
			h.announce(s, u, leaseIntervals)
		}
	}
}

// recordLeaving writes into the roster which upstreams leave, so that all entries and later schedulers
// learn of it.
func (h *Hub) recordLeaving(ctx context.Context, s *scheduler) {
	for {
		list, changed := s.leaving.next()
		var retry <-chan time.Time
		for _, r := range list {
			if err := h.enrollLeaving(ctx, s, r); err != nil {
				h.Log.Info("Upstream that leaves not recorded; trying again.", "upstream", r.GetUpstream(), "err", err.Error())
				retry = time.After(recordRetryDelay)
				break
			}
			s.leaving.recorded(1)
		}
		if len(list) > 0 && retry == nil {
			h.refreshRollouts(s)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// enrollLeaving records in the roster that an upstream leaves, unless it is gone or has restarted.
func (h *Hub) enrollLeaving(ctx context.Context, s *scheduler, r *wire.Leaving) error {
	u := h.Replica.Upstream(r.GetUpstream())
	if u == nil || s.leaving.apply(u) == u {
		return nil
	}
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: leaver(u)}}}); err != nil {
		return fmt.Errorf("hub: enroll: %w", err)
	}
	return nil
}
