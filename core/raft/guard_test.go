package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// elected starts n replicas and waits for a leader that has committed.
func elected(seed uint64, n int) (*sim, *node) {
	s := newSim(seed, n)
	s.leased = true
	s.run(5 * time.Second)
	l := s.leader()
	s.commit(l, "first")
	return s, l
}

// commit proposes and lets a second pass, and reports whether n took it.
func (s *sim) commit(n *node, text string) bool {
	ok := s.propose(n, text)
	s.run(time.Second)
	return ok
}

// alter changes the membership, which must be taken, and lets a second pass.
func (s *sim) alter(t *testing.T, l *node, id string, role wire.Membership_Role) {
	t.Helper()
	must.NoError(t, s.change(l, id, role))
	s.run(time.Second)
}

// A follower is cut off silently for two minutes while the others go on, and
// comes back. Callers notice nothing: it asked for votes all the time, but
// neither its term nor its vote requests disturb the leader.
func TestLongSilentCutDeposesNobody(t *testing.T) {
	s, l := elected(3, 3)
	back := s.nodes[s.others(l.id)[0]]
	s.stays(t, l, func() {
		s.isolate(back.id)
		for range 120 {
			s.commit(l, "on")
		}
		s.join()
		s.run(5 * time.Second)
	})
	must.Eq(t, l.index, back.index)
}

// stays holds that the leader leads in its term throughout.
func (s *sim) stays(t *testing.T, l *node, while func()) {
	t.Helper()
	term := l.Term()
	while()
	must.True(t, l.IsLeader())
	must.Eq(t, term, l.Term())
	must.Eq(t, "", s.problems())
}

// One link of three is cut, both ways, between the leader and a follower. That
// follower hears no leader and asks the third replica for its vote again and
// again; the third hears the leader and refuses, so the leader stays.
func TestOneBadLinkDeposesNobody(t *testing.T) {
	s, l := elected(4, 3)
	o := s.others(l.id)[0]
	s.cut[[2]string{l.id, o}], s.cut[[2]string{o, l.id}] = true, true
	s.stays(t, l, func() { s.run(time.Minute) })
}

// A leader is cut off from both followers. Its callers must learn soon that it
// can commit nothing: it steps down by itself, without hearing of the next.
func TestLeaderCutOffStepsDown(t *testing.T) {
	s, l := elected(5, 3)
	s.isolate(l.id)
	s.run(2 * DefaultElectionTimeout)
	must.False(t, l.IsLeader())
	must.False(t, s.propose(l, "lost"))
}

// The leader's clock runs at little more than half the speed of the others'.
// It is cut off and still believes that it leads when the others, whose promise
// has run out, elect another and acknowledge a newer entry. It must not answer
// reads from its own state then: its lease ended before.
func TestLeaseEndsBeforeTheNextLeader(t *testing.T) {
	for seed := range uint64(20) {
		s, l := elected(seed, 3)
		l.retime(s, 0.55)
		s.run(3 * time.Second)
		s.isolate(l.id)
		s.newerElsewhere(t, l)
	}
}

// retime changes the speed of a clock without a step.
func (n *node) retime(s *sim, rate float64) {
	at := n.clock(s)
	n.rate = rate
	n.offset += at.Sub(n.clock(s))
}

// newerElsewhere runs until another leader has acknowledged more than l knows.
func (s *sim) newerElsewhere(t *testing.T, l *node) {
	t.Helper()
	for range 400 {
		s.step()
		for _, id := range s.others(l.id) {
			if n := s.nodes[id]; n.IsLeader() {
				s.propose(n, "newer")
			}
		}
	}
	must.Greater(t, l.index, s.acked)
	must.Eq(t, "", s.problems())
}

