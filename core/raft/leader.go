package raft

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/wire"
)

// DefaultLeaseDuration is how long the leader may read locally after it sent a round that a
// quorum answered. Followers deny votes for DefaultElectionTimeout on their own clocks, counted
// from a later moment. Reads are therefore never stale as long as no clock runs at less than
// half the speed of another, or stops undetected (a paused VM) for more than
// DefaultElectionTimeout/4. The rest of the margin covers jumps of followers' clocks that are
// too short to be detected as gaps.
const DefaultLeaseDuration = DefaultElectionTimeout / 2

const (
	// snapshotRetry is the time after which a snapshot is sent again to a replica that sends no
	// reply.
	snapshotRetry = 30 * DefaultElectionTimeout
	// maxRepeatedBytes is the maximum size of unconfirmed entries that keepAlive repeats.
	maxRepeatedBytes = 16 << 10
	// stallWindowTimeouts is the number of election timeouts for which a stall of a disk is recent.
	stallWindowTimeouts = 10
	// minSnapshotRate is the lowest expected transfer rate of a snapshot, in bytes per second.
	minSnapshotRate = 4 << 20
)

// progress is the leader's view of another replica's log.
type progress struct {
	matchIndex      uint64
	nextIndex       uint64
	probing         bool   // One message at a time until a reply shows where the logs match.
	probeSent       bool   // While probing: a message is unanswered.
	inflight        []sent // Unanswered messages with entries, oldest first.
	inflightBytes   int    // Size of their entries.
	stalled         bool   // Its disk accepts no entries for now.
	pendingSnapshot uint64 // Index of the snapshot that is being sent; zero for none.
	snapshotSentAt  time.Time
	snapshotTimeout time.Duration // Time allowed for its transfer.
	addedAt         time.Time     // When replication to it started.
	seenBefore      time.Time     // When it was last in touch before that, as far as known.
	lastHeard       time.Time
	stalledAt       time.Time // When its disk last accepted no entries; zero for never.
	steadySince     time.Time // Start of its replies without a long gap, or a stall of its disk alone.
	leaving         bool      // Its process is about to stop.
	answeredRound   time.Time // When the newest round that it answered was sent.
}

// sent is a message with entries.
type sent struct {
	last uint64 // Index of its last entry.
	size int
}

// HasLease reports whether the leader may read locally at this time: its lease is valid, and it
// has committed an entry of its own term, so that every entry acknowledged before is applied
// here.
func (r *Raft) HasLease(now time.Time) bool {
	r.advanceClock(now)
	if !r.Established() || r.timeoutNowSent || r.Leaseless {
		return false
	}
	return r.now.Sub(r.quorumRound()) < r.leaseDuration()
}

// quorumRound is the send time of the newest round that a quorum has answered; zero for none.
func (r *Raft) quorumRound() time.Time {
	return quorumValue(r, r.now, func(p *progress) time.Time {
		if p.answeredRound.Before(r.leaderSince) {
			return time.Time{}
		}
		return p.answeredRound
	}, time.Time.Compare)
}

// quorumValue returns the highest value that a quorum of voters has reached. The leader counts
// with own, other voters with their progress, and voters without progress with the zero value.
func quorumValue[T any](r *Raft, own T, value func(p *progress) T, compare func(a, b T) int) T {
	var reached []T
	for _, p := range r.Replicas() {
		if !p.GetVoter() {
			continue
		}
		var v T
		if p.GetId() == r.ID {
			v = own
		} else if pr := r.peers[p.GetId()]; pr != nil {
			v = value(pr)
		}
		reached = append(reached, v)
	}
	slices.SortFunc(reached, func(a, b T) int { return compare(b, a) })
	if len(reached) < r.quorumSize() {
		var none T
		return none
	}
	return reached[r.quorumSize()-1]
}

