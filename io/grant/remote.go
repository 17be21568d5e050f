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

// remoteSlots holds the slots that this entry obtained through one entry of another data centre.
type remoteSlots struct {
	grants.Set
	addr netip.AddrPort
}

// grantRemote requests a slot in the other data centres, one after the other, when the pool has no
// upstream in this one. It returns the first grant or the first refusal other than no-upstream, or
// cause if there was neither.
func (g *Client) grantRemote(ctx context.Context, t *wire.Ticket, start time.Time, cause error) (*wire.Grant, error) {
	for _, to := range g.RemoteEntries(t.GetPool()) {
		current := withElapsed(t, time.Since(start))
		if current == nil {
			return nil, refuse.New(refuse.Deadline, "no slot before the deadline", time.Second)
		}
		current.Abroad = true
		r, err := g.Mesh.Call(ctx, to, relayFrame(t.GetPool(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: current}}))
		if ctx.Err() != nil {
			g.sendRemote(to, t.GetPool(), &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{
				Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
			}}})
			return nil, ctx.Err()
		}
		if err != nil {
			g.Log.V(1).Info("Ticket not sent to another data centre.", "pool", t.GetPool(), "entry", to.String(), "err", err.Error())
			continue
		}
		if d := r.GetDecision(); d.GetGrant() != nil {
			g.addRemoteSlot(current, d.GetGrant(), to)
			return d.GetGrant(), nil
		} else if d.GetRefusal().GetCode() != refuse.NoUpstream {
			return nil, refusalError(d.GetRefusal())
		}
	}
	return nil, cause
}

func isNoUpstream(err error) bool {
	var re *refuse.Error
	return errors.As(err, &re) && re.Code == refuse.NoUpstream
}

// relayFrame wraps a frame for the owner of a pool in the receiver's data centre.
func relayFrame(pool string, f *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Relay{Relay: &wire.Relay{Pool: pool, Frame: f}}}
}

// sendRemote sends a one-way frame to the pool's owner in another data centre, through an entry
// there.
func (g *Client) sendRemote(to netip.AddrPort, pool string, f *wire.Frame) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := g.Mesh.Send(ctx, to, relayFrame(pool, f)); err != nil {
		g.Log.V(1).Info("Frame not sent to another data centre.", "entry", to.String(), "err", err.Error())
	}
}

func (g *Client) addRemoteSlot(t *wire.Ticket, r *wire.Grant, to netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.remotes == nil {
		g.remotes, g.remoteByTicket = map[netip.AddrPort]*remoteSlots{}, map[uint64]*remoteSlots{}
	}
	f := g.remotes[to]
	if f == nil {
		f = &remoteSlots{addr: to}
		g.remotes[to] = f
	}
	f.Add(time.Now(), t, r)
	g.remoteByTicket[t.GetId()] = f
}

// releaseRemote releases a slot of another data centre. It reports false for a slot of this data
// centre.
func (g *Client) releaseRemote(r *wire.Release) bool {
	g.mu.Lock()
	f := g.remoteByTicket[r.GetTicket()]
	if f != nil {
		delete(g.remoteByTicket, r.GetTicket())
		f.Remove(time.Now(), r.GetPool(), r.GetTicket())
	}
	g.mu.Unlock()
	if f == nil {
		return false
	}
	g.sendRemote(f.addr, r.GetPool(), &wire.Frame{Body: &wire.Frame_Release{Release: r}})
	return true
}

// sendRemoteHeldLists sends the lists of slots held in other data centres. The lists also serve as
// keepalives, because the members there don't probe this entry.
func (g *Client) sendRemoteHeldLists() {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for to, f := range g.remotes {
		pools := f.Pools(now)
		if len(pools) == 0 {
			delete(g.remotes, to)
		}
		for _, p := range pools {
			h := &wire.Held{Entry: g.Self, Incarnation: g.Incarnation, Slots: f.List(now, []string{p}, 0)}
			g.spawn(func() { g.sendRemote(to, p, &wire.Frame{Body: &wire.Frame_Held{Held: h}}) })
		}
	}
}
