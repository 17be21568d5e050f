// Package raft is the replicated log: a pure state machine that elects a
// leader and agrees on one sequence of entries.
//
// It reads no clock, socket or file. Each call takes the time and returns
// Effects, which the caller carries out in order. What a replica promises counts on
// its records being synced, and only that waits for them: see Synced.
package raft

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/wire"
)

var (
	// ErrNotLeader is returned for proposals to a replica that doesn't lead.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrBusy is returned when too many entries wait to be committed or
	// another membership change does.
	ErrBusy = errors.New("raft: busy")
	// ErrRefused is returned for a membership change that would be unsafe.
	ErrRefused = errors.New("raft: membership change refused")
	// ErrDiverged marks a message that contradicts a committed entry. The
	// replica must stop: either its disk or another replica's lost entries.
	ErrDiverged = errors.New("raft: log contradicts a committed entry")
)

// Default times and bounds.
const (
	DefaultHeartbeatInterval   = 100 * time.Millisecond // Between two rounds of the leader.
	DefaultElectionTimeout    = time.Second            // Shortest silence before an election; the longest is twice that.
	MaxBatchBytes    = 1 << 20                // Bytes of entries in one message.
	MaxInflight = 16                     // Unanswered messages with entries to one replica.
	MaxUncommitted  = 4096                   // Entries of the leader that wait to be committed.
	TrailingEntries = 500                    // Entries kept behind a snapshot for replicas that lag a little.
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type (
	// Raft is one replica. Its exported fields are set before Start is called.
	Raft struct {
		ID   string     // Identity of the data folder.
		Rand *rand.Rand // Spreads election timeouts.
		// ElectionTimeout is the shortest silence before an election, the same at all
		// replicas; heartbeats and the lease go with it. Zero takes Election.
		ElectionTimeout time.Duration
		// Leaseless says that nobody reads locally under a lease, at any replica of
		// the group: reads go through the log. Less has to be known then to elect a
		// leader soon after replicas have started together.
		Leaseless bool

		group   string
		term    uint64
		vote    string
		role    role
		leader  string
		log     journal
		confs   []conf // Memberships by the index that brought them, oldest first.
		commit  uint64
		applied uint64 // Last entry given out in Effects.
		synced  uint64 // Last entry that is on this replica's disk.
		writes  mark   // Last entry of what is being written.
		stalled bool   // The disk takes nothing.
		told    uint64 // Highest commit index that a leader named.

		now     time.Time
		skew    time.Duration // Sum of the steps that the clock took back.
		start   time.Time
		heard   time.Time // When the promise to a leader began; see promised.
		electAt time.Time
		beatAt  time.Time

		votes    map[string]bool
		peers    map[string]*progress // Leader only: the other replicas.
		since    time.Time            // Leader only: start of the term, or of the time after a gap.
		transfer string               // Leader only: replica that is to lead next.
		sent     bool                 // Leader only: told the next one to start, so the lease is given up.
		leaveAt  time.Time            // Leader only: when a transfer is given up.
		cold     cold
		pauses   pauses
		reach    reach

		out Effects
	}

	// mark is the place of an entry. Logs that agree in it agree in all before it.
	mark struct{ index, term uint64 }

	// Effects is what the caller must do after a call, in the order of the fields.
	Effects struct {
		InstallSnapshot   *wire.Snapshot // Replaces the state machine, and on disk, with Tail, the whole log.
		Records   []*wire.Record // To append and sync; part of Tail when Install is set.
		Messages  []*wire.Raft   // To send; losing some is harmless.
		MessagesAfterSync  []*wire.Raft   // To send once all records so far are synced; see Writes.
		Committed []*wire.LogEntry
		RoleChanges    []RoleChange // Changes of role, for the log alone.
		Err       error   // The replica must stop at once and do nothing else.
	}
)

// Start makes the replica of what its disk held: the newest snapshot, or nil,
// and the records after it, oldest first.
func (r *Raft) Start(now time.Time, snap *wire.Snapshot, recs []*wire.Record) {
	r.now, r.start = now, now
	// A replica that restarts has forgotten when it last heard a leader, whose
	// lease may still count on its promise not to vote. The symptom would be a
	// stale read at the old leader; a whole promise from now on covers it.
	r.heard = now
	if snap != nil {
		r.group = snap.GetGroup()
		r.log.reset(snap)
		r.commit, r.applied = snap.GetIndex(), snap.GetIndex()
		r.term = snap.GetTerm()
	}
	r.confs = []conf{{r.commit, snap.GetReplicas()}}
	for _, rec := range recs {
		r.load(rec)
	}
	r.synced = r.log.last()
	r.resetTimer()
	if r.alone() {
		r.electAt = now // No other replica could object.
	}
	r.startCold()
}

func (r *Raft) load(rec *wire.Record) {
	switch k := rec.GetKind().(type) {
	case *wire.Record_Hard:
		r.term, r.vote = k.Hard.GetTerm(), k.Hard.GetVote()
		if k.Hard.GetGroup() != "" {
			r.group = k.Hard.GetGroup()
		}
	case *wire.Record_TruncateFrom:
		r.cut(k.TruncateFrom)
	case *wire.Record_Entry:
		r.log.load(k.Entry)
		if k.Entry.GetIndex() > r.commit {
			r.noteConf(k.Entry)
		}
	}
}

// BootstrapSnapshot returns the snapshot that starts a new group. The caller must be sure
// that no replica in the list belongs to a group already.
func BootstrapSnapshot(group string, replicas []*wire.Replica, data []byte) *wire.Snapshot {
	return &wire.Snapshot{Index: 1, Term: 1, Data: data, Replicas: replicas, Group: group}
}

// Tick lets time pass. It is called several times a heartbeat.
func (r *Raft) Tick(now time.Time) Effects {
	r.advance(now)
	switch {
	case r.role == leader:
		r.lead()
	case !r.now.Before(r.electAt):
		r.campaign(preCandidate, false, "no leader was heard", nil)
	default:
		r.askCold()
		r.askReach()
	}
	return r.flush()
}

// Step takes a message of another replica.
func (r *Raft) Step(now time.Time, m *wire.Raft) Effects {
	r.advance(now)
	// A message for another identity or group comes from a replica whose settings
	// point at an address that changed hands. Taking it would mix two logs.
	if m.GetTo() != r.ID || (r.group != "" && m.GetGroup() != r.group) {
		return r.flush()
	}
	r.reach.note(r.now, m.GetFrom())
	switch m.GetKind() {
	case wire.Raft_KIND_VOTE:
		r.voteAsked(m)
	case wire.Raft_KIND_VOTE_REPLY:
		r.voteGot(m)
	case wire.Raft_KIND_APPEND:
		r.appendAsked(m)
	case wire.Raft_KIND_SNAPSHOT:
		r.snapshotAsked(m)
	case wire.Raft_KIND_APPEND_REPLY, wire.Raft_KIND_SNAPSHOT_REPLY:
		r.appendGot(m)
	case wire.Raft_KIND_TIMEOUT_NOW:
		if m.GetTerm() == r.term && r.role == follower {
			r.campaign(candidate, true, "the leader hands over", m)
		}
	}
	return r.flush()
}

// Propose appends commands to the log and returns the index of the first. Once
// it is committed the entry comes back in Effects, unless the leader changes.
func (r *Raft) Propose(now time.Time, commands ...[]byte) (uint64, Effects, error) {
	r.advance(now)
	if r.role != leader || r.transfer != "" {
		return 0, r.flush(), ErrNotLeader
	}
	if r.log.last()+uint64(len(commands)) > r.commit+MaxUncommitted {
		return 0, r.flush(), ErrBusy
	}
	first := r.log.last() + 1
	for _, c := range commands {
		r.appendOwn(&wire.LogEntry{Command: c})
	}
	r.spread(false)
	return first, r.flush(), nil
}

// Snapshot returns a snapshot after the last entry given out. The caller sets
// its data, which may take a while, and hands it to Compact.
func (r *Raft) Snapshot() *wire.Snapshot {
	term, _ := r.log.term(r.applied)
	return &wire.Snapshot{Index: r.applied, Term: term, Replicas: r.confAt(r.applied).replicas, Group: r.group}
}

// Compact makes a snapshot the newest one and drops what it covers. The disk
// must then hold it and Tail in place of the log. One that is older than what a
// leader has sent meanwhile changes nothing.
func (r *Raft) Compact(snap *wire.Snapshot) {
	if snap.GetIndex() <= r.log.snap.GetIndex() {
		return
	}
	r.log.snap = snap
	if snap.GetIndex() > TrailingEntries {
		r.log.dropTo(snap.GetIndex() - TrailingEntries)
	}
	for len(r.confs) > 1 && r.confs[1].index <= snap.GetIndex() {
		r.confs = r.confs[1:]
	}
}

// LogRecords returns the records that follow the newest snapshot on disk.
func (r *Raft) LogRecords() []*wire.Record {
	recs := []*wire.Record{r.hard()}
	for _, e := range r.log.entries {
		recs = append(recs, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	return recs
}

// Group is the identity of the group, empty for a replica without one.
func (r *Raft) Group() string { return r.group }

// Term is the newest term that the replica knows.
func (r *Raft) Term() uint64 { return r.term }

// CommitIndex is the index of the last committed entry known here.
func (r *Raft) CommitIndex() uint64 { return r.commit }

// BehindLeader reports whether a leader has named a later commit than this replica
// knows: it hears the leader and still has the log of before its cut.
func (r *Raft) BehindLeader() bool { return r.commit < r.told }

// IsLeader reports whether this replica is the leader, as far as it knows.
func (r *Raft) IsLeader() bool { return r.role == leader }

// Leader is the identity of the leader, empty when none is known.
func (r *Raft) Leader() string { return r.leader }

// PeerStatus is what a leader knows of another replica of the group.
type PeerStatus struct {
	*wire.Replica
	Silence time.Duration // Since its last answer.
	CaughtUp bool          // It holds all that is committed.
}

// Peers lists the other replicas as the leader hears them, none elsewhere.
func (r *Raft) Peers(now time.Time) []PeerStatus {
	r.advance(now)
	if r.role != leader {
		return nil
	}
	var list []PeerStatus
	for _, p := range r.Replicas() {
		if pr := r.peers[p.GetId()]; pr != nil {
			since := pr.heard
			if since.Before(pr.added) {
				since = pr.added // It has had no time to answer yet.
			}
			list = append(list, PeerStatus{Replica: p, Silence: r.now.Sub(since), CaughtUp: pr.match >= r.commit})
		}
	}
	return list
}

// Silence is for how long no leader was heard; for the leader itself, for how
// long no quorum answered. The second result is false where none ever was.
func (r *Raft) Silence(now time.Time) (time.Duration, bool) {
	r.advance(now)
	at := r.heard
	if r.role == leader {
		at = r.quorumRound()
	}
	return r.now.Sub(at), r.leader != "" && !at.IsZero()
}

func (r *Raft) flush() Effects {
	for r.applied < r.commit {
		r.applied++
		if e := r.log.at(r.applied); e != nil {
			r.out.Committed = append(r.out.Committed, e)
		}
	}
	out := r.out
	r.out = Effects{}
	return out
}

func (r *Raft) election() time.Duration { return cmp.Or(r.ElectionTimeout, DefaultElectionTimeout) }

// lease is Lease for the timeout in use.
func (r *Raft) lease() time.Duration { return r.election() / (DefaultElectionTimeout / DefaultLeaseDuration) }

// advance moves the replica's time, which never goes back.
func (r *Raft) advance(now time.Time) {
	now = now.Add(r.skew)
	gap := now.Sub(r.now)
	if gap == 0 {
		return
	}
	if gap < 0 {
		// A clock that was set back would stop every timer until it is where it
		// was, and stretch a lease. The replica's own time goes on instead.
		r.skew += -gap + 1
		now = r.now.Add(1)
	}
	r.now = now
	r.pauses.note(now, max(gap, 0), r.election())
	if gap > r.election()/4 || gap < 0 {
		// The process was frozen or its clock jumped. A follower can't tell how
		// much of its promise to the leader really passed, so it starts anew;
		// else a jump would let it vote while that leader still reads locally.
		// A leader counts only answers to what it sends from now on.
		r.heard, r.since = now, now
		r.resetTimer()
	}
}

func (r *Raft) hard() *wire.Record {
	return &wire.Record{Kind: &wire.Record_Hard{Hard: &wire.HardState{Term: r.term, Vote: r.vote, Group: r.group}}}
}

func (r *Raft) record(rec *wire.Record) { r.out.Records = append(r.out.Records, rec) }

func (r *Raft) send(m *wire.Raft) {
	m.From = r.ID
	if m.GetGroup() == "" {
		m.Group = r.group
	}
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	if promises(m) {
		r.out.MessagesAfterSync = append(r.out.MessagesAfterSync, m)
		return
	}
	r.out.Messages = append(r.out.Messages, m)
}

// promises reports whether a message counts on what is on this replica's disk: its
// vote, for another or itself, or entries that it holds.
func promises(m *wire.Raft) bool {
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

// WriteStarted says that the caller begins to write all records given out so far. One write
// is under way at a time; the replica goes on meanwhile.
func (r *Raft) WriteStarted() { r.writes = mark{r.log.last(), r.log.lastTerm()} }

// WriteSynced says that what the last Writes spoke of is on disk. A leader counts itself
// for an entry only then, so that it may send the entry on before: with a slow or full
// disk of its own it commits by the disks of the others.
func (r *Raft) WriteSynced(now time.Time) Effects {
	r.advance(now)
	r.stalled = false
	// Entries may have been replaced by another leader's during the write.
	if t, ok := r.log.term(r.writes.index); ok && t == r.writes.term {
		r.synced = max(r.synced, r.writes.index)
	}
	r.tryCommit()
	return r.flush()
}

// DiskStalled says that the disk takes nothing for now, or not soon. A follower then takes no entries that
// it can't keep, and says so, so that the leader still hears it.
func (r *Raft) DiskStalled() { r.stalled = true }
