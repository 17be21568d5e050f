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

// passLimit bounds the wait for new owners to hear of upstreams. Tickets go to
// them after it, whether they have heard or not.
const passLimit = 300 * time.Millisecond

// desk is what the granting part of this process asks of its own schedulers.
type desk struct {
	*owner.Owner
	*sched.Sched
}

// Submit goes by way of the owner, as the tickets of others do.
func (d desk) Submit(ctx context.Context, t *wire.Ticket) (*wire.Decision, error) {
	return d.Owner.Submit(ctx, t)
}

// Forget goes by way of the owner.
func (d desk) Forget(incarnation string) { d.Owner.Forget(incarnation) }

// Alive lists the live members of the data centre.
func (e *Entry) Alive() []*wire.Member { return e.member.Alive() }

// mine reports whether this entry schedules a pool.
func (e *Entry) mine(pool string) bool { return e.local(pool) || e.member.Mine(pool) }

// owners lists the members that want to hear of a pool's upstreams.
func (e *Entry) owners(pool string) []*wire.Member {
	if e.local(pool) {
		return e.member.Alive()
	}
	return []*wire.Member{e.member.Owner(pool)}
}

// changed is called when a pool may have another owner. The new owner gets the
// announcements and the held slots before the waiting tickets, in this order, so
// that it neither refuses for want of upstreams nor grants what is taken.
func (e *Entry) changed() {
	e.owner.OwnershipChanged()
	ctx, cancel := context.WithTimeout(context.Background(), passLimit)
	defer cancel()
	e.notice.Changed(ctx)
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

// accept takes what another entry heard from an upstream. A member that owns
// none of its pools keeps the news, in case it is about to, and says so.
func (e *Entry) accept(a *wire.Announce) error {
	e.notice.Accept(a)
	for _, p := range a.GetPools() {
		if e.mine(p) {
			return nil
		}
	}
	if a.GetLeaving() {
		return nil // Told to all, owner or not.
	}
	return &wire.Fault{Code: wire.CodeMoved, Text: "none of the upstream's pools is here"}
}

// farEntries lists the entries of other data centres that a pool's tickets may
// go to when it has no upstream here.
func (e *Entry) farEntries(pool string) []netip.AddrPort {
	cfg := e.follow.Config()
	if cfg == nil || e.local(pool) {
		return nil
	}
	return e.abroad.Entries(cfg.Pools[pool].Abroad)
}

// relay passes a frame on for a member that can't reach the receiver, or for an
// entry of another data centre that doesn't know the owner here. A relay is not
// relayed again, so a frame can't go round.
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
		// The link to the asker has ended. The owner sees only the link to this
		// entry, which is well: without a word it would grant a slot to no one.
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
