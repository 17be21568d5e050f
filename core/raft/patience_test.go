package raft

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against elections on links that hold messages up for retransmissions, and against replicas
// that still wait longer once the links are sound again, or after a partition.
func TestPatienceFollowsTheLinks(t *testing.T) {
	const heldUp, cutOff = 700 * time.Millisecond, 5 * time.Second
	for _, tt := range []struct {
		name    string
		silence time.Duration
		patient bool
	}{
		{"sound", 0, false},
		{"held up", heldUp, true},
		{"cut off", cutOff, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, l := newElectedSim(1, 3)
			n := s.nodes[s.others(l.id)[0]]
			s.isolate(n.id)
			s.run(tt.silence)
			s.unblockAll()
			s.run(time.Second)
			must.Eq(t, tt.patient, n.patience() > DefaultElectionTimeout)
			s.run(3 * gapWindowTimeouts * DefaultElectionTimeout)
			must.Eq(t, DefaultElectionTimeout, n.patience())
			must.Eq(t, DefaultElectionTimeout, l.quorumPatience())
		})
	}
}

// Guards against entries that wait for a lost packet before them: a new leader repeats them beside,
// and a vote is requested over both connections.
func TestMessagesBeside(t *testing.T) {
	s, l := newElectedSim(2, 3)
	follower := s.others(l.id)[0]
	beside := func(e Effects, kind wire.Raft_Kind) (n, entries int) {
		for _, m := range append(e.Messages, e.MessagesAfterSync...) {
			if m.GetTo() == follower && m.GetKind() == kind && m.GetLane() == 1 {
				n, entries = n+1, entries+len(m.GetEntries())
			}
		}
		return n, entries
	}
	heartbeat := func() Effects {
		l.nextHeartbeat = l.now
		return l.Tick(l.clock(s))
	}
	l.leaderSince = l.now
	_, _, err := l.Propose(l.clock(s), []byte("small"))
	must.NoError(t, err)
	n, entries := beside(heartbeat(), wire.Raft_KIND_APPEND)
	must.Eq(t, 1, n)
	must.Eq(t, 1, entries)
	_, _, err = l.Propose(l.clock(s), make([]byte, maxRepeatedBytes))
	must.NoError(t, err)
	n, entries = beside(heartbeat(), wire.Raft_KIND_APPEND)
	must.Eq(t, 1, n)
	must.Zero(t, entries, must.Sprint("large entries are sent once"))
	l.leaderSince = l.now.Add(-time.Minute)
	n, _ = beside(heartbeat(), wire.Raft_KIND_APPEND)
	must.Zero(t, n, must.Sprint("the links are sound"))

	other := s.nodes[follower]
	follower = l.id
	other.electionDeadline = other.now
	n, _ = beside(other.Tick(other.clock(s)), wire.Raft_KIND_VOTE)
	must.Eq(t, 1, n)
}
