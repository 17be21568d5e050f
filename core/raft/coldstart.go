package raft

import (
	"slices"
	"time"

	"azurelane/core/wire"
)

// coldStartInterval is the minimum time between two cold-start rounds, and half of the maximum.
// A round and the votes after it take two network round trips and two syncs, some 10 ms within
// a region. Replicas whose rounds start this far apart rarely split the votes.
const coldStartInterval = 30 * time.Millisecond

// coldStartQuorumDivisor is the divisor of the election timeout after which answers from a
// quorum are enough in a group without leases. A running leader reaches a restarted replica
// long before that.
const coldStartQuorumDivisor = 2

// coldStartVoteDivisor is the divisor of the election timeout for which a replica that has
// voted, for itself or another, neither starts nor answers cold-start rounds. The elected
// replica needs two one-way messages and two syncs until it leads and is heard. Without the
// wait a second replica whose round falls in between stands for election as well: the new
// leader steps down for its newer term, and as that replica gets no quorum itself, there is no
// leader for another election timeout.
const coldStartVoteDivisor = 4

// coldStart is the state of a replica that has heard no leader since its start.
//
// When all replicas stop at once, by a power loss or a kill, each of them starts with a full
// election timeout in which it denies votes: it can't know whether the lease of a leader relies
// on that. Clients have no scheduler for that time. A replica that has just started therefore
// asks all others whether they have just started as well. If all of them have, there is no
// leader and no lease is in force:
//
//   - A leader is a replica of the newest membership or, while a change is under way, of the one
//     before. All replicas of both must answer, learners too, and their logs must not be newer. The
//     requester therefore knows every committed membership.
//   - No replica was the leader when it answered. A leader that was elected later has votes and
//     replies of a quorum, and each replica that replied to it has heard a leader.
//   - A vote request names the process that answered. A replica that has restarted in between may
//     have given its vote or replies to another leader, and refuses.
//
// Without leases no leader relies on denied votes, and answers from a quorum are enough for an
// election. A replica that lost its disk or has no power yet then delays the others no longer
// than they need to see that there is no leader.
type coldStart struct {
	active    bool              // No leader was heard since the start.
	process   uint64            // Random identity of this process, drawn at the start.
	nextRound time.Time         // Start of the next round.
	roundOpen bool              // Answers to the last round count.
	votedAt   time.Time         // When this replica last voted.
	answers   map[string]uint64 // Identities of the processes that have just started, by replica.
}

func (r *Raft) initColdStart() {
	if r.group == "" {
		return
	}
	r.coldStart = coldStart{active: true, process: r.Rand.Uint64()}
	r.coldStart.scheduleRound(r)
}

// scheduleRound sets the time of the next round and discards the answers to the last one.
func (c *coldStart) scheduleRound(r *Raft) {
	c.nextRound = r.now.Add(coldStartInterval + time.Duration(r.Rand.Int64N(int64(coldStartInterval))))
	c.answers = map[string]uint64{}
	c.roundOpen = false
}

// beginColdStartRound sends cold-start requests if a round is due.
func (r *Raft) beginColdStartRound() {
	if !r.coldStart.active || r.now.Before(r.coldStart.nextRound) || !r.isVoter(r.ID) || r.votedRecently() {
		return
	}
	r.coldStart.scheduleRound(r)
	r.coldStart.roundOpen = true
	for _, id := range r.possiblePeers() {
		r.send(&wire.Raft{
			To: id, Term: r.term + 1, Kind: wire.Raft_KIND_VOTE, PreVote: true, Cold: true,
			LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
		})
	}
}

// possiblePeers lists the other replicas of the memberships that may be in force: the newest
// one and, as its entry may not be committed, the one before.
func (r *Raft) possiblePeers() []string {
	var ids []string
	for _, c := range r.memberships[max(len(r.memberships)-2, 0):] {
		for _, p := range c.replicas {
			if p.GetId() != r.ID && !slices.Contains(ids, p.GetId()) {
				ids = append(ids, p.GetId())
			}
		}
	}
	return ids
}

// handleColdStartRequest answers whether this replica has just started as well.
func (r *Raft) handleColdStartRequest(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_VOTE_REPLY, PreVote: true, Cold: true, Group: m.GetGroup()}
	if r.coldStart.active && m.GetTerm() > r.term && r.logUpToDate(m) && !r.votedRecently() && r.yieldsColdStart(m.GetFrom()) {
		reply.Granted, reply.Term, reply.Process = true, m.GetTerm(), r.coldStart.process
	}
	r.send(reply)
}

// handleColdStartReply counts an answer, and stands for election once enough replicas have
// answered.
func (r *Raft) handleColdStartReply(m *wire.Raft) {
	if !r.coldStart.active || !r.coldStart.roundOpen || m.GetTerm() != r.term+1 {
		return
	}
	r.coldStart.answers[m.GetFrom()] = m.GetProcess()
	if r.coldStart.electionSafe(r) {
		r.campaign(candidate, false, "the other replicas have just started as well", m)
	}
}

// electionSafe reports whether enough replicas have answered that they have just started for an
// election to be safe.
func (c *coldStart) electionSafe(r *Raft) bool {
	if !c.active || len(c.answers) == len(r.possiblePeers()) {
		return c.active
	}
	if !r.Leaseless || r.now.Sub(r.startedAt) < r.electionTimeout()/coldStartQuorumDivisor {
		return false
	}
	voters := 1
	for id := range c.answers {
		if r.isVoter(id) {
			voters++
		}
	}
	return voters >= r.quorumSize()
}

// isColdStartVote reports whether a vote request belongs to a round that this process answered,
// and no leader was heard since.
func (r *Raft) isColdStartVote(m *wire.Raft) bool {
	return m.GetCold() && r.coldStart.active && m.GetProcess() == r.coldStart.process
}

// yieldsColdStart reports whether this replica leaves the election to the requester. Of two
// replicas that ask at the same moment, the one with the lower identity goes on and the other
// ends its own round. With both, the votes would be split.
func (r *Raft) yieldsColdStart(to string) bool {
	if !r.coldStart.roundOpen {
		return true
	}
	if r.ID < to {
		return false
	}
	r.coldStart.scheduleRound(r)
	return true
}

// votedRecently reports whether the replica that has this one's vote may be about to lead.
func (r *Raft) votedRecently() bool {
	return !r.coldStart.votedAt.IsZero() && r.now.Sub(r.coldStart.votedAt) < r.electionTimeout()/coldStartVoteDivisor
}
