package raft

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// maxElectionDoublings bounds electionBackoff.
const maxElectionDoublings = 2

func (r *Raft) resetElectionTimer() {
	f := r.electionBackoff()
	r.electionDeadline = r.now.Add(f*r.patience() + time.Duration(r.Rand.Int64N(int64(f*r.electionTimeout()))))
}

// electionBackoff is the factor by which a replica waits longer for the result of an election, as
// candidate or voter. It doubles with each election that brought no leader, from the second one on.
// A vote is given once it is on disk, so an election takes two syncs. If that is longer than the
// election timeout, the next election would begin before the votes arrive, again and again.
func (r *Raft) electionBackoff() time.Duration {
	failed := max(r.term, r.leaderTerm) - r.leaderTerm
	return 1 << min(max(failed, 1)-1, maxElectionDoublings)
}

// heardLeaderRecently reports whether this replica leads or has heard a leader within the
// minimum election timeout. It must then deny votes, because the leader may rely on that.
//
// Otherwise a replica that returns from a network partition, or whose own link to the leader is
// bad, could depose a leader that serves all others, and the leader's lease would guarantee
// nothing.
func (r *Raft) heardLeaderRecently() bool {
	return r.role == leader || r.now.Sub(r.lastLeaderContact) < r.electionTimeout()
}

// campaign requests votes. A pre-candidate asks whether it would win and leaves its term
// unchanged. Otherwise a replica behind a long network partition would raise its term at each
// timeout and depose a working leader when it returns.
func (r *Raft) campaign(as role, transfer bool, reason string, from *wire.Raft) {
	r.resetElectionTimer()
	if !r.isVoter(r.ID) {
		return
	}
	r.setRole(as, reason, from)
	r.leaderID = ""
	r.votes = map[string]bool{r.ID: true}
	term := r.term + 1
	if as == candidate {
		r.term, r.votedFor, r.coldStart.votedAt = term, r.ID, r.now
		r.record(r.hardStateRecord())
	}
	if r.checkVotes() {
		return
	}
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID {
			m := &wire.Raft{
				To: p.GetId(), Term: term, Kind: wire.Raft_KIND_VOTE, PreVote: as == preCandidate, Transfer: transfer,
				LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
				Cold: as == candidate && r.coldStart.electionSafe(r), Process: r.coldStart.answers[p.GetId()],
			}
			r.send(m)
			beside := proto.CloneOf(m)
			beside.Lane = 1 // If one of them is held up by a lost packet, the other one arrives.
			r.send(beside)
		}
	}
}

// checkVotes enters the next stage once a quorum has granted its votes, and reports whether it
// did.
func (r *Raft) checkVotes() bool {
	n := 0
	for id := range r.votes {
		if r.isVoter(id) {
			n++
		}
	}
	if n < r.quorumSize() {
		return false
	}
	if r.role == preCandidate {
		r.campaign(candidate, false, "pre-vote won", nil)
		return true
	}
	r.becomeLeader()
	return true
}

func (r *Raft) becomeLeader() {
	r.setRole(leader, "election won", nil)
	r.leaderID, r.leaderTerm = r.ID, r.term
	r.coldStart = coldStart{}
	r.leaderSince, r.nextHeartbeat = r.now, r.now.Add(r.electionTimeout()/(DefaultElectionTimeout/DefaultHeartbeatInterval))
	r.transferTarget, r.timeoutNowSent, r.quorumAge = "", false, 0
	r.peers = map[string]*progress{}
	r.updatePeers()
	// Entries of earlier terms are committed only by a later entry of the current term, so a
	// new leader appends one at once.
	r.appendEntry(&wire.LogEntry{})
	r.replicate(true)
}

func (r *Raft) handleVoteRequest(m *wire.Raft) {
	if m.GetCold() && m.GetPreVote() {
		r.handleColdStartRequest(m)
		return
	}
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_VOTE_REPLY, PreVote: m.GetPreVote(), Group: m.GetGroup(), Lane: m.GetLane()}
	switch {
	case m.GetTerm() < r.term, r.heardLeaderRecently() && !m.GetTransfer() && !r.isColdStartVote(m):
		r.send(reply)
		return
	case m.GetPreVote():
		reply.Granted = m.GetTerm() > r.term && r.logUpToDate(m)
		if reply.GetGranted() {
			reply.Term = m.GetTerm()
		}
		r.send(reply)
		return
	}
	r.adoptTerm(m)
	if (r.votedFor == "" || r.votedFor == m.GetFrom()) && r.logUpToDate(m) {
		r.votedFor = m.GetFrom()
		r.record(r.hardStateRecord())
		r.resetElectionTimer()
		r.coldStart.votedAt = r.now
		reply.Granted = true
	}
	r.send(reply)
}

// logUpToDate reports whether the candidate's log is at least as up to date as this one. It
// prevents the election of a replica that lacks committed entries: each of them is on a quorum,
// and at least one voter of that quorum denies its vote here.
func (r *Raft) logUpToDate(m *wire.Raft) bool {
	if m.GetLastTerm() != r.log.lastTerm() {
		return m.GetLastTerm() > r.log.lastTerm()
	}
	return m.GetLastIndex() >= r.log.lastIndex()
}

func (r *Raft) handleVoteReply(m *wire.Raft) {
	expected, term := candidate, r.term
	if m.GetPreVote() {
		expected, term = preCandidate, r.term+1
	}
	if !m.GetGranted() {
		if m.GetTerm() > r.term {
			r.adoptTerm(m)
		}
		return
	}
	if m.GetCold() {
		r.handleColdStartReply(m)
		return
	}
	if r.role == expected && m.GetTerm() == term {
		r.votes[m.GetFrom()] = true
		r.checkVotes()
	}
}

// adoptTerm takes over the term of a message if it is newer, and its group if the replica has
// none yet, and records them. A newer term makes the replica a follower.
func (r *Raft) adoptTerm(m *wire.Raft) {
	joins := r.group == "" && m.GetGroup() != ""
	if joins {
		r.group = m.GetGroup()
	}
	if m.GetTerm() <= r.term {
		if joins {
			r.record(r.hardStateRecord())
		}
		return
	}
	r.term, r.votedFor = m.GetTerm(), ""
	r.record(r.hardStateRecord())
	r.stepDown("another replica has a newer term", m)
}

func (r *Raft) stepDown(reason string, from *wire.Raft) {
	if r.role == leader {
		r.resetElectionTimer()
	}
	r.setRole(follower, reason, from)
	r.leaderID, r.peers, r.transferTarget = "", nil, ""
}

// followLeader accepts the sender of an append or snapshot message as the leader of its term.
func (r *Raft) followLeader(m *wire.Raft) {
	r.adoptTerm(m)
	if r.role == leader {
		r.out.Err = fmt.Errorf("%w: two leaders in term %d", ErrDiverged, r.term)
	}
	if r.role != follower {
		r.setRole(follower, "another replica is the leader", m)
		r.peers = nil
	}
	if r.leaderID == m.GetFrom() {
		r.observeGap(r.now.Sub(r.lastLeaderContact))
	}
	r.leaderID, r.leaderTerm, r.lastLeaderContact, r.coldStart = m.GetFrom(), r.term, r.now, coldStart{}
	r.released = m.GetRelease()
	r.learnAbsences(m)
	r.resetElectionTimer()
}
