package raft

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // The same runs each time.
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const simStep = 10 * time.Millisecond

type (
	// sim simulates a group of replicas and their network in memory. Faults are drawn from rnd.
	sim struct {
		rnd           *rand.Rand
		elapsed       time.Duration // True time since the start of the simulation.
		nodes         map[string]*node
		ids           []string // In order of creation.
		inFlight      []delivery
		blocked       map[[2]string]bool // By sender and receiver, each for one direction.
		lossRate      float64            // Probability that a message is lost.
		duplicateRate float64            // Probability that a message is sent twice.
		maxDelay      time.Duration      // Upper bound of the delay of a message.

		leaders         map[uint64]string         // By term.
		committed       map[uint64]*wire.LogEntry // By index, as first applied at any replica.
		committedInTerm map[uint64]uint64         // Term in which an entry was first applied, by index.
		ackedIndex      uint64                    // Highest index that a leader has applied and may acknowledge.
		leaseless       bool                      // Setting of all replicas that start from here on.
		checkLeases     bool                      // Check that no read under a lease is stale.
		leaseReads      int
		entryBytes      map[string]int // Size of the entries that were sent, by receiver.
		violations      []string
	}

	node struct {
		*Raft
		id             string
		diskSnapshot   *wire.Snapshot // On disk, as synced.
		diskRecords    []*wire.Record // On disk, after the snapshot.
		crashPoint     int            // Crash 1: before the next sync of records, 2: after it; 0: none.
		diskFull       bool           // The disk accepts no writes.
		minWriteTime   time.Duration  // Lower bound of the duration of a write.
		maxWriteTime   time.Duration  // Upper bound of the duration of a write; zero for none.
		pendingWrite   write          // Waits for the disk.
		activeWrite    *write         // Under way.
		down           bool
		suspendedUntil time.Duration // The process is suspended until this true time.
		clockRate      float64
		clockOffset    time.Duration
		stateIndex     uint64 // Last applied entry.
		stateHash      uint64 // Hash of the applied entries.
	}

	// write is a group of records that go to disk together, and the messages that wait for
	// them.
	write struct {
		snapshot  *wire.Snapshot // Replaces all earlier records.
		records   []*wire.Record
		messages  []*wire.Raft
		startedAt time.Duration // True time.
		doneAt    time.Duration
	}

	delivery struct {
		at      time.Duration
		message *wire.Raft
	}
)

func newSim(seed uint64, n int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, blocked: map[[2]string]bool{}, maxDelay: simStep,
		leaders: map[uint64]string{}, committed: map[uint64]*wire.LogEntry{}, committedInTerm: map[uint64]uint64{},
		entryBytes: map[string]int{},
	}
	var list []*wire.Replica
	for i := range n {
		list = append(list, &wire.Replica{Id: fmt.Sprintf("r%d", i), Voter: true})
	}
	for _, p := range list {
		s.addNode(p.GetId())
	}
	// The first replica founds the group; the others join like any replica that lags behind.
	first := s.nodes[list[0].GetId()]
	first.diskSnapshot = BootstrapSnapshot("g", list, make([]byte, 8))
	s.startNode(first)
	return s
}

// addNode adds a replica with an empty disk.
func (s *sim) addNode(id string) *node {
	n := &node{id: id, clockRate: 1}
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	s.startNode(n)
	return n
}

func (s *sim) startNode(n *node) {
	// A crash during a write leaves a part of it on disk.
	if n.activeWrite != nil && n.activeWrite.snapshot == nil && len(n.activeWrite.records) > 0 {
		n.diskRecords = append(n.diskRecords, n.activeWrite.records[:s.rnd.IntN(len(n.activeWrite.records))]...)
	}
	n.down, n.crashPoint, n.pendingWrite, n.activeWrite = false, 0, write{}, nil
	n.Raft = &Raft{ID: n.id, Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 2)), Leaseless: s.leaseless}
	n.Start(n.clock(s), n.diskSnapshot, n.diskRecords)
	n.installSnapshot(n.diskSnapshot)
}

func (n *node) installSnapshot(snap *wire.Snapshot) {
	n.stateIndex, n.stateHash = snap.GetIndex(), 0
	if len(snap.GetData()) == 8 {
		n.stateHash = binary.LittleEndian.Uint64(snap.GetData())
	}
}

