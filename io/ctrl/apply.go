package ctrl

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/leader"
)

const (
	compactRetry = 2 * time.Second  // After a snapshot could not be written.
	expireEvery  = time.Second      // Interval between checks for expired claims.
	clockEvery   = 10 * time.Minute // Maximum lag of the log's clock after a change of leader.
	// fineClockEvery replaces clockEvery while a cordon is stored, and until formerClockFor after the last
	// upstream of a version has left. With each change of leader, the expiry of a cordon in the log is late
	// by up to this time and expireEvery, and by the time without a leader, and a version seems to have left
	// later by as much.
	fineClockEvery = 5 * time.Second
	formerClockFor = 2 * time.Minute
)

// Fault codes of a replica.
const (
	busy    = "busy" // Too many uncommitted entries, or a membership change is in progress.
	stopped = "stopped"
)

// saved is a snapshot on disk. It replaces the log when put is called.
type saved struct {
	snap    *wire.Snapshot
	put     func(recs ...*wire.Record) error
	err     error
	records []*wire.Record // Unwritten records, which the new log contains; restored if the disk is full.
}

var errStopped = &wire.Fault{Code: stopped, Text: "the replica stops"}

// clock is the log's time in microseconds. It continues from the newest timestamp in the state by
// the leader's monotonic clock. Wall clocks differ and jump, and a claim that expires early would
// let a request run twice. This clock can only lag, so that claims expire late.
type clock struct {
	base int64
	at   time.Time
}

func (k *clock) read(s *state.State, now time.Time) int64 {
	if us := k.base + now.Sub(k.at).Microseconds(); !k.at.IsZero() && us >= s.ClockUs() {
		return us
	}
	k.base, k.at = max(s.ClockUs(), 1), now // Zero means that no time is set.
	return k.base
}

// stamp sets the time in commands that need it, at the leader.
func (c *Ctrl) stamp(cmd *wire.Command, now time.Time) {
	if !c.raft.IsLeader() {
		c.clock = clock{}
		return
	}
	us := c.clock.read(&c.state, now)
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Claim:
		k.Claim.NowUs = us
	case *wire.Command_Finish:
		k.Finish.NowUs = us
	case *wire.Command_Expire:
		k.Expire.NowUs = us
	case *wire.Command_OrderStart:
		k.OrderStart.NowUs = us
	case *wire.Command_StartRollout:
		k.StartRollout.NowUs = us
	case *wire.Command_OrderCordon:
		k.OrderCordon.NowUs = us
	case *wire.Command_Enroll:
		k.Enroll.NowUs = us
	}
}

func (c *Ctrl) apply(e *wire.LogEntry) error {
	r := &wire.Result{Code: state.OK}
	if len(e.GetCommand()) > 0 {
		var cmd wire.Command
		if err := proto.Unmarshal(e.GetCommand(), &cmd); err != nil {
			return fmt.Errorf("ctrl: entry %d: %w", e.GetIndex(), err)
		}
		r = c.observer.apply(&c.state, &cmd)
	}
	if m := e.GetMembership(); m != nil {
		c.Log.Info("Membership changed.", "replica", m.GetReplica(), "address", m.GetAddress(), "role", m.GetRole().String())
	}
	c.applied = e.GetIndex()
	p := c.waiting[e.GetIndex()]
	if p == nil {
		return nil
	}
	delete(c.waiting, e.GetIndex())
	if p.term != e.GetTerm() {
		// An entry of another leader has this index, so the command was not applied here.
		p.done <- answer{err: c.notLeader()}
		return nil
	}
	r.Index = e.GetIndex()
	p.done <- answer{result: r}
	return nil
}

// compact starts to write a snapshot. It is encoded and synced outside the loop: with hundreds of
// thousands of claims that takes longer than the election timeout, and a leader that sends no
// heartbeats meanwhile would be replaced at each compaction.
func (c *Ctrl) compact() {
	snap, img, ch := c.raft.Snapshot(), c.state.Image(), make(chan saved, 1)
	c.saving = ch
	go func() {
		s := saved{snap: snap}
		snap.Data, s.err = state.EncodeImage(img)
		if s.err == nil {
			s.put, s.err = c.store.Prepare(snap)
		}
		ch <- s
	}()
}

// ready returns the channel of the snapshot being written, and nil while another write is in
// progress.
func (c *Ctrl) ready() <-chan saved {
	if c.unsynced.write != nil {
		return nil
	}
	return c.saving
}

// saved starts to replace the log with a written snapshot.
func (c *Ctrl) saved(s saved) {
	if s.err != nil {
		// The log is unchanged and complete. A replica that stopped here would stop again after
		// each restart while the disk is full, and the group would lack a replica.
		c.Log.Error(s.err, "Log not compacted.")
		c.retry = time.Now().Add(compactRetry)
		return
	}
	if c.unsynced.install != nil || s.snap.GetIndex() <= c.snapped {
		return // The leader has sent a newer snapshot.
	}
	c.raft.Compact(s.snap) // No effect if an earlier try failed on a full disk.
	s.records = c.unsynced.records
	c.beginWrite(&write{saved: &s, records: c.raft.LogRecords()})
}

// install replaces log and state with a snapshot of the leader.
func (c *Ctrl) install(snap *wire.Snapshot) error {
	c.unsynced.install, c.unsynced.records = snap, nil // The snapshot contains the records.
	c.Log.Info("Snapshot installed.", "index", snap.GetIndex())
	return c.load(snap)
}

func (c *Ctrl) notLeader() *wire.Fault {
	return &wire.Fault{Code: leader.NotLeader, Text: "this replica is not the leader", Leader: c.addressOf(c.raft.Leader())}
}

func (c *Ctrl) addressOf(id string) string {
	for _, r := range c.raft.Replicas() {
		if r.GetId() == id {
			return r.GetAddress()
		}
	}
	return ""
}

func (c *Ctrl) fault(err error) error {
	switch {
	case errors.Is(err, raft.ErrNotLeader):
		return c.notLeader()
	case errors.Is(err, raft.ErrBusy):
		return &wire.Fault{Code: busy, Text: err.Error()}
	}
	return &wire.Fault{Code: leader.Refused, Text: err.Error()}
}

// logRoleChanges logs changes of this replica's role. Election timers limit them to a few a second.
func (c *Ctrl) logRoleChanges(list []raft.RoleChange) {
	for _, s := range list {
		c.Log.Info("Role changed.", "role", s.Role, "why", s.Reason, "term", s.Term, "from", c.addressOf(s.From),
			"silence", s.Silence.String(), "longest-pause", s.LongestPause.String())
	}
}
