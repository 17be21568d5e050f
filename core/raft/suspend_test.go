package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// suspendInTurns suspends each replica again and again, for a part of each period.
func (s *sim) suspendInTurns(period, suspended, span time.Duration) {
	next := map[string]time.Duration{}
	for end := s.elapsed + span; s.elapsed < end; s.step() {
		for _, id := range s.ids {
			if s.elapsed >= next[id] {
				s.nodes[id].suspendedUntil = s.elapsed + suspended
				next[id] = s.elapsed + period + time.Duration(s.rnd.Int64N(int64(period/4)))
			}
		}
	}
}

// Guards against replicas that are suspended again and again, as on an overloaded host, and elect no
// leader: each suspension started their timers again.
func TestElectionsBetweenSuspensions(t *testing.T) {
	const seeds, limit = 20, 20 * DefaultElectionTimeout
	for _, tt := range []struct {
		name              string
		period, suspended time.Duration
	}{
		{"half of the time", DefaultElectionTimeout, DefaultElectionTimeout / 2},
		{"over half of the time", DefaultElectionTimeout * 3 / 2, DefaultElectionTimeout * 4 / 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSim(seed+1, 3)
				s.leaseless = true
				for _, n := range s.nodes {
					n.Leaseless = true
				}
				s.run(4 * time.Second)
				l := s.leader()
				must.NotNil(t, l)
				l.down = true
				s.suspendInTurns(tt.period, tt.suspended, limit)
				must.SliceContainsFunc(t, s.others(l.id), l.Term(), func(id string, term uint64) bool { return s.nodes[id].IsLeader() && s.nodes[id].Term() > term }, must.Sprint(seed+1))
				must.Eq(t, "", s.problems())
			}
		})
	}
}