// While the leader is cut off, the clocks of both followers jump ahead by
// seconds, or its own is set back. A follower can't know how much of its
// promise passed and starts it anew; a leader counts no answer from before. So
// the leader that was cut off answers no reads once there is another.
func TestClockJumps(t *testing.T) {
	for _, tt := range []struct {
		name         string
		own, foreign time.Duration
	}{
		{"followers ahead", 0, 4 * time.Second},
		{"leader back", -4 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s, l := elected(seed, 3)
				s.isolate(l.id)
				l.offset += tt.own
				for i, o := range s.others(l.id) {
					s.nodes[o].offset += tt.foreign / time.Duration(1+2*i) // Unlike, or they split the votes.
				}
				s.newerElsewhere(t, l)
			}
		})
	}
}

// A leader that stops on purpose has told another to start, and nothing reaches
// it from then on. The other wins at once, for nobody's promise binds it, and
// acknowledges a newer entry: the old leader must read no more by its lease.
func TestTransferEndsTheLease(t *testing.T) {
	s, l := elected(11, 3)
	s.perform(l, l.TransferLeadership(l.clock(s)))
	for _, o := range s.others(l.id) {
		s.cut[[2]string{o, l.id}] = true
	}
	s.newerElsewhere(t, l)
}

// A replica votes and restarts. In the same term another candidate asks for
// its vote: it must remember that it gave it away, or the term gets two leaders.
func TestVoteOutlivesRestart(t *testing.T) {
	s := newSim(12, 3)
	n := s.nodes["r0"]
	ask := func(from string) bool {
		s.t += 2 * DefaultElectionTimeout
		s.perform(n, n.Tick(n.clock(s)))
		e := n.Step(n.clock(s), &wire.Raft{
			From: from, To: n.id, Group: "g", Term: 5, Kind: wire.Raft_KIND_VOTE, LastIndex: 9, LastTerm: 4, Transfer: true,
		})
		s.perform(n, e)
		return answer(e).GetGranted()
	}
	must.True(t, ask("r1"))
	s.start(n)
	must.False(t, ask("r2"))
}

// A snapshot that comes late covers less than the follower has acknowledged
// since. The entries after it must stay, for the leader counts on them.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	s := newSim(13, 3)
	n := s.nodes["r0"]
	var ents []*wire.LogEntry
	for i := range uint64(99) {
		ents = append(ents, &wire.LogEntry{Index: 2 + i, Term: 2})
	}
	m := &wire.Raft{From: "r1", To: n.id, Group: "g", Term: 2, LastIndex: 1, LastTerm: 1, Commit: 40, Entries: ents, Kind: wire.Raft_KIND_APPEND}
	must.True(t, answer(n.Step(n.clock(s), m)).GetGranted())
	n.Step(n.clock(s), &wire.Raft{
		From: "r1", To: n.id, Group: "g", Term: 2, Kind: wire.Raft_KIND_SNAPSHOT, Snapshot: &wire.Snapshot{Index: 50, Term: 2},
	})
	must.Eq(t, 100, n.log.last())
	must.Eq(t, 50, n.CommitIndex())
}

// Both followers crash and restart while the leader's lease runs, then the
// leader is cut off. They have forgotten that they heard it; without a promise
// from their start on they could elect another at once, and the old leader
// would answer from its lease what is no longer true.
func TestRestartedReplicaPromises(t *testing.T) {
	s, l := elected(6, 3)
	at := s.t
	for _, o := range s.others(l.id) {
		s.start(s.nodes[o])
	}
	s.isolate(l.id)
	asker := s.nodes[s.others(l.id)[0]]
	s.perform(asker, asker.campaignNow())
	for s.t < at+DefaultLeaseDuration {
		s.step()
		must.Eq(t, l, s.leader())
	}
}

func (n *node) campaignNow() Effects {
	n.campaign(preCandidate, false, "test", nil)
	return n.flush()
}

// A leader of term 2 copied an entry to a quorum, but before it could commit
// it another was elected that had a different entry at that place, crashed,
// and the first leads again in term 4. The old entry is on a quorum now, yet
// the other could still win with its newer term and replace it: it must not be
// called committed until an entry of term 4 is.
func TestFormerTermIsNotCommittedByCount(t *testing.T) {
	s := newSim(7, 5)
	a := s.nodes["r0"]
	old := &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.LogEntry{Index: 2, Term: 2, Command: []byte("old")}}}
	a.recs = []*wire.Record{{Kind: &wire.Record_Hard{Hard: &wire.HardState{Term: 3}}}, old}
	s.start(a)
	a.term, a.vote, a.role = 4, a.id, candidate
	a.takeOver()
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

