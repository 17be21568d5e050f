package repair

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

const (
	simStep        = 10 * time.Millisecond
	simElection    = 400 * time.Millisecond
	simCatchUp     = 4 * time.Second
	simCheck       = 100 * time.Millisecond // Interval between checks of the group by its leader.
	simJoin        = 300 * time.Millisecond // Interval between attempts to join.
	simGrace       = 8 * time.Second        // Time between a request to stop and a kill.
	simLeave       = 6 * time.Second        // Maximum wait of a replica that leaves.
	simRetransmit  = 200 * time.Millisecond // Initial retransmission time-out.
	simDiskStalled = simElection / 4
)

type (
	// simulation is a group that repairs itself, on simulated disks and links.
	simulation struct {
		policy    Policy
		rnd       *rand.Rand
		now       time.Duration
		nodes     []*simNode                // In order of their first start.
		links     map[simLink]time.Duration // When the last message of a link arrives.
		queue     []simMessage
		cut       map[string]bool // Replicas that no other one reaches.
		loss      float64         // Share of messages that are lost once and sent again.
		leaders   map[uint64]string
		next      uint64 // Next version to propose.
		acked     uint64 // Newest version that a leader has applied.
		nextCheck time.Duration
		lost      []simSpan // When replicas count as lost.
		broken    []string
		events    []string // Faults, changes and elections, for messages of failed tests.

		leaderless time.Duration
		elections  int
		voteTimes  []time.Duration // From the start of a successor to its vote.
	}

	simNode struct {
		*raft.Raft
		id, address, centre string
		snapshot            *wire.Snapshot // On disk.
		records             []*wire.Record
		pending             simWrite
		active              *simWrite
		slow                time.Duration // Duration of a write.
		up                  bool
		leaveAt             time.Duration // When the replica was told to stop; zero if it was not.
		startedAt           time.Duration
		nextJoin            time.Duration
		version             uint64 // Newest version that it has applied.
		voted               bool   // It has had a vote.
	}

	simWrite struct {
		install  bool
		records  []*wire.Record
		messages []*wire.Raft
		started  time.Duration
	}

	simMessage struct {
		at time.Duration
		*wire.Raft
	}

	simLink struct {
		from, to string
		lane     uint32
	}

	// simSpan is a time in which a replica counts as lost.
	simSpan struct{ from, to time.Duration }
)

// newSimulation returns a group that has voters and, with more replicas than votes, learners.
func newSimulation(seed uint64, losses, centres, replicas int) *simulation {
	s := &simulation{
		policy: Policy{MaxLosses: losses, DataCentres: centres, ReplaceAfter: simCatchUp * 6 / 10, RemoveLearnerAfter: time.Minute},
		rnd:    rand.New(rand.NewPCG(seed, 9)), links: map[simLink]time.Duration{}, cut: map[string]bool{}, leaders: map[uint64]string{},
	}
	var list []*wire.Replica
	for i := range replicas {
		n := s.add("z" + strconv.Itoa(i%centres))
		if i < centres {
			list = append(list, &wire.Replica{Id: n.id, Address: n.address, Voter: true, DataCentre: n.centre})
		}
	}
	s.nodes[0].snapshot = raft.BootstrapSnapshot("g", list, []byte("0"))
	for _, n := range s.nodes {
		s.start(n)
	}
	s.run(6 * time.Second)
	s.leaderless, s.elections = 0, 0
	return s
}

// add returns a replica with an empty disk at a new address, not started yet.
func (s *simulation) add(centre string) *simNode {
	id := fmt.Sprintf("r%02d", len(s.nodes))
	n := &simNode{id: id, address: id, centre: centre}
	s.nodes = append(s.nodes, n)
	return n
}

func (s *simulation) start(n *simNode) {
	s.note("%s of %s starts", n.id, n.centre)
	n.up, n.leaveAt, n.startedAt, n.pending, n.active, n.version = true, 0, s.now, simWrite{}, nil, 0
	n.Raft = &raft.Raft{ID: n.id, ElectionTimeout: simElection, Leaseless: true, HandsOverVotes: true, LeaveTimeout: simLeave, Rand: rand.New(rand.NewPCG(s.rnd.Uint64(), 1))}
	n.Start(s.clock(), n.snapshot, n.records)
	n.load(n.snapshot)
}

