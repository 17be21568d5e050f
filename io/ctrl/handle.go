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

// Handle handles a frame of a peer and returns the reply.
func (c *Ctrl) Handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Raft:
		select {
		case c.in <- b.Raft:
		default: // The queue is full. The log tolerates the loss, and the link must not block.
		}
		return nil, nil //nolint:nilnil // One-way.
	case *wire.Frame_Command:
		return resultFrame(c.Propose(ctx, b.Command))
	case *wire.Frame_Beat:
		fresh := b.Beat.GetVersion() > 0 || c.leased(ctx, c.publish) == nil
		r := c.beat(b.Beat)
		// An entry without a configuration may have had the newest version before its restart.
		// Only a leader with a lease surely has that version. Any other replica could return the
		// entry to an older one, so it reports that it may be stale, and the entry asks another.
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

// Propose appends a command to the log and returns the state machine's result once the command is
// applied here. After an error the command may still be applied, so only the same command may be
// sent again.
func (c *Ctrl) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	// The sender may send the same message again while the first one is still queued, so each
	// proposal gets a copy.
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

// leased runs f in the loop if this replica leads with a valid lease. Otherwise it returns a fault
// that names the leader, made in the loop because the membership does not change there meanwhile.
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

// holder returns the holder of a key. Only a leader with a valid lease replies: another replica
// may lack a claim, and report a key as free whose request has run.
func (c *Ctrl) holder(ctx context.Context, q *wire.ClaimQuery) (*wire.Result, error) {
	var r *wire.Result
	err := c.leased(ctx, func(time.Time) { r = c.state.ClaimHolder(q.GetAccount(), q.GetKey()) })
	return r, err
}

// status returns this replica's view. A fresh view requires a leader with a valid lease, or without
// leases a command through the log, so that it includes everything acknowledged before the call.
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
