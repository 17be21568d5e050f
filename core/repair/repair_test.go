package repair

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

func newPeer(id, address, centre string, voter bool, silence time.Duration) raft.PeerStatus {
	return raft.PeerStatus{
		Replica: &wire.Replica{Id: id, Address: address, DataCentre: centre, Voter: voter}, Silence: silence, CaughtUp: silence < time.Second,
		Steady: time.Minute, Newer: true,
	}
}

const voter, learner = true, false

// Guards against membership changes that leave a command on fewer disks than before or give one
// data centre a majority. A replica that the leader does not replace must be able to rejoin by
// itself.
func TestNextChange(t *testing.T) {
	const reachable, silent = 10 * time.Millisecond, 5 * time.Second
	for _, tc := range []struct {
		name   string
		losses int
		others []raft.PeerStatus
		want   string // Role and id of the replica.
	}{
		{"complete", 1, []raft.PeerStatus{newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, reachable)}, ""},
		{"a voter stays away, nobody can replace it", 1, []raft.PeerStatus{newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent)}, ""},
		{"a voter stays away, a learner is there", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("d", "d", "z3", learner, reachable),
		}, "ROLE_DEMOTED c"},
		{"the learner takes the vote next", 1, []raft.PeerStatus{
			newPeer("c", "c", "z3", learner, silent), newPeer("b", "b", "z2", voter, reachable), newPeer("d", "d", "z3", learner, reachable),
		}, "ROLE_VOTER d"},
		{"the replaced voter goes if it was promoted first", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("d", "d", "z3", voter, reachable),
		}, "ROLE_DEMOTED c"},
		{"the disk of the replaced voter is lost", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("c2", "c", "z3", voter, reachable),
		}, "ROLE_NONE c"},
		{"a voter came back with another disk", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, time.Second), newPeer("c2", "c", "z3", learner, reachable),
		}, "ROLE_NONE c"},
		{"the replica with the new disk takes the vote next", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c2", "c", "z3", learner, reachable),
		}, "ROLE_VOTER c2"},
		{"a lost disk, and the replica has not caught up", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("c2", "c", "z3", learner, time.Second),
		}, ""},
		{"a learner that has not caught up waits", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("d", "d", "z3", learner, 2*time.Second),
		}, ""},
		{"voters are missing", 2, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, reachable), newPeer("d", "d", "z1", learner, reachable),
		}, "ROLE_VOTER d"},
		{"no third voter of five in one data centre", 2, []raft.PeerStatus{
			newPeer("b", "b", "z1", voter, reachable), newPeer("c", "c", "z2", voter, reachable), newPeer("d", "d", "z1", learner, reachable),
		}, ""},
		{"a learner that is gone leaves", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, reachable), newPeer("d", "d", "z3", learner, 2*time.Minute),
		}, "ROLE_NONE d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := Policy{MaxLosses: tc.losses, DataCentres: 3, ReplaceAfter: 2 * time.Second, RemoveLearnerAfter: time.Minute}
			m := p.NextChange(&wire.Replica{Id: "a", Address: "a", DataCentre: "z1", Voter: true}, tc.others)
			got := ""
			if m != nil {
				got = m.GetRole().String() + " " + m.GetReplica()
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// A group must be formed even if there are too few data centres to spread its voters.
func TestPromotionWithFewDataCentres(t *testing.T) {
	p := Policy{MaxLosses: 1, DataCentres: 1, ReplaceAfter: time.Second, RemoveLearnerAfter: time.Minute}
	m := p.NextChange(&wire.Replica{Id: "a", DataCentre: "z1", Voter: true}, []raft.PeerStatus{newPeer("b", "b", "z1", learner, 0)})
	must.Eq(t, "b", m.GetReplica())
}

// Guards against votes that stay with a replica that is about to be removed, move without need or
// swing back and forth, or leave a voter that is in touch for one that is not.
func TestVotesMove(t *testing.T) {
	const reachable, away, gone = 10 * time.Millisecond, time.Second, 5 * time.Second
	leaving := func(p raft.PeerStatus) raft.PeerStatus {
		p.Leaving = true
		return p
	}
	older := func(p raft.PeerStatus) raft.PeerStatus {
		p.Newer = false
		return p
	}
	b, c := newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, reachable)
	for _, tc := range []struct {
		name   string
		others []raft.PeerStatus // Oldest first.
		want   string
	}{
		{"a newer replica takes the vote in its data centre", []raft.PeerStatus{b, c, newPeer("d", "d", "z2", learner, reachable)}, "ROLE_VOTER d"},
		{"the older replica yields", []raft.PeerStatus{b, c, newPeer("d", "d", "z2", voter, reachable)}, "ROLE_DEMOTED b"},
		{"the leader yields", []raft.PeerStatus{b, c, newPeer("d", "d", "z1", voter, reachable)}, "ROLE_DEMOTED a"},
		{"a voter is away meanwhile", []raft.PeerStatus{newPeer("b", "b", "z2", voter, away), c, newPeer("d", "d", "z3", voter, reachable)}, "ROLE_DEMOTED c"},
		{"the newer replica falls silent first", []raft.PeerStatus{b, c, newPeer("d", "d", "z2", voter, away)}, ""},
		{"the newer replica stays silent", []raft.PeerStatus{b, c, newPeer("d", "d", "z2", voter, gone)}, "ROLE_DEMOTED d"},
		{"the newer replica was promoted and falls silent", []raft.PeerStatus{
			older(newPeer("b", "b", "z2", learner, reachable)), c, newPeer("d", "d", "z2", voter, gone),
		}, "ROLE_DEMOTED d"},
		{"the older replica takes its vote back", []raft.PeerStatus{
			older(newPeer("d", "d", "z2", learner, gone)), older(newPeer("b", "b", "z2", learner, reachable)), c,
		}, "ROLE_VOTER b"},
		{"a demoted replica takes no vote back from one in touch", []raft.PeerStatus{older(newPeer("d", "d", "z2", learner, reachable)), b, c}, ""},
		{"a newer replica has just joined", []raft.PeerStatus{b, c, {
			Replica: &wire.Replica{Id: "d", Address: "d", DataCentre: "z2"}, Silence: reachable, Steady: 100 * time.Millisecond, CaughtUp: true, Newer: true,
		}}, ""},
		{"no vote for a replica elsewhere", []raft.PeerStatus{b, c, newPeer("d", "d", "z4", learner, reachable)}, ""},
		{"the newest of several takes the vote", []raft.PeerStatus{
			b, c, newPeer("d", "d", "z2", learner, reachable), newPeer("e", "e", "z2", learner, reachable),
		}, "ROLE_VOTER e"},
		{"a voter leaves", []raft.PeerStatus{older(newPeer("d", "d", "z2", learner, reachable)), leaving(b), c}, "ROLE_VOTER d"},
		{"the leaving voter yields", []raft.PeerStatus{older(newPeer("d", "d", "z2", voter, reachable)), leaving(b), c}, "ROLE_DEMOTED b"},
		{"a voter that restarts keeps its vote", []raft.PeerStatus{
			leaving(newPeer("b", "b", "z2", voter, away)), c, newPeer("d", "d", "z3", voter, reachable),
		}, "ROLE_DEMOTED c"},
		{"a leaving learner takes no vote", []raft.PeerStatus{b, c, leaving(newPeer("d", "d", "z2", learner, reachable))}, ""},
		{"no vote for a superseded learner elsewhere", []raft.PeerStatus{older(newPeer("d", "d", "z2", learner, reachable)), b, leaving(c)}, ""},
		{"a superseded learner is better than a voter that is gone", []raft.PeerStatus{
			older(newPeer("d", "d", "z2", learner, reachable)), b, newPeer("c", "c", "z3", voter, gone),
		}, "ROLE_VOTER d"},
		{"a lost disk waits for the replica at its address", []raft.PeerStatus{
			older(newPeer("d", "d", "z2", learner, reachable)), b, newPeer("c", "c", "z3", voter, away),
			{Replica: &wire.Replica{Id: "c2", Address: "c", DataCentre: "z3"}, Silence: reachable, Newer: true},
		}, ""},
		{"votes spread again", []raft.PeerStatus{b, newPeer("d", "d", "z2", voter, reachable), newPeer("c", "c", "z3", learner, reachable)}, "ROLE_VOTER c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := Policy{MaxLosses: 1, DataCentres: 3, ReplaceAfter: 2 * time.Second, RemoveLearnerAfter: time.Minute}
			m := p.NextChange(&wire.Replica{Id: "a", Address: "a", DataCentre: "z1", Voter: true}, tc.others)
			got := ""
			if m != nil {
				got = m.GetRole().String() + " " + m.GetReplica()
			}
			must.Eq(t, tc.want, got)
		})
	}
}