func (n *node) clock(s *sim) time.Time {
	return time.Unix(1000, 0).Add(n.clockOffset + time.Duration(float64(s.elapsed)*n.clockRate))
}

func (n *node) running(s *sim) bool { return !n.down && n.suspendedUntil <= s.elapsed }

func (s *sim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.elapsed)+fmt.Sprintf(format, args...))
}

// performEffects carries out effects, up to the point of a crash.
func (s *sim) performEffects(n *node, e Effects) {
	if e.Err != nil {
		s.fail("%s: %v", n.id, e.Err)
		return
	}
	if n.crashPoint == 1 && len(e.Records) > 0 { // Before the sync, with a part of the records written.
		if e.InstallSnapshot == nil && !n.diskFull && n.activeWrite == nil {
			n.diskRecords = append(n.diskRecords, e.Records[:s.rnd.IntN(len(e.Records))]...)
		}
		n.down = true
		return
	}
	for _, m := range e.Messages {
		s.send(m)
	}
	w := &n.pendingWrite
	if e.InstallSnapshot != nil {
		w.snapshot, w.records = e.InstallSnapshot, nil
		n.installSnapshot(e.InstallSnapshot)
	} else {
		w.records = append(w.records, e.Records...)
	}
	w.messages = append(w.messages, e.MessagesAfterSync...)
	for _, c := range e.Committed {
		s.applyEntry(n, c)
	}
	if n.activeWrite != nil {
		return
	}
	if n.diskFull && w.pending() {
		n.DiskStalled()
		return
	}
	s.startWrite(n)
}

// startWrite starts to write the pending records, and finishes at once unless the disk is slow.
func (s *sim) startWrite(n *node) {
	w := n.pendingWrite
	n.pendingWrite, n.activeWrite = write{}, &w
	w.startedAt = s.elapsed
	if w.snapshot != nil {
		w.records = n.LogRecords()
	}
	n.WriteStarted()
	if n.maxWriteTime > 0 && len(w.records) > 0 {
		w.doneAt = s.elapsed + n.minWriteTime + time.Duration(s.rnd.Int64N(int64(n.maxWriteTime-n.minWriteTime)))
		return
	}
	s.finishWrite(n)
}

// finishWrite completes a write and sends the messages that waited for it.
func (s *sim) finishWrite(n *node) {
	w := n.activeWrite
	n.activeWrite = nil
	if w.snapshot != nil {
		n.diskSnapshot, n.diskRecords = w.snapshot, nil
	}
	n.diskRecords = append(n.diskRecords, w.records...)
	if n.crashPoint == 2 && len(w.records) > 0 { // After the sync.
		n.down = true
		return
	}
	for _, m := range w.messages {
		s.send(m)
	}
	if after := n.WriteSynced(n.clock(s)); len(after.Committed) > 0 || len(after.Messages) > 0 || n.pendingWrite.pending() {
		s.performEffects(n, after)
	}
	if n.activeWrite == nil && !n.pendingWrite.pending() && n.stateIndex >= n.diskSnapshot.GetIndex()+40 {
		n.diskSnapshot = n.Snapshot()
		n.diskSnapshot.Data = binary.LittleEndian.AppendUint64(nil, n.stateHash)
		n.Compact(n.diskSnapshot)
		n.diskRecords = n.LogRecords()
	}
	if n.IsLeader() {
		s.checkLeader(n)
	}
}

func (w *write) pending() bool { return w.snapshot != nil || len(w.records) > 0 }

func (s *sim) applyEntry(n *node, e *wire.LogEntry) {
	if e.GetIndex() != n.stateIndex+1 {
		s.fail("%s applies %d after %d", n.id, e.GetIndex(), n.stateIndex)
	}
	old := s.committed[e.GetIndex()]
	if old == nil {
		s.committed[e.GetIndex()], s.committedInTerm[e.GetIndex()] = e, n.Term()
	} else if !proto.Equal(old, e) {
		s.fail("%s applies a different entry %d", n.id, e.GetIndex())
	}
	n.stateIndex = e.GetIndex()
	n.stateHash = n.stateHash*31 + e.GetTerm()
	if n.IsLeader() {
		s.ackedIndex = max(s.ackedIndex, n.stateIndex)
	}
}

