package repair

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var (
	playSeeds = flag.Int("repair.seeds", 12, "seeds of each group that TestGroupsUnderDrawnFaults plays")
	playFirst = flag.Uint64("repair.first", 1, "first seed")
)

const (
	playTime    = 40 * time.Second
	recoverTime = 12 * time.Second
)

// live returns the replicas that run, oldest first.
func (s *simulation) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !n.up || n.leaveAt > 0 })
}

// oldest returns the oldest replica in a data centre that runs.
func (s *simulation) oldest(centre string) *simNode {
	for _, n := range s.live() {
		if n.centre == centre {
			return n
		}
	}
	return nil
}

// bears reports whether the group must bear one more lost replica in the span.
func (s *simulation) bears(from, to time.Duration) bool {
	n := 0
	for _, l := range s.lost {
		if l.from < to && from < l.to {
			n++
		}
	}
	return n < s.policy.MaxLosses
}

// later calls f at a time.
type later struct {
	at time.Duration
	f  func()
}

// play draws faults within what the group must bear. A replica counts as lost while it is down, cut
// off or slow, and for the catch-up time after that, and a new one for the catch-up time after its
// start. A replica that is removed counts until its successor has had that time. Of several replicas in the data centre of a successor,
// the oldest is the one that is removed.
func (s *simulation) play() {
	var todo []later
	busy := map[*simNode]bool{}
	lose := func(span time.Duration) bool {
		if !s.bears(s.now, s.now+span+simCatchUp) {
			return false
		}
		s.lost = append(s.lost, simSpan{s.now, s.now + span + simCatchUp})
		return true
	}
	for end := s.now + playTime; s.now < end || len(todo) > 0; s.step() {
		for i := 0; i < len(todo); i++ {
			if todo[i].at <= s.now {
				f := todo[i].f
				todo = slices.Delete(todo, i, i+1)
				i--
				f()
			}
		}
		if s.now >= end || s.rnd.IntN(60) > 0 {
			continue
		}
		live := slices.DeleteFunc(s.live(), func(n *simNode) bool { return busy[n] })
		if len(live) == 0 {
			continue
		}
		n := live[s.rnd.IntN(len(live))]
		span := 200*time.Millisecond + time.Duration(s.rnd.Int64N(int64(3*time.Second)))
		free := func() { delete(busy, n) }
		switch s.rnd.IntN(7) {
		case 0, 1: // A successor comes, and later the former replica goes.
			former := s.oldest(n.centre)
			if busy[former] || !lose(0) {
				continue
			}
			next := s.add(n.centre)
			busy[former], busy[next] = true, true
			s.start(next)
			planned := s.rnd.IntN(2) == 0
			s.note("%s is to replace %s, planned %t", next.id, former.id, planned)
			wait := simCatchUp + time.Duration(s.rnd.Int64N(int64(2*time.Second)))
			todo = append(todo, later{s.now + wait, func() {
				delete(busy, next)
				if planned {
					former.leaveAt = s.now
				} else {
					s.kill(former)
				}
			}})
		case 2: // Killed for good; a successor comes a second later.
			if lose(time.Second) {
				s.kill(n)
				next := s.add(n.centre)
				busy[next] = true
				todo = append(todo, later{s.now + time.Second, func() { s.start(next) }}, later{s.now + time.Second + simCatchUp, func() { delete(busy, next) }})
			}
		case 3: // Restarted with its disk, with notice or without.
			if lose(span + simLeave) {
				busy[n] = true
				if s.rnd.IntN(2) == 0 {
					n.leaveAt = s.now
				} else {
					s.kill(n)
				}
				todo = append(todo, later{s.now + simLeave + span, func() { s.kill(n); s.start(n); free() }})
			}
		case 4: // Its disk is lost.
			if lose(span) {
				busy[n] = true
				s.kill(n)
				e := s.add(n.centre)
				e.address = n.address
				todo = append(todo, later{s.now + span, func() { s.start(e) }})
			}
		case 5: // Cut off, or with a slow disk.
			if lose(span) {
				busy[n] = true
				if s.rnd.IntN(2) == 0 {
					s.cut[n.id] = true
				} else {
					n.slow = time.Second
				}
				s.note("%s cut %t, slow %v, for %v", n.id, s.cut[n.id], n.slow, span)
				todo = append(todo, later{s.now + span, func() { delete(s.cut, n.id); n.slow = 0; free() }})
			}
		case 6:
			s.loss = 0.08 * s.rnd.Float64()
			s.note("links lose %.3f", s.loss)
			todo = append(todo, later{s.now + 5500*time.Millisecond, func() { s.loss = 0 }})
		}
	}
}

