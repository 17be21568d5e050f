package raft

import (
	"slices"
	"time"
)

// Leave announces that this replica's process is about to stop. A leader transfers leadership, and
// any other replica asks the leader for its release; see Released. Calls after the first one
// transfer leadership again if this replica was elected meanwhile.
func (r *Raft) Leave(now time.Time) Effects {
	r.advanceClock(now)
	r.leaving = true
	r.transferLeadership()
	return r.flush()
}

// Released reports whether the leader that this replica follows can do without it; see mayRelease.
func (r *Raft) Released() bool { return r.released && r.role == follower && r.leaderID != "" }

// mayRelease reports whether a replica that is leaving may stop. It has no vote, or the voters in
// touch are a quorum without it and no learner is there to take its vote, even if it has yet to
// catch up. Otherwise, with a voter fewer, the next loss could take the quorum, although waiting a
// moment prevents that. A learner takes a vote in its own data centre, and elsewhere if no newer
// replica of its data centre has a vote.
func (r *Raft) mayRelease(id string) bool {
	if !r.isVoter(id) {
		return r.memberships[len(r.memberships)-1].index <= r.commitIndex
	}
	voters, centre := 0, findReplica(r.Replicas(), id).GetDataCentre()
	newerVoter := map[string]bool{} // By data centre.
	for _, p := range slices.Backward(r.Replicas()) {
		newerVoter[p.GetDataCentre()] = newerVoter[p.GetDataCentre()] || p.GetVoter()
		pr := r.peers[p.GetId()]
		switch {
		case p.GetId() == r.ID:
			if p.GetVoter() && !r.leaving {
				voters++
			}
		case pr == nil || pr.leaving:
		case p.GetVoter():
			if r.inTouch(pr) {
				voters++
			}
		case r.HandsOverVotes && r.silenceOf(pr) < r.electionTimeout() && (p.GetDataCentre() == centre || !newerVoter[p.GetDataCentre()]):
			return false
		}
	}
	return voters >= r.quorumSize()
}
