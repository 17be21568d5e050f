package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// newElectedSim starts n replicas and waits for a leader that has committed an entry.
func newElectedSim(seed uint64, n int) (*sim, *node) {
	s := newSim(seed, n)
	s.checkLeases = true
	s.run(5 * time.Second)
	l := s.leader()
	s.proposeAndRun(l, "first")
	return s, l
}

// proposeAndRun proposes an entry, runs for a second, and reports whether n accepted the
// proposal.
func (s *sim) proposeAndRun(n *node, text string) bool {
	ok := s.propose(n, text)
	s.run(time.Second)
	return ok
}

// mustChange makes a membership change, which must be accepted, and runs for a second.
func (s *sim) mustChange(t *testing.T, l *node, id string, role wire.Membership_Role) {
	t.Helper()
	must.NoError(t, s.change(l, id, role))
	s.run(time.Second)
}

// A follower is partitioned for two minutes while the others go on, and returns. It has
// requested votes all the time, but neither its term nor its requests may disturb the leader.
func TestLongPartitionDoesNotDeposeLeader(t *testing.T) {
	s, l := newElectedSim(3, 3)
	back := s.nodes[s.others(l.id)[0]]
	s.mustKeepLeader(t, l, func() {
		s.isolate(back.id)
		for range 120 {
			s.proposeAndRun(l, "on")
		}
		s.unblockAll()
		s.run(5 * time.Second)
	})
	must.Eq(t, l.stateIndex, back.stateIndex)
}

// mustKeepLeader runs a function and checks that the replica still leads in the same term, and
// that no safety check has failed.
func (s *sim) mustKeepLeader(t *testing.T, l *node, while func()) {
	t.Helper()
	term := l.Term()
	while()
	must.True(t, l.IsLeader())
	must.Eq(t, term, l.Term())
	must.Eq(t, "", s.problems())
}

// The link between the leader and one follower fails in both directions. That follower hears no
// leader and keeps requesting the vote of the third replica. The third hears the leader and
// must deny its vote, so that the leader stays.
func TestBadLinkDoesNotDeposeLeader(t *testing.T) {
	s, l := newElectedSim(4, 3)
	o := s.others(l.id)[0]
	s.blocked[[2]string{l.id, o}], s.blocked[[2]string{o, l.id}] = true, true
	s.mustKeepLeader(t, l, func() { s.run(time.Minute) })
}

// A leader is partitioned from both followers. It must step down by itself, without hearing of
// the next leader, so that clients soon learn that it can't commit.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	s, l := newElectedSim(5, 3)
	s.isolate(l.id)
	s.run(2 * DefaultElectionTimeout)
	must.False(t, l.IsLeader())
	must.False(t, s.propose(l, "lost"))
}

// The leader's clock runs at little more than half the speed of the others. The leader is
// partitioned and still believes that it leads when the others, which deny votes only for an
// election timeout, elect another leader and acknowledge a newer entry. The old lease must end
// before that, or the old leader would serve stale reads.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	for seed := range uint64(20) {
		s, l := newElectedSim(seed, 3)
		l.setClockRate(s, 0.55)
		s.run(3 * time.Second)
		s.isolate(l.id)
		s.runUntilNewer(t, l)
	}
}

// setClockRate changes the speed of a clock without a jump.
func (n *node) setClockRate(s *sim, rate float64) {
	at := n.clock(s)
	n.clockRate = rate
	n.clockOffset += at.Sub(n.clock(s))
}

// runUntilNewer runs for four seconds, in which any other leader proposes entries. It checks
// that more has been acknowledged than l has applied, and that no read was stale.
func (s *sim) runUntilNewer(t *testing.T, l *node) {
	t.Helper()
	for range 400 {
		s.step()
		for _, id := range s.others(l.id) {
			if n := s.nodes[id]; n.IsLeader() {
				s.propose(n, "newer")
			}
		}
	}
	must.Greater(t, l.stateIndex, s.ackedIndex)
	must.Eq(t, "", s.problems())
}

// While the leader is partitioned, the clocks of both followers jump ahead by seconds, or its
// own is set back. A follower can't know how long it has denied votes, so it must start again;
// a leader must not count replies to earlier rounds. Otherwise the partitioned leader would
// serve stale reads after the election of another.
func TestClockJumps(t *testing.T) {
	for _, tt := range []struct {
		name                     string
		leaderJump, followerJump time.Duration
	}{
		{"followers ahead", 0, 4 * time.Second},
		{"leader back", -4 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s, l := newElectedSim(seed, 3)
				s.isolate(l.id)
				l.clockOffset += tt.leaderJump
				for i, o := range s.others(l.id) {
					// Different jumps, or the followers would split the votes.
					s.nodes[o].clockOffset += tt.followerJump / time.Duration(1+2*i)
				}
				s.runUntilNewer(t, l)
			}
		})
	}
}

