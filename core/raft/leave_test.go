package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against votes that go back and forth: a replica that has lost its vote counts as the oldest
// of its group, and one that asks to join again keeps its place.
func TestDemotedReplicaIsTheOldest(t *testing.T) {
	s, l := newElectedSim(5, 3)
	s.addNode("new")
	s.mustChange(t, l, "new", wire.Membership_ROLE_LEARNER)
	s.run(time.Second)
	s.mustChange(t, l, "new", wire.Membership_ROLE_VOTER)
	yielding := s.others(l.id)[0]
	s.mustChange(t, l, yielding, wire.Membership_ROLE_DEMOTED)
	s.mustChange(t, l, yielding, wire.Membership_ROLE_LEARNER)
	list := s.nodes["new"].Replicas()
	must.Eq(t, yielding, list[0].GetId())
	must.False(t, list[0].GetVoter())
	must.Eq(t, "new", list[3].GetId())
	must.Eq(t, 3, l.voterCount())
	must.ErrorIs(t, s.change(l, l.id, wire.Membership_ROLE_DEMOTED), ErrRefused)
	must.ErrorIs(t, s.change(l, yielding, wire.Membership_ROLE_DEMOTED), ErrRefused)
}

// Guards against a replica that stops although the voters that stay are no quorum, or although a
// learner is about to take its vote.
func TestReleaseOfLeavingReplicas(t *testing.T) {
	s, l := newElectedSim(6, 3)
	leaving, away := s.nodes[s.others(l.id)[0]], s.nodes[s.others(l.id)[1]]
	for _, n := range s.nodes {
		n.HandsOverVotes, n.LeaveTimeout = true, time.Minute
	}
	away.down = true
	s.run(2 * time.Second)
	s.performEffects(leaving, leaving.Leave(leaving.clock(s)))
	s.run(time.Second)
	must.Eq(t, "", leaving.MayStop(leaving.clock(s)))
	s.startNode(away)
	s.run(time.Second)
	must.Eq(t, "released by the leader", leaving.MayStop(leaving.clock(s)))

	s.addNode("new")
	s.mustChange(t, l, "new", wire.Membership_ROLE_LEARNER)
	s.run(time.Second)
	must.Eq(t, "", leaving.MayStop(leaving.clock(s)))
	s.mustChange(t, l, "new", wire.Membership_ROLE_VOTER)
	s.mustChange(t, l, leaving.id, wire.Membership_ROLE_DEMOTED)
	s.run(time.Second)
	must.Eq(t, "released by the leader", leaving.MayStop(leaving.clock(s)))
}

// Guards against leadership that goes to a replica which is about to stop as well.
func TestLeadershipStaysAwayFromLeavingReplicas(t *testing.T) {
	s, l := newElectedSim(7, 3)
	leaving, stays := s.nodes[s.others(l.id)[1]], s.nodes[s.others(l.id)[0]]
	s.performEffects(leaving, leaving.Leave(leaving.clock(s)))
	s.run(500 * time.Millisecond)
	s.performEffects(l, l.Leave(l.clock(s)))
	s.run(500 * time.Millisecond)
	must.Eq(t, stays.id, s.leader().id)
}

// Guards against a replica that is told to stop while it is being elected, and ends before it has heard
// the voter to which it can hand over.
func TestNewLeaderHandsOverBeforeItStops(t *testing.T) {
	s, l := newElectedSim(8, 3)
	s.performEffects(l, l.TransferLeadership(l.clock(s)))
	next := s.nodes[l.transferTarget]
	for !next.IsLeader() {
		s.step()
	}
	s.performEffects(next, next.Leave(next.clock(s)))
	must.False(t, next.Transferring())
	must.Eq(t, "", next.MayStop(next.clock(s)))
	for next.MayStop(next.clock(s)) == "" {
		s.step()
		s.performEffects(next, next.Leave(next.clock(s)))
	}
	must.Eq(t, "released by the leader", next.MayStop(next.clock(s)))
	must.NotEq(t, next.id, s.leader().id)
}

// Guards against a stop of everything in which each replica waits for another one to stay.
func TestAllReplicasLeave(t *testing.T) {
	s, _ := newElectedSim(9, 3)
	at := s.elapsed
	for _, n := range s.nodes {
		n.LeaveTimeout = time.Minute
	}
	for left := 0; left < len(s.nodes); s.step() {
		for _, id := range s.ids {
			n := s.nodes[id]
			if n.down {
				continue
			}
			s.performEffects(n, n.Leave(n.clock(s)))
			if n.MayStop(n.clock(s)) != "" {
				n.down = true
				left++
			}
		}
		must.Less(t, 2*leaveCutOffTimeouts*DefaultElectionTimeout, s.elapsed-at)
	}
}

// Guards against a replica that stops while the voters only fail to elect a leader, and against one that
// waits for a quorum which is gone.
func TestReplicaLeavesWithoutLeader(t *testing.T) {
	s, l := newElectedSim(10, 3)
	leaving := s.nodes[s.others(l.id)[0]]
	leaving.LeaveTimeout = time.Minute
	l.down, s.inFlight = true, nil // A heartbeat on its way would start the timers again.
	for _, n := range s.nodes {
		n.electionDeadline = n.now.Add(time.Hour)
	}
	s.performEffects(leaving, leaving.Leave(leaving.clock(s)))
	s.run(2 * leaveCutOffTimeouts * DefaultElectionTimeout)
	must.Nil(t, s.leader())
	must.Eq(t, "", leaving.MayStop(leaving.clock(s)))
	s.nodes[s.others(l.id)[1]].down = true
	s.run(DefaultElectionTimeout)
	must.Eq(t, "", leaving.MayStop(leaving.clock(s)))
	s.run(leaveCutOffTimeouts * DefaultElectionTimeout)
	must.Eq(t, "no quorum in touch", leaving.MayStop(leaving.clock(s)))
}