// tickLeader does the leader's periodic work.
func (r *Raft) tickLeader() {
	// A leader without a quorum would go on to accept proposals that can never be committed,
	// while its clients wait and learn of no other leader. It steps down after a full election
	// timeout without a quorum.
	age := r.now.Sub(r.quorumRound())
	if age < r.quorumAge {
		r.observeGap(r.quorumAge) // It has ended.
	}
	r.quorumAge = age
	if r.now.Sub(r.leaderSince) >= r.electionTimeout() && age >= r.quorumPatience() {
		r.stepDown("no replies from a quorum", nil)
		return
	}
	if r.transferTarget != "" && !r.now.Before(r.transferDeadline) {
		r.stepDown("leadership transfer timed out", nil)
		return
	}
	if r.diskStalled && r.commitIndex > r.syncedIndex && r.log.bytesAfter(r.syncedIndex) > MaxUncommittedBytes/4 {
		r.transferLeadership() // The others' disks work. Entries that this disk lacks would fill the memory.
	}
	if !r.now.Before(r.nextHeartbeat) {
		r.nextHeartbeat = r.now.Add(r.electionTimeout() / (DefaultElectionTimeout / DefaultHeartbeatInterval))
		r.updateAbsences()
		r.replicate(true)
		if r.lossy() || r.now.Sub(r.leaderSince) < newLeaderTimeouts*r.electionTimeout() {
			r.keepAlive()
		}
	}
}

// keepAlive sends heartbeats beside the other messages, which wait for the packets that were lost
// before them, and repeats the entries that are not confirmed, if they are few. The first of them
// follows an entry that the receiver holds, since these messages may overtake others.
func (r *Raft) keepAlive() {
	for _, p := range r.Replicas() {
		pr := r.peers[p.GetId()]
		if pr == nil || pr.pendingSnapshot > 0 || pr.nextIndex <= r.log.base {
			continue
		}
		prev := max(pr.matchIndex, r.log.base)
		if pr.probing {
			prev = pr.nextIndex - 1
		}
		var ents []*wire.LogEntry
		if !pr.stalled && r.log.bytesAfter(prev) <= maxRepeatedBytes {
			ents = r.log.entriesFrom(prev + 1)
		}
		m := r.newAppend(p.GetId(), prev, ents)
		m.Lane = 1
		r.send(m)
	}
}