func (n *simNode) load(snap *wire.Snapshot) {
	if snap != nil {
		n.version, _ = strconv.ParseUint(string(snap.GetData()), 10, 64)
	}
}

// kill ends a replica at once. What it has not synced is lost.
func (s *simulation) kill(n *simNode) {
	s.note("%s of %s ends at version %d", n.id, n.centre, n.version)
	n.up = false
	for l := range s.links {
		if l.from == n.id || l.to == n.id {
			delete(s.links, l)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(m simMessage) bool { return m.GetTo() == n.id })
}

func (s *simulation) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}

func (s *simulation) step() {
	s.now += simStep
	due := s.queue
	s.queue = nil
	slices.SortStableFunc(due, func(a, b simMessage) int { return cmp.Compare(a.at, b.at) })
	for _, m := range due {
		to := s.node(m.GetTo())
		switch {
		case m.at > s.now:
			s.queue = append(s.queue, m)
		case to != nil && to.up && !s.cut[m.GetFrom()] && !s.cut[m.GetTo()]:
			s.perform(to, to.Step(s.clock(), m.Raft))
		}
	}
	for _, n := range slices.Clone(s.nodes) {
		if !n.up {
			continue
		}
		s.updateDisk(n)
		s.perform(n, n.Tick(s.clock()))
		s.updateLeaving(n)
		if n.up && n.leaveAt == 0 {
			s.join(n)
		}
	}
	s.checkGroup()
}

func (s *simulation) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// leader is the leader of the highest term that has a quorum, as far as it knows, or nil.
func (s *simulation) leader() *simNode {
	var best *simNode
	for _, n := range s.nodes {
		if n.up && n.Established() && (best == nil || n.Term() > best.Term()) {
			best = n
		}
	}
	return best
}

func (s *simulation) perform(n *simNode, e raft.Effects) {
	if e.Err != nil {
		s.broken = append(s.broken, fmt.Sprintf("%v: %s: %v", s.now, n.id, e.Err))
		n.up = false
		return
	}
	for _, c := range e.RoleChanges {
		if c.Role == "leader" {
			s.elections++
			s.note("%s leads in term %d", n.id, n.Term())
			if old, ok := s.leaders[n.Term()]; ok && old != n.id {
				s.broken = append(s.broken, fmt.Sprintf("%v: two leaders in term %d", s.now, n.Term()))
			}
			s.leaders[n.Term()] = n.id
		}
	}
	s.send(e.Messages)
	if e.InstallSnapshot != nil {
		n.pending.install, n.pending.records = true, nil
		n.load(e.InstallSnapshot)
	} else {
		n.pending.records = append(n.pending.records, e.Records...)
	}
	n.pending.messages = append(n.pending.messages, e.MessagesAfterSync...)
	for _, entry := range e.Committed {
		if v, err := strconv.ParseUint(string(entry.GetCommand()), 10, 64); err == nil {
			n.version = max(n.version, v)
		}
	}
	if n.IsLeader() {
		s.acked = max(s.acked, n.version)
	}
	s.write(n)
}

// write starts a write if one is pending and none is under way.
func (s *simulation) write(n *simNode) {
	if n.active != nil || (!n.pending.install && len(n.pending.records) == 0 && len(n.pending.messages) == 0) {
		return
	}
	w := n.pending
	n.pending, n.active, w.started = simWrite{}, &w, s.now
	if w.install {
		w.records = n.LogRecords()
		n.snapshot, n.records = nil, nil
		snap := n.Snapshot()
		snap.Data = []byte(strconv.FormatUint(n.version, 10))
		n.snapshot = snap
		n.Compact(snap)
	}
	n.WriteStarted()
	s.updateDisk(n)
}

