package ctrl

import (
	"sync"
	"time"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

const (
	forgetAfter = time.Hour   // A silent entry is listed for so long.
	leftAfter   = time.Minute // One that said it was draining.
)

type (
	// view is what the loop last published: beats and status are answered from
	// it, also while the loop waits for the disk.
	view struct {
		wire.Status // Without nodes.
		at          time.Time
		silence     time.Duration // For how long no leader was heard, at that time.
		heard       bool          // A leader was ever heard.
		leads       bool
		peers       []raft.PeerStatus // Of a leader.
	}

	// beats holds the last beat of each entry. The zero value is ready.
	beats struct {
		mu    sync.Mutex
		nodes map[string]heard
	}

	heard struct {
		*wire.Beat
		at   time.Time
		told time.Time // When it was last told of entries of other data centres.
	}
)

func (c *Ctrl) publish(now time.Time) {
	v := &view{at: now}
	v.silence, v.heard = c.raft.Silence(now)
	// A replica back from a cut hears the leader before it has caught up. Its
	// old document must not be taken for the newest by an entry that starts.
	v.heard = v.heard && !c.raft.BehindLeader()
	v.Replica, v.Address, v.Identity, v.DataCentre = c.Name, c.Address.String(), c.id, c.Centre
	v.Leader, v.Term, v.Commit = c.addressOf(c.raft.Leader()), c.raft.Term(), c.applied
	v.Version, v.Change, v.Document = c.state.Version(), c.state.ChangeID(), c.state.Document()
	v.Claims, v.Group, v.Bootstrap = uint64(c.state.ClaimCount()), c.raft.Group(), c.Bootstrap //nolint:gosec // Not negative.
	v.Replicas, v.peers = c.raft.Replicas(), c.raft.Peers(now)
	v.leads, v.CutOff = c.raft.IsLeader(), c.raft.CutOff(now)
	if v.GetCutOff() {
		v.Leader = "" // The one that it followed is on the other side.
	}
	if was := c.view.Load(); was != nil && (was.leads != v.leads || was.GetCutOff() != v.GetCutOff()) {
		defer c.news.tell()
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

// stale reports whether the replica may be behind: it heard no leader lately,
// or its loop hangs.
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

// Ready reports whether the replica hears a leader.
func (c *Ctrl) Ready() bool { return !c.view.Load().stale(time.Now()) }

// beat notes what an entry has in force and brings it the newer document.
func (c *Ctrl) beat(b *wire.Beat) *wire.BeatReply {
	now := time.Now()
	c.beats.note(b, now)
	r := c.reply(b.GetVersion())
	r.Neighbours = c.beats.abroad(b, now)
	return r
}

// reply carries a document only if it is newer than the entry's: a replica that
// lags or has just restarted never brings an old one back.
func (c *Ctrl) reply(than uint64) *wire.BeatReply {
	v := c.view.Load()
	r := &wire.BeatReply{Version: v.GetVersion(), Stale: v.stale(time.Now()), Leader: v.GetLeader()}
	if v.GetVersion() > than {
		r.Document = v.GetDocument()
	}
	return r
}

func (b *beats) note(beat *wire.Beat, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]heard{}
	}
	b.nodes[beat.GetNode()] = heard{beat, now, b.nodes[beat.GetNode()].told}
}

func (b *beats) list(now time.Time) []*wire.NodeStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []*wire.NodeStatus
	for name, h := range b.nodes {
		age := now.Sub(h.at)
		if age > forgetAfter || (h.GetDraining() && age > leftAfter) {
			delete(b.nodes, name)
			continue
		}
		all = append(all, &wire.NodeStatus{Beat: h.Beat, AgeUs: age.Microseconds()})
	}
	return all
}
