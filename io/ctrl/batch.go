package ctrl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

type (
	// batch collects the effects of several messages and proposals for a single sync.
	batch struct {
		ctrl  *Ctrl
		eff   raft.Effects
		props []*proposal
		n     int
		err   error
	}

	// proposal is a command with a pending result.
	proposal struct {
		cmd    *wire.Command
		member *wire.Membership // Instead of cmd.
		term   uint64
		done   chan answer // Has room for the answer.
	}

	answer struct {
		result *wire.Result
		err    error
	}
)

func (b *batch) add(e raft.Effects) {
	b.eff.Records = append(b.eff.Records, e.Records...)
	b.eff.Messages = append(b.eff.Messages, e.Messages...)
	b.eff.MessagesAfterSync = append(b.eff.MessagesAfterSync, e.MessagesAfterSync...)
	b.eff.Committed = append(b.eff.Committed, e.Committed...)
	b.ctrl.logRoleChanges(e.RoleChanges)
	if b.eff.Err == nil {
		b.eff.Err = e.Err
	}
}

// step handles a message. A snapshot replaces the state, so earlier effects are performed first.
func (b *batch) step(m *wire.Raft) {
	c := b.ctrl
	b.n++
	if m.GetKind() == wire.Raft_KIND_SNAPSHOT {
		b.err = b.perform(context.Background())
		if b.err != nil {
			return
		}
	}
	c.peers.learn(m)
	e := c.raft.Step(time.Now(), m)
	if e.InstallSnapshot != nil {
		b.err = c.install(e.InstallSnapshot)
		e.Records = nil // Part of the installed snapshot.
	}
	b.add(e)
}

// drain handles the messages and proposals that are queued already.
func (b *batch) drain() {
	for b.n+len(b.props) < batchMax && b.err == nil {
		select {
		case m := <-b.ctrl.in:
			b.step(m)
		case p := <-b.ctrl.props:
			b.props = append(b.props, p)
		default:
			return
		}
	}
}

// finish proposes the collected commands and performs all effects.
func (b *batch) finish(ctx context.Context) error {
	if b.err != nil {
		return b.err
	}
	b.propose()
	if err := b.perform(ctx); err != nil {
		return err
	}
	c := b.ctrl
	if !c.raft.IsLeader() {
		// The next leader may still commit these. Their senders ask it with the same IDs.
		for i, p := range c.waiting {
			delete(c.waiting, i)
			p.done <- answer{err: c.notLeader()}
		}
	}
	if c.saving == nil && !c.unsynced.write.replaces() && c.full() {
		c.compact()
	}
	c.publish(time.Now())
	return nil
}

// full reports whether a snapshot is due to replace the log.
func (c *Ctrl) full() bool {
	if time.Now().Before(c.retry) || c.unsynced.install != nil {
		return false
	}
	if c.applied >= c.snapped+uint64(max(CompactAfter, c.state.ClaimCount())) { //nolint:gosec // Not negative.
		return true
	}
	return c.size-c.replacedSize > max(CompactSize, c.snapSize) && c.applied > c.snapped
}

func (b *batch) propose() {
	c, now := b.ctrl, time.Now()
	var cmds [][]byte
	var props []*proposal
	size := 0
	flush := func() {
		if len(cmds) > 0 {
			first, e, err := c.raft.Propose(now, cmds...)
			b.proposed(first, e, err, props...)
		}
		cmds, props, size = nil, nil, 0
	}
	for _, p := range b.props {
		if p.member != nil {
			first, e, err := c.raft.ChangeMembership(now, p.member)
			b.proposed(first, e, err, p)
			continue
		}
		c.stamp(p.cmd, now)
		data, err := proto.Marshal(p.cmd)
		if err != nil {
			p.done <- answer{err: fmt.Errorf("ctrl: marshal command: %w", err)}
			continue
		}
		p.cmd = nil // A waiting proposal needs no second copy.
		// A large command may have no room, while the others have.
		if size+len(data) >= raft.LargeCommand {
			flush()
		}
		cmds, props, size = append(cmds, data), append(props, p), size+len(data)
	}
	flush()
}

func (b *batch) proposed(first uint64, e raft.Effects, err error, props ...*proposal) {
	b.add(e)
	for i, p := range props {
		if err != nil {
			p.done <- answer{err: b.ctrl.fault(err)}
			continue
		}
		p.term = b.ctrl.raft.Term()
		b.ctrl.waiting[first+uint64(i)] = p //nolint:gosec // Not negative.
	}
}

// perform performs the effects. Messages that rely on records of this replica are sent once the
// records are synced, all others at once.
func (b *batch) perform(ctx context.Context) error {
	c, e := b.ctrl, b.eff
	b.eff = raft.Effects{}
	if e.Err != nil {
		return e.Err
	}
	for _, m := range e.Messages {
		c.peers.send(ctx, c, m)
	}
	c.unsynced.add(e)
	for _, entry := range e.Committed {
		if err := c.apply(entry); err != nil {
			return err
		}
	}
	c.startWrite(ctx)
	return nil
}

func (b *batch) expire() {
	c, now := b.ctrl, time.Now()
	if !c.raft.IsLeader() || now.Before(c.expire) {
		return
	}
	c.expire = now.Add(expireEvery)
	maxLag := clockEvery
	us := c.clock.read(&c.state, now)
	if c.state.Cordons().Len() > 0 || slices.ContainsFunc(c.state.FormerVersions(), func(f *wire.FormerVersion) bool {
		return us-f.GetLeftUs() < formerClockFor.Microseconds()
	}) {
		maxLag = fineClockEvery
	}
	if c.state.HasExpiredClaims(us) || c.state.Cordons().HasExpired(us) || us-c.state.ClockUs() > maxLag.Microseconds() {
		b.props = append(b.props, &proposal{
			cmd: &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{}}}, done: make(chan answer, 1),
		})
	}
}
