package repair

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

func replica(id, address, centre string, voter bool, silence time.Duration) raft.PeerStatus {
	return raft.PeerStatus{
		Replica: &wire.Replica{Id: id, Address: address, DataCentre: centre, Voter: voter}, Silence: silence, CaughtUp: silence < time.Second,
	}
}

const voter, learner = true, false

// A leader looks at its group. What it changes must leave a command on as many
// disks as before, and must not give one data centre a majority; what it leaves
// alone must be able to come back by itself.
func TestNext(t *testing.T) {
	const here, away = 10 * time.Millisecond, 5 * time.Second
	for _, tc := range []struct {
		name   string
		losses int
		others []raft.PeerStatus
		want   string // Role and replica.
	}{
		{"complete", 1, []raft.PeerStatus{replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, here)}, ""},
		{"a voter stays away, nobody can replace it", 1, []raft.PeerStatus{replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, away)}, ""},
		{"a voter stays away, a learner is there", 1, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, away), replica("d", "d", "z3", learner, here),
		}, "ROLE_VOTER d"},
		{"the replaced voter goes next", 1, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, away), replica("d", "d", "z3", voter, here),
		}, "ROLE_NONE c"},
		{"a voter came back with another disk", 1, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, time.Second), replica("c2", "c", "z3", learner, here),
		}, "ROLE_VOTER c2"},
		{"a learner that has not caught up waits", 1, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, away), replica("d", "d", "z3", learner, 2*time.Second),
		}, ""},
		{"voters are missing", 2, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, here), replica("d", "d", "z1", learner, here),
		}, "ROLE_VOTER d"},
		{"no third voter of five in one data centre", 2, []raft.PeerStatus{
			replica("b", "b", "z1", voter, here), replica("c", "c", "z2", voter, here), replica("d", "d", "z1", learner, here),
		}, ""},
		{"a learner that is gone leaves", 1, []raft.PeerStatus{
			replica("b", "b", "z2", voter, here), replica("c", "c", "z3", voter, here), replica("d", "d", "z3", learner, 2*time.Minute),
		}, "ROLE_NONE d"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := Policy{MaxLosses: tc.losses, DataCentres: 3, ReplaceAfter: 2 * time.Second, RemoveLearnerAfter: time.Minute}
			m := f.NextChange(&wire.Replica{Id: "a", Address: "a", DataCentre: "z1", Voter: true}, tc.others)
			got := ""
			if m != nil {
				got = m.GetRole().String() + " " + m.GetReplica()
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// Where there are fewer data centres than would spread the voters, a group is
// formed all the same.
func TestFewDataCentres(t *testing.T) {
	f := Policy{MaxLosses: 1, DataCentres: 1, ReplaceAfter: time.Second, RemoveLearnerAfter: time.Minute}
	m := f.NextChange(&wire.Replica{Id: "a", DataCentre: "z1", Voter: true}, []raft.PeerStatus{replica("b", "b", "z1", learner, 0)})
	must.Eq(t, "b", m.GetReplica())
}
