package raft

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

// restartNodes ends processes and starts them again at once from their disks. Messages that
// they have sent are lost with their connections.
func (s *sim) restartNodes(ids ...string) {
	for _, id := range ids {
		s.nodes[id].down = true
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f delivery) bool { return s.nodes[f.message.GetFrom()].down })
	for _, id := range ids {
		s.startNode(s.nodes[id])
	}
}

// All replicas lose power and restart together, and clients have no scheduler until one leads.
// Each replica must deny votes for an election timeout after its start, in case a leader's
// lease relies on it. Since all of them answer that they have just started, the group must have
// a leader long before.
func TestFastElectionAfterFullRestart(t *testing.T) {
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
				s, l := newElectedSim(seed, tc.replicas)
				if tc.learner {
					s.addNode("learner")
					s.mustChange(t, l, "learner", wire.Membership_ROLE_LEARNER)
				}
				s.restartNodes(s.ids...)
				from := s.elapsed
				for s.leader() == nil {
					s.step()
				}
				must.Less(t, DefaultElectionTimeout/2, s.elapsed-from, must.Sprint("seed", seed))
				must.True(t, s.proposeAndRun(s.leader(), "again"))
				must.Eq(t, "", s.problems())
			}
		})
	}
}

// Both followers restart while the leader goes on and serves reads under its lease. They have
// heard no leader since their start, and must still not elect another, because the leader does
// not answer that it has just started.
func TestRestartedFollowersKeepLeader(t *testing.T) {
	for seed := range uint64(20) {
		s, l := newElectedSim(seed, 3)
		s.mustKeepLeader(t, l, func() {
			for range 10 {
				s.restartNodes(s.others(l.id)...)
				s.run(300 * time.Millisecond)
			}
		})
	}
}

// A replica answers that it has just started and restarts again. In between it may have voted
// for another leader or acknowledged entries. It must refuse a vote request that names its
// former process.
func TestVoteNamingFormerProcessIsRefused(t *testing.T) {
	s, l := newElectedSim(1, 3)
	o := s.nodes[s.others(l.id)[0]]
	s.restartNodes(s.ids...)
	former := o.coldStart.process
	s.restartNodes(o.id)
	vote := &wire.Raft{
		From: l.id, To: o.id, Group: "g", Kind: wire.Raft_KIND_VOTE, Cold: true, Term: o.Term() + 1,
		LastIndex: l.log.lastIndex(), LastTerm: l.log.lastTerm(), Process: former,
	}
	must.False(t, reply(o.Step(o.clock(s), vote)).GetGranted())
	vote.Process = o.coldStart.process
	must.True(t, reply(o.Step(o.clock(s), vote)).GetGranted())
}

// One replica stays down. The others can't know whether it leads behind a partition, so they
// must wait for the usual election timeout before they elect a leader.
func TestFullRestartWithMissingReplica(t *testing.T) {
	for seed := range uint64(20) {
		s, l := newElectedSim(seed, 3)
		away := s.others(l.id)[0]
		s.nodes[away].down = true
		s.restartNodes(s.others(away)...)
		s.run(DefaultElectionTimeout - simStep)
		must.Nil(t, s.leader())
		s.run(5 * DefaultElectionTimeout)
		must.NotNil(t, s.leader())
	}
}

// One replica has lost its disk or has no power yet, and no replica serves reads under a lease.
// The others must have a leader soon after half of an election timeout, and none before: a
// running leader would have reached them by then.
func TestFullRestartWithMissingReplicaWithoutLeases(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.leaseless = true
		s.run(5 * time.Second)
		l := s.leader()
		s.proposeAndRun(l, "first")
		away := s.others(l.id)[0]
		s.nodes[away].down = true
		s.restartNodes(s.others(away)...)
		s.run(DefaultElectionTimeout/coldStartQuorumDivisor - simStep)
		must.Nil(t, s.leader())
		s.run(DefaultElectionTimeout / 2)
		must.NotNil(t, s.leader(), must.Sprint("seed", seed))
		must.False(t, s.leader().HasLease(s.leader().clock(s)))
	}
}

// Both followers restart again and again in a group without leases, and the leader goes on.
// They must hear it before they would elect another.
func TestRestartedFollowersKeepLeaderWithoutLeases(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.leaseless = true
		s.run(5 * time.Second)
		l := s.leader()
		s.mustKeepLeader(t, l, func() {
			for range 10 {
				s.restartNodes(s.others(l.id)...)
				s.run(700 * time.Millisecond)
			}
		})
	}
}

// As TestSafetyUnderFaults, and all replicas, or all but one, restart again and again within
// some milliseconds. The leader that is elected at once must respect the memberships, votes and
// leases from before the restart.
func TestSafetyUnderFullRestarts(t *testing.T) {
	earlyLeads := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "replicas"))
		s.leaseless = rapid.Bool().Draw(t, "leaseless")
		s.checkLeases = !s.leaseless
		s.lossRate, s.maxDelay = 0.05*s.rnd.Float64(), time.Duration(1+s.rnd.IntN(6))*simStep
		for i := range 2000 {
			s.step()
			if l := s.leader(); l != nil {
				s.propose(l, "some")
			}
			switch {
			case i%150 == 149:
				all := s.ids
				if s.rnd.IntN(3) == 0 {
					all = s.others(s.ids[s.rnd.IntN(len(s.ids))])
				}
				s.restartNodes(all...)
			case i%150 < 60 && i > 150:
				if l := s.leader(); l != nil {
					earlyLeads++
				}
			}
			if s.rnd.IntN(120) == 0 {
				s.injectFault()
			}
			if s.rnd.IntN(200) == 0 {
				s.changeRandomMember(6)
			}
		}
		s.recoverAll()
		if p := s.problems(); p != "" {
			t.Fatal(p)
		}
	})
	must.Positive(t, earlyLeads)
}

// Five replicas lose power, and two of them lose their disks and don't return. The other three
// restart and each begins cold-start rounds. A replica that has just voted for another must not
// stand for election as well: the leader that clients have just found would step down, and no
// replica would lead for another election timeout.
func TestOneLeaderAfterColdStart(t *testing.T) {
	for seed := range uint64(100) {
		s := newSim(seed, 5)
		s.leaseless = true
		s.restartNodes(s.ids...)
		s.run(5 * time.Second)
		must.True(t, s.proposeAndRun(s.leader(), "first"))
		s.nodes["r3"].down, s.nodes["r4"].down = true, true
		s.maxDelay = 2 * simStep
		s.restartNodes("r0", "r1", "r2")
		from := s.elapsed
		for s.leader() == nil {
			s.step()
		}
		l := s.leader()
		must.LessEq(t, DefaultElectionTimeout, s.elapsed-from, must.Sprint("seed ", seed))
		s.mustKeepLeader(t, l, func() { s.run(2 * DefaultElectionTimeout) })
	}
}
