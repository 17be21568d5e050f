package raft

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
