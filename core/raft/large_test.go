package raft

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

const (
	largeSize  = 2 << 20  // Bytes of a command.
	largeBound = 20 << 20 // Bytes that large commands may take in each queue of a replica.
)

var large = strings.Repeat("x", largeSize)

// entriesSize is the size of the entries that a replica holds.
func (n *node) entriesSize() int {
	size := 0
	for _, r := range n.LogRecords() {
		size += proto.Size(r)
	}
	return size
}

// Guards against replicas that keep hundreds of large entries behind a snapshot, in memory and
// on disk, also after a restart.
func TestLargeEntriesBehindSnapshotsAreDiscarded(t *testing.T) {
	s, l := newElectedSim(40, 3)
	for range 100 {
		must.True(t, s.proposeAndRun(l, large))
		l.Compact(&wire.Snapshot{Index: l.stateIndex, Term: l.Term(), Replicas: l.Replicas(), Group: "g"})
		must.Less(t, largeBound, l.entriesSize())
	}
	must.Eq(t, "", s.problems())

	// The log of an earlier version that kept them all.
	recs := []*wire.Record{{Kind: &wire.Record_Hard{Hard: &wire.HardState{Term: l.Term(), Group: "g"}}}}
	for i := range uint64(100) {
		recs = append(recs, &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.LogEntry{Index: 100 + i, Term: 1, Command: []byte(large)}}})
	}
	old := &node{id: "old", Raft: &Raft{ID: "old", Rand: s.rnd}}
	old.Start(time.Unix(1000, 0), &wire.Snapshot{Index: 195, Term: 1, Group: "g", Replicas: l.Replicas()}, recs)
	must.Less(t, largeBound, old.entriesSize())
	must.Eq(t, 199, old.log.lastIndex())
}

// Guards against a leader that takes large commands without bound while it reaches no quorum.
// Others must have room beside them, and all must be taken again afterwards.
func TestLargeCommandsThatCannotBeCommitted(t *testing.T) {
	s, l := newElectedSim(41, 3)
	for _, id := range s.others(l.id) {
		s.blocked[[2]string{id, l.id}] = true
	}
	for range 100 {
		s.propose(l, large)
	}
	must.Less(t, largeBound, l.entriesSize())
	must.True(t, s.propose(l, "small"))
	s.unblockAll()
	s.run(5 * time.Second)
	must.True(t, s.proposeAndRun(s.leader(), large))
	must.Eq(t, "", s.problems())
}

// Guards against a leader that sends large entries without bound to a replica that does not
// answer, and against one that sends them over and over to a replica whose disk is full.
func TestLargeEntriesForSlowReplicas(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(s *sim, l, slow *node)
		heal  func(s *sim, l, slow *node)
	}{
		{
			"no answer",
			func(s *sim, l, slow *node) { s.blocked[[2]string{slow.id, l.id}] = true },
			func(s *sim, _, _ *node) { s.unblockAll() },
		},
		{
			"full disk",
			func(_ *sim, _, slow *node) { slow.diskFull = true },
			func(_ *sim, _, slow *node) { slow.diskFull = false },
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, l := newElectedSim(42, 3)
			slow := s.nodes[s.others(l.id)[0]]
			s.mustKeepLeader(t, l, func() {
				tt.fault(s, l, slow)
				s.entryBytes[slow.id] = 0
				for range 40 {
					must.True(t, s.proposeAndRun(l, large))
				}
				must.Less(t, largeBound, s.entryBytes[slow.id])
				tt.heal(s, l, slow)
				s.run(10 * time.Second)
			})
			must.Eq(t, l.stateIndex, slow.stateIndex)
		})
	}
}

// Guards against a leader whose disk is full while the others' disks work: it would hold all
// that they commit in memory. Another replica must lead, and nothing may be lost.
func TestLargeEntriesOfALeaderWithAFullDisk(t *testing.T) {
	s, l := newElectedSim(43, 3)
	l.diskFull = true
	for range 40 {
		if n := s.leader(); n != nil {
			s.proposeAndRun(n, large)
		} else {
			s.run(100 * time.Millisecond)
		}
		size := 0
		for _, r := range l.pendingWrite.records {
			size += proto.Size(r)
		}
		must.Less(t, largeBound, size)
	}
	must.NotEq(t, l.id, s.leader().id)
	must.Greater(t, 30, s.ackedIndex)
	l.diskFull = false
	s.run(5 * time.Second)
	must.Eq(t, s.ackedIndex, l.stateIndex)
	must.Eq(t, "", s.problems())
}