func (r *Raft) appendEntry(e *wire.LogEntry) {
	e.Index, e.Term = r.log.lastIndex()+1, r.term
	r.log.entries = append(r.log.entries, e)
	r.record(&wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	r.appendMembership(e)
	r.advanceCommit()
}

// replicate sends each replica the entries that it lacks; with heartbeat, at least one message.
func (r *Raft) replicate(heartbeat bool) {
	for _, p := range r.Replicas() {
		if pr := r.peers[p.GetId()]; pr != nil {
			r.replicateTo(p.GetId(), pr, heartbeat)
		}
	}
}

func (r *Raft) replicateTo(id string, p *progress, heartbeat bool) {
	if p.pendingSnapshot > 0 && r.now.Sub(p.snapshotSentAt) < snapshotRetry {
		if heartbeat {
			r.sendAppend(id, p.pendingSnapshot, nil)
		}
		return
	}
	if p.nextIndex <= r.log.base {
		switch {
		case !p.stalled:
			r.sendSnapshot(id, p)
		case heartbeat:
			r.sendAppend(id, r.log.base, nil)
		}
		return
	}
	for {
		canSend := len(p.inflight) < MaxInflight && p.inflightBytes < MaxInflightBytes && !p.stalled && (!p.probing || !p.probeSent)
		var ents []*wire.LogEntry
		if canSend {
			ents = r.log.entriesFrom(p.nextIndex)
		}
		if len(ents) == 0 && !heartbeat {
			return
		}
		r.sendAppend(id, p.nextIndex-1, ents)
		heartbeat = false
		if p.probing {
			p.probeSent = true
			return
		}
		if len(ents) > 0 {
			p.nextIndex += uint64(len(ents))
			p.addInflight(ents)
		}
	}
}

func (r *Raft) sendAppend(id string, prev uint64, ents []*wire.LogEntry) {
	r.send(r.newAppend(id, prev, ents))
}

func (r *Raft) newAppend(id string, prev uint64, ents []*wire.LogEntry) *wire.Raft {
	term, _ := r.log.term(prev)
	return &wire.Raft{
		To: id, Kind: wire.Raft_KIND_APPEND, LastIndex: prev, LastTerm: term, Entries: ents, Commit: r.commitIndex, Round: r.roundTime(),
		Absences: r.absences, Release: r.peers[id].leaving && r.mayRelease(id),
	}
}

func (r *Raft) sendSnapshot(id string, p *progress) {
	p.pendingSnapshot, p.snapshotSentAt = r.log.snapshot.GetIndex(), r.now
	p.snapshotTimeout = r.electionTimeout() + time.Duration(len(r.log.snapshot.GetData()))*time.Second/minSnapshotRate
	r.send(&wire.Raft{
		To: id, Kind: wire.Raft_KIND_SNAPSHOT, Snapshot: r.log.snapshot, Round: r.roundTime(),
		Absences: r.absences, Release: p.leaving && r.mayRelease(id),
	})
}

// roundTime is the time since Start in nanoseconds. Appends and snapshots carry it, and replies
// echo it, so that the leader knows when the answered round was sent.
func (r *Raft) roundTime() uint64 {
	return uint64(max(r.now.Sub(r.startedAt), 0)) //nolint:gosec // Not negative.
}

func (r *Raft) handleAppendReply(m *wire.Raft) {
	if m.GetTerm() > r.term {
		r.adoptTerm(m)
		return
	}
	p := r.peers[m.GetFrom()]
	if r.role != leader || m.GetTerm() < r.term || p == nil {
		return
	}
	if m.GetStalled() {
		p.stalledAt = r.now
	}
	if r.now.Sub(p.lastHeard) >= 2*r.electionTimeout() || (m.GetStalled() && !r.disksStall()) {
		p.steadySince = r.now
	}
	p.lastHeard, p.stalled, p.leaving = r.now, m.GetStalled(), m.GetLeaving()
	at := r.startedAt.Add(time.Duration(m.GetRound())) //nolint:gosec // This replica's own number.
	if at.After(p.answeredRound) {
		p.answeredRound = at
	}
	if m.GetGranted() {
		r.recordMatch(p, m.GetLastIndex())
	} else {
		p.recordRejection(m, at)
	}
	r.advanceCommit()
	r.sendTimeoutNow()
	if r.role == leader {
		r.replicateTo(m.GetFrom(), p, false)
	}
}

// disksStall reports whether the disks of a quorum of voters have stalled recently. A replica whose
// disk stalls as well is no worse than they are.
func (r *Raft) disksStall() bool {
	at := quorumValue(r, r.stalledAt, func(p *progress) time.Time { return p.stalledAt }, time.Time.Compare)
	return !at.IsZero() && r.now.Sub(at) < stallWindowTimeouts*r.electionTimeout()
}

// recordMatch records that a replica holds the leader's entries up to index i.
func (r *Raft) recordMatch(p *progress, i uint64) {
	if p.pendingSnapshot > 0 && i >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	if i < p.matchIndex {
		return
	}
	p.matchIndex = i
	p.nextIndex = max(p.nextIndex, i+1)
	if p.pendingSnapshot == 0 && p.nextIndex > r.log.base {
		if p.probing {
			p.nextIndex = i + 1
		}
		p.probing, p.probeSent = false, false
	}
	for len(p.inflight) > 0 && p.inflight[0].last <= i {
		p.inflightBytes -= p.inflight[0].size
		p.inflight = p.inflight[1:]
	}
}

func (p *progress) addInflight(ents []*wire.LogEntry) {
	m := sent{last: p.nextIndex - 1}
	for _, e := range ents {
		m.size += commandSize(e.GetCommand())
	}
	p.inflight, p.inflightBytes = append(p.inflight, m), p.inflightBytes+m.size
}

// recordRejection moves back to an index where the logs may match, and ignores outdated
// rejections. A rejected heartbeat that was sent well after a snapshot shows that the snapshot
// was lost, for instance in a network partition, so the snapshot is sent again. A heartbeat
// that was sent sooner may have overtaken it.
func (p *progress) recordRejection(m *wire.Raft, sent time.Time) {
	if p.pendingSnapshot > 0 {
		if sent.After(p.snapshotSentAt.Add(p.snapshotTimeout)) {
			p.pendingSnapshot = 0
		}
		return
	}
	if m.GetLastIndex() <= p.matchIndex || (p.probing && m.GetLastIndex() != p.nextIndex-1) {
		return
	}
	p.nextIndex = max(p.matchIndex+1, min(m.GetHint()+1, m.GetLastIndex()))
	p.probing, p.probeSent, p.inflight, p.inflightBytes = true, false, nil, 0
}

// advanceCommit moves the commit index to the newest entry of the current term that a quorum
// holds. An entry of an earlier term is never committed by counting replicas: a later leader
// could still replace it, even though a quorum held it.
func (r *Raft) advanceCommit() {
	if r.role != leader {
		return
	}
	n := quorumValue(r, min(r.syncedIndex, r.log.lastIndex()), func(p *progress) uint64 { return p.matchIndex }, cmp.Compare)
	if t, ok := r.log.term(n); !ok || t != r.term || n <= r.commitIndex {
		return
	}
	r.commitIndex = n
	r.stepDownIfRemoved()
}
