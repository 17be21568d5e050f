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
		}, "ROLE_VOTER d"},
		{"the replaced voter goes next", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, silent), newPeer("d", "d", "z3", voter, reachable),
		}, "ROLE_NONE c"},
		{"a voter came back with another disk", 1, []raft.PeerStatus{
			newPeer("b", "b", "z2", voter, reachable), newPeer("c", "c", "z3", voter, time.Second), newPeer("c2", "c", "z3", learner, reachable),
		}, "ROLE_VOTER c2"},
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