// Guards against an acknowledged entry that can't be read any more (CONFIG): replicas are replaced,
// restarted, cut off, slowed and lose their disks within what the group must bear.
func TestGroupsUnderDrawnFaults(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		losses, centres, replicas int
	}{
		{"three", 1, 3, 3},
		{"five in five data centres", 2, 5, 5},
		{"five in three data centres", 2, 3, 6},
		{"three in five data centres", 1, 5, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for i := range *playSeeds {
				seed := *playFirst + uint64(i) //nolint:gosec // Not negative.
				s := newSimulation(seed, tt.losses, tt.centres, tt.replicas)
				s.play()
				acked := s.acked
				s.run(recoverTime)
				if len(s.broken) > 0 || !s.readable() || s.acked <= acked {
					t.Errorf("seed %d: acknowledged up to %d, then up to %d; %s\n%s", seed, acked, s.acked, strings.Join(s.broken, "; "), s.state())
				}
			}
		})
	}
}

// Guards against replicas that are removed in a row and take the quorum with them, although each had
// a successor with its time to catch up.
func TestReplicasAreReplacedInARow(t *testing.T) {
	for _, gap := range []time.Duration{0, 700 * time.Millisecond, 1500 * time.Millisecond, 2200 * time.Millisecond} {
		for _, planned := range []bool{true, false} {
			s := newSimulation(1, 1, 3, 3)
			for _, centre := range []string{"z0", "z1"} {
				s.start(s.add(centre))
			}
			s.run(2 * simCatchUp)
			for _, n := range s.nodes[:2] {
				if planned {
					n.leaveAt = s.now
				} else {
					s.kill(n)
				}
				s.run(gap)
			}
			acked := s.acked
			s.run(recoverTime)
			must.True(t, s.readable(), must.Sprint(gap, planned))
			must.Greater(t, acked, s.acked)
		}
	}
}

// Guards against leaders that come and go while links lose messages, so that a lost voter keeps its
// vote, and nothing is acknowledged meanwhile.
func TestElectionsOnLossyLinks(t *testing.T) {
	const lossTime, seeds = 5500 * time.Millisecond, 20
	for _, tt := range []struct {
		name                      string
		losses, centres, replicas int
	}{
		{"three", 1, 3, 3},
		{"five", 2, 5, 5},
	} {
		for _, loss := range []float64{0.04, 0.08} {
			for seed := range uint64(seeds) {
				s := newSimulation(seed+1, tt.losses, tt.centres, tt.replicas)
				s.loss = loss
				s.run(lossTime)
				must.LessEq(t, 1, s.elections, must.Sprintf("%s, loss %.2f, seed %d", tt.name, loss, seed+1))
			}
		}
	}
}

// Guards against a lost voter that keeps its vote while links lose messages (CONFIG): it must have a
// successor with a vote once that one has had its time to catch up.
func TestVotesMoveOnLossyLinks(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(seed+1, 1, 3, 3)
		s.loss = 0.08
		lost := s.nodes[0]
		s.kill(lost)
		s.run(time.Second)
		successor := s.add(lost.centre)
		s.start(successor)
		s.run(simCatchUp)
		var have []string
		for _, r := range s.newest().Replicas() {
			if r.GetVoter() {
				have = append(have, r.GetId())
			}
		}
		slices.Sort(have)
		must.Eq(t, []string{s.nodes[1].id, s.nodes[2].id, successor.id}, have, must.Sprintf("seed %d: %s", seed+1, s.state()))
	}
}

// newest returns the replica in the highest term that runs.
func (s *simulation) newest() *simNode {
	var best *simNode
	for _, n := range s.live() {
		if best == nil || n.Term() > best.Term() || (n.Term() == best.Term() && n.IsLeader()) {
			best = n
		}
	}
	return best
}

// promotions returns the number of votes that replicas were given so far.
func (s *simulation) promotions() int {
	n := 0
	for _, e := range s.events {
		if strings.Contains(e, "ROLE_VOTER") {
			n++
		}
	}
	return n
}

// Guards against votes that go back and forth with a newcomer that crashes again and again.
func TestCrashLoopMovesNoVotes(t *testing.T) {
	const crashes, up, down = 10, 3 * time.Second, 3 * time.Second
	s := newSimulation(1, 1, 3, 3)
	before := s.promotions()
	n := s.add("z0")
	for range crashes {
		s.start(n)
		s.run(up)
		s.kill(n)
		s.run(down)
	}
	must.Eq(t, before+2, s.promotions(), must.Sprint("the newcomer gets a vote once and gives it back"))
	must.True(t, s.readable())
}

// Guards against a vote that moves from a replica with a sound disk to one with a slow one.
func TestSlowDiskGetsNoVote(t *testing.T) {
	s := newSimulation(1, 1, 3, 3)
	before := s.promotions()
	n := s.add("z0")
	n.slow = time.Second
	s.start(n)
	s.run(4 * simCatchUp)
	must.Eq(t, before, s.promotions())
	n.slow = 0
	s.run(simCatchUp)
	must.Eq(t, before+1, s.promotions())
}
