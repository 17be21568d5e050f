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

// injectFault makes one thing go wrong, at random.
func (s *sim) injectFault() {
	n := s.nodes[s.ids[s.rnd.IntN(len(s.ids))]]
	o := s.ids[s.rnd.IntN(len(s.ids))]
	switch s.rnd.IntN(11) {
	case 0:
		s.isolate(n.id)
	case 1:
		s.blocked[[2]string{n.id, o}] = true
	case 2, 3:
		s.unblockAll()
	case 4:
		n.suspendedUntil = s.elapsed + time.Duration(s.rnd.Int64N(int64(4*time.Second)))
	case 5:
		n.crashPoint = 1 + s.rnd.IntN(2)
	case 6:
		if n.down {
			s.startNode(n)
		} else {
			n.down = true
		}
	case 7:
		n.clockOffset += time.Duration(s.rnd.Int64N(int64(8*time.Second))) - 4*time.Second
	case 8:
		if l := s.leader(); l != nil {
			s.performEffects(l, l.TransferLeadership(l.clock(s)))
		}
	case 9:
		n.diskFull = !n.diskFull
	case 10:
		n.maxWriteTime = time.Duration(s.rnd.Int64N(int64(3 * time.Second)))
	}
}

// changeRandomMember tries a random membership change at the leader.
func (s *sim) changeRandomMember(maxNodes int) {
	l := s.leader()
	if l == nil {
		return
	}
	if len(s.ids) < maxNodes && s.rnd.IntN(2) == 0 {
		id := fmt.Sprintf("r%d", len(s.ids))
		s.addNode(id)
		_ = s.change(l, id, wire.Membership_ROLE_LEARNER)
		return
	}
	role := wire.Membership_Role(s.rnd.IntN(3))
	if role == wire.Membership_ROLE_NONE && l.voterCount() <= 3 {
		return
	}
	_ = s.change(l, s.ids[s.rnd.IntN(len(s.ids))], role)
}

// Checks the safety of the log under faults. Replicas propose while messages are lost,
// duplicated, reordered and delayed, links fail in one or both directions, disks are full or
// slow, processes are suspended, crash before and after syncs and restart, clocks drift and
// jump, and the membership changes. A term must have only one leader, which holds all committed
// entries; all replicas must apply the same sequence; no read under a lease may be stale; and
// the group must work again afterwards.
func TestSafetyUnderFaults(t *testing.T) {
	terms, reads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"))
		s.checkLeases = true
		s.lossRate, s.duplicateRate = 0.1*s.rnd.Float64(), 0.2*s.rnd.Float64()
		s.maxDelay = time.Duration(1+s.rnd.IntN(30)) * simStep
		for _, id := range s.ids {
			s.nodes[id].clockRate = 0.9 + 0.2*s.rnd.Float64()
		}
		for i := range 2500 {
			s.step()
			if s.rnd.IntN(60) == 0 {
				s.injectFault()
			}
			if s.rnd.IntN(200) == 0 {
				s.changeRandomMember(6)
			}
			for _, id := range s.ids {
				if n := s.nodes[id]; n.running(s) && n.IsLeader() && s.rnd.IntN(4) == 0 {
					s.propose(n, fmt.Sprint(id, i))
				}
			}
		}
		if len(s.violations) == 0 {
			s.recoverAll()
		}
		terms, reads = terms+len(s.leaders), reads+s.leaseReads
		if len(s.violations) > 0 {
			t.Fatal(s.problems())
		}
	})
	t.Logf("%d terms, %d reads under a lease", terms, reads)
}

// Guards against votes and acknowledgements that are sent before the disk holds the records
// that they rely on: all disks are slow, and replicas crash during their writes.
func TestSafetyOnSlowDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3)
		for _, id := range s.ids {
			s.nodes[id].maxWriteTime = 800 * time.Millisecond
		}
		for i := range 2500 {
			s.step()
			switch n := s.nodes[s.ids[s.rnd.IntN(len(s.ids))]]; {
			case s.rnd.IntN(40) > 0:
			case n.down:
				s.startNode(n)
			default:
				n.down = true
			}
			if l := s.leader(); l != nil && s.rnd.IntN(4) == 0 {
				s.propose(l, strconv.Itoa(i))
			}
		}
		if len(s.violations) == 0 {
			s.recoverAll()
		}
		if len(s.violations) > 0 {
			t.Fatal(s.problems())
		}
	})
}

// recoverAll ends all faults and checks that a new entry reaches every member.
func (s *sim) recoverAll() {
	s.unblockAll()
	s.lossRate, s.duplicateRate, s.maxDelay = 0, 0, simStep
	for _, id := range s.ids {
		n := s.nodes[id]
		n.suspendedUntil, n.crashPoint, n.diskFull, n.maxWriteTime = 0, 0, false, 0
		if n.down {
			s.startNode(n)
		}
	}
	s.run(12 * time.Second)
	l := s.leader()
	if l == nil {
		s.fail("no leader after the faults")
		return
	}
	if !s.propose(l, "last") {
		s.fail("the leader accepts no proposal after the faults")
	}
	s.run(3 * time.Second)
	for _, p := range l.Replicas() {
		if n := s.nodes[p.GetId()]; n.stateIndex != l.stateIndex || n.stateHash != l.stateHash {
			s.fail("%s has applied up to %d, the leader up to %d", n.id, n.stateIndex, l.stateIndex)
		}
	}
}

// Without faults, three replicas elect a leader and commit, and a leader that transfers
// leadership is replaced within half a second, long before an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	s := newSim(1, 3)
	s.run(4 * time.Second)
	l := s.leader()
	must.True(t, s.proposeAndRun(l, "a"))
	must.Eq(t, l.CommitIndex(), s.ackedIndex)
	s.performEffects(l, l.TransferLeadership(l.clock(s)))
	must.False(t, s.propose(l, "b"))
	s.run(500 * time.Millisecond)
	must.NotNil(t, s.leader())
	must.NotEq(t, l.id, s.leader().id)
	must.Eq(t, "", s.problems())
}

// A learner with an empty disk joins long after the first entries were compacted. It must
// receive a snapshot, catch up and become a voter. Then the first leader is removed while it
// leads.
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
	s.addNode("new")
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrRefused)
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrBusy)
	s.run(time.Second)
	must.Eq(t, l.stateIndex, s.nodes["new"].stateIndex)
	must.Eq(t, l.stateHash, s.nodes["new"].stateHash)
	s.mustChange(t, l, "new", wire.Membership_ROLE_VOTER)
	must.NoError(t, s.change(l, l.id, wire.Membership_ROLE_NONE))
	s.run(4 * time.Second)
	must.NotEq(t, l.id, s.leader().id)
	must.Eq(t, 3, s.leader().voterCount())
	must.True(t, s.propose(s.leader(), "z"))
	must.Eq(t, "", s.problems())
}

// A replica loses its disk and joins as a learner from its old address, seconds after the
// leader's election. Until its first reply its silence must count from the time when it was
// added. Counted from the election, it would exceed the silence of the replica's former
// identity, which was heard a moment ago. The learner would then be removed as the replaced
// one, over and over, and the group would stay one voter short.
func TestSilenceOfNewLearnerStartsWhenAdded(t *testing.T) {
	s := newSim(2, 3)
	s.run(4 * time.Second)
	l := s.leader()
	s.addNode("new")
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	for _, p := range l.Peers(l.clock(s)) {
		if p.GetId() == "new" {
			must.Less(t, 100*time.Millisecond, p.Silence)
			return
		}
	}
	t.Fatal("the leader does not list the learner")
}
