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
		n.HandsOverVotes = true
	}
	away.down = true
	s.run(2 * time.Second)
	s.performEffects(leaving, leaving.Leave(leaving.clock(s)))
	s.run(time.Second)
	must.False(t, leaving.Released())
	s.startNode(away)
	s.run(time.Second)
	must.True(t, leaving.Released())

	s.addNode("new")
	s.mustChange(t, l, "new", wire.Membership_ROLE_LEARNER)
	s.run(time.Second)
	must.False(t, leaving.Released())
	s.mustChange(t, l, "new", wire.Membership_ROLE_VOTER)
	s.mustChange(t, l, leaving.id, wire.Membership_ROLE_DEMOTED)
	s.run(time.Second)
	must.True(t, leaving.Released())
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
