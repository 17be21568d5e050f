package ctrl

import (
	"sync"
	"time"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

const (
	listedFor         = time.Hour   // Age of its last beat from which an entry is no longer listed.
	drainingListedFor = time.Minute // The same for a draining entry.
)

type (
	// view is a copy of the replica's status that the loop publishes. Beats and status queries
	// are answered from it without waiting for the loop.
	view struct {
		wire.Status // Without nodes.
		at          time.Time
		silence     time.Duration // Time since the last message of a leader, as of then.
		heard       bool          // Whether a leader was heard, and this replica has caught up.
		leads       bool
		established bool
		peers       []raft.PeerStatus // Only at a leader.
	}

	// beats holds the last beat of each entry. The zero value is ready for use.
	beats struct {
		mu    sync.Mutex
		nodes map[string]lastBeat
	}

	lastBeat struct {
		*wire.Beat
		at                  time.Time
		remoteEntriesSentAt time.Time // Last reply with entries of other data centres.
	}
)

func (c *Ctrl) publish(now time.Time) {
	v := &view{at: now}
	v.silence, v.heard = c.raft.Silence(now)
	// After a network partition a replica hears the leader before it has caught up. An entry that
	// starts must not take its old document for the newest.
	v.heard = v.heard && !c.raft.BehindLeader()
	v.Replica, v.Address, v.Identity, v.DataCentre = c.Name, c.Address.String(), c.id, c.Centre
	v.Leader, v.Term, v.Commit = c.addressOf(c.raft.Leader()), c.raft.Term(), c.applied
	v.Version, v.Change, v.Document = c.state.Version(), c.state.ChangeID(), c.state.Document()
	v.Claims, v.Group, v.Bootstrap = uint64(c.state.ClaimCount()), c.raft.Group(), c.Bootstrap //nolint:gosec // Not negative.
	v.Replicas, v.peers = c.raft.Replicas(), c.raft.Peers(now)
	v.leads, v.established, v.CutOff = c.raft.IsLeader(), c.raft.Established(), c.raft.CutOff(now)
	if v.GetCutOff() {
		v.Leader = "" // The leader that it followed is out of reach.
	}
	if was := c.view.Load(); was != nil && (was.leads != v.leads || was.established != v.established || was.GetCutOff() != v.GetCutOff()) {
		defer c.observer.broadcast()
	}
	for _, r := range v.GetReplicas() {
		if r.GetVoter() {
			v.Voters = append(v.Voters, r.GetAddress())
		} else {
			v.Learners = append(v.Learners, r.GetAddress())
		}
	}
	c.view.Store(v)
}

// stale reports whether the replica may be behind: it has not heard a leader recently, or its loop
// hangs.
func (v *view) stale(now time.Time) bool {
	return !v.heard || v.silence+now.Sub(v.at) > StaleAfter
}

func (c *Ctrl) statusOf(v *view) *wire.Status {
	now := time.Now()
	return &wire.Status{
		Replica: v.GetReplica(), Address: v.GetAddress(), Identity: v.GetIdentity(), DataCentre: v.GetDataCentre(), Leader: v.GetLeader(), Term: v.GetTerm(),
		Commit: v.GetCommit(), Version: v.GetVersion(), Change: v.GetChange(), Document: v.GetDocument(), Claims: v.GetClaims(),
		Group: v.GetGroup(), Bootstrap: v.GetBootstrap(), Voters: v.GetVoters(), Learners: v.GetLearners(),
		Replicas: v.GetReplicas(), Stale: v.stale(now), CutOff: v.GetCutOff(), Nodes: c.beats.list(now),
	}
}

// Ready reports whether the replica has heard a leader recently.
func (c *Ctrl) Ready() bool { return !c.view.Load().stale(time.Now()) }

// beat records an entry's beat and returns a newer document, if there is one.
func (c *Ctrl) beat(b *wire.Beat) *wire.BeatReply {
	now := time.Now()
	c.beats.record(b, now)
	r := c.reply(b.GetVersion())
	r.Neighbours = c.beats.remoteEntriesFor(b, now)
	return r
}

// reply returns the document only if it is newer than the entry's, so that a replica that lags
// behind never returns an entry to an older one.
func (c *Ctrl) reply(than uint64) *wire.BeatReply {
	v := c.view.Load()
	r := &wire.BeatReply{Version: v.GetVersion(), Stale: v.stale(time.Now()), Leader: v.GetLeader()}
	if v.GetVersion() > than {
		r.Document = v.GetDocument()
	}
	return r
}

func (b *beats) record(beat *wire.Beat, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]lastBeat{}
	}
	b.nodes[beat.GetNode()] = lastBeat{beat, now, b.nodes[beat.GetNode()].remoteEntriesSentAt}
}

func (b *beats) list(now time.Time) []*wire.NodeStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*wire.NodeStatus
	for name, h := range b.nodes {
		age := now.Sub(h.at)
		if age > listedFor || (h.GetDraining() && age > drainingListedFor) {
			delete(b.nodes, name)
			continue
		}
		all = append(all, &wire.NodeStatus{Beat: h.Beat, AgeUs: age.Microseconds()})
	}
	return all
}