// An entry is acknowledged on two of three replicas, while the third is cut
// off. One of the two loses its disk and starts anew with the same settings;
// then the other dies. The third and the empty one must not form a quorum, or
// the entry would be lost: the empty one is another replica.
func TestEmptyDiskIsAnotherReplica(t *testing.T) {
	s, l := elected(8, 3)
	lost, behind := s.nodes[s.others(l.id)[0]], s.nodes[s.others(l.id)[1]]
	s.isolate(behind.id)
	s.commit(l, "acknowledged")
	must.Greater(t, behind.index, s.acked)
	s.loseDisk(lost)
	l.down = true
	s.join()
	s.run(20 * time.Second)
	must.Nil(t, s.leader())
	must.Eq(t, "", s.problems())
}

// loseDisk restarts a replica with nothing, as a new data folder would: under
// a new identity.
func (s *sim) loseDisk(n *node) {
	n.snap, n.recs, n.down = nil, nil, true
	s.add(n.id + "-new")
}

// A replica is repaired: its successor joins as a learner, catches up, and
// takes its place. Right after that a second replica is lost for good. What
// was acknowledged before and during the repair is still there, and the group
// goes on with the successor and the one that is left.
func TestSecondLossAfterRepair(t *testing.T) {
	s, l := elected(9, 3)
	dead, second := s.nodes[s.others(l.id)[0]], s.nodes[s.others(l.id)[1]]
	dead.down = true
	s.add("new")
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	s.isolate("new")
	for range 30 {
		s.propose(l, "during")
		s.run(100 * time.Millisecond)
	}
	l.peers["new"].heard = l.now // It answers, but holds nothing.
	must.ErrorIs(t, s.change(l, "new", wire.Membership_ROLE_VOTER), ErrRefused)
	s.join()
	s.run(time.Second)
	s.alter(t, l, dead.id, wire.Membership_ROLE_NONE)
	s.alter(t, l, "new", wire.Membership_ROLE_VOTER)
	s.commit(l, "after")
	acked := s.acked
	second.down = true
	s.run(5 * time.Second)
	must.True(t, s.commit(s.leader(), "on"))
	must.Greater(t, acked, s.acked)
	must.Eq(t, "", s.problems())
}

// Messages of another group reach a replica, because an address changed hands.
// It takes none of them, whatever their term.
func TestOtherGroupIsNotHeard(t *testing.T) {
	s, l := elected(10, 3)
	term := l.Term()
	e := l.Step(l.clock(s), &wire.Raft{
		From: "x", To: l.id, Group: "other", Term: term + 5, Kind: wire.Raft_KIND_APPEND, Commit: 9,
	})
	must.Eq(t, Effects{}, e)
	must.Eq(t, term, l.Term())
}

// A snapshot takes half a second to a new replica, and heartbeats overtake it on
// streams of their own. The replica refuses them, for it has nothing yet. The
// leader must not send the snapshot again for each; once it is overdue, it must.
func TestSnapshotIsSentAgainOnlyWhenOverdue(t *testing.T) {
	s, l := elected(14, 3)
	for range 2 * TrailingEntries {
		s.propose(l, "x")
		s.step()
	}
	s.add("new")
	s.cut[[2]string{l.id, "new"}] = true
	must.NoError(t, s.change(l, "new", wire.Membership_ROLE_LEARNER))
	sent := 0
	refuse := func(d time.Duration) {
		for end := s.t + d; s.t < end; {
			s.step()
			e := l.Step(l.clock(s), &wire.Raft{
				From: "new", To: l.id, Group: "g", Term: l.Term(), Kind: wire.Raft_KIND_APPEND_REPLY,
				LastIndex: l.log.last(), Round: uint64(l.now.Sub(l.start)),
			})
			for _, m := range e.Messages {
				if m.GetKind() == wire.Raft_KIND_SNAPSHOT {
					sent++
				}
			}
			s.perform(l, e)
		}
	}
	refuse(DefaultElectionTimeout - 2*simStep)
	must.Eq(t, 1, sent)
	refuse(DefaultElectionTimeout)
	must.Eq(t, 2, sent)
}

