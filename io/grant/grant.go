// Package grant gets slots from the owner of a pool and gives them back.
package grant

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// ownerPause is the wait before a ticket whose owner was lost is sent again.
const ownerPause = 50 * time.Millisecond

type (
	// Grant asks the owner of a pool, in this process or another. Its exported
	// fields are set before use.
	Grant struct {
		Self    string // Node name.
		Local   local
		Members members
		Mesh    caller
		Log     logr.Logger
	}

	local interface {
		Submit(ctx context.Context, t *wire.Ticket) *wire.Decision
		Release(r *wire.Release)
	}

	members interface {
		Owner(pool string) *wire.Member
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
	}
)

// Grant waits for a slot. The error is a *refuse.Error when the owner said no,
// or the context's error when the caller went away.
func (g *Grant) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	start := time.Now()
	for {
		d, err := g.ask(ctx, t)
		if err == nil {
			return decided(d)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		g.Log.V(1).Info("Owner did not answer.", "pool", t.GetPool(), "err", err.Error())
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(ownerPause):
		}
		waited := time.Since(start)
		if t.GetDeadlineUs() > 0 && t.GetDeadlineUs() <= (waited-time.Duration(t.GetWaitedUs())*time.Microsecond).Microseconds() {
			return nil, refuse.New(refuse.Deadline, "no scheduler answered in time", time.Second)
		}
		t.DeadlineUs = left(t.GetDeadlineUs(), waited-time.Duration(t.GetWaitedUs())*time.Microsecond)
		t.WaitedUs = waited.Microseconds()
	}
}

// Release gives a slot back to the pool's owner of now. An owner that did not
// grant it ignores a slot that it does not know.
func (g *Grant) Release(r *wire.Release) {
	m := g.Members.Owner(r.GetPool())
	if m.GetNode() == g.Self {
		g.Local.Release(r)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := g.send(ctx, m, &wire.Frame{Body: &wire.Frame_Release{Release: r}}); err != nil {
		g.Log.V(1).Info("Release not sent.", "pool", r.GetPool(), "err", err.Error())
	}
}

func (g *Grant) ask(ctx context.Context, t *wire.Ticket) (*wire.Decision, error) {
	m := g.Members.Owner(t.GetPool())
	if m.GetNode() == g.Self {
		return g.Local.Submit(ctx, t), nil
	}
	addr, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, err
	}
	r, err := g.Mesh.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_Ticket{Ticket: t}})
	if ctx.Err() != nil {
		// The owner may grant in this moment: the withdrawal frees that slot too.
		w := &wire.Withdraw{Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool()}
		sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = g.Mesh.Send(sctx, addr, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: w}})
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return r.GetDecision(), nil
}

func (g *Grant) send(ctx context.Context, m *wire.Member, f *wire.Frame) error {
	addr, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return err
	}
	return g.Mesh.Send(ctx, addr, f)
}

func decided(d *wire.Decision) (*wire.Grant, error) {
	if r := d.GetRefusal(); r != nil {
		return nil, refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
	}
	return d.GetGrant(), nil
}

func left(us int64, waited time.Duration) int64 {
	if us == 0 {
		return 0
	}
	return max(us-waited.Microseconds(), 1)
}
