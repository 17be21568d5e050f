package grant

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/grants"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// far is what this entry holds in another data centre, by way of one entry there.
type far struct {
	grants.Set
	to netip.AddrPort
}

// abroad asks the owners of the pool in other data centres, one after the
// other, when there is no upstream here. The first refusal for another reason
// than that is final, as at home.
func (g *Grant) abroad(ctx context.Context, t *wire.Ticket, start time.Time, cause error) (*wire.Grant, error) {
	for _, to := range g.Abroad(t.GetPool()) {
		now := aged(t, time.Since(start))
		if now == nil {
			return nil, refuse.New(refuse.Deadline, "no slot before the deadline", time.Second)
		}
		now.Abroad = true
		r, err := g.Mesh.Call(ctx, to, relayed(t.GetPool(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: now}}))
		if ctx.Err() != nil {
			g.post(to, t.GetPool(), &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{
				Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
			}}})
			return nil, ctx.Err()
		}
		if err != nil {
			g.Log.V(1).Info("Not asked abroad.", "pool", t.GetPool(), "entry", to.String(), "err", err.Error())
			continue
		}
		if d := r.GetDecision(); d.GetGrant() != nil {
			g.keepFar(now, d.GetGrant(), to)
			return d.GetGrant(), nil
		} else if d.GetRefusal().GetCode() != refuse.NoUpstream {
			return nil, refusal(d.GetRefusal())
		}
	}
	return nil, cause
}

func noUpstream(err error) bool {
	var re *refuse.Error
	return errors.As(err, &re) && re.Code == refuse.NoUpstream
}

// relayed addresses a frame to the owner of a pool in the receiver's data centre.
func relayed(pool string, f *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Relay{Relay: &wire.Relay{Pool: pool, Frame: f}}}
}

func (g *Grant) post(to netip.AddrPort, pool string, f *wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit)
	defer cancel()
	if err := g.Mesh.Send(ctx, to, relayed(pool, f)); err != nil {
		g.Log.V(1).Info("Not sent abroad.", "entry", to.String(), "err", err.Error())
	}
}

func (g *Grant) keepFar(t *wire.Ticket, r *wire.Grant, to netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fars == nil {
		g.fars, g.where = map[netip.AddrPort]*far{}, map[uint64]*far{}
	}
	f := g.fars[to]
	if f == nil {
		f = &far{to: to}
		g.fars[to] = f
	}
	f.Add(time.Now(), t, r)
	g.where[t.GetId()] = f
}

// releaseFar gives a slot of another data centre back. It reports false for a
// slot of this one.
func (g *Grant) releaseFar(r *wire.Release) bool {
	g.mu.Lock()
	f := g.where[r.GetTicket()]
	if f != nil {
		delete(g.where, r.GetTicket())
		f.Remove(time.Now(), r.GetPool(), r.GetTicket())
	}
	g.mu.Unlock()
	if f == nil {
		return false
	}
	g.post(f.to, r.GetPool(), &wire.Frame{Body: &wire.Frame_Release{Release: r}})
	return true
}

// tellFar sends the lists of slots held abroad. They also show the owners there
// that this entry lives: no member of theirs probes it.
func (g *Grant) tellFar() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for to, f := range g.fars {
		pools := f.Pools(now)
		if len(pools) == 0 {
			delete(g.fars, to)
		}
		for _, p := range pools {
			h := &wire.Held{Entry: g.Self, Incarnation: g.Incarnation, Slots: f.List(now, []string{p}, 0)}
			g.spawn(func() { g.post(to, p, &wire.Frame{Body: &wire.Frame_Held{Held: h}}) })
		}
	}
}
