// Package raft implements the Raft consensus algorithm as a state machine without I/O: leader
// election, log replication, snapshots and single-server membership changes.
//
// It reads no clock, socket or file. Each call takes the current time and returns Effects,
// which the caller carries out in the order of their fields. Messages that rely on synced
// records are returned apart from the others, and only they wait for the disk; see WriteSynced.
package raft

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/wire"
)

// maxGapDivisor is the fraction of the election timeout above which the time between two calls is a
// suspension or a jump of the clock.
const maxGapDivisor = 4

var (
	// ErrNotLeader is returned for a proposal to a replica that is not the leader or is
	// transferring leadership.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrBusy is returned when there are too many uncommitted entries or another membership
	// change is not committed yet.
	ErrBusy = errors.New("raft: busy")
	// ErrRefused is returned for an invalid or unsafe membership change.
	ErrRefused = errors.New("raft: membership change refused")
	// ErrDiverged reports a message that contradicts a committed entry. The replica must stop:
	// its own disk or another replica has lost entries.
	ErrDiverged = errors.New("raft: log contradicts a committed entry")
)

// Default times and limits.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond // Between two rounds of AppendEntries.
	DefaultElectionTimeout   = time.Second            // Minimum; each timeout is drawn from one to two times this.
	MaxBatchBytes            = 1 << 20                // Bytes of entries in one message.
	MaxInflight              = 16                     // Unanswered messages with entries to one replica.
	MaxInflightBytes         = 4 << 20                // Bytes of entries in these messages, unless it is a single message.
	MaxUncommitted           = 4096                   // Uncommitted entries at the leader.
	MaxUncommittedBytes      = 16 << 20               // Bytes of these entries and of those that are not on its disk.
	TrailingEntries          = 500                    // Entries kept before a snapshot for replicas that lag slightly.
	TrailingBytes            = 4 << 20                // Bytes of these entries.
)

// LargeCommand is the size in bytes from which a command counts as large. Large commands may
// take half of MaxUncommittedBytes, so that they don't crowd out the others.
const LargeCommand = 32 << 10

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type (
	// Raft is one replica. Its exported fields must be set before Start is called.
	Raft struct {
		ID   string     // Identity of the data folder.
		Rand *rand.Rand // Randomizes election timeouts and cold-start rounds.
		// ElectionTimeout is the minimum election timeout and must be the same at all replicas.
		// The heartbeat interval and the lease scale with it. Zero means
		// DefaultElectionTimeout.
		ElectionTimeout time.Duration
		// Leaseless states that no replica of the group serves local reads under a lease: reads
		// go through the log. When replicas restart together, answers from a quorum are then
		// enough to elect a leader early.
		Leaseless bool
		// HandsOverVotes states that the group repairs itself, so that a learner takes the vote of
		// a voter that is about to stop.
		HandsOverVotes bool
		// LeaveTimeout is the maximum time between Leave and the end of the process. Zero means
		// DefaultLeaveTimeout.
		LeaveTimeout time.Duration

		group        string
		term         uint64
		votedFor     string
		role         role
		leaderID     string
		leaderTerm   uint64 // Newest term in which a leader was heard, or the term at the start.
		log          raftLog
		memberships  []membership // Each with the index of the entry that set it, oldest first.
		commitIndex  uint64
		applied      uint64      // Last entry returned in Effects.
		syncedIndex  uint64      // Last entry on this replica's disk.
		writing      logPosition // Last entry of the write under way.
		diskStalled  bool        // The disk accepts no writes for now.
		stalledAt    time.Time   // When the disk last accepted no writes; zero for never.
		leaderCommit uint64      // Highest commit index received from a leader.

		now               time.Time
		skew              time.Duration // Added to the caller's time to undo backward steps of the clock.
		startedAt         time.Time
		lastLeaderContact time.Time // Also set by Start and after a clock gap; see heardLeaderRecently.
		electionDeadline  time.Time
		nextHeartbeat     time.Time

		votes            map[string]bool
		peers            map[string]*progress // Leader only: the other replicas.
		leaderSince      time.Time            // Leader only: start of the term or end of the last clock gap.
		transferTarget   string               // Leader only: replica that is to lead next.
		timeoutNowSent   bool                 // Leader only: the target was told to start, so the lease is given up.
		transferDeadline time.Time            // Leader only: when it steps down if the target has not taken over.
		coldStart        coldStart
		pauses           pauses
		leaderGaps       pauses        // Times without a message of the leader, or at a leader without an answer of a quorum.
		quorumAge        time.Duration // Leader only: age of the newest round that a quorum had answered at the last tick.
		contacts         contacts
		absences         []*wire.Absence // From the newest message of a leader, or at a leader from its last heartbeat.
		absencesAt       time.Time       // When absences was set; zero if no leader was heard since the start.
		departure

		out Effects
	}

	// logPosition identifies an entry. Logs that share a position are identical up to it.
	logPosition struct{ index, term uint64 }

	// Effects lists the work for the caller after a call, in the order of the fields.
	Effects struct {
		InstallSnapshot   *wire.Snapshot // Replaces the state machine and, with LogRecords, the whole log on disk.
		Records           []*wire.Record // To append and sync; part of LogRecords when InstallSnapshot is set.
		Messages          []*wire.Raft   // To send; message loss is tolerated.
		MessagesAfterSync []*wire.Raft   // To send once all records so far are synced; see WriteStarted.
		Committed         []*wire.LogEntry
		RoleChanges       []RoleChange // For logging only.
		Err               error        // The replica must stop at once and do nothing else.
	}
)

