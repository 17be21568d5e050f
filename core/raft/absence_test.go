package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// silenceOf returns the silence of a replica at the leader.
func (s *sim) silenceOf(l *node, id string) time.Duration {
	for _, p := range l.Peers(l.clock(s)) {
		if p.GetId() == id {
			return p.Silence
		}
	}
	return 0
}

// Guards against a lost voter that is replaced late because each new leader counts its silence anew.
func TestSilenceOutlivesElections(t *testing.T) {
	s, l := newElectedSim(3, 3)
	lost := s.nodes[s.others(l.id)[0]]
	lost.down = true
	at := s.elapsed
	for range 3 {
		s.run(2 * time.Second)
		l = s.leader()
		must.Between(t, s.elapsed-at-200*time.Millisecond, s.silenceOf(l, lost.id), s.elapsed-at+200*time.Millisecond)
		s.performEffects(l, l.TransferLeadership(l.clock(s)))
	}
	s.run(2 * time.Second)
	must.NotEq(t, l.id, s.leader().id)
	lost.down = false
	s.run(time.Second)
	must.Less(t, 200*time.Millisecond, s.silenceOf(s.leader(), lost.id))
	must.Eq(t, "", s.problems())
}

// Guards against voters that a new leader takes for silent before they have had time to reply.
func TestNewLeaderGivesVotersTime(t *testing.T) {
	s, l := newElectedSim(4, 3)
	s.isolate(l.id)
	for next := (*node)(nil); next == nil || next.id == l.id; next = s.leader() {
		s.step()
	}
	for _, p := range s.leader().Peers(s.leader().clock(s)) {
		must.Less(t, DefaultElectionTimeout, p.Silence)
	}
}
