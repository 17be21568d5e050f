package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// fakeScheduler refuses tickets with the given code or, if the code is empty, holds every ticket
// until its context ends.
type fakeScheduler struct {
	code          string
	lastForgotten atomic.Value
}

func (f *fakeScheduler) Submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	code := f.code
	if code == "" {
		<-ctx.Done()
		code = "withdrawn"
	}
	return &wire.Decision{Ticket: t.GetId(), Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: code}}}
}

func (f *fakeScheduler) Forget(incarnation string) { f.lastForgotten.Store(incarnation) }

func isNotOwnerFault(err error) bool {
	var fault *wire.Fault
	return errors.As(err, &fault) && fault.GetCode() == wire.CodeMoved
}

// A ticket waits at its owner when the pool moves to another owner, or when the owner falsely
// declares the entry dead. In both cases the call must return a typed fault at once: a refusal
// would be passed on to the caller, and without an answer the request would wait until its
// deadline.
func TestCallsReturnWhenThePoolMoves(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(o *Owner, owned *atomic.Bool)
	}{
		{"moved before", func(*Owner, *atomic.Bool) {}},
		{"moves while it waits", func(o *Owner, owned *atomic.Bool) { owned.Store(false); o.OwnershipChanged() }},
		{"entry taken for dead", func(o *Owner, _ *atomic.Bool) { o.Forget("a1") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var owned atomic.Bool
				owned.Store(tc.name != "moved before")
				o := &Owner{Owns: func(string) bool { return owned.Load() }, Sched: &fakeScheduler{}}
				done := make(chan error, 1)
				go func() {
					_, err := o.Submit(t.Context(), &wire.Ticket{Id: 1, Pool: "p", Incarnation: "a1"})
					done <- err
				}()
				synctest.Wait()
				tc.do(o, &owned)
				must.True(t, isNotOwnerFault(<-done))
			})
		})
	}
}

// Guards against refusing tickets directly after a takeover, when no upstream has announced itself
// to the new owner yet. Tickets must not be refused with no-upstream before UpstreamDiscovery has
// passed.
func TestNewOwnerWaitsForUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Owner{Owns: func(string) bool { return true }, Sched: &fakeScheduler{code: refuse.NoUpstream}}
		ask := func() time.Duration {
			start := time.Now()
			d, err := o.Submit(t.Context(), &wire.Ticket{Id: 1, Pool: "p"})
			must.NoError(t, err)
			must.Eq(t, refuse.NoUpstream, d.GetRefusal().GetCode())
			return time.Since(start)
		}
		must.GreaterEq(t, UpstreamDiscovery, ask())
		must.Eq(t, 0, ask()) // Discovery is over; refused at once.
	})
}

// Guards against slots that stay taken after an entry of another data centre has crashed. The
// members of this data centre don't probe it, so it is detected by missing lists of held slots. An
// entry that still sends its lists must keep its slots.
func TestSilentRemoteEntryIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeScheduler{code: refuse.Overloaded}
		o := &Owner{Owns: func(string) bool { return true }, Sched: f}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Serve(ctx) }()
		_, err := o.Submit(ctx, &wire.Ticket{Id: 1, Pool: "p", Incarnation: "far-1", Abroad: true})
		must.NoError(t, err)
		for range 20 {
			time.Sleep(2 * time.Second)
			o.KeepAlive("far-1")
		}
		synctest.Wait()
		must.Nil(t, f.lastForgotten.Load())
		time.Sleep(RemoteTimeout + 2*expiryInterval)
		synctest.Wait()
		must.Eq(t, any("far-1"), f.lastForgotten.Load())
		cancel()
	})
}
