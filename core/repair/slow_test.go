package repair

import (
	"testing"
	"time"
)

// setWriteTime sets how long each write of each replica takes.
func (s *simulation) setWriteTime(d time.Duration) {
	for _, n := range s.nodes {
		n.slow = d
	}
}

// runUntil runs until a condition holds, and reports whether it did in time.
func (s *simulation) runUntil(limit time.Duration, ok func() bool) bool {
	for end := s.now + limit; s.now < end; s.step() {
		if ok() {
			return true
		}
	}
	return ok()
}

// Guards against a group that is without a leader for as long as all disks are slow, because each
// election ends before the votes are on disk.
func TestElectionsOnSlowDisks(t *testing.T) {
	const seeds = 20
	for _, d := range []time.Duration{100, 250, 300, 400, 500, 800} {
		for seed := range uint64(seeds) {
			s := newSimulation(seed+1, 1, 3, 3)
			s.setWriteTime(d * time.Millisecond)
			s.kill(s.leader())
			acked := s.acked
			if !s.runUntil(recoverTime, func() bool { return s.acked > acked }) {
				t.Errorf("writes of %d ms, seed %d: nothing acknowledged within %v", d, seed+1, recoverTime)
			}
		}
	}
}
