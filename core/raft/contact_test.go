package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutOffNodes lists the replicas that report that they are cut off.
func (s *sim) cutOffNodes() []string {
	var list []string
	for _, id := range s.ids {
		if n := s.nodes[id]; n.running(s) && n.CutOff(n.clock(s)) {
			list = append(list, id)
		}
	}
	return list
}

// One replica of five, a follower or the leader, is partitioned from the others. Clients on its
// side have no scheduler and will get none. The replica must report that it is cut off before
// an election could end, so that clients need not wait. No replica on the other side may report
// it, nor the partitioned one after it is connected again.
func TestCutOffIsDetected(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leader bool
	}{
		{"a follower", false},
		{"the leader", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, l := newElectedSim(1, 5)
			id := s.others(l.id)[0]
			if tc.leader {
				id = l.id
			}
			s.isolate(id)
			from := s.elapsed
			for len(s.cutOffNodes()) == 0 {
				s.step()
			}
			must.LessEq(t, 5*DefaultElectionTimeout/4, s.elapsed-from, must.Sprint("a leader steps down first"))
			for range 300 {
				s.step()
				must.Eq(t, []string{id}, s.cutOffNodes())
			}
			s.unblockAll()
			s.run(DefaultElectionTimeout)
			must.Eq(t, 0, len(s.cutOffNodes()))
			must.Eq(t, "", s.problems())
		})
	}
}

// The leader crashes, or 30 % of messages are lost. An election resolves this, so no replica
// may report that it is cut off: entry processes would switch to schedulers that don't know the
// rest of the load.
func TestElectionIsNotReportedAsCutOff(t *testing.T) {
	for seed := range uint64(30) {
		s, l := newElectedSim(seed, 5)
		if seed%2 == 0 {
			l.down = true
		} else {
			s.lossRate = 0.3
		}
		for range int(3 * DefaultElectionTimeout / simStep) {
			s.step()
			must.Eq(t, 0, len(s.cutOffNodes()), must.Sprint("seed ", seed))
		}
	}
}

// All replicas start at once, and their links stand only after some time, as after a stop of a large
// deployment. Guards against replicas that take themselves for cut off meanwhile: they would put the
// configuration of their last snapshot in force. One that is cut off from its start on must still
// report it.
func TestStartIsNotReportedAsCutOff(t *testing.T) {
	for seed := range uint64(10) {
		s, _ := newElectedSim(seed, 5)
		s.restartNodes(s.ids...)
		for _, id := range s.ids {
			s.isolate(id)
		}
		for range int(2 * DefaultElectionTimeout / simStep) {
			s.step()
			must.SliceEmpty(t, s.cutOffNodes(), must.Sprint("seed ", seed))
		}
		s.unblockAll()
		s.run(3 * DefaultElectionTimeout)
		must.NotNil(t, s.leader())
		id := s.others(s.leader().id)[0]
		s.restartNodes(id)
		s.isolate(id)
		s.run((startGraceTimeouts + 1) * DefaultElectionTimeout)
		must.Eq(t, []string{id}, s.cutOffNodes())
		must.Eq(t, "", s.problems())
	}
}

// Probes must not change the state of their receivers: a replica that hears nobody for a
// minute, but whose probes arrive, must not depose the leader.
func TestProbesDoNotDeposeLeader(t *testing.T) {
	s, l := newElectedSim(2, 3)
	o := s.others(l.id)[0]
	for _, id := range s.others(o) {
		s.blocked[[2]string{id, o}] = true // Only this direction.
	}
	s.mustKeepLeader(t, l, func() { s.run(time.Minute) })
	must.Eq(t, []string{o}, s.cutOffNodes())
}
