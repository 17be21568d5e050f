package ctrl

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/leader"
)

// Handle answers one frame of a peer.
func (c *Ctrl) Handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Raft:
		select {
		case c.in <- b.Raft:
		default: // Full: the log bears the loss, and the link must not block.
		}
		return nil, nil //nolint:nilnil // One-way.
	case *wire.Frame_Command:
		return resultFrame(c.Propose(ctx, b.Command))
	case *wire.Frame_Beat:
		fresh := b.Beat.GetVersion() > 0 || c.leased(ctx, c.publish) == nil
		r := c.beat(b.Beat)
		// An entry that has nothing in force may have had the newest version
		// before its restart. Any replica but a leader under its lease can lack
		// that, if only for a moment, and the entry's site would go back. Every
		// other replica says that it may be behind, and the entry asks on.
		r.Stale = r.GetStale() || !fresh
		return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: r}}, nil
	case *wire.Frame_ConfigQuery:
		return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: c.reply(b.ConfigQuery.GetVersion())}}, nil
	case *wire.Frame_ClaimQuery:
		return resultFrame(c.holder(ctx, b.ClaimQuery))
	case *wire.Frame_StatusQuery:
		s, err := c.status(ctx, b.StatusQuery.GetFresh())
		if err != nil {
			return nil, err
		}
		return &wire.Frame{Body: &wire.Frame_Status{Status: s}}, nil
	}
	return nil, &wire.Fault{Code: "unsupported", Text: fmt.Sprintf("ctrl: %T", f.GetBody())}
}

// Propose puts a command into the log and returns the state machine's result
// once it is applied here. After an error the command may still be applied:
// only the same command may be sent again.
func (c *Ctrl) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	// A caller that gave up may send the same message again while the first copy
	// still waits here, so each proposal has its own.
	cmd = proto.CloneOf(cmd)
	state.Validate(cmd)
	p := &proposal{cmd: cmd, member: cmd.GetMembership(), done: make(chan answer, 1)}
	if cmd.GetExpire() != nil {
		return nil, &wire.Fault{Code: leader.Refused, Text: "ctrl: only the leader expires claims"}
	}
	select {
	case c.props <- p:
	case <-c.done:
		return nil, errStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("ctrl: %w", ctx.Err())
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-c.done:
		return nil, errStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("ctrl: %w", ctx.Err())
	}
}

// leased runs f in the loop of a leader under its lease. Anywhere else it returns
// a fault that names the leader; the loop makes it, because only there the
// membership stands still.
func (c *Ctrl) leased(ctx context.Context, f func(now time.Time)) error {
	var fault error
	err := c.do(ctx, func(now time.Time) raft.Effects {
		if c.raft.HasLease(now) {
			f(now)
		} else {
			fault = c.notLeader()
		}
		return raft.Effects{}
	})
	if err != nil {
		return err
	}
	return fault
}

// holder reads who holds a key. Only a leader under its lease answers: another
// replica could miss a claim and call a key free that has run.
func (c *Ctrl) holder(ctx context.Context, q *wire.ClaimQuery) (*wire.Result, error) {
	var r *wire.Result
	err := c.leased(ctx, func(time.Time) { r = c.state.ClaimHolder(q.GetAccount(), q.GetKey()) })
	return r, err
}

// status is this replica's view. A fresh one comes from a leader under its
// lease alone, or without leases through the log, so it shows all that was
// acknowledged before it was asked for.
func (c *Ctrl) status(ctx context.Context, fresh bool) (*wire.Status, error) {
	if fresh && c.Leaseless {
		if _, err := c.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err != nil {
			return nil, err
		}
	}
	if fresh && !c.Leaseless {
		if err := c.leased(ctx, c.publish); err != nil {
			return nil, err
		}
	}
	return c.statusOf(c.view.Load()), nil
}

func resultFrame(r *wire.Result, err error) (*wire.Frame, error) {
	if err != nil {
		return nil, err
	}
	return &wire.Frame{Body: &wire.Frame_Result{Result: r}}, nil
}