// Start restores the replica from its disk: the newest snapshot, or nil, and the records after
// it, oldest first.
func (r *Raft) Start(now time.Time, snap *wire.Snapshot, recs []*wire.Record) {
	r.now, r.startedAt = now, now
	// After a restart the replica doesn't know when it last heard a leader. The lease of that
	// leader may still rely on this replica to deny votes, and an early vote would allow stale
	// reads at the old leader. The replica therefore denies votes for a full election timeout
	// from now on.
	r.lastLeaderContact = now
	if snap != nil {
		r.group = snap.GetGroup()
		r.log.reset(snap)
		r.commitIndex, r.applied = snap.GetIndex(), snap.GetIndex()
		r.term = snap.GetTerm()
	}
	r.memberships = []membership{{r.commitIndex, snap.GetReplicas()}}
	for _, rec := range recs {
		r.loadRecord(rec)
	}
	r.syncedIndex, r.leaderTerm = r.log.lastIndex(), r.term
	r.log.trimTrailing()
	r.resetElectionTimer()
	if r.isOnlyVoter() {
		r.electionDeadline = now // The only voter needs no other replica's vote.
	}
	r.initColdStart()
}

func (r *Raft) loadRecord(rec *wire.Record) {
	switch k := rec.GetKind().(type) {
	case *wire.Record_Hard:
		r.term, r.votedFor = k.Hard.GetTerm(), k.Hard.GetVote()
		if k.Hard.GetGroup() != "" {
			r.group = k.Hard.GetGroup()
		}
	case *wire.Record_TruncateFrom:
		r.truncateLog(k.TruncateFrom)
	case *wire.Record_Entry:
		r.log.loadEntry(k.Entry)
		if k.Entry.GetIndex() > r.commitIndex {
			r.appendMembership(k.Entry)
		}
	}
}

// BootstrapSnapshot returns the first snapshot of a new group. The caller must ensure that none
// of the replicas belongs to a group already.
func BootstrapSnapshot(group string, replicas []*wire.Replica, data []byte) *wire.Snapshot {
	return &wire.Snapshot{Index: 1, Term: 1, Data: data, Replicas: replicas, Group: group}
}

// Tick advances the time and runs the timers that are due. It must be called several times per
// heartbeat interval.
func (r *Raft) Tick(now time.Time) Effects {
	r.advanceClock(now)
	switch {
	case r.role == leader:
		r.tickLeader()
	case !r.now.Before(r.electionDeadline):
		r.campaign(preCandidate, false, "no leader heard within the election timeout", nil)
	default:
		r.beginColdStartRound()
		r.probeVoters()
	}
	return r.flush()
}