// A replica comes back from a cut during which the log went on. It hears the
// leader at once and catches up only later. In between it must know that it
// lags: an entry that starts would else be given its old configuration.
func TestBackFromACutKnowsThatItLags(t *testing.T) {
	s, l := elected(3, 3)
	back := s.nodes[s.others(l.id)[0]]
	s.isolate(back.id)
	for range 20 {
		s.propose(l, "on")
		s.run(200 * time.Millisecond)
	}
	s.join()
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

// The disk of the leader takes nothing. Operators' changes are acknowledged all the
// same, by the disks of the two others, and the leader stays: entries notice nothing.
// The leader itself starts again without what it could not write and is brought up.
func TestLeaderWithAFullDisk(t *testing.T) {
	s, l := elected(21, 3)
	s.stays(t, l, func() {
		l.full = true
		was := l.index
		must.True(t, s.commit(l, "on the others"))
		must.Eq(t, was+1, l.index)
	})
	l.full = false
	s.start(l)
	s.run(5 * time.Second)
	must.True(t, s.commit(s.leader(), "after"))
	must.Eq(t, s.acked, l.index)
	must.Eq(t, "", s.problems())
}

// The disk of a follower takes nothing for ten seconds. It must not be counted for
// entries that it can't keep: with the third replica away, nothing is acknowledged.
// It answers the leader meanwhile, so that nobody takes it for dead, and catches up
// once there is room.
func TestFollowerWithAFullDisk(t *testing.T) {
	s, l := elected(22, 3)
	o := s.others(l.id)
	full, away := s.nodes[o[0]], s.nodes[o[1]]
	s.stays(t, l, func() {
		full.full, away.down = true, true
		s.commit(l, "waits")
		s.run(10 * time.Second)
		must.Less(t, l.log.last(), l.index, must.Sprint("one disk is no quorum"))
		for _, p := range l.Peers(l.clock(s)) {
			if p.GetId() == full.id {
				must.Less(t, DefaultElectionTimeout, p.Silence)
			}
		}
		full.full = false
		s.run(DefaultElectionTimeout)
		must.Eq(t, l.log.last(), l.index)
	})
}

// All disks are full. Nothing can be acknowledged, and the group has no election that
// could end: the leader goes on leading, as all that needs no new entry depends on it.
func TestAllDisksFull(t *testing.T) {
	s, l := elected(23, 3)
	s.stays(t, l, func() {
		for _, n := range s.nodes {
			n.full = true
		}
		was := s.acked
		s.commit(l, "waits")
		s.run(10 * time.Second)
		must.Eq(t, was, s.acked)
		for _, n := range s.nodes {
			n.full = false
		}
		s.run(DefaultElectionTimeout)
		must.Greater(t, was, s.acked)
	})
}

// The disk of the leader takes seconds for a sync. Changes are acknowledged meanwhile, by
// the disks of the two others, and the leader stays.
func TestLeaderWithASlowDisk(t *testing.T) {
	s, l := elected(24, 3)
	s.stays(t, l, func() {
		l.slow = 10 * time.Second
		for range 20 {
			was := l.index
			must.True(t, s.commit(l, "on the others"))
			must.Eq(t, was+1, l.index)
		}
		must.NotNil(t, l.job)
	})
	must.Eq(t, "", s.problems())
}

// Guards against counting what a slow disk has not kept: entries that another leader
// replaced during the write are not on it, though as many are.
func TestReplacedDuringAWrite(t *testing.T) {
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
	must.Eq(t, 1, r.synced)
	r.WriteStarted()
	r.WriteSynced(now)
	must.Eq(t, 2, r.synced)
}
