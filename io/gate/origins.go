package gate

import (
	"context"
	"sync"
	"time"

	"azurelane/core/digest"
	"azurelane/core/origin"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	// maxOrigins is the number of streams whose versions an entry remembers, and
	// maxUnreportedOrigins how many of those wait to be reported at once.
	maxOrigins           = 1 << 14
	maxUnreportedOrigins = 1 << 12
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
		unreported []*wire.Origin // Streams that the scheduler does not know.
	}

	// streamOrigin says which version of upstreams may run a request. Once a caller holds events of a
	// stream, only the version that sent them may go on.
	streamOrigin struct {
		stream  digest.Digest // Names the stream.
		named   bool          // Whether the caller said which stream it is.
		maxAge  time.Duration // How long ago the stream may have begun; zero if the request is no stream.
		keep    time.Duration // How long the stream may be taken up from now on.
		goesOn  bool          // The caller holds events of the stream.
		bound   bool          // Only upstreams of version began may run the request.
		began   string
		grantor string // Incarnation of the scheduler that recorded the last grant; empty if none did.
		version string // Version that was recorded.
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
func (o *streamOrigin) describe(t *wire.Ticket, scheduler string) {
	if o.named {
		t.Stream, t.KeepUs = o.stream[:], o.keep.Microseconds()
	}
	t.MaxAgeUs = o.maxAge.Microseconds()
	t.GoesOn, t.Bound, t.Began = o.goesOn, o.bound, o.began
	if !o.bound && o.grantor != "" && o.grantor != scheduler {
		// The former scheduler may answer an entry that asks for this stream.
		t.Bound, t.Began = true, o.version
	}
}

// granted notes the version of a grant.
func (o *streamOrigin) granted(g *wire.Grant) {
	switch {
	case o.maxAge == 0: // The request is no stream.
	case o.goesOn:
		o.bound, o.began = true, g.GetVersion()
	case g.GetReport():
		o.grantor, o.version = "", ""
	default:
		o.grantor, o.version = g.GetOwner(), g.GetVersion()
	}
}

// findOrigin finds out which version may run a request that this entry places itself.
func (q *request) findOrigin(ctx context.Context) error {
	o := &q.origin
	switch {
	case o.bound:
		return nil
	case o.grantor != "":
		// A scheduler may answer an entry that asks for this stream.
		o.bound, o.began = true, o.version
		return nil
	case !o.goesOn:
		return nil
	}
	if o.began, o.bound = q.gate.Cluster.OnlyVersion(q.pool, o.maxAge); o.bound {
		return nil
	}
	if o.named && q.view.Owner != nil {
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
		if u.GetVersion() == q.origin.began {
			return false
		}
	}
	return true
}

// mayLearnOrigin reports whether a scheduler that is found soon may know the stream that err refuses.
func (q *request) mayLearnOrigin(err error) bool {
	return q.origin.named && q.view.Owner == nil && hasCode(err, refuse.UnknownStream)
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
	g.origins.streams.Limit = maxOrigins
	g.origins.streams.Record(now, o.stream, o.began, o.keep)
	if p.grant != nil && !p.grant.GetReport() {
		return // The scheduler recorded it with the grant.
	}
	g.queueOrigins([]*wire.Origin{{Stream: o.stream[:], Version: o.began, KeepUs: o.keep.Microseconds()}})
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
