package repair

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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

// Guards against removals that take the quorum with them (CONFIG) because all disks are slow meanwhile: each
// successor had its time to catch up, and a change was acknowledged before each removal.
func TestReplacementsOnSlowDisks(t *testing.T) {
	const seeds = 20
	for _, d := range []time.Duration{100, 250, 300, 400, 500, 800} {
		for seed := range uint64(seeds) {
			s := newSimulation(seed+1, 1, 3, 3)
			for _, centre := range []string{"z0", "z1"} {
				s.start(s.add(centre))
			}
			s.setWriteTime(d * time.Millisecond)
			s.run(2 * simCatchUp)
			for _, n := range s.nodes[:2] {
				acked := s.acked
				must.True(t, s.runUntil(time.Minute, func() bool { return s.acked > acked }), must.Sprintf("writes of %d ms, seed %d", d, seed+1))
				n.leaveAt = s.now
				must.True(t, s.runUntil(simGrace, func() bool { return !n.up }))
				s.run(1500 * time.Millisecond)
			}
			acked := s.acked
			s.setWriteTime(0)
			s.run(recoverTime)
			if !s.readable() || s.acked <= acked {
				t.Errorf("writes of %d ms, seed %d: acknowledged up to %d, not readable\n%s", d, seed+1, acked, s.state())
			}
		}
	}
}
