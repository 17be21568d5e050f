package raft

import (
	"slices"
	"time"

	"azurelane/core/wire"
)

// coldEvery is the least time between two rounds of cold questions, and half of
// the most. A round and the votes after it take two ways there and back and two
// syncs, some 10 ms within a region; replicas that ask at moments so far apart
// rarely split the votes.
const coldEvery = 30 * time.Millisecond

// coldQuorumAfter is the part of the election timeout, one in so many, after which
// the answers of a quorum are enough where there are no leases. A leader that goes
// on reaches a replica which has started anew long before that.
const coldQuorumAfter = 2

// coldVoteHold is the part of the election timeout, one in so many, for which a
// replica that has voted, for another or itself, neither asks nor answers cold
// questions. Who got the votes needs two ways and two syncs until it leads and is
// heard. Without the wait a second replica whose round comes in between stands for
// election as well: the new leader steps down for its newer term, and as that replica
// gets no quorum itself, nobody leads for another election.
const coldVoteHold = 4

// cold is what a replica knows that has heard no leader since its start.
//
// When all replicas stop at once, by a loss of power or a kill, each of them
// starts into a whole election timeout, for which it promised not to vote: it
// can't know that no leader counts on it. Callers are without a scheduler for
// that time. A replica that has just started therefore asks all others whether
// they have, too. If all have, none leads, and no lease is in force:
//
//   - A leader is a replica of the newest membership or, while a change is under
//     way, of the one before. All of both have to answer, learners too, with a log
//     that is not newer; so the one who asks knows every committed membership.
//   - None of them led when it answered. One that was elected later has votes and
//     answers of a quorum, and who answered it has heard a leader.
//   - A vote names the process that answered. A replica that started once more in
//     between may have promised anything to another leader, and refuses.
//
// Without leases nobody counts on a promise, and a quorum is enough to elect: one
// replica that lost its disk, or has no power yet, then delays the others no longer
// than it takes to see that no leader is about.
type cold struct {
	on      bool              // No leader was heard since the start.
	process uint64            // Drawn at the start.
	askAt   time.Time         // Of the next round.
	open    bool              // Answers of the last round count.
	votedAt time.Time         // When it last voted.
	answers map[string]uint64 // Processes that have just started, by replica.
}

func (r *Raft) startCold() {
	if r.group == "" {
		return
	}
	r.cold = cold{on: true, process: r.Rand.Uint64()}
	r.cold.later(r)
}

// later sets the time of the next round.
func (c *cold) later(r *Raft) {
	c.askAt = r.now.Add(coldEvery + time.Duration(r.Rand.Int64N(int64(coldEvery))))
	c.answers = map[string]uint64{}
	c.open = false
}

// askCold begins a round of questions when it is time.
func (r *Raft) askCold() {
	if !r.cold.on || r.now.Before(r.cold.askAt) || !r.voter(r.ID) || r.coldHeld() {
		return
	}
	r.cold.later(r)
	r.cold.open = true
	for _, id := range r.possible() {
		r.send(&wire.Raft{
			To: id, Term: r.term + 1, Kind: wire.Raft_KIND_VOTE, PreVote: true, Cold: true,
			LastIndex: r.log.last(), LastTerm: r.log.lastTerm(),
		})
	}
}

// possible lists the other replicas of the memberships that may be in force: the
// newest one and, as its entry may not be committed, the one before.
func (r *Raft) possible() []string {
	var ids []string
	for _, c := range r.confs[max(len(r.confs)-2, 0):] {
		for _, p := range c.replicas {
			if p.GetId() != r.ID && !slices.Contains(ids, p.GetId()) {
				ids = append(ids, p.GetId())
			}
		}
	}
	return ids
}

// coldAsked answers a cold question.
func (r *Raft) coldAsked(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_VOTE_REPLY, PreVote: true, Cold: true, Group: m.GetGroup()}
	if r.cold.on && m.GetTerm() > r.term && r.upToDate(m) && !r.coldHeld() && r.coldYields(m.GetFrom()) {
		reply.Granted, reply.Term, reply.Process = true, m.GetTerm(), r.cold.process
	}
	r.send(reply)
}

// coldGot counts an answer, and stands for election once all have answered.
func (r *Raft) coldGot(m *wire.Raft) {
	if !r.cold.on || !r.cold.open || m.GetTerm() != r.term+1 {
		return
	}
	r.cold.answers[m.GetFrom()] = m.GetProcess()
	if r.cold.enough(r) {
		r.campaign(candidate, false, "the others have just started, too", m)
	}
}

// enough reports whether so many replicas have answered that they have just
// started that an election is safe.
func (c *cold) enough(r *Raft) bool {
	if !c.on || len(c.answers) == len(r.possible()) {
		return c.on
	}
	if !r.Leaseless || r.now.Sub(r.start) < r.election()/coldQuorumAfter {
		return false
	}
	voters := 1
	for id := range c.answers {
		if r.voter(id) {
			voters++
		}
	}
	return voters >= r.quorum()
}

// coldVote reports whether a vote belongs to a round that this process answered
// and no leader was heard since.
func (r *Raft) coldVote(m *wire.Raft) bool {
	return m.GetCold() && r.cold.on && m.GetProcess() == r.cold.process
}

// coldYields reports whether this replica leaves it to the one that asks to stand
// for election. Of two that ask in the same moment the one with the lower identity
// goes on, and the other ends its own round: with both, the votes would be split.
func (r *Raft) coldYields(to string) bool {
	if !r.cold.open {
		return true
	}
	if r.ID < to {
		return false
	}
	r.cold.later(r)
	return true
}

// coldHeld reports whether the replica that has this one's vote may be about to lead.
func (r *Raft) coldHeld() bool {
	return !r.cold.votedAt.IsZero() && r.now.Sub(r.cold.votedAt) < r.election()/coldVoteHold
}
