// Package owner answers the tickets of all entries for the pools that this
// process owns, and lets go of them when it owns a pool no longer.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	// UpstreamDiscovery is how long a new owner waits to hear of upstreams before it says
	// that there are none. Entries pass on the announcements that they know at
	// once, and every upstream announces itself anew within a second, so after
	// this time what is unknown is not there. Without it, each takeover refuses
	// the tickets that arrive before the first announcement.
	UpstreamDiscovery = 1500 * time.Millisecond
	retry  = 50 * time.Millisecond
	// RemoteTimeout is how long an entry of another data centre may send no list
	// of the slots that it holds. No member here probes it, so nothing else would
	// tell that it died or is cut off, and its slots would stay taken.
	RemoteTimeout = 15 * time.Second
	lookEvery  = time.Second
)

var errMoved = errors.New("owner: the pool has moved")

type (
	// Owner stands before the schedulers of this process. Its exported fields
	// are set before use.
	Owner struct {
		Owns  func(pool string) bool
		Sched schedulers

		mu    sync.Mutex
		calls map[*call]struct{}
		since map[string]time.Time // When a pool became this process's.
		far   map[string]time.Time // Incarnations of other data centres, when last heard.
	}

	call struct {
		*wire.Ticket
		cancel context.CancelCauseFunc
	}

	schedulers interface {
		Submit(ctx context.Context, t *wire.Ticket) *wire.Decision
		Forget(incarnation string)
	}
)

// Submit waits for the decision on a ticket. The error is a *wire.Fault with
// wire.CodeMoved when the pool is or becomes another member's.
func (o *Owner) Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &call{t, cancel}
	since := o.enter(c)
	defer o.leave(c)
	// Only now: a change before was seen here, one after cancels the call.
	if !o.Owns(t.GetPool()) {
		return nil, moved(t)
	}
	for {
		d := o.Sched.Submit(ctx, t)
		if d.GetGrant() == nil && errors.Is(context.Cause(ctx), errMoved) {
			return nil, moved(t)
		}
		if d.GetRefusal().GetCode() != refuse.NoUpstream || time.Since(since) > UpstreamDiscovery || ctx.Err() != nil {
			return d, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry):
		}
	}
}

// OwnershipChanged lets go of the calls whose pool is no longer this process's. Their
// tickets leave the queue, and their entries are told at once to ask elsewhere.
func (o *Owner) OwnershipChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for p := range o.since {
		if !o.Owns(p) {
			delete(o.since, p)
		}
	}
	for c := range o.calls {
		if !o.Owns(c.GetPool()) {
			c.cancel(errMoved)
		}
	}
}

// Forget drops what a lost incarnation held and waited for. Should it live,
// taken for dead by mistake, its calls return and it asks again.
func (o *Owner) Forget(incarnation string) {
	o.mu.Lock()
	for c := range o.calls {
		if c.GetIncarnation() == incarnation {
			c.cancel(errMoved)
		}
	}
	o.mu.Unlock()
	o.Sched.Forget(incarnation)
}

func (o *Owner) enter(c *call) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls, o.since, o.far = map[*call]struct{}{}, map[string]time.Time{}, map[string]time.Time{}
	}
	o.calls[c] = struct{}{}
	if c.GetAbroad() {
		o.far[c.GetIncarnation()] = time.Now()
	}
	since, ok := o.since[c.GetPool()]
	if !ok {
		since = time.Now()
		o.since[c.GetPool()] = since
	}
	return since
}

func (o *Owner) leave(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
}

func moved(t *wire.Ticket) *wire.Fault {
	return &wire.Fault{Code: wire.CodeMoved, Text: "pool " + t.GetPool() + " is another member's"}
}