// A leader that transfers leadership has told the target to start and receives no message from
// then on. The target wins at once, because voters don't wait for the lease in a transfer, and
// acknowledges a newer entry. The old leader must not serve reads under its lease.
func TestTransferEndsTheLease(t *testing.T) {
	s, l := newElectedSim(11, 3)
	s.performEffects(l, l.TransferLeadership(l.clock(s)))
	for _, o := range s.others(l.id) {
		s.blocked[[2]string{o, l.id}] = true
	}
	s.runUntilNewer(t, l)
}

// A replica votes and restarts, and another candidate requests its vote in the same term. The
// replica must remember its vote, or the term could have two leaders.
func TestVoteSurvivesRestart(t *testing.T) {
	s := newSim(12, 3)
	n := s.nodes["r0"]
	ask := func(from string) bool {
		s.elapsed += 2 * DefaultElectionTimeout
		s.performEffects(n, n.Tick(n.clock(s)))
		e := n.Step(n.clock(s), &wire.Raft{
			From: from, To: n.id, Group: "g", Term: 5, Kind: wire.Raft_KIND_VOTE, LastIndex: 9, LastTerm: 4, Transfer: true,
		})
		s.performEffects(n, e)
		return reply(e).GetGranted()
	}
	must.True(t, ask("r1"))
	s.startNode(n)
	must.False(t, ask("r2"))
}

// A delayed snapshot covers less than the follower has acknowledged since. The entries after it
// must stay, because the leader counts on them.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	s := newSim(13, 3)
	n := s.nodes["r0"]
	var ents []*wire.LogEntry
	for i := range uint64(99) {
		ents = append(ents, &wire.LogEntry{Index: 2 + i, Term: 2})
	}
	m := &wire.Raft{From: "r1", To: n.id, Group: "g", Term: 2, LastIndex: 1, LastTerm: 1, Commit: 40, Entries: ents, Kind: wire.Raft_KIND_APPEND}
	must.True(t, reply(n.Step(n.clock(s), m)).GetGranted())
	n.Step(n.clock(s), &wire.Raft{
		From: "r1", To: n.id, Group: "g", Term: 2, Kind: wire.Raft_KIND_SNAPSHOT, Snapshot: &wire.Snapshot{Index: 50, Term: 2},
	})
	must.Eq(t, 100, n.log.lastIndex())
	must.Eq(t, 50, n.CommitIndex())
}

// Both followers crash and restart during the leader's lease, and the leader is partitioned.
// The followers no longer know that they heard it. They must deny votes for a while after their
// start, or they could elect another leader at once while the old one still serves reads under
// its lease.
func TestRestartedReplicaDeniesVotes(t *testing.T) {
	s, l := newElectedSim(6, 3)
	at := s.elapsed
	for _, o := range s.others(l.id) {
		s.startNode(s.nodes[o])
	}
	s.isolate(l.id)
	asker := s.nodes[s.others(l.id)[0]]
	s.performEffects(asker, asker.startPreVote())
	for s.elapsed < at+DefaultLeaseDuration {
		s.step()
		must.Eq(t, l, s.leader())
	}
}

func (n *node) startPreVote() Effects {
	n.campaign(preCandidate, false, "test", nil)
	return n.flush()
}

// A leader of term 2 replicates an entry to a quorum but does not commit it. Another leader
// with a different entry at that index is elected and crashes, and the first leads again in
// term 4. Its old entry is on a quorum now, but the other replica could still win with its
// newer term and replace it. The entry must not count as committed until an entry of term 4 is.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	s := newSim(7, 5)
	a := s.nodes["r0"]
	old := &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.LogEntry{Index: 2, Term: 2, Command: []byte("old")}}}
	a.diskRecords = []*wire.Record{{Kind: &wire.Record_Hard{Hard: &wire.HardState{Term: 3}}}, old}
	s.startNode(a)
	a.term, a.votedFor, a.role = 4, a.id, candidate
	a.becomeLeader()
	a.flush()
	a.WriteStarted()
	a.WriteSynced(a.clock(s))
	for _, tt := range []struct{ held, commit uint64 }{{2, 1}, {3, 3}} {
		for _, id := range []string{"r1", "r2"} {
			a.Step(a.clock(s), &wire.Raft{
				From: id, To: a.id, Group: "g", Term: 4, Kind: wire.Raft_KIND_APPEND_REPLY, Granted: true, LastIndex: tt.held,
			})
		}
		must.Eq(t, tt.commit, a.CommitIndex())
	}
}

