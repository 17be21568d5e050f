package raft

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against a leader that loses its lease, and then its leadership, because the replies to
// its heartbeats wait behind the writes of its followers, as after a stop of everything, when all
// disks are busy.
func TestHeartbeatsDoNotWaitForDisks(t *testing.T) {
	for _, n := range []int{3, 25} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			s := newSim(5, n)
			s.run(4 * time.Second)
			l := s.leader()
			for _, id := range s.others(l.id) {
				s.nodes[id].minWriteTime, s.nodes[id].maxWriteTime = DefaultElectionTimeout/4, DefaultElectionTimeout/4+simStep
			}
			for i := range 300 {
				s.propose(l, strconv.Itoa(i))
				s.step()
				must.True(t, l.HasLease(l.clock(s)), must.Sprintf("lease %d steps after disks became slow", i))
			}
			for _, id := range s.ids {
				s.nodes[id].minWriteTime, s.nodes[id].maxWriteTime = 0, 0
			}
			s.run(2 * time.Second)
			must.Eq(t, l.log.lastIndex(), l.CommitIndex())
			must.Eq(t, "", s.problems())
		})
	}
}

// Guards against learners that never settle because their disks stall, although those of the voters stall
// as well, and against ones that settle although only theirs does.
func TestStallsOfDisksAreCompared(t *testing.T) {
	for _, tt := range []struct {
		name    string
		slow    int // Number of voters with a slow disk.
		settles bool
	}{
		{"only its own", 0, false},
		{"one voter's too", 1, false},
		{"those of most voters too", 2, true},
		{"all", 3, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, l := newElectedSim(11, 3)
			s.addNode("new")
			s.mustChange(t, l, "new", wire.Membership_ROLE_LEARNER)
			s.run(time.Second)
			for _, id := range append(append(s.others(l.id)[:2:2], l.id)[:tt.slow:tt.slow], "new") {
				s.nodes[id].minWriteTime, s.nodes[id].maxWriteTime = DefaultElectionTimeout/2, DefaultElectionTimeout/2+simStep
			}
			for i := range 500 {
				s.propose(l, strconv.Itoa(i))
				s.step()
			}
			peers := l.Peers(l.clock(s))
			steady := peers[len(peers)-1].Steady
			must.Eq(t, "new", peers[len(peers)-1].GetId())
			must.Eq(t, tt.settles, steady > 2*time.Second, must.Sprint(steady))
			must.Eq(t, l.id, s.leader().id)
		})
	}
}
