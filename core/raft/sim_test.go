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
	// sim is a group of replicas on a network in memory. Faults come from rnd.
	sim struct {
		rnd   *rand.Rand
		t     time.Duration // True time.
		nodes map[string]*node
		names []string // In order of creation.
		net   []flight
		cut   map[[2]string]bool // One way.
		loss  float64
		dup   float64
		delay time.Duration

		leaders   map[uint64]string         // By term.
		committed map[uint64]*wire.LogEntry // By index, as first applied anywhere.
		in        map[uint64]uint64         // Term in which that was, by index.
		acked     uint64                    // Highest index that a leader applied, so that a caller may know it.
		leaseless bool                      // Of all replicas that start from here on.
		leased    bool                      // Check that reads under a lease are fresh.
		reads     int
		broken    []string
	}

	node struct {
		*Raft
		id     string
		snap   *wire.Snapshot // Disk, as synced.
		recs   []*wire.Record
		crash  int           // Point of the next effects at which it crashes; 0 for none.
		full   bool          // The disk takes nothing.
		slow   time.Duration // Longest time that a write takes; zero for none.
		unkept write         // Waits for the disk.
		job    *write        // Under way on a slow disk.
		down   bool
		frozen time.Duration // Until this true time.
		rate   float64
		offset time.Duration
		index  uint64 // Applied.
		sum    uint64 // Of what was applied.
	}

	// write is what is put on disk together, and the messages that wait for it.
	write struct {
		snap *wire.Snapshot // Replaces all before it.
		recs []*wire.Record
		held []*wire.Raft
		end  time.Duration // When it is done, in true time.
	}

	flight struct {
		at time.Duration
		m  *wire.Raft
	}
)

func newSim(seed uint64, n int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, cut: map[[2]string]bool{}, delay: simStep,
		leaders: map[uint64]string{}, committed: map[uint64]*wire.LogEntry{}, in: map[uint64]uint64{},
	}
	var list []*wire.Replica
	for i := range n {
		list = append(list, &wire.Replica{Id: fmt.Sprintf("r%d", i), Voter: true})
	}
	for _, p := range list {
		s.add(p.GetId())
	}
	// One founds the group; the others learn of it like any replica that lags.
	first := s.nodes[list[0].GetId()]
	first.snap = BootstrapSnapshot("g", list, make([]byte, 8))
	s.start(first)
	return s
}

// add makes a replica with an empty disk.
func (s *sim) add(id string) *node {
	n := &node{id: id, rate: 1}
	s.nodes[id] = n
	s.names = append(s.names, id)
	s.start(n)
	return n
}

func (s *sim) start(n *node) {
	if n.job != nil && n.job.snap == nil && len(n.job.recs) > 0 { // A part of it was written.
		n.recs = append(n.recs, n.job.recs[:s.rnd.IntN(len(n.job.recs))]...)
	}
	n.down, n.crash, n.unkept, n.job = false, 0, write{}, nil
	n.Raft = &Raft{ID: n.id, Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 2)), Leaseless: s.leaseless}
	n.Start(n.clock(s), n.snap, n.recs)
	n.install(n.snap)
}

func (n *node) install(snap *wire.Snapshot) {
	n.index, n.sum = snap.GetIndex(), 0
	if len(snap.GetData()) == 8 {
		n.sum = binary.LittleEndian.Uint64(snap.GetData())
	}
}

func (n *node) clock(s *sim) time.Time {
	return time.Unix(1000, 0).Add(n.offset + time.Duration(float64(s.t)*n.rate))
}

func (n *node) runs(s *sim) bool { return !n.down && n.frozen <= s.t }

func (s *sim) fail(format string, args ...any) {
	s.broken = append(s.broken, fmt.Sprintf("%v: ", s.t)+fmt.Sprintf(format, args...))
}

// perform carries effects out, up to the point of a crash.
func (s *sim) perform(n *node, e Effects) {
	if e.Err != nil {
		s.fail("%s: %v", n.id, e.Err)
		return
	}
	if n.crash == 1 && len(e.Records) > 0 { // Before the sync: a part was written.
		if e.InstallSnapshot == nil && !n.full && n.job == nil {
			n.recs = append(n.recs, e.Records[:s.rnd.IntN(len(e.Records))]...)
		}
		n.down = true
		return
	}
	for _, m := range e.Messages {
		s.post(m)
	}
	w := &n.unkept
	if e.InstallSnapshot != nil {
		w.snap, w.recs = e.InstallSnapshot, nil
		n.install(e.InstallSnapshot)
	} else {
		w.recs = append(w.recs, e.Records...)
	}
	w.held = append(w.held, e.MessagesAfterSync...)
	for _, c := range e.Committed {
		s.apply(n, c)
	}
	if n.job != nil {
		return
	}
	if n.full && w.waits() {
		n.DiskStalled()
		return
	}
	s.write(n)
}

// write begins to put on disk what waits, and ends at once on a disk that is not slow.
func (s *sim) write(n *node) {
	w := n.unkept
	n.unkept, n.job = write{}, &w
	if w.snap != nil {
		w.recs = n.LogRecords()
	}
	n.WriteStarted()
	if n.slow > 0 && len(w.recs) > 0 {
		w.end = s.t + time.Duration(s.rnd.Int64N(int64(n.slow)))
		return
	}
	s.wrote(n)
}