// An entry is acknowledged by two of three replicas while the third is partitioned. One of the
// two loses its disk and restarts with the same settings, and the other crashes. The third and
// the empty replica must not form a quorum, or the entry would be lost: the empty one has
// another identity.
func TestEmptyDiskIsAnotherReplica(t *testing.T) {
	s, l := newElectedSim(8, 3)
	lost, behind := s.nodes[s.others(l.id)[0]], s.nodes[s.others(l.id)[1]]
	s.isolate(behind.id)
	s.proposeAndRun(l, "acknowledged")
	must.Greater(t, behind.stateIndex, s.ackedIndex)
	s.loseDisk(lost)
	l.down = true
	s.unblockAll()
	s.run(20 * time.Second)
	must.Nil(t, s.leader())
	must.Eq(t, "", s.problems())
}

// loseDisk replaces a replica by one with an empty disk and therefore a new identity.
func (s *sim) loseDisk(n *node) {
	n.diskSnapshot, n.diskRecords, n.down = nil, nil, true
	s.addNode(n.id + "-new")
}

// A failed replica is replaced: its successor joins as a learner, catches up and becomes a
// voter. Right after that a second replica is lost for good. All entries acknowledged before
// and during the repair must remain, and the group must go on with the successor and the
// remaining replica.
func TestSecondLossAfterRepair(t *testing.T) {
	s, l := newElectedSim(9, 3)
	dead, second := s.nodes[s.others(l.id)[0]], s.nodes[s.others(l.id)[1]]
	dead.down = true
	s.addNode("new")
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	s.isolate("new")
	for range 30 {
		s.propose(l, "during")
		s.run(100 * time.Millisecond)
	}
	l.peers["new"].lastHeard = l.now // It replies, but holds no entries.
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrRefused)
	s.unblockAll()
	s.run(time.Second)
	s.mustChange(t, l, dead.id, wire.Membership_ROLE_NONE)
	s.mustChange(t, l, "new", wire.Membership_ROLE_VOTER)
	s.proposeAndRun(l, "after")
	acked := s.ackedIndex
	second.down = true
	s.run(5 * time.Second)
	must.True(t, s.proposeAndRun(s.leader(), "on"))
	must.Greater(t, acked, s.ackedIndex)
	must.Eq(t, "", s.problems())
}

// Messages of another group reach a replica because an address now belongs to a different
// replica. The replica must ignore them, whatever their term.
func TestMessagesOfOtherGroupAreIgnored(t *testing.T) {
	s, l := newElectedSim(10, 3)
	term := l.Term()
	e := l.Step(l.clock(s), &wire.Raft{
		From: "x", To: l.id, Group: "other", Term: term + 5, Kind: wire.Raft_KIND_APPEND, Commit: 9,
	})
	must.Eq(t, Effects{}, e)
	must.Eq(t, term, l.Term())
}

// A snapshot takes half a second to reach a new replica, and heartbeats overtake it on their
// own streams. The replica rejects them, because its log is empty. The leader must not send the
// snapshot again for each rejection, but must do so once the snapshot is overdue.
func TestSnapshotIsSentAgainOnlyWhenOverdue(t *testing.T) {
	s, l := newElectedSim(14, 3)
	for range 2 * TrailingEntries {
		s.propose(l, "x")
		s.step()
	}
	s.addNode("new")
	s.blocked[[2]string{l.id, "new"}] = true
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	sent := 0
	refuse := func(d time.Duration) {
		for end := s.elapsed + d; s.elapsed < end; {
			s.step()
			e := l.Step(l.clock(s), &wire.Raft{
				From: "new", To: l.id, Group: "g", Term: l.Term(), Kind: wire.Raft_KIND_APPEND_REPLY,
				LastIndex: l.log.lastIndex(), Round: uint64(l.now.Sub(l.startedAt)),
			})
			for _, m := range e.Messages {
				if m.GetKind() == wire.Raft_KIND_SNAPSHOT {
					sent++
				}
			}
			s.performEffects(l, e)
		}
	}
	refuse(DefaultElectionTimeout - 2*simStep)
	must.Eq(t, 1, sent)
	refuse(DefaultElectionTimeout)
	must.Eq(t, 2, sent)
}

// A replica returns from a partition during which the log has grown. It hears the leader at
// once but catches up later. Meanwhile it must report that it lags, or an entry process
// that starts would get an outdated configuration.
func TestReturningReplicaReportsLag(t *testing.T) {
	s, l := newElectedSim(3, 3)
	back := s.nodes[s.others(l.id)[0]]
	s.isolate(back.id)
	for range 20 {
		s.propose(l, "on")
		s.run(200 * time.Millisecond)
	}
	s.unblockAll()
	lagged := 0
	for range 300 {
		s.step()
		silence, heard := back.Silence(back.clock(s))
		if heard && silence < DefaultElectionTimeout && back.CommitIndex() < l.CommitIndex() {
			must.True(t, back.BehindLeader())
			lagged++
		}
	}
	must.Positive(t, lagged)
	must.Eq(t, l.CommitIndex(), back.CommitIndex())
	must.False(t, back.BehindLeader())
	must.False(t, l.BehindLeader())
	must.Eq(t, "", s.problems())
}

