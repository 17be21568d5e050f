package raft

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/wire"
)

// DefaultLeaseDuration is how long after it was sent a round that a quorum answered lets the
// leader read locally. Followers keep their promise for Election on their own
// clocks, counted from a later moment. So reads are never stale as long as no
// clock runs at less than half the speed of another, or stands still unseen
// (a paused VM) for more than Election/4: the rest covers jumps of followers'
// clocks too short to be seen as gaps.
const DefaultLeaseDuration = DefaultElectionTimeout / 2

const (
	// snapshotRetry is when a snapshot is sent again to a replica that answers
	// nothing at all.
	snapshotRetry = 30 * DefaultElectionTimeout
	// snapshotRate is the slowest link that a snapshot is expected to pass, in
	// bytes a second.
	snapshotRate = 4 << 20
)

// progress is what a leader knows of another replica.
type progress struct {
	match    uint64
	next     uint64
	probing  bool // One message at a time until an answer shows where the logs meet.
	waiting  bool // While probing: a message is out.
	inflight []uint64
	pending  uint64 // Index of the snapshot that is under way; zero for none.
	snapAt   time.Time
	snapWait time.Duration // How long its way may take.
	added    time.Time     // When it was first fed.
	heard    time.Time
	round    time.Time // When the newest round that it answered was sent.
}

// HasLease reports whether the leader may read locally at this time: its lease
// runs and it has committed an entry of its own term, below which all that was
// ever acknowledged is applied.
func (r *Raft) HasLease(now time.Time) bool {
	r.advance(now)
	if r.role != leader || r.sent || r.Leaseless {
		return false
	}
	if t, _ := r.log.term(r.commit); t != r.term {
		return false
	}
	return r.now.Sub(r.quorumRound()) < r.lease()
}

// quorumRound is when the newest round was sent that a quorum answered.
func (r *Raft) quorumRound() time.Time {
	return atQuorum(r, r.now, func(p *progress) time.Time {
		if p.round.Before(r.since) {
			return time.Time{}
		}
		return p.round
	}, time.Time.Compare)
}

// atQuorum is the highest value that a quorum of voters has reached: the
// leader's own, and of the others what the leader knows, or else zero.
func atQuorum[T any](r *Raft, own T, of func(p *progress) T, compare func(a, b T) int) T {
	var reached []T
	for _, p := range r.Replicas() {
		if !p.GetVoter() {
			continue
		}
		var v T
		if p.GetId() == r.ID {
			v = own
		} else if pr := r.peers[p.GetId()]; pr != nil {
			v = of(pr)
		}
		reached = append(reached, v)
	}
	slices.SortFunc(reached, func(a, b T) int { return compare(b, a) })
	if len(reached) < r.quorum() {
		var none T
		return none
	}
	return reached[r.quorum()-1]
}

// lead does the leader's work of a tick.
func (r *Raft) lead() {
	// A leader cut off from a quorum would go on to take proposals that can
	// never be committed, while its callers wait and learn of no other leader.
	// It steps down once a whole election timeout has passed without a quorum.
	if r.now.Sub(r.since) >= r.election() && r.now.Sub(r.quorumRound()) >= r.election() {
		r.stepDown("no quorum answers", nil)
		return
	}
	if r.transfer != "" && !r.now.Before(r.leaveAt) {
		r.stepDown("nobody took over in time", nil)
		return
	}
	if !r.now.Before(r.beatAt) {
		r.beatAt = r.now.Add(r.election() / (DefaultElectionTimeout / DefaultHeartbeatInterval))
		r.spread(true)
	}
}