// wrote ends a write.
func (s *sim) wrote(n *node) {
	w := n.job
	n.job = nil
	if w.snap != nil {
		n.snap, n.recs = w.snap, nil
	}
	n.recs = append(n.recs, w.recs...)
	if n.crash == 2 && len(w.recs) > 0 { // After the sync.
		n.down = true
		return
	}
	for _, m := range w.held {
		s.post(m)
	}
	if after := n.WriteSynced(n.clock(s)); len(after.Committed) > 0 || len(after.Messages) > 0 || n.unkept.waits() {
		s.perform(n, after)
	}
	if n.job == nil && !n.unkept.waits() && n.index >= n.snap.GetIndex()+40 {
		n.snap = n.Snapshot()
		n.snap.Data = binary.LittleEndian.AppendUint64(nil, n.sum)
		n.Compact(n.snap)
		n.recs = n.LogRecords()
	}
	if n.IsLeader() {
		s.checkLeader(n)
	}
}

func (w *write) waits() bool { return w.snap != nil || len(w.recs) > 0 }

func (s *sim) apply(n *node, e *wire.LogEntry) {
	if e.GetIndex() != n.index+1 {
		s.fail("%s applies %d after %d", n.id, e.GetIndex(), n.index)
	}
	old := s.committed[e.GetIndex()]
	if old == nil {
		s.committed[e.GetIndex()], s.in[e.GetIndex()] = e, n.Term()
	} else if !proto.Equal(old, e) {
		s.fail("%s applies another entry %d", n.id, e.GetIndex())
	}
	n.index = e.GetIndex()
	n.sum = n.sum*31 + e.GetTerm()
	if n.IsLeader() {
		s.acked = max(s.acked, n.index)
	}
}

// checkLeader holds that a term has one leader, who has all that was committed
// in the terms before it. A candidate that was frozen may win an old term when
// a later leader has committed more; it can commit nothing then.
func (s *sim) checkLeader(n *node) {
	if old, ok := s.leaders[n.Term()]; ok {
		if old != n.id {
			s.fail("term %d is led by %s and %s", n.Term(), old, n.id)
		}
		return
	}
	s.leaders[n.Term()] = n.id
	for i, e := range s.committed {
		if t, ok := n.log.term(i); s.in[i] < n.Term() && i > n.log.base && (!ok || t != e.GetTerm()) {
			s.fail("leader %s of term %d lacks entry %d", n.id, n.Term(), i)
		}
	}
}

// answer is the message with which a replica answers another.
func answer(e Effects) *wire.Raft { return append(e.Messages, e.MessagesAfterSync...)[0] }

func (s *sim) post(m *wire.Raft) {
	n := 1
	if s.rnd.Float64() < s.dup {
		n = 2
	}
	for range n {
		if s.rnd.Float64() >= s.loss {
			s.net = append(s.net, flight{s.t + time.Duration(s.rnd.Int64N(int64(s.delay))), proto.CloneOf(m)})
		}
	}
}

// step lets one tick of true time pass.
func (s *sim) step() {
	s.t += simStep
	due := s.net
	s.net = nil
	for _, f := range due {
		n := s.nodes[f.m.GetTo()]
		switch {
		case n == nil || n.down || s.cut[[2]string{f.m.GetFrom(), f.m.GetTo()}]:
		case f.at > s.t || n.frozen > s.t:
			s.net = append(s.net, f)
		default:
			s.perform(n, n.Step(n.clock(s), f.m))
		}
	}
	for _, id := range s.names {
		if n := s.nodes[id]; n.runs(s) {
			s.disk(n)
		}
		if n := s.nodes[id]; n.runs(s) {
			s.perform(n, n.Tick(n.clock(s)))
			s.read(n)
		}
	}
}

// disk ends a write whose time has come. One that takes long is told to the replica.
func (s *sim) disk(n *node) {
	switch {
	case n.job == nil:
	case n.job.end <= s.t:
		s.wrote(n)
	case n.job.end > s.t+DefaultHeartbeatInterval:
		n.DiskStalled()
	}
}

func (s *sim) run(d time.Duration) {
	for end := s.t + d; s.t < end; {
		s.step()
	}
}

// read holds that a leader under its lease knows all that was acknowledged.
func (s *sim) read(n *node) {
	if !n.down && s.leased && n.HasLease(n.clock(s)) {
		s.reads++
		if n.index < s.acked {
			s.fail("stale read at %s: %d before %d", n.id, n.index, s.acked)
		}
	}
}

func (s *sim) leader() *node {
	var best *node
	for _, id := range s.names {
		if n := s.nodes[id]; n.runs(s) && n.IsLeader() && (best == nil || n.Term() > best.Term()) {
			best = n
		}
	}
	return best
}

func (s *sim) propose(n *node, text string) bool {
	_, e, err := n.Propose(n.clock(s), []byte(text))
	s.perform(n, e)
	return err == nil
}

func (s *sim) change(n *node, id string, role wire.Membership_Role) error {
	_, e, err := n.ChangeMembership(n.clock(s), &wire.Membership{Replica: id, Role: role})
	s.perform(n, e)
	return err
}

// isolate cuts a replica off both ways; join undoes all cuts.
func (s *sim) isolate(id string) {
	for _, o := range s.names {
		s.cut[[2]string{id, o}], s.cut[[2]string{o, id}] = true, true
	}
}

func (s *sim) join() { s.cut = map[[2]string]bool{} }

func (s *sim) others(id string) []string {
	return slices.DeleteFunc(slices.Clone(s.names), func(o string) bool { return o == id })
}

func (s *sim) problems() string { return strings.Join(s.broken, "\n") }
