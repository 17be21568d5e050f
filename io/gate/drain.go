package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"azurelane/core/refuse"
)

// drainRetryAfter is the Retry-After of a draining entry. It is short because other entries still
// serve.
const drainRetryAfter = 50 * time.Millisecond

var errDraining = refuse.New(refuse.ShuttingDown, "", drainRetryAfter)

type (
	// DrainSchedule says how a draining entry treats requests.
	DrainSchedule struct {
		// RefuseFrom is the time from which requests that may run past Deadline are refused, those
		// included that wait for an upstream or whose body has not come whole.
		RefuseFrom time.Time
		Deadline   time.Time // Requests that still run at this time are ended.
	}

	// drain is the state of a drain. The zero value is that of an entry that doesn't drain.
	drain struct {
		schedule atomic.Pointer[DrainSchedule]

		init     sync.Once
		refusing context.Context // Ends at RefuseFrom.
		refuse   context.CancelFunc
	}
)

// Drain starts draining. From now on each response asks the caller to close its connection.
func (g *Gate) Drain(s DrainSchedule) {
	g.drain.schedule.Store(&s)
	time.AfterFunc(time.Until(s.RefuseFrom), func() {
		g.drain.context()
		g.drain.refuse()
	})
}

func (d *drain) begun() bool { return d.schedule.Load() != nil }

// context returns a context that ends at RefuseFrom.
func (d *drain) context() context.Context {
	d.init.Do(func() { d.refusing, d.refuse = context.WithCancel(context.Background()) })
	return d.refusing
}

// drainCutsOff reports whether a draining entry must refuse the request, because it would be cut
// off if it took all of its time.
func (q *request) drainCutsOff() bool {
	s, now := q.gate.drain.schedule.Load(), time.Now()
	return s != nil && !now.Before(s.RefuseFrom) && now.Add(q.remaining()).After(s.Deadline)
}

// onDrain calls f, once, if the entry drains and has to refuse the request, until stop is called.
func (q *request) onDrain(f func()) (stop func() bool) {
	return context.AfterFunc(q.gate.drain.context(), func() {
		if q.drainCutsOff() {
			f()
		}
	})
}

// whilePlaced returns the context of a search for an upstream. A request that has not run is refused
// once the entry drains; one that has run is placed until the end, as it has no other chance.
func (q *request) whilePlaced(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.tried.Ran() > 0 || q.headerSent {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := q.onDrain(func() { cancel(errDraining) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