// Step handles a message from another replica.
func (r *Raft) Step(now time.Time, m *wire.Raft) Effects {
	r.advanceClock(now)
	// A message for another identity or group comes from a replica whose settings contain an
	// address that now belongs to a different replica. Accepting it would mix two logs.
	if m.GetTo() != r.ID || (r.group != "" && m.GetGroup() != r.group) {
		return r.flush()
	}
	r.contacts.observe(r.now, m.GetFrom())
	switch m.GetKind() {
	case wire.Raft_KIND_VOTE:
		r.handleVoteRequest(m)
	case wire.Raft_KIND_VOTE_REPLY:
		r.handleVoteReply(m)
	case wire.Raft_KIND_APPEND:
		r.handleAppend(m)
	case wire.Raft_KIND_SNAPSHOT:
		r.handleSnapshot(m)
	case wire.Raft_KIND_APPEND_REPLY, wire.Raft_KIND_SNAPSHOT_REPLY:
		r.handleAppendReply(m)
	case wire.Raft_KIND_TIMEOUT_NOW:
		if m.GetTerm() == r.term && r.role == follower {
			r.campaign(candidate, true, "the leader transfers leadership", m)
		}
	}
	return r.flush()
}

// Propose appends commands to the log and returns the index of the first. Each entry is
// returned in Effects once it is committed, unless the leader changes before.
func (r *Raft) Propose(now time.Time, commands ...[]byte) (uint64, Effects, error) {
	r.advanceClock(now)
	if r.role != leader || r.transferTarget != "" {
		return 0, r.flush(), ErrNotLeader
	}
	if r.log.lastIndex()+uint64(len(commands)) > r.commitIndex+MaxUncommitted || !r.hasRoom(commands) {
		return 0, r.flush(), ErrBusy
	}
	first := r.log.lastIndex() + 1
	for _, c := range commands {
		r.appendEntry(&wire.LogEntry{Command: c})
	}
	r.replicate(false)
	return first, r.flush(), nil
}

// hasRoom reports whether commands may be added to the entries that are not committed or not on
// this replica's disk.
func (r *Raft) hasRoom(commands [][]byte) bool {
	limit, size := MaxUncommittedBytes, 0
	for _, c := range commands {
		size += commandSize(c)
		if len(c) >= LargeCommand {
			limit = MaxUncommittedBytes / 2
		}
	}
	waiting := r.log.bytesAfter(min(r.commitIndex, r.syncedIndex))
	return waiting == 0 || waiting+size <= limit
}

// Snapshot returns a snapshot without data at the last entry returned in Effects. The caller
// sets the data, which may take a while, and passes the snapshot to Compact.
func (r *Raft) Snapshot() *wire.Snapshot {
	term, _ := r.log.term(r.applied)
	return &wire.Snapshot{Index: r.applied, Term: term, Replicas: r.membershipAt(r.applied).replicas, Group: r.group}
}

// Compact makes a snapshot the newest one and discards the entries that it covers, except for
// the last ones, up to TrailingEntries and TrailingBytes. The disk must then hold the snapshot and LogRecords in place of the
// log. A snapshot that is no newer than the current one is ignored: a leader may have sent a
// newer one meanwhile.
func (r *Raft) Compact(snap *wire.Snapshot) {
	if snap.GetIndex() <= r.log.snapshot.GetIndex() {
		return
	}
	r.log.snapshot = snap
	r.log.trimTrailing()
	for len(r.memberships) > 1 && r.memberships[1].index <= snap.GetIndex() {
		r.memberships = r.memberships[1:]
	}
}

