package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

// restart ends processes and starts them again at once, with what is on their
// disks. What they had sent is lost with their connections.
func (s *sim) restart(ids ...string) {
	for _, id := range ids {
		s.nodes[id].down = true
	}
	s.net = slices.DeleteFunc(s.net, func(f flight) bool { return s.nodes[f.m.GetFrom()].down })
	for _, id := range ids {
		s.start(s.nodes[id])
	}
}

// All replicas lose power and start again together. Callers have no scheduler
// until one leads. Each replica promised at its start to vote for nobody for an
// election timeout, in case that a leader counts on it; but none leads, and
// since each of them says so, the group has a leader long before that.
func TestLeaderSoonAfterAllStart(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replicas int
		learner  bool
	}{
		{"three", 3, false},
		{"five", 5, false},
		{"three and a learner", 3, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s, l := elected(seed, tc.replicas)
				if tc.learner {
					s.add("learner")
					s.alter(t, l, "learner", wire.Membership_ROLE_LEARNER)
				}
				s.restart(s.names...)
				from := s.t
				for s.leader() == nil {
					s.step()
				}
				must.Less(t, DefaultElectionTimeout/2, s.t-from, must.Sprint("seed", seed))
				must.True(t, s.commit(s.leader(), "again"))
				must.Eq(t, "", s.problems())
			}
		})
	}
}

// Both followers start again while the leader goes on and reads under its lease.
// They have heard no leader since their start, and still elect none of their own:
// the leader does not say that it has just started.
func TestFollowersThatStartDeposeNobody(t *testing.T) {
	for seed := range uint64(20) {
		s, l := elected(seed, 3)
		s.stays(t, l, func() {
			for range 10 {
				s.restart(s.others(l.id)...)
				s.run(300 * time.Millisecond)
			}
		})
	}
}

// A replica answers that it has just started, starts once more, and may have
// promised anything in between. A vote that counts on its former process is
// refused.
func TestVoteForAFormerProcess(t *testing.T) {
	s, l := elected(1, 3)
	o := s.nodes[s.others(l.id)[0]]
	s.restart(s.names...)
	former := o.cold.process
	s.restart(o.id)
	vote := &wire.Raft{
		From: l.id, To: o.id, Group: "g", Kind: wire.Raft_KIND_VOTE, Cold: true, Term: o.Term() + 1,
		LastIndex: l.log.last(), LastTerm: l.log.lastTerm(), Process: former,
	}
	must.False(t, answer(o.Step(o.clock(s), vote)).GetGranted())
	vote.Process = o.cold.process
	must.True(t, answer(o.Step(o.clock(s), vote)).GetGranted())
}

// One replica does not come back. The others can't know whether it leads behind
// a cut, so they wait for an election timeout as ever, and then elect.
func TestOneStaysAway(t *testing.T) {
	for seed := range uint64(20) {
		s, l := elected(seed, 3)
		away := s.others(l.id)[0]
		s.nodes[away].down = true
		s.restart(s.others(away)...)
		s.run(DefaultElectionTimeout - simStep)
		must.Nil(t, s.leader())
		s.run(5 * DefaultElectionTimeout)
		must.NotNil(t, s.leader())
	}
}

// One replica has lost its disk or has no power yet. Where nobody reads under a
// lease, the others have a leader after half of an election timeout, and none
// before: a leader that is about has reached them by then.
func TestOneStaysAwayWithoutLeases(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.leaseless = true
		s.run(5 * time.Second)
		l := s.leader()
		s.commit(l, "first")
		away := s.others(l.id)[0]
		s.nodes[away].down = true
		s.restart(s.others(away)...)
		s.run(DefaultElectionTimeout/coldQuorumAfter - simStep)
		must.Nil(t, s.leader())
		s.run(DefaultElectionTimeout / 2)
		must.NotNil(t, s.leader(), must.Sprint("seed", seed))
		must.False(t, s.leader().HasLease(s.leader().clock(s)))
	}
}

// Both followers start again and again, and the leader goes on. They hear it
// before they would elect another.
func TestLeaderOutlivesItsFollowersStarts(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.leaseless = true
		s.run(5 * time.Second)
		l := s.leader()
		s.stays(t, l, func() {
			for range 10 {
				s.restart(s.others(l.id)...)
				s.run(700 * time.Millisecond)
			}
		})
	}
}

// As TestLogHoldsUnderFaults, and again and again all replicas, or all but one,
// start anew within some milliseconds: the memberships, votes and leases of
// before must hold for the leader that is elected at once.
func TestLogHoldsWhenAllRestart(t *testing.T) {
	cold := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"))
		s.leaseless = rapid.Bool().Draw(t, "leaseless")
		s.leased = !s.leaseless
		s.loss, s.delay = 0.05*s.rnd.Float64(), time.Duration(1+s.rnd.IntN(6))*simStep
		for i := range 2000 {
			s.step()
			if l := s.leader(); l != nil {
				s.propose(l, "some")
			}
			switch {
			case i%150 == 149:
				all := s.names
				if s.rnd.IntN(3) == 0 {
					all = s.others(s.names[s.rnd.IntN(len(s.names))])
				}
				s.restart(all...)
			case i%150 < 60 && i > 150:
				if l := s.leader(); l != nil {
					cold++
				}
			}
			if s.rnd.IntN(120) == 0 {
				s.fault()
			}
			if s.rnd.IntN(200) == 0 {
				s.reshape(6)
			}
		}
		s.heal()
		if p := s.problems(); p != "" {
			t.Fatal(p)
		}
	})
	must.Positive(t, cold)
}

// Five replicas lose power, and two of them their disks. The other three start
// again and ask each other in rounds of their own. One that has just voted for
// another must not stand for election as well: the leader that callers have found a
// moment ago would step down, and nobody would lead for another election timeout.
func TestOneLeaderAfterAColdStart(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(seed, 5)
		s.leaseless = true
		s.restart(s.names...)
		s.run(5 * time.Second)
		must.True(t, s.commit(s.leader(), "first"))
		s.nodes["r3"].down, s.nodes["r4"].down = true, true
		s.delay = 2 * simStep
		s.restart("r0", "r1", "r2")
		from := s.t
		for s.leader() == nil {
			s.step()
		}
		l := s.leader()
		must.LessEq(t, DefaultElectionTimeout, s.t-from, must.Sprint("seed ", seed))
		s.stays(t, l, func() { s.run(2 * DefaultElectionTimeout) })
	}
}