func (s *simulation) updateDisk(n *simNode) {
	switch w := n.active; {
	case w == nil:
	case s.now-w.started >= n.slow:
		n.active = nil
		n.records = append(n.records, w.records...)
		s.send(w.messages)
		s.perform(n, n.WriteSynced(s.clock()))
	case s.now-w.started >= simDiskStalled:
		n.DiskStalled()
	}
}

// send puts messages on their links. A lost message holds up those behind it until it is sent again.
func (s *simulation) send(messages []*wire.Raft) {
	for _, m := range messages {
		at, wait := s.now+simStep/2, simRetransmit
		for s.rnd.Float64() < s.loss {
			at, wait = at+wait, wait*2
		}
		l := simLink{m.GetFrom(), m.GetTo(), m.GetLane()}
		at = max(at, s.links[l])
		s.links[l] = at
		s.queue = append(s.queue, simMessage{at, proto.CloneOf(m)})
	}
}

// updateLeaving ends a replica that was told to stop once it may.
func (s *simulation) updateLeaving(n *simNode) {
	if n.leaveAt == 0 || !n.up {
		return
	}
	if !n.IsLeader() || !n.Transferring() {
		s.perform(n, n.Leave(s.clock()))
	}
	if why := n.MayStop(s.clock()); why != "" {
		s.note("%s leaves: %s", n.id, why)
		s.kill(n)
	}
}

// join has the leader add a replica that its group does not list.
func (s *simulation) join(n *simNode) {
	listed := slices.ContainsFunc(n.Replicas(), func(r *wire.Replica) bool { return r.GetId() == n.id })
	l := s.leader()
	if l == nil || s.cut[n.id] || s.cut[l.id] || s.now < n.nextJoin || (listed && n.Leader() != "") {
		return
	}
	n.nextJoin = s.now + simJoin
	if !slices.ContainsFunc(l.Replicas(), func(r *wire.Replica) bool { return r.GetId() == n.id }) {
		s.change(l, &wire.Membership{Replica: n.id, Address: n.address, DataCentre: n.centre, Role: wire.Membership_ROLE_LEARNER})
	}
}

func (s *simulation) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *simulation) change(l *simNode, m *wire.Membership) {
	_, e, err := l.ChangeMembership(s.clock(), m)
	if err == nil {
		s.note("%s: %s %s", l.id, m.GetRole(), m.GetReplica())
	}
	s.perform(l, e)
}

// checkGroup does what a leader does at each check, and counts the time without a leader.
func (s *simulation) checkGroup() {
	l := s.leader()
	if l == nil {
		s.leaderless += simStep
		return
	}
	for _, r := range l.Replicas() {
		if n := s.node(r.GetId()); n != nil && r.GetVoter() && !n.voted {
			n.voted = true
			s.voteTimes = append(s.voteTimes, s.now-n.startedAt)
		}
	}
	if s.now < s.nextCheck || s.cut[l.id] {
		return
	}
	s.nextCheck = s.now + simCheck
	s.next++
	_, e, _ := l.Propose(s.clock(), []byte(strconv.FormatUint(s.next, 10)))
	s.perform(l, e)
	all := l.Replicas()
	self := all[slices.IndexFunc(all, func(r *wire.Replica) bool { return r.GetId() == l.id })]
	if m := s.policy.NextChange(self, l.Peers(s.clock())); m != nil && m.GetReplica() == l.id {
		s.perform(l, l.TransferLeadership(s.clock()))
	} else if m != nil {
		s.change(l, m)
	}
}

// readable reports whether a leader has everything that was acknowledged up to now.
func (s *simulation) readable() bool {
	l := s.leader()
	return l != nil && l.version >= s.acked
}

// state describes the replicas, for messages of failed tests.
func (s *simulation) state() string {
	var b strings.Builder
	for _, e := range s.events {
		fmt.Fprintln(&b, e)
	}
	for _, n := range s.nodes {
		fmt.Fprintf(&b, "%s %s up %t version %d term %d:", n.id, n.centre, n.up, n.version, n.Term())
		for _, r := range n.Replicas() {
			fmt.Fprintf(&b, " %s/%t", r.GetId(), r.GetVoter())
		}
		b.WriteByte('\n')
	}
	return b.String()
}
