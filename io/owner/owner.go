// Package owner accepts tickets of all entries for the pools that this process owns, and cancels
// them when the process loses the ownership of a pool.
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
	// UpstreamDiscovery is how long a new owner waits for announcements of upstreams before it
	// refuses tickets because there are none. Entries forward the announcements that they know at
	// once, and every upstream announces itself again within 1 s, so an upstream that is still
	// unknown after this time is not available. Without the wait, each takeover would refuse the
	// tickets that arrive before the first announcement.
	UpstreamDiscovery = 1500 * time.Millisecond
	retryInterval     = 50 * time.Millisecond
	// RemoteTimeout is how long an entry of another data centre may omit its list of held slots
	// before its slots are freed. The members of this data centre don't probe it, so only missing
	// lists show that it has crashed or is unreachable; its slots would otherwise stay taken.
	RemoteTimeout  = 15 * time.Second
	expiryInterval = time.Second
)

var errResubmit = errors.New("owner: ticket must be sent to the current owner of the pool")

type (
	// Owner accepts tickets for the schedulers of this process. Its exported fields must be set
	// before use.
	Owner struct {
		Owns  func(pool string) bool
		Sched scheduler

		mu            sync.Mutex
		calls         map[*call]struct{}
		ownedSince    map[string]time.Time // Time of the first ticket since the process took over a pool.
		remoteHeardAt map[string]time.Time // By incarnation of an entry in another data centre.
	}

	call struct {
		*wire.Ticket
		cancel context.CancelCauseFunc
	}

	scheduler interface {
		Submit(ctx context.Context, t *wire.Ticket) *wire.Decision
		Forget(incarnation string)
	}
)

// Submit waits for the decision on a ticket. The error is a *wire.Fault with wire.CodeMoved if
// another member owns the pool or takes it over, or if Forget is called for the ticket's entry.
func (o *Owner) Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c := &call{t, cancel}
	since := o.addCall(c)
	defer o.removeCall(c)
	// The call must be registered before this check: a change of ownership before the check is seen
	// here, and a later one cancels the call.
	if !o.Owns(t.GetPool()) {
		return nil, notOwnerFault(t)
	}
	for {
		d := o.Sched.Submit(ctx, t)
		if d.GetGrant() == nil && errors.Is(context.Cause(ctx), errResubmit) {
			return nil, notOwnerFault(t)
		}
		if d.GetRefusal().GetCode() != refuse.NoUpstream || time.Since(since) > UpstreamDiscovery || ctx.Err() != nil {
			return d, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// OwnershipChanged must be called when the pools of this process may have changed. It cancels the
// calls for pools that the process no longer owns: their tickets leave the queue, and their entries
// are told at once to ask the new owner.
func (o *Owner) OwnershipChanged() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for p := range o.ownedSince {
		if !o.Owns(p) {
			delete(o.ownedSince, p)
		}
	}
	for c := range o.calls {
		if !o.Owns(c.GetPool()) {
			c.cancel(errResubmit)
		}
	}
}

// Forget frees the slots of a dead entry and drops its waiting tickets. If the entry was falsely
// declared dead, its calls return a fault and it sends its tickets again.
func (o *Owner) Forget(incarnation string) {
	o.mu.Lock()
	for c := range o.calls {
		if c.GetIncarnation() == incarnation {
			c.cancel(errResubmit)
		}
	}
	o.mu.Unlock()
	o.Sched.Forget(incarnation)
}

func (o *Owner) addCall(c *call) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.calls == nil {
		o.calls, o.ownedSince, o.remoteHeardAt = map[*call]struct{}{}, map[string]time.Time{}, map[string]time.Time{}
	}
	o.calls[c] = struct{}{}
	if c.GetAbroad() {
		o.remoteHeardAt[c.GetIncarnation()] = time.Now()
	}
	since, ok := o.ownedSince[c.GetPool()]
	if !ok {
		since = time.Now()
		o.ownedSince[c.GetPool()] = since
	}
	return since
}

func (o *Owner) removeCall(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.calls, c)
}

func notOwnerFault(t *wire.Ticket) *wire.Fault {
	return &wire.Fault{Code: wire.CodeMoved, Text: "pool " + t.GetPool() + " is another member's"}
}
