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
	expireEvery  = time.Second      // Between two looks for expired claims.
	clockEvery   = 10 * time.Minute // The log's clock is at most so far behind after a change of leader.
)

// Fault codes of a replica.
const (
	busy    = "busy" // Too much waits to be committed, or a membership change is under way.
	stopped = "stopped"
)

// saved is a snapshot on disk, beside the log until put is called.
type saved struct {
	snap    *wire.Snapshot
	put     func(recs ...*wire.Record) error
	err     error
	records []*wire.Record // The tail has them; they wait if there is no room for it.
}

var errStopped = &wire.Fault{Code: stopped, Text: "the replica stops"}

// clock is the log's own time, in microseconds: it goes on from the highest
// stamp in the state, by the monotonic clock of the leader. Wall clocks differ
// and jump, and a claim dropped early lets a request run twice; this clock can
// only lag, and a claim is then kept longer.
type clock struct {
	base int64
	at   time.Time
}

func (k *clock) read(s *state.State, now time.Time) int64 {
	if us := k.base + now.Sub(k.at).Microseconds(); !k.at.IsZero() && us >= s.ClockUs() {
		return us
	}
	k.base, k.at = max(s.ClockUs(), 1), now // Zero would be no time at all.
	return k.base
}

// stamp sets the leader's clock in the commands that need the time.
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
	}
}

func (c *Ctrl) apply(e *wire.LogEntry) error {
	r := &wire.Result{Code: state.OK}
	if len(e.GetCommand()) > 0 {
		var cmd wire.Command
		if err := proto.Unmarshal(e.GetCommand(), &cmd); err != nil {
			return fmt.Errorf("ctrl: entry %d: %w", e.GetIndex(), err)
		}
		r = c.news.apply(&c.state, &cmd)
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
		// Another leader's entry took the place: this command was not applied here.
		p.done <- answer{err: c.notLeader()}
		return nil
	}
	r.Index = e.GetIndex()
	p.done <- answer{result: r}
	return nil
}

// compact starts to write a snapshot. It is encoded and synced beside the loop:
// at hundreds of thousands of claims that takes longer than followers wait for
// a heartbeat, and each compaction would cost the leader its place.
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

// ready brings a written snapshot, once no other write is under way.
func (c *Ctrl) ready() <-chan saved {
	if c.unkept.write != nil {
		return nil
	}
	return c.saving
}

// saved begins to put a written snapshot in place of the log.
func (c *Ctrl) saved(s saved) {
	if s.err != nil {
		// The log itself is as it was. A replica that ended here would end again
		// after each restart for as long as the disk is full, and the group would
		// lack it, though what it holds is whole.
		c.Log.Error(s.err, "Log not compacted.")
		c.retry = time.Now().Add(compactRetry)
		return
	}
	if c.unkept.install != nil || s.snap.GetIndex() <= c.snapped {
		return // The leader sent a newer one.
	}
	c.raft.Compact(s.snap) // It has this one already where its tail found no room before.
	s.records = c.unkept.records
	c.begin(&write{saved: &s, records: c.raft.LogRecords()})
}

// install replaces log and state by a leader's snapshot.
func (c *Ctrl) install(snap *wire.Snapshot) error {
	c.unkept.install, c.unkept.records = snap, nil // It has all that they held.
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

// noteShifts logs changes of this replica's role. There are some a second at most,
// from the timers of elections.
func (c *Ctrl) noteShifts(list []raft.RoleChange) {
	for _, s := range list {
		c.Log.Info("Role changed.", "role", s.Role, "why", s.Reason, "term", s.Term, "from", c.addressOf(s.From),
			"silence", s.Silence.String(), "longest-pause", s.LongestPause.String())
	}
}
