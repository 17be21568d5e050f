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

// fake holds every ticket until its call ends, or refuses it.
type fake struct {
	code   string
	forgot atomic.Value
}

func (f *fake) Submit(ctx context.Context, t *wire.Ticket) *wire.Decision {
	code := f.code
	if code == "" {
		<-ctx.Done()
		code = "withdrawn"
	}
	return &wire.Decision{Ticket: t.GetId(), Kind: &wire.Decision_Refusal{Refusal: &wire.Refusal{Code: code}}}
}

func (f *fake) Forget(incarnation string) { f.forgot.Store(incarnation) }

func isMoved(err error) bool {
	var fault *wire.Fault
	return errors.As(err, &fault) && fault.GetCode() == wire.CodeMoved
}

// A ticket waits at its owner when the pool moves, or when the owner takes the
// entry for dead though it lives. Either way the call returns a typed fault at
// once; a plain refusal would reach the caller, and silence would hold the
// request until its deadline.
func TestCallsReturnWhenThePoolMoves(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(o *Owner, mine *atomic.Bool)
	}{
		{"moved before", func(*Owner, *atomic.Bool) {}},
		{"moves while it waits", func(o *Owner, mine *atomic.Bool) { mine.Store(false); o.OwnershipChanged() }},
		{"entry taken for dead", func(o *Owner, _ *atomic.Bool) { o.Forget("a1") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mine atomic.Bool
				mine.Store(tc.name != "moved before")
				o := &Owner{Owns: func(string) bool { return mine.Load() }, Sched: &fake{}}
				done := make(chan error, 1)
				go func() {
					_, err := o.Submit(t.Context(), &wire.Ticket{Id: 1, Pool: "p", Incarnation: "a1"})
					done <- err
				}()
				synctest.Wait()
				tc.do(o, &mine)
				must.True(t, isMoved(<-done))
			})
		})
	}
}

// A takeover has just happened and no upstream has announced itself here yet.
// Tickets are not refused for want of upstreams until one could have.
func TestNewOwnerWaitsForUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &Owner{Owns: func(string) bool { return true }, Sched: &fake{code: refuse.NoUpstream}}
		ask := func() time.Duration {
			start := time.Now()
			d, err := o.Submit(t.Context(), &wire.Ticket{Id: 1, Pool: "p"})
			must.NoError(t, err)
			must.Eq(t, refuse.NoUpstream, d.GetRefusal().GetCode())
			return time.Since(start)
		}
		must.GreaterEq(t, UpstreamDiscovery, ask())
		must.Eq(t, 0, ask()) // Settled: said at once.
	})
}

// An entry of another data centre dies while it holds slots here. No member here
// probes it; what tells is that its lists of held slots stop. One that still
// sends them keeps its slots.
func TestSilentFarEntryIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{code: refuse.Overloaded}
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
		must.Nil(t, f.forgot.Load())
		time.Sleep(RemoteTimeout + 2*lookEvery)
		synctest.Wait()
		must.Eq(t, any("far-1"), f.forgot.Load())
		cancel()
	})
}