// The disk of the leader is full. Changes must be acknowledged all the same, by the disks of
// the two others, and the leader must stay, so that entry processes notice nothing. After a
// restart the former leader lacks the log entries that it could not write, and must catch up.
func TestLeaderWithAFullDisk(t *testing.T) {
	s, l := newElectedSim(21, 3)
	s.mustKeepLeader(t, l, func() {
		l.diskFull = true
		was := l.stateIndex
		must.True(t, s.proposeAndRun(l, "on the others"))
		must.Eq(t, was+1, l.stateIndex)
	})
	l.diskFull = false
	s.startNode(l)
	s.run(5 * time.Second)
	must.True(t, s.proposeAndRun(s.leader(), "after"))
	must.Eq(t, s.ackedIndex, l.stateIndex)
	must.Eq(t, "", s.problems())
}

// The disk of a follower is full for ten seconds. The follower must not be counted for entries
// that it can't store: with the third replica down, nothing may be acknowledged. It must still
// reply to the leader, so that it is not taken for dead, and catch up once its disk has room.
func TestFollowerWithAFullDisk(t *testing.T) {
	s, l := newElectedSim(22, 3)
	o := s.others(l.id)
	full, away := s.nodes[o[0]], s.nodes[o[1]]
	s.mustKeepLeader(t, l, func() {
		full.diskFull, away.down = true, true
		s.proposeAndRun(l, "waits")
		s.run(10 * time.Second)
		must.Less(t, l.log.lastIndex(), l.stateIndex, must.Sprint("one disk is not a quorum"))
		for _, p := range l.Peers(l.clock(s)) {
			if p.GetId() == full.id {
				must.Less(t, DefaultElectionTimeout, p.Silence)
			}
		}
		full.diskFull = false
		s.run(DefaultElectionTimeout)
		must.Eq(t, l.log.lastIndex(), l.stateIndex)
	})
}

// All disks are full. Nothing can be acknowledged, and no election could succeed. The leader
// must go on leading, because all work that needs no new entry depends on it.
func TestAllDisksFull(t *testing.T) {
	s, l := newElectedSim(23, 3)
	s.mustKeepLeader(t, l, func() {
		for _, n := range s.nodes {
			n.diskFull = true
		}
		was := s.ackedIndex
		s.proposeAndRun(l, "waits")
		s.run(10 * time.Second)
		must.Eq(t, was, s.ackedIndex)
		for _, n := range s.nodes {
			n.diskFull = false
		}
		s.run(DefaultElectionTimeout)
		must.Greater(t, was, s.ackedIndex)
	})
}

// A sync of the leader's disk takes seconds. Changes must be acknowledged meanwhile, by the
// disks of the two others, and the leader must stay.
func TestLeaderWithASlowDisk(t *testing.T) {
	s, l := newElectedSim(24, 3)
	s.mustKeepLeader(t, l, func() {
		l.maxWriteTime = 10 * time.Second
		for range 20 {
			was := l.stateIndex
			must.True(t, s.proposeAndRun(l, "on the others"))
			must.Eq(t, was+1, l.stateIndex)
		}
		must.NotNil(t, l.activeWrite)
	})
	must.Eq(t, "", s.problems())
}

// Guards against counting entries that a slow disk does not hold: entries that another leader
// replaced during the write are not on disk, although as many entries are.
func TestEntriesReplacedDuringWrite(t *testing.T) {
	r := &Raft{ID: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	now := time.Unix(1000, 0)
	list := []*wire.Replica{{Id: "a", Voter: true}, {Id: "b", Voter: true}, {Id: "c", Voter: true}}
	r.Start(now, BootstrapSnapshot("g", list, nil), nil)
	appended := func(from string, term uint64) {
		r.Step(now, &wire.Raft{
			From: from, To: "a", Group: "g", Term: term, Kind: wire.Raft_KIND_APPEND, LastIndex: 1, LastTerm: 1,
			Entries: []*wire.LogEntry{{Index: 2, Term: term}},
		})
	}
	appended("b", 2)
	r.WriteStarted()
	appended("c", 3)
	r.WriteSynced(now)
	must.Eq(t, 1, r.syncedIndex)
	r.WriteStarted()
	r.WriteSynced(now)
	must.Eq(t, 2, r.syncedIndex)
}
