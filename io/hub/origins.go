package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurelane/core/census"
	"azurelane/core/digest"
	"azurelane/core/origin"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	// originWait is how long a stream may stay unknown before it is refused: an entry reports the
	// streams that it places itself just after their first event.
	originWait = 60 * time.Millisecond
	// takeoverOriginWait is the same during originTakeover, while entries still report to a new
	// scheduler what they know.
	takeoverOriginWait = 500 * time.Millisecond
	originTakeover     = 2 * time.Second
	originPollInterval = 10 * time.Millisecond
	// minMaxAge is the least time for which a pool counts as mixed after it has one version again.
	minMaxAge = time.Minute
	// maxOriginWaiters is how many unknown streams wait at once. The others are refused at once.
	maxOriginWaiters = 512
)

// origins holds the versions at which streams began, as far as entries have told a scheduler. While a
// pool has one version only, they tell nothing. The zero value is ready.
type origins struct {
	streams origin.Origin

	mu      sync.Mutex
	census  census.Census
	maxAge  time.Duration // Longest time for which a stream may be taken up, as far as known.
	mixed   []string      // Pools that have had several versions within maxAge, sorted.
	change  signal        // Of mixed.
	waiters int
}

// observe records the version of an upstream.
func (o *origins) observe(now time.Time, u *wire.Upstream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.census.Add(now, u.GetId(), u.GetPool(), u.GetVersion())
	if u.GetState() == wire.Upstream_STATE_GONE {
		o.census.Remove(now, u.GetId())
	}
	o.update(now, u.GetPool())
}

// restore takes over what earlier schedulers knew of versions whose upstreams have left. Streams of theirs may
// still be taken up.
func (o *origins) restore(now time.Time, r replica) {
	list, clockUs := r.FormerVersions()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, f := range list {
		o.census.AddFormer(now, f.GetPool(), f.GetVersion(), now.Add(-micros(max(clockUs-f.GetLeftUs(), 0))))
	}
}

// update updates whether a pool is mixed. o.mu must be held.
func (o *origins) update(now time.Time, pool string) {
	_, single := o.census.Only(now, pool, max(o.maxAge, minMaxAge))
	n, known := slices.BinarySearch(o.mixed, pool)
	if single != known {
		return
	}
	// Lists that were returned before stay as they are.
	if single {
		o.mixed = slices.Concat(o.mixed[:n], o.mixed[n+1:])
	} else {
		o.mixed = slices.Concat(o.mixed[:n], []string{pool}, o.mixed[n:])
	}
	o.change.broadcast()
}

// sweep updates which pools are still mixed.
func (o *origins) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, pool := range o.mixed {
		o.update(now, pool)
	}
}

// mixedPools returns the pools whose streams entries report.
func (o *origins) mixedPools() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mixed
}

// changed returns a channel that closes when the mixed pools next change.
func (o *origins) changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.change.wait()
}

// only returns the version of a pool's upstreams, if they have had one version only for the given
// time.
func (o *origins) only(now time.Time, pool string, within time.Duration) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.maxAge = max(o.maxAge, within)
	return o.census.Only(now, pool, within)
}

// startWait reports whether one more stream may wait until it is known.
func (o *origins) startWait() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiters >= maxOriginWaiters {
		return false
	}
	o.waiters++
	return true
}

func (o *origins) endWait() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiters--
}

// findOrigin calls found with the version at which a stream began, and whether it is known. If the
// stream is unknown, findOrigin waits for reports of it for a while.
func (s *scheduler) findOrigin(ctx context.Context, pool string, name []byte, maxAge time.Duration, found func(version string, known bool)) {
	stream, ok := digest.From(name)
	now := time.Now()
	if version, known := s.origins.streams.Version(now, stream); ok && known {
		found(version, true)
		return
	}
	search := func() {
		if !ok || !s.origins.startWait() {
			found("", false)
			return
		}
		wait := originWait
		if now.Sub(s.startedAt) < originTakeover {
			wait = takeoverOriginWait
		}
		s.awaitOrigin(ctx, stream, now.Add(wait), found)
	}
	// A scheduler that is cut off does not know which versions have come elsewhere.
	if _, single := s.origins.only(now, pool, maxAge); s.scope != scopeDeployment || !single {
		search()
		return
	}
	s.leadership.confirm(func(leads bool) {
		if version, single := s.origins.only(time.Now(), pool, maxAge); leads && single {
			found(version, true)
			return
		}
		search()
	})
}

// awaitOrigin looks for a stream again and again until it is known or the given time has come.
func (s *scheduler) awaitOrigin(ctx context.Context, stream digest.Digest, until time.Time, found func(version string, known bool)) {
	time.AfterFunc(originPollInterval, func() {
		now := time.Now()
		version, known := s.origins.streams.Version(now, stream)
		if !known && now.Before(until) && ctx.Err() == nil {
			s.awaitOrigin(ctx, stream, until, found)
			return
		}
		s.origins.endWait()
		found(version, known)
	})
}

// submitResumed submits the ticket of a stream of which the caller holds events, once it is known at
// which version the stream began.
func (s *scheduler) submitResumed(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	start := time.Now()
	s.findOrigin(ctx, t.GetPool(), t.GetStream(), micros(t.GetMaxAgeUs()), func(version string, known bool) {
		if !known {
			s.refuseStream(t, refuse.UnknownStream, start, done)
			return
		}
		t.Bound, t.Began = true, version
		s.schedule(ctx, t, done)
	})
}

// refuseStream refuses a ticket whose stream can't go on.
func (s *scheduler) refuseStream(t *wire.Ticket, code string, start time.Time, done func(*wire.Decision)) {
	d := refuse.Ticket(t, code, 0)
	s.recordRefusal(t, d.GetRefusal(), start, 0)
	done(d)
}

// recordGrant keeps a stream that goes on from being forgotten, and tells the entry whether to report a
// new one. The version of a new stream is not certain before its first event: the answer with the grant
// may get lost, and the entry begin the stream at another version.
func (o *origins) recordGrant(now time.Time, t *wire.Ticket, g *wire.Grant) {
	stream, ok := digest.From(t.GetStream())
	switch {
	case !ok:
	case t.GetGoesOn():
		o.streams.Record(now, stream, g.GetVersion(), micros(t.GetKeepUs()))
	default:
		_, g.Report = slices.BinarySearch(o.mixedPools(), t.GetPool())
	}
}

// handleOrigins answers a frame about the versions at which streams began.
func (h *Hub) handleOrigins(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	s := h.scheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	if o := f.GetOrigins(); o != nil {
		s.origins.streams.Merge(time.Now(), o.GetOrigins())
		return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
	}
	query, answer := f.GetOriginQuery(), make(chan *wire.Origins, 1)
	s.findOrigin(ctx, query.GetPool(), query.GetStream(), micros(query.GetMaxAgeUs()), func(version string, known bool) {
		o := &wire.Origins{}
		if known {
			o.Origins = append(o.Origins, &wire.Origin{Stream: query.GetStream(), Version: version})
		}
		answer <- o
	})
	return &wire.Frame{Body: &wire.Frame_Origins{Origins: <-answer}}, nil
}
