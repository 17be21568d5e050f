package ctrl

import (
	"sync"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
)

// news guards the parts of the state that others than the loop read, and tells
// them that something has changed. The zero value is ready.
type news struct {
	mu      sync.RWMutex
	notify  sync.Mutex
	changed chan struct{}
}

// apply runs a command. Reads by others wait for it.
func (n *news) apply(s *state.State, cmd *wire.Command) *wire.Result {
	n.mu.Lock()
	r := s.Apply(cmd)
	n.mu.Unlock()
	switch cmd.GetKind().(type) {
	case *wire.Command_Publish, *wire.Command_Enroll, *wire.Command_RecordBans, *wire.Command_StartRollout, *wire.Command_AdvanceRollout:
		n.tell()
	}
	return r
}

func (n *news) tell() {
	n.notify.Lock()
	defer n.notify.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// Changed returns a channel that closes when the publication, the roster, the bans, the
// rollouts or the leadership of this replica next changes. It is taken before they are read.
func (c *Ctrl) Changed() <-chan struct{} {
	c.news.notify.Lock()
	defer c.news.notify.Unlock()
	if c.news.changed == nil {
		c.news.changed = make(chan struct{})
	}
	return c.news.changed
}

// Publication returns the published document that is applied here, and its
// version.
func (c *Ctrl) Publication() (uint64, []byte) {
	c.news.mu.RLock()
	defer c.news.mu.RUnlock()
	return c.state.Publication()
}

// Upstream returns what the roster here says of an upstream, or nil.
func (c *Ctrl) Upstream(id string) *wire.Upstream {
	c.news.mu.RLock()
	defer c.news.mu.RUnlock()
	return c.state.Roster().Find(id)
}

// Roster lists what has changed after a revision, as roster.Since does, and the
// revision that it leads to.
func (c *Ctrl) Roster(since uint64) (list []*wire.Upstream, whole bool, revision uint64) {
	c.news.mu.RLock()
	defer c.news.mu.RUnlock()
	list, whole = c.state.Roster().Since(since)
	return list, whole, c.state.Roster().Revision()
}

// Bans lists the recorded bans of requests, and a number that changes with them.
func (c *Ctrl) Bans() (list []*wire.Ban, revision uint64) {
	c.news.mu.RLock()
	defer c.news.mu.RUnlock()
	return c.state.Bans()
}

// Rollouts lists the newest rollout of each pool, the version of each pool, and a number that
// changes with them.
func (c *Ctrl) Rollouts() (list []*wire.Rollout, versions []*wire.PoolVersion, revision uint64) {
	c.news.mu.RLock()
	defer c.news.mu.RUnlock()
	d := c.state.Deploy()
	return d.Rollouts(), d.Versions(), d.Revision()
}

// Leads reports whether this replica led when it last looked.
func (c *Ctrl) Leads() bool { return c.view.Load().leads }

// CutOff reports whether this replica heard no leader and reached no quorum when it
// last looked.
func (c *Ctrl) CutOff() bool { return c.view.Load().GetCutOff() }

// Leader returns the peer address of the leader that this replica follows,
// empty for none.
func (c *Ctrl) Leader() string { return c.view.Load().GetLeader() }

// Identity names the data folder of this replica.
func (c *Ctrl) Identity() string { return c.id }

// Group returns the group's name, empty for a replica in none, its replicas as
// this one knows them, and, on the leader, how it hears the others.
func (c *Ctrl) Group() (name string, all []*wire.Replica, peers []raft.PeerStatus) {
	v := c.view.Load()
	return v.GetGroup(), v.GetReplicas(), v.peers
}

// Term is the term of the log when the replica last looked.
func (c *Ctrl) Term() uint64 { return c.view.Load().GetTerm() }

// Applied is the index of the newest log entry that is applied here.
func (c *Ctrl) Applied() uint64 { return c.view.Load().GetCommit() }
