package raft

import (
	"fmt"
	"time"

	"azurelane/core/wire"
)

func (r *Raft) resetTimer() {
	r.electAt = r.now.Add(r.election() + time.Duration(r.Rand.Int64N(int64(r.election()))))
}

// promised reports whether a leader may still count on this replica not to
// vote: it heard one within the shortest election timeout, or leads itself.
//
// Without the promise a replica that comes back from a cut, or whose own link
// to the leader is bad, could depose a leader that serves all others; and the
// leader's lease would hold for nothing.
func (r *Raft) promised() bool {
	return r.role == leader || r.now.Sub(r.heard) < r.election()
}

// campaign asks for votes. A pre-candidate asks whether it would win and leaves
// its term alone: a replica behind a long silent cut otherwise raises its term
// at each timeout and deposes a working leader when it comes back.
func (r *Raft) campaign(as role, transfer bool, why string, from *wire.Raft) {
	r.resetTimer()
	if !r.voter(r.ID) {
		return
	}
	r.shift(as, why, from)
	r.leader = ""
	r.votes = map[string]bool{r.ID: true}
	term := r.term + 1
	if as == candidate {
		r.term, r.vote, r.cold.votedAt = term, r.ID, r.now
		r.record(r.hard())
	}
	if r.won() {
		return
	}
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID {
			r.send(&wire.Raft{
				To: p.GetId(), Term: term, Kind: wire.Raft_KIND_VOTE, PreVote: as == preCandidate, Transfer: transfer,
				LastIndex: r.log.last(), LastTerm: r.log.lastTerm(),
				Cold: as == candidate && r.cold.enough(r), Process: r.cold.answers[p.GetId()],
			})
		}
	}
}

// won goes on to the next stage once a quorum agreed.
func (r *Raft) won() bool {
	n := 0
	for id := range r.votes {
		if r.voter(id) {
			n++
		}
	}
	if n < r.quorum() {
		return false
	}
	if r.role == preCandidate {
		r.campaign(candidate, false, "a quorum would vote for it", nil)
		return true
	}
	r.takeOver()
	return true
}

func (r *Raft) takeOver() {
	r.shift(leader, "a quorum voted for it", nil)
	r.leader = r.ID
	r.cold = cold{}
	r.since, r.beatAt = r.now, r.now.Add(r.election()/(DefaultElectionTimeout/DefaultHeartbeatInterval))
	r.transfer, r.sent = "", false
	r.peers = map[string]*progress{}
	r.syncPeers()
	// Entries of former terms become committed only below one of this term, so
	// a new leader writes one at once.
	r.appendOwn(&wire.LogEntry{})
	r.spread(true)
}

func (r *Raft) voteAsked(m *wire.Raft) {
	if m.GetCold() && m.GetPreVote() {
		r.coldAsked(m)
		return
	}
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_VOTE_REPLY, PreVote: m.GetPreVote(), Group: m.GetGroup()}
	switch {
	case m.GetTerm() < r.term, r.promised() && !m.GetTransfer() && !r.coldVote(m):
		r.send(reply)
		return
	case m.GetPreVote():
		reply.Granted = m.GetTerm() > r.term && r.upToDate(m)
		if reply.GetGranted() {
			reply.Term = m.GetTerm()
		}
		r.send(reply)
		return
	}
	r.adopt(m)
	if (r.vote == "" || r.vote == m.GetFrom()) && r.upToDate(m) {
		r.vote = m.GetFrom()
		r.record(r.hard())
		r.resetTimer()
		r.cold.votedAt = r.now
		reply.Granted = true
	}
	r.send(reply)
}

// upToDate keeps a replica without all committed entries from leading: each of
// them is on a quorum, and one of that quorum refuses here.
func (r *Raft) upToDate(m *wire.Raft) bool {
	if m.GetLastTerm() != r.log.lastTerm() {
		return m.GetLastTerm() > r.log.lastTerm()
	}
	return m.GetLastIndex() >= r.log.last()
}

func (r *Raft) voteGot(m *wire.Raft) {
	want, term := candidate, r.term
	if m.GetPreVote() {
		want, term = preCandidate, r.term+1
	}
	if !m.GetGranted() {
		if m.GetTerm() > r.term {
			r.adopt(m)
		}
		return
	}
	if m.GetCold() {
		r.coldGot(m)
		return
	}
	if r.role == want && m.GetTerm() == term {
		r.votes[m.GetFrom()] = true
		r.won()
	}
}

// adopt takes a message's term when it is newer, and its group when the
// replica has none yet, and writes them down.
func (r *Raft) adopt(m *wire.Raft) {
	fresh := r.group == "" && m.GetGroup() != ""
	if fresh {
		r.group = m.GetGroup()
	}
	if m.GetTerm() <= r.term {
		if fresh {
			r.record(r.hard())
		}
		return
	}
	r.term, r.vote = m.GetTerm(), ""
	r.record(r.hard())
	r.stepDown("another replica has a newer term", m)
}

func (r *Raft) stepDown(why string, from *wire.Raft) {
	if r.role == leader {
		r.resetTimer()
	}
	r.shift(follower, why, from)
	r.leader, r.peers, r.transfer = "", nil, ""
}

// follow takes the sender of an append as the leader of its term.
func (r *Raft) follow(m *wire.Raft) {
	r.adopt(m)
	if r.role == leader {
		r.out.Err = fmt.Errorf("%w: two leaders in term %d", ErrDiverged, r.term)
	}
	if r.role != follower {
		r.shift(follower, "another replica leads", m)
		r.peers = nil
	}
	r.leader, r.heard, r.cold = m.GetFrom(), r.now, cold{}
	r.resetTimer()
}