func (r *Raft) appendOwn(e *wire.LogEntry) {
	e.Index, e.Term = r.log.last()+1, r.term
	r.log.entries = append(r.log.entries, e)
	r.record(&wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	r.noteConf(e)
	r.tryCommit()
}

// spread sends each replica what it lacks; with beat, at least a heartbeat.
func (r *Raft) spread(beat bool) {
	for _, p := range r.Replicas() {
		if pr := r.peers[p.GetId()]; pr != nil {
			r.feed(p.GetId(), pr, beat)
		}
	}
}

func (r *Raft) feed(id string, p *progress, beat bool) {
	if p.pending > 0 && r.now.Sub(p.snapAt) < snapshotRetry {
		if beat {
			r.sendAppend(id, p.pending, nil)
		}
		return
	}
	if p.next <= r.log.base {
		r.sendSnapshot(id, p)
		return
	}
	for {
		room := len(p.inflight) < MaxInflight && (!p.probing || !p.waiting || beat)
		var ents []*wire.LogEntry
		if room {
			ents = r.log.from(p.next)
		}
		if len(ents) == 0 && !beat {
			return
		}
		r.sendAppend(id, p.next-1, ents)
		beat = false
		if p.probing {
			p.waiting = true
			return
		}
		if len(ents) > 0 {
			p.next += uint64(len(ents))
			p.inflight = append(p.inflight, p.next-1)
		}
	}
}

func (r *Raft) sendAppend(id string, prev uint64, ents []*wire.LogEntry) {
	term, _ := r.log.term(prev)
	r.send(&wire.Raft{
		To: id, Kind: wire.Raft_KIND_APPEND, LastIndex: prev, LastTerm: term, Entries: ents, Commit: r.commit, Round: r.round(),
	})
}

func (r *Raft) sendSnapshot(id string, p *progress) {
	p.pending, p.snapAt = r.log.snap.GetIndex(), r.now
	p.snapWait = r.election() + time.Duration(len(r.log.snap.GetData()))*time.Second/snapshotRate
	r.send(&wire.Raft{To: id, Kind: wire.Raft_KIND_SNAPSHOT, Snapshot: r.log.snap, Round: r.round()})
}

// round writes the time of now into a message; the reply echoes it.
func (r *Raft) round() uint64 {
	return uint64(max(r.now.Sub(r.start), 0)) //nolint:gosec // Not negative.
}

func (r *Raft) appendGot(m *wire.Raft) {
	if m.GetTerm() > r.term {
		r.adopt(m)
		return
	}
	p := r.peers[m.GetFrom()]
	if r.role != leader || m.GetTerm() < r.term || p == nil {
		return
	}
	p.heard = r.now
	at := r.start.Add(time.Duration(m.GetRound())) //nolint:gosec // Our own number.
	if at.After(p.round) {
		p.round = at
	}
	if m.GetGranted() {
		r.advanced(p, m.GetLastIndex())
	} else {
		p.refused(m, at)
	}
	r.tryCommit()
	r.handOver()
	if r.role == leader {
		r.feed(m.GetFrom(), p, false)
	}
}

// advanced notes that a replica holds the leader's entries up to index i.
func (r *Raft) advanced(p *progress, i uint64) {
	if p.pending > 0 && i >= p.pending {
		p.pending = 0
	}
	if i < p.match {
		return
	}
	p.match = i
	p.next = max(p.next, i+1)
	if p.pending == 0 && p.next > r.log.base {
		if p.probing {
			p.next = i + 1
		}
		p.probing, p.waiting = false, false
	}
	for len(p.inflight) > 0 && p.inflight[0] <= i {
		p.inflight = p.inflight[1:]
	}
}

// refused goes back to where the logs may meet. Late refusals are passed over.
// One of a heartbeat that was sent well after a snapshot tells that the snapshot
// was lost, for instance while the replica was cut off: it is sent again. A
// heartbeat sent sooner may have overtaken it.
func (p *progress) refused(m *wire.Raft, sent time.Time) {
	if p.pending > 0 {
		if sent.After(p.snapAt.Add(p.snapWait)) {
			p.pending = 0
		}
		return
	}
	if m.GetLastIndex() <= p.match || (p.probing && m.GetLastIndex() != p.next-1) {
		return
	}
	p.next = max(p.match+1, min(m.GetHint()+1, m.GetLastIndex()))
	p.probing, p.waiting, p.inflight = true, false, nil
}

// tryCommit moves the commit index to the newest entry of this term that a
// quorum holds. An entry of a former term is never counted by itself: a later
// leader could still replace it, though a quorum held it.
func (r *Raft) tryCommit() {
	if r.role != leader {
		return
	}
	n := atQuorum(r, min(r.synced, r.log.last()), func(p *progress) uint64 { return p.match }, cmp.Compare)
	if t, ok := r.log.term(n); !ok || t != r.term || n <= r.commit {
		return
	}
	r.commit = n
	r.leaveIfRemoved()
}