// checkLeader checks that a term has only one leader, and that the leader holds all entries
// committed in earlier terms. A candidate that was suspended may win an old term after a later
// leader has committed more entries; it can't commit anything then.
func (s *sim) checkLeader(n *node) {
	if old, ok := s.leaders[n.Term()]; ok {
		if old != n.id {
			s.fail("term %d is led by %s and %s", n.Term(), old, n.id)
		}
		return
	}
	s.leaders[n.Term()] = n.id
	for i, e := range s.committed {
		if t, ok := n.log.term(i); s.committedInTerm[i] < n.Term() && i > n.log.base && (!ok || t != e.GetTerm()) {
			s.fail("leader %s of term %d lacks entry %d", n.id, n.Term(), i)
		}
	}
}

// reply returns the message with which a replica answers another.
func reply(e Effects) *wire.Raft { return append(e.Messages, e.MessagesAfterSync...)[0] }

func (s *sim) send(m *wire.Raft) {
	for _, e := range m.GetEntries() {
		s.entryBytes[m.GetTo()] += proto.Size(e)
	}
	n := 1
	if s.rnd.Float64() < s.duplicateRate {
		n = 2
	}
	for range n {
		if s.rnd.Float64() >= s.lossRate {
			s.inFlight = append(s.inFlight, delivery{s.elapsed + time.Duration(s.rnd.Int64N(int64(s.maxDelay))), proto.CloneOf(m)})
		}
	}
}

// step advances the true time by simStep, delivers messages, finishes writes and calls Tick.
func (s *sim) step() {
	s.elapsed += simStep
	due := s.inFlight
	s.inFlight = nil
	for _, f := range due {
		n := s.nodes[f.message.GetTo()]
		switch {
		case n == nil || n.down || s.blocked[[2]string{f.message.GetFrom(), f.message.GetTo()}]:
		case f.at > s.elapsed || n.suspendedUntil > s.elapsed:
			s.inFlight = append(s.inFlight, f)
		default:
			s.performEffects(n, n.Step(n.clock(s), f.message))
		}
	}
	for _, id := range s.ids {
		if n := s.nodes[id]; n.running(s) {
			s.updateDisk(n)
		}
		if n := s.nodes[id]; n.running(s) {
			s.performEffects(n, n.Tick(n.clock(s)))
			s.checkLeaseRead(n)
		}
	}
}

// updateDisk finishes a write that is due, and reports a long write to the replica.
func (s *sim) updateDisk(n *node) {
	switch {
	case n.activeWrite == nil:
	case n.activeWrite.doneAt <= s.elapsed:
		s.finishWrite(n)
	case s.elapsed-n.activeWrite.startedAt >= DefaultElectionTimeout/4: // As io/ctrl does.
		n.DiskStalled()
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.elapsed + d; s.elapsed < end; {
		s.step()
	}
}

// checkLeaseRead checks that a leader with a valid lease has applied all acknowledged entries.
func (s *sim) checkLeaseRead(n *node) {
	if !n.down && s.checkLeases && n.HasLease(n.clock(s)) {
		s.leaseReads++
		if n.stateIndex < s.ackedIndex {
			s.fail("stale read at %s: applied up to %d, acknowledged up to %d", n.id, n.stateIndex, s.ackedIndex)
		}
	}
}

func (s *sim) leader() *node {
	var best *node
	for _, id := range s.ids {
		if n := s.nodes[id]; n.running(s) && n.IsLeader() && (best == nil || n.Term() > best.Term()) {
			best = n
		}
	}
	return best
}

func (s *sim) propose(n *node, text string) bool {
	_, e, err := n.Propose(n.clock(s), []byte(text))
	s.performEffects(n, e)
	return err == nil
}

func (s *sim) change(n *node, id string, role wire.Membership_Role) error {
	_, e, err := n.ChangeMembership(n.clock(s), &wire.Membership{Replica: id, Role: role})
	s.performEffects(n, e)
	return err
}

// isolate blocks all links of a replica in both directions; unblockAll restores all links.
func (s *sim) isolate(id string) {
	for _, o := range s.ids {
		s.blocked[[2]string{id, o}], s.blocked[[2]string{o, id}] = true, true
	}
}

func (s *sim) unblockAll() { s.blocked = map[[2]string]bool{} }

func (s *sim) others(id string) []string {
	return slices.DeleteFunc(slices.Clone(s.ids), func(o string) bool { return o == id })
}

func (s *sim) problems() string { return strings.Join(s.violations, "\n") }
