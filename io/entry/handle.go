package entry

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"azurelane/core/wire"
	"azurelane/io/owner"
	"azurelane/io/sched"
)

// passLimit is the timeout for telling new owners of upstreams. Tickets are sent to them afterwards in any
// case.
const passLimit = 300 * time.Millisecond

// desk gives the grant client access to the schedulers of this process.
type desk struct {
	*owner.Owner
	*sched.Sched
}

// Submit submits through the owner, like tickets of other entries.
func (d desk) Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error) {
	return d.Owner.Submit(ctx, t)
}

// Forget forgets an incarnation at the owner.
func (d desk) Forget(incarnation string) { d.Owner.Forget(incarnation) }

// Alive returns the live members of the data centre.
func (e *Entry) Alive() []*wire.Member { return e.member.Alive() }

// mine reports whether this entry schedules a pool.
func (e *Entry) mine(pool string) bool { return e.local(pool) || e.member.Mine(pool) }

// owners returns the members that need announcements of a pool's upstreams.
func (e *Entry) owners(pool string) []*wire.Member {
	if e.local(pool) {
		return e.member.Alive()
	}
	return []*wire.Member{e.member.Owner(pool)}
}

// changed is called when a pool may have another owner. The new owner gets the announcements and the held
// slots first and then the waiting tickets, so that it neither refuses tickets for lack of upstreams nor
// grants slots that are held.
func (e *Entry) changed() {
	e.owner.OwnershipChanged()
	ctx, cancel := context.WithTimeout(context.Background(), passLimit)
	defer cancel()
	e.notice.SendToNewOwners(ctx)
	e.grant.OwnersChanged()
}

func (e *Entry) handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Ticket:
		d, err := e.owner.Submit(ctx, b.Ticket)
		if err != nil {
			return nil, err
		}
		return &wire.Frame{Body: &wire.Frame_Decision{Decision: d}}, nil
	case *wire.Frame_Release:
		e.sched.Release(b.Release)
	case *wire.Frame_Withdraw:
		e.sched.Withdraw(b.Withdraw)
	case *wire.Frame_Announce:
		return nil, e.accept(b.Announce)
	case *wire.Frame_Held:
		e.owner.KeepAlive(b.Held.GetIncarnation())
		e.sched.Hold(b.Held)
	case *wire.Frame_Probe:
		e.member.Heard(ctx, b.Probe)
	case *wire.Frame_Relay:
		return e.relay(ctx, b.Relay)
	case *wire.Frame_JoinQuery:
		return &wire.Frame{Body: &wire.Frame_JoinReply{JoinReply: e.front.Join(ctx, b.JoinQuery)}}, nil
	case *wire.Frame_ConfigQuery:
		return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: e.follow.Answer(b.ConfigQuery)}}, nil
	case *wire.Frame_UpstreamQuery:
		a := e.notice.Find(b.UpstreamQuery.GetUpstream())
		if a == nil {
			return nil, &wire.Fault{Code: "not-found", Text: "no live upstream of that name spoke to this entry"}
		}
		return &wire.Frame{Body: &wire.Frame_Announce{Announce: a}}, nil
	default:
		return nil, &wire.Fault{Code: "unsupported", Text: fmt.Sprintf("entry: %T", b)}
	}
	return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
}

// accept records an announcement that another entry has received. A member that owns none of the upstream's
// pools records it as well, as it may be about to own one, and returns a fault.
func (e *Entry) accept(a *wire.Announce) error {
	e.notice.Accept(a)
	for _, p := range a.GetPools() {
		if e.mine(p) {
			return nil
		}
	}
	if a.GetLeaving() {
		return nil // Sent to all members.
	}
	return &wire.Fault{Code: wire.CodeMoved, Text: "none of the upstream's pools is here"}
}

// farEntries returns the entries of other data centres to which a pool's tickets may go if it has no upstream
// here.
func (e *Entry) farEntries(pool string) []netip.AddrPort {
	cfg := e.follow.Config()
	if cfg == nil || e.local(pool) {
		return nil
	}
	return e.abroad.Entries(cfg.Pools[pool].Abroad)
}

// relay forwards a frame for a member that can't reach the receiver, or for an entry of another data centre
// that does not know the owner here. A relayed frame is not relayed again, so there are no loops.
func (e *Entry) relay(ctx context.Context, r *wire.Relay) (*wire.Frame, error) {
	inner := r.GetFrame()
	to, err := netip.ParseAddrPort(r.GetTo())
	if r.GetPool() != "" {
		to, err = netip.ParseAddrPort(e.member.Owner(r.GetPool()).GetAddress())
	}
	if err != nil || inner.GetRelay() != nil {
		return nil, &wire.Fault{Code: "bad-relay", Text: r.GetTo()}
	}
	t := inner.GetTicket()
	if t == nil {
		return nil, e.mesh.Send(ctx, to, inner)
	}
	reply, err := e.mesh.Call(ctx, to, inner)
	if err != nil && ctx.Err() != nil {
		// The link to the sender is closed. The owner does not notice, as its link to this entry is open,
		// and would grant a slot that stays unused.
		wctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		_ = e.mesh.Send(wctx, to, &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{
			Ticket: t.GetId(), Entry: t.GetEntry(), Incarnation: t.GetIncarnation(), Pool: t.GetPool(),
		}}})
	}
	if err != nil {
		return nil, err
	}
	return &wire.Frame{Body: reply.GetBody()}, nil
}
