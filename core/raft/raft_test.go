package raft

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

// fault makes one thing go wrong, at random.
func (s *sim) fault() {
	n := s.nodes[s.names[s.rnd.IntN(len(s.names))]]
	o := s.names[s.rnd.IntN(len(s.names))]
	switch s.rnd.IntN(11) {
	case 0:
		s.isolate(n.id)
	case 1:
		s.cut[[2]string{n.id, o}] = true
	case 2, 3:
		s.join()
	case 4:
		n.frozen = s.t + time.Duration(s.rnd.Int64N(int64(4*time.Second)))
	case 5:
		n.crash = 1 + s.rnd.IntN(2)
	case 6:
		if n.down {
			s.start(n)
		} else {
			n.down = true
		}
	case 7:
		n.offset += time.Duration(s.rnd.Int64N(int64(8*time.Second))) - 4*time.Second
	case 8:
		if l := s.leader(); l != nil {
			s.perform(l, l.TransferLeadership(l.clock(s)))
		}
	case 9:
		n.full = !n.full
	case 10:
		n.slow = time.Duration(s.rnd.Int64N(int64(3 * time.Second)))
	}
}

// reshape tries a random change of membership at the leader.
func (s *sim) reshape(most int) {
	l := s.leader()
	if l == nil {
		return
	}
	if len(s.names) < most && s.rnd.IntN(2) == 0 {
		id := fmt.Sprintf("r%d", len(s.names))
		s.add(id)
		_ = s.change(l, id, wire.Membership_ROLE_LEARNER)
		return
	}
	role := wire.Membership_Role(s.rnd.IntN(3))
	if role == wire.Membership_ROLE_NONE && l.voters() <= 3 {
		return
	}
	_ = s.change(l, s.names[s.rnd.IntN(len(s.names))], role)
}

// Replicas propose while messages are lost, doubled, reordered and delayed,
// links are cut one way and both, disks are full or slow, processes freeze, crash before and after
// syncs and restart, clocks run unevenly and jump, and members change. A term
// has one leader, who has all that is committed; all apply the same sequence;
// reads under a lease are fresh; and after it all the group works again.
func TestLogHoldsUnderFaults(t *testing.T) {
	terms, reads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"))
		s.leased = true
		s.loss, s.dup = 0.1*s.rnd.Float64(), 0.2*s.rnd.Float64()
		s.delay = time.Duration(1+s.rnd.IntN(30)) * simStep
		for _, id := range s.names {
			s.nodes[id].rate = 0.9 + 0.2*s.rnd.Float64()
		}
		for i := range 2500 {
			s.step()
			if s.rnd.IntN(60) == 0 {
				s.fault()
			}
			if s.rnd.IntN(200) == 0 {
				s.reshape(6)
			}
			for _, id := range s.names {
				if n := s.nodes[id]; n.runs(s) && n.IsLeader() && s.rnd.IntN(4) == 0 {
					s.propose(n, fmt.Sprint(id, i))
				}
			}
		}
		if len(s.broken) == 0 {
			s.heal()
		}
		terms, reads = terms+len(s.leaders), reads+s.reads
		if len(s.broken) > 0 {
			t.Fatal(s.problems())
		}
	})
	t.Logf("%d terms, %d reads under a lease", terms, reads)
}

// Guards against promises that are given before the disk has kept what they are about:
// all disks are slow, and replicas crash during their writes.
func TestLogHoldsOnSlowDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3)
		for _, id := range s.names {
			s.nodes[id].slow = 800 * time.Millisecond
		}
		for i := range 2500 {
			s.step()
			switch n := s.nodes[s.names[s.rnd.IntN(len(s.names))]]; {
			case s.rnd.IntN(40) > 0:
			case n.down:
				s.start(n)
			default:
				n.down = true
			}
			if l := s.leader(); l != nil && s.rnd.IntN(4) == 0 {
				s.propose(l, strconv.Itoa(i))
			}
		}
		if len(s.broken) == 0 {
			s.heal()
		}
		if len(s.broken) > 0 {
			t.Fatal(s.problems())
		}
	})
}

// heal ends all faults and holds that a new entry reaches every member.
func (s *sim) heal() {
	s.join()
	s.loss, s.dup, s.delay = 0, 0, simStep
	for _, id := range s.names {
		n := s.nodes[id]
		n.frozen, n.crash, n.full, n.slow = 0, 0, false, 0
		if n.down {
			s.start(n)
		}
	}
	s.run(12 * time.Second)
	l := s.leader()
	if l == nil {
		s.fail("no leader after the faults")
		return
	}
	if !s.propose(l, "last") {
		s.fail("the leader takes nothing after the faults")
	}
	s.run(3 * time.Second)
	for _, p := range l.Replicas() {
		if n := s.nodes[p.GetId()]; n.index != l.index || n.sum != l.sum {
			s.fail("%s stands at %d, the leader at %d", n.id, n.index, l.index)
		}
	}
}

// With no faults three replicas elect a leader and commit, and a leader that
// stops on purpose hands over within half a second, long before a timeout.
func TestTransfer(t *testing.T) {
	s := newSim(1, 3)
	s.run(4 * time.Second)
	l := s.leader()
	must.True(t, s.commit(l, "a"))
	must.Eq(t, l.CommitIndex(), s.acked)
	s.perform(l, l.TransferLeadership(l.clock(s)))
	must.False(t, s.propose(l, "b"))
	s.run(500 * time.Millisecond)
	must.NotNil(t, s.leader())
	must.NotEq(t, l.id, s.leader().id)
	must.Eq(t, "", s.problems())
}

// A learner that starts with an empty disk, long after the first entries were
// compacted away, gets a snapshot, catches up and becomes a voter; then the
// first replica is removed, even while it leads.
func TestLearnerThenVoterThenRemoval(t *testing.T) {
	s := newSim(2, 3)
	s.run(4 * time.Second)
	l := s.leader()
	for i := range 2 * TrailingEntries {
		s.propose(l, strconv.Itoa(i))
		if i%10 == 0 {
			s.step()
		}
	}
	must.Greater(t, 1, l.log.base)
	s.add("new")
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrRefused)
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrBusy)
	s.run(time.Second)
	must.Eq(t, l.index, s.nodes["new"].index)
	must.Eq(t, l.sum, s.nodes["new"].sum)
	s.alter(t, l, "new", wire.Membership_ROLE_VOTER)
	must.NoError(t, s.change(l, l.id, wire.Membership_ROLE_NONE))
	s.run(4 * time.Second)
	must.NotEq(t, l.id, s.leader().id)
	must.Eq(t, 3, s.leader().voters())
	must.True(t, s.propose(s.leader(), "z"))
	must.Eq(t, "", s.problems())
}

// A replica comes back with an empty disk, and joins from its old address as a learner
// seconds after the leader's election. Until its first answer it is silent since it
// was added and no longer: taken for silent since the election, while the identity
// that it had was heard a moment ago, it would be removed as the one that was
// replaced, over and over, and the group would stay a voter short.
func TestNewLearnerIsNotSilentForLong(t *testing.T) {
	s := newSim(2, 3)
	s.run(4 * time.Second)
	l := s.leader()
	s.add("new")
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	for _, p := range l.Peers(l.clock(s)) {
		if p.GetId() == "new" {
			must.Less(t, 100*time.Millisecond, p.Silence)
			return
		}
	}
	t.Fatal("the learner is not there")
}
