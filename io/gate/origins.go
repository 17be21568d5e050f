package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurelane/core/digest"
	"azurelane/core/origin"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	// maxUnreportedOrigins is the number of streams that wait to be reported at once.
	maxUnreportedOrigins = 1 << 14
	// A stream may be taken up until its caller's deadline, but no longer than for takeUpFactor times
	// the timeout of its route, or for minTakeUp if that is more.
	takeUpFactor = 4
	minTakeUp    = time.Minute
	// takeUpMargin is added to that time for the way of a caller's last attempt.
	takeUpMargin = time.Second
)

type (
	// origins remembers at which version the streams of this entry began. The zero value is ready.
	origins struct {
		streams origin.Origin

		mu         sync.Mutex
		mixed      []string       // Pools of several versions, as the scheduler says.
		unreported []*wire.Origin // Streams that the scheduler does not know.
	}

	// streamOrigin says which version of upstreams may run a request. Once a caller holds events of a
	// stream, only the version that sent them may go on.
	streamOrigin struct {
		stream digest.Digest // Names the stream.
		named  bool          // Whether the caller said which stream it is.
		maxAge time.Duration // How long ago the stream may have begun; zero if the request is no stream.
		keep   time.Duration // How long the stream may be taken up from now on.
		goesOn bool          // The caller holds events of the stream.
		bound  bool          // Only upstreams of version began may run the request.
		began  string
	}
)

// streamAttempt returns the attempt that brought, or will bring, the first event of the request's
// stream; empty if the caller does not name it.
func (q *request) streamAttempt() string {
	if q.route.Stream && q.meta.LastEvent != "" {
		return q.meta.Resumes
	}
	return q.meta.ID
}

// initOrigin finds out whether the request takes a stream up, and whether this entry began it.
func (q *request) initOrigin() {
	if !q.route.Stream {
		return
	}
	o := &q.origin
	o.maxAge = max(takeUpFactor*q.route.Timeout, minTakeUp) + takeUpMargin
	o.keep = o.maxAge
	if q.meta.Deadline > 0 {
		o.keep = min(o.keep, q.meta.Deadline+takeUpMargin)
	}
	o.goesOn = q.meta.LastEvent != ""
	attempt := q.streamAttempt()
	if attempt == "" {
		return
	}
	o.named, o.stream = true, origin.Key(q.account, q.pool, attempt)
	if o.goesOn {
		o.began, o.bound = q.gate.origins.streams.Version(time.Now(), o.stream)
	}
}

// describe adds to a ticket what the scheduler has to know of the stream.
func (o *streamOrigin) describe(t *wire.Ticket) {
	if o.named {
		t.Stream, t.KeepUs = o.stream[:], o.keep.Microseconds()
	}
	t.MaxAgeUs = o.maxAge.Microseconds()
	t.GoesOn, t.Bound, t.Began = o.goesOn, o.bound, o.began
}

// granted notes the version of a grant.
func (o *streamOrigin) granted(g *wire.Grant) {
	if o.goesOn {
		o.bound, o.began = true, g.GetVersion()
	}
}

// findOrigin finds out which version may run a request that this entry places itself.
func (q *request) findOrigin(ctx context.Context) error {
	o := &q.origin
	if o.bound || !o.goesOn {
		return nil
	}
	// This entry does not go by its own roster: while it has lost touch, streams may begin elsewhere at
	// a version that it has not heard of.
	if q.view.Owner != nil {
		version, known, err := q.gate.Origins.FindOrigin(ctx, q.pool, o.stream, o.maxAge)
		if err != nil {
			q.gate.Log.Info("Scheduler not asked for the version of a stream.", "request", q.meta.ID, "err", err.Error())
		}
		if o.began, o.bound = version, known; known {
			return nil
		}
	}
	return refuse.New(refuse.UnknownStream, "it is not known at which version of the upstreams the stream began", 0)
}

// versionGone reports whether no serving upstream is left that may run a bound request.
func (q *request) versionGone() bool {
	if !q.origin.bound {
		return false
	}
	for _, u := range q.view.Upstreams[q.pool] {
		if u.GetVersion() == q.origin.began && !q.leaves(u) {
			return false
		}
	}
	return true
}

// mayLearnOrigin reports whether a scheduler that is found soon may know the stream that err refuses.
func (q *request) mayLearnOrigin(err error) bool {
	return q.view.Owner == nil && hasCode(err, refuse.UnknownStream)
}

func isVersionGone(err error) bool { return hasCode(err, refuse.VersionGone) }

func hasCode(err error, code string) bool {
	var refusal *refuse.Error
	return asError(err, &refusal) && refusal.Code == code
}

// recordOrigin records the version of a stream that has just sent its first event by a placement.
func (g *Gate) recordOrigin(now time.Time, q *request, p *placement) {
	o := &q.origin
	o.goesOn, o.bound, o.began = true, true, p.upstream.GetVersion()
	if !o.named {
		return
	}
	g.origins.streams.Record(now, o.stream, o.began, o.keep)
	if p.grant != nil && !p.grant.GetReport() && !g.isMixed(q.pool) {
		return // The scheduler asks for it once the pool has another version.
	}
	g.queueOrigins([]*wire.Origin{{Stream: o.stream[:], Version: o.began, KeepUs: o.keep.Microseconds()}})
}

// isMixed reports whether a pool has several versions, as far as this entry knows.
func (g *Gate) isMixed(pool string) bool {
	g.origins.mu.Lock()
	defer g.origins.mu.Unlock()
	return slices.Contains(g.origins.mixed, pool)
}

// SetMixed takes the pools of several versions. When there are new ones, all streams are reported.
func (g *Gate) SetMixed(pools []string) {
	g.origins.mu.Lock()
	isNew := slices.ContainsFunc(pools, func(p string) bool { return !slices.Contains(g.origins.mixed, p) })
	g.origins.mixed = pools
	g.origins.mu.Unlock()
	if isNew {
		g.queueOrigins(g.KnownOrigins())
	}
}

// KnownOrigins returns the versions of all streams that this entry remembers, for a new scheduler.
func (g *Gate) KnownOrigins() []*wire.Origin { return g.origins.streams.List(time.Now()) }

// TakeOriginReports returns the streams that are to be reported to the scheduler.
func (g *Gate) TakeOriginReports() []*wire.Origin {
	g.origins.mu.Lock()
	defer g.origins.mu.Unlock()
	list := g.origins.unreported
	g.origins.unreported = nil
	return list
}

// RequeueOriginReports queues streams again that the scheduler did not take.
func (g *Gate) RequeueOriginReports(list []*wire.Origin) { g.queueOrigins(list) }

// queueOrigins queues streams for the next report. Beyond maxUnreportedOrigins they are left out.
func (g *Gate) queueOrigins(list []*wire.Origin) {
	g.origins.mu.Lock()
	room := maxUnreportedOrigins - len(g.origins.unreported)
	g.origins.unreported = append(g.origins.unreported, list[:min(len(list), room)]...)
	g.origins.mu.Unlock()
	g.reportSignal.notify()
}
