package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// cutOff lists who says that it is cut off.
func (s *sim) cutOff() []string {
	var list []string
	for _, id := range s.names {
		if n := s.nodes[id]; n.runs(s) && n.CutOff(n.clock(s)) {
			list = append(list, id)
		}
	}
	return list
}

// One replica of five is cut off from the others, follower or leader. Callers on its
// side have no scheduler, and none will come: the replica says so before an election
// would be over, so that they need not wait. Nobody on the other side says it, nor
// the replica itself once it is back.
func TestCutOffIsKnown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		leader bool
	}{
		{"a follower", false},
		{"the leader", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, l := elected(1, 5)
			id := s.others(l.id)[0]
			if tc.leader {
				id = l.id
			}
			s.isolate(id)
			from := s.t
			for len(s.cutOff()) == 0 {
				s.step()
			}
			must.LessEq(t, 5*DefaultElectionTimeout/4, s.t-from, must.Sprint("a leader steps down first"))
			for range 300 {
				s.step()
				must.Eq(t, []string{id}, s.cutOff())
			}
			s.join()
			s.run(DefaultElectionTimeout)
			must.Eq(t, 0, len(s.cutOff()))
			must.Eq(t, "", s.problems())
		})
	}
}

// The leader stops without a word, or half of the links are bad. An election ends
// that, so no replica may say that it is cut off: entries would leave each other for
// schedulers that know nothing of the rest.
func TestElectionIsNoCut(t *testing.T) {
	for seed := range uint64(30) {
		s, l := elected(seed, 5)
		if seed%2 == 0 {
			l.down = true
		} else {
			s.loss = 0.3
		}
		for range int(3 * DefaultElectionTimeout / simStep) {
			s.step()
			must.Eq(t, 0, len(s.cutOff()), must.Sprint("seed ", seed))
		}
	}
}

// Questions whether others are there change nothing at them: a replica that hears
// nobody for a minute, but whose questions arrive, deposes no leader.
func TestReachingDeposesNobody(t *testing.T) {
	s, l := elected(2, 3)
	o := s.others(l.id)[0]
	for _, id := range s.others(o) {
		s.cut[[2]string{id, o}] = true // One way.
	}
	s.stays(t, l, func() { s.run(time.Minute) })
	must.Eq(t, []string{o}, s.cutOff())
}
