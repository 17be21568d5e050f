package ctrl

import (
	"sync"
	"time"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
)

// observer guards the parts of the state that are read outside the loop, and notifies readers of
// changes. The zero value is ready for use.
type observer struct {
	mu      sync.RWMutex
	notify  sync.Mutex
	changed chan struct{}
}

// apply applies a command. Concurrent reads wait for it.
func (n *observer) apply(s *state.State, cmd *wire.Command) *wire.Result {
	n.mu.Lock()
	revision := s.Cordons().Revision()
	r := s.Apply(cmd)
	cordonsChanged := s.Cordons().Revision() != revision
	n.mu.Unlock()
	switch cmd.GetKind().(type) {
	case *wire.Command_Publish, *wire.Command_Enroll, *wire.Command_RecordBans, *wire.Command_StartRollout, *wire.Command_AdvanceRollout:
		n.broadcast()
	default:
		if cordonsChanged {
			n.broadcast()
		}
	}
	return r
}

func (n *observer) broadcast() {
	n.notify.Lock()
	defer n.notify.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of the publication, the roster, the
// bans, the rollouts, the cordons or this replica's leadership. Call it before reading them.
func (c *Ctrl) Changed() <-chan struct{} {
	c.observer.notify.Lock()
	defer c.observer.notify.Unlock()
	if c.observer.changed == nil {
		c.observer.changed = make(chan struct{})
	}
	return c.observer.changed
}

// Publication returns the newest published document that is applied here, and its version.
func (c *Ctrl) Publication() (uint64, []byte) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.Publication()
}

// Upstream returns an upstream of the roster as applied here, or nil.
func (c *Ctrl) Upstream(id string) *wire.Upstream {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.Roster().Find(id)
}

// Roster returns the changes after a revision, as roster.Since does, and the newest revision.
func (c *Ctrl) Roster(since uint64) (list []*wire.Upstream, whole bool, revision uint64) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	list, whole = c.state.Roster().Since(since)
	return list, whole, c.state.Roster().Revision()
}

// RosterRevision returns the newest revision of the roster, zero for an empty one.
func (c *Ctrl) RosterRevision() uint64 {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.Roster().Revision()
}

// FormerVersions returns the versions of upstreams that have left, and the newest leader's time in the
// log, in microseconds.
func (c *Ctrl) FormerVersions() (list []*wire.FormerVersion, clockUs int64) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.FormerVersions(), c.state.ClockUs()
}

// Bans returns the recorded bans of requests, and a revision that changes with them.
func (c *Ctrl) Bans() (list []*wire.Ban, revision uint64) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.Bans()
}

// Rollouts returns the newest rollout and the version of each pool, and a revision that changes
// with them.
func (c *Ctrl) Rollouts() (list []*wire.Rollout, versions []*wire.PoolVersion, revision uint64) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	d := c.state.Deploy()
	return d.Rollouts(), d.Versions(), d.Revision()
}

// Cordons returns the cordons of upstreams, a revision that changes with them, and the newest leader's
// time in the log, in microseconds.
func (c *Ctrl) Cordons() (list []*wire.Cordon, revision uint64, clockUs int64) {
	c.observer.mu.RLock()
	defer c.observer.mu.RUnlock()
	return c.state.Cordons().List(), c.state.Cordons().Revision(), c.state.ClockUs()
}

// Leads reports whether this replica led at the last update of its view.
func (c *Ctrl) Leads() bool { return c.view.Load().leads }

// LeaderTerm returns the term in which this replica led at the last update of its view, zero if it did not lead.
func (c *Ctrl) LeaderTerm() uint64 {
	if v := c.view.Load(); v.leads {
		return v.GetTerm()
	}
	return 0
}

// Established reports whether this replica led at the last update of its view and had applied all
// entries that were committed before its election.
func (c *Ctrl) Established() bool { return c.view.Load().established }

// CutOff reports whether this replica heard no leader and reached no quorum at the last update of
// its view.
func (c *Ctrl) CutOff() bool { return c.view.Load().GetCutOff() }

// Leader returns the peer address of the leader that this replica follows, or "".
func (c *Ctrl) Leader() string { return c.view.Load().GetLeader() }

// Following returns the term and the peer address of the leader that this replica follows or is, and the time since it
// heard that leader, or a quorum heard it. The address is "" if there is none, or if this replica has yet to apply
// what the leader has committed.
func (c *Ctrl) Following() (term uint64, leader string, silence time.Duration) {
	v := c.view.Load()
	if !v.heard || (v.leads && !v.established) {
		return 0, "", 0
	}
	return v.GetTerm(), v.GetLeader(), v.silence + time.Since(v.at)
}

// Identity returns the ID of this replica's data folder.
func (c *Ctrl) Identity() string { return c.id }

// Group returns the group's name, "" for a replica without a group, its replicas as known here, and
// at the leader the status of the others.
func (c *Ctrl) Group() (name string, all []*wire.Replica, peers []raft.PeerStatus) {
	v := c.view.Load()
	return v.GetGroup(), v.GetReplicas(), v.peers
}

// Term returns the term of the log at the last update of the view.
func (c *Ctrl) Term() uint64 { return c.view.Load().GetTerm() }

// Applied returns the index of the newest log entry that is applied here.
func (c *Ctrl) Applied() uint64 { return c.view.Load().GetCommit() }