// LogRecords returns the records to store after the newest snapshot: the hard state and all
// entries in memory.
func (r *Raft) LogRecords() []*wire.Record {
	recs := []*wire.Record{r.hardStateRecord()}
	for _, e := range r.log.entries {
		recs = append(recs, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	return recs
}

// Group is the identity of the group, empty for a replica that belongs to none.
func (r *Raft) Group() string { return r.group }

// Term is the newest term known to this replica.
func (r *Raft) Term() uint64 { return r.term }

// CommitIndex is the index of the last entry known to be committed.
func (r *Raft) CommitIndex() uint64 { return r.commitIndex }

// BehindLeader reports whether a leader has named a higher commit index than this replica has
// reached, such as after a network partition, when the replica hears the leader again but has
// yet to catch up.
func (r *Raft) BehindLeader() bool { return r.commitIndex < r.leaderCommit }

// IsLeader reports whether this replica is the leader, as far as it knows.
func (r *Raft) IsLeader() bool { return r.role == leader }

// Established reports whether this replica leads and has committed an entry of its own term, so
// that it knows of every entry committed before.
func (r *Raft) Established() bool {
	t, _ := r.log.term(r.commitIndex)
	return r.role == leader && t == r.term
}

// Leader is the identity of the leader, empty if none is known.
func (r *Raft) Leader() string { return r.leaderID }

// PeerStatus is the leader's view of another replica of the group.
type PeerStatus struct {
	*wire.Replica
	Silence  time.Duration // Since its last reply to any leader, or since it was added if that is later.
	Steady   time.Duration // For how long it has replied without a long gap, or a stall of its disk alone; zero if it does not reply.
	CaughtUp bool          // It holds all committed entries.
	Leaving  bool          // Its process is about to stop.
	Newer    bool          // It joined the group after this leader did.
}

// Peers returns the status of the other replicas at the leader, oldest first, and nil at any other
// replica.
func (r *Raft) Peers(now time.Time) []PeerStatus {
	r.advanceClock(now)
	if r.role != leader {
		return nil
	}
	var list []PeerStatus
	newer := false
	for _, p := range r.Replicas() {
		newer = newer || p.GetId() == r.ID
		if pr := r.peers[p.GetId()]; pr != nil {
			s := PeerStatus{Replica: p, Silence: r.silenceOf(pr), CaughtUp: pr.matchIndex >= r.commitIndex, Leaving: pr.leaving, Newer: newer}
			if r.inTouch(pr) {
				s.Steady = r.now.Sub(pr.steadySince)
			}
			list = append(list, s)
		}
	}
	return list
}

// Silence returns the time since a leader was last heard; at the leader, since the last round
// that a quorum answered. The second result is false if no leader is known or no quorum has
// answered yet.
func (r *Raft) Silence(now time.Time) (time.Duration, bool) {
	r.advanceClock(now)
	at := r.lastLeaderContact
	if r.role == leader {
		at = r.quorumRound()
	}
	return r.now.Sub(at), r.leaderID != "" && !at.IsZero()
}

func (r *Raft) flush() Effects {
	for r.applied < r.commitIndex {
		r.applied++
		if e := r.log.entry(r.applied); e != nil {
			r.out.Committed = append(r.out.Committed, e)
		}
	}
	out := r.out
	r.out = Effects{}
	return out
}

func (r *Raft) electionTimeout() time.Duration {
	return cmp.Or(r.ElectionTimeout, DefaultElectionTimeout)
}

// leaseDuration is DefaultLeaseDuration scaled to the election timeout in use.
func (r *Raft) leaseDuration() time.Duration {
	return r.electionTimeout() / (DefaultElectionTimeout / DefaultLeaseDuration)
}

// advanceClock moves the replica's time, which never goes back.
func (r *Raft) advanceClock(now time.Time) {
	now = now.Add(r.skew)
	gap := now.Sub(r.now)
	if gap == 0 {
		return
	}
	if gap < 0 {
		// A clock that was set back would stop every timer until it reaches its former value,
		// and would prolong a lease. The replica's own time goes on instead.
		r.skew += -gap + 1
		now = r.now.Add(1)
	}
	r.now = now
	r.pauses.observe(now, max(gap, 0), r.electionTimeout())
	if gap > r.electionTimeout()/maxGapDivisor || gap < 0 {
		r.resume(max(gap, 0))
	}
}

// resume adjusts the times of a replica whose process was suspended or whose clock jumped. A leader
// counts only replies to rounds sent from now on. A follower has heard nothing meanwhile, whether or
// not there was a leader: the gap is no silence of the leader. Were its timers to start again
// instead, replicas that are suspended again and again would never elect one.
//
// With leases, the follower can't tell how much of the time in which it must deny votes has really
// passed, so that time starts again. Otherwise a jump would let it vote while the leader still
// serves local reads.
func (r *Raft) resume(gap time.Duration) {
	r.leaderSince = r.now
	r.lastLeaderContact = r.lastLeaderContact.Add(gap)
	if !r.Leaseless {
		r.lastLeaderContact = r.now
	}
	r.electionDeadline = r.electionDeadline.Add(gap)
	if soonest := r.now.Add(r.electionTimeout() / maxGapDivisor); r.electionDeadline.Before(soonest) {
		r.electionDeadline = soonest // Messages of the leader may be waiting.
	}
}

func (r *Raft) hardStateRecord() *wire.Record {
	return &wire.Record{Kind: &wire.Record_Hard{Hard: &wire.HardState{Term: r.term, Vote: r.votedFor, Group: r.group}}}
}

func (r *Raft) record(rec *wire.Record) { r.out.Records = append(r.out.Records, rec) }

func (r *Raft) send(m *wire.Raft) {
	if needsSync(m) {
		r.out.MessagesAfterSync = append(r.out.MessagesAfterSync, r.addressed(m))
		return
	}
	r.sendBeforeSync(m)
}

// sendBeforeSync sends a message that relies on no record that is not on disk yet.
func (r *Raft) sendBeforeSync(m *wire.Raft) { r.out.Messages = append(r.out.Messages, r.addressed(m)) }

// addressed sets the sender of a message, and its group and term where they are not set.
func (r *Raft) addressed(m *wire.Raft) *wire.Raft {
	m.From = r.ID
	if m.GetGroup() == "" {
		m.Group = r.group
	}
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	return m
}

// needsSync reports whether a message relies on records on this replica's disk: its vote, for
// itself or another, or entries that it holds.
func needsSync(m *wire.Raft) bool {
	switch m.GetKind() {
	case wire.Raft_KIND_VOTE:
		return !m.GetPreVote()
	case wire.Raft_KIND_VOTE_REPLY:
		return m.GetGranted() && !m.GetPreVote()
	case wire.Raft_KIND_APPEND_REPLY, wire.Raft_KIND_SNAPSHOT_REPLY:
		return m.GetGranted()
	case wire.Raft_KIND_APPEND, wire.Raft_KIND_SNAPSHOT, wire.Raft_KIND_TIMEOUT_NOW:
	}
	return false
}

// WriteStarted tells the replica that the caller starts to write all records returned so far.
// One write may be under way at a time; other calls may be made meanwhile.
func (r *Raft) WriteStarted() { r.writing = logPosition{r.log.lastIndex(), r.log.lastTerm()} }

// WriteSynced tells the replica that the records covered by the last WriteStarted are on disk.
// A leader counts itself towards the quorum for an entry only then, so it can replicate the
// entry before its own sync: if its disk is slow or full, it commits by the disks of the
// others.
func (r *Raft) WriteSynced(now time.Time) Effects {
	r.advanceClock(now)
	r.diskStalled = false
	// Another leader may have replaced the entries during the write.
	if t, ok := r.log.term(r.writing.index); ok && t == r.writing.term {
		r.syncedIndex = max(r.syncedIndex, r.writing.index)
	}
	r.advanceCommit()
	return r.flush()
}

// DiskStalled tells the replica that the disk accepts no writes for now, or that a write takes
// too long. A follower then rejects entries that it can't store. It still replies, so the
// leader knows that it is alive.
func (r *Raft) DiskStalled() { r.diskStalled, r.stalledAt = true, r.now }
