package raft

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultLeaveTimeout is the maximum wait of a leaving replica if LeaveTimeout is zero.
	DefaultLeaveTimeout = 2 * time.Second
	// leaveCutOffTimeouts is the number of election timeouts after which a leaving replica that
	// reaches no quorum stops.
	leaveCutOffTimeouts = 5
	// releaseDivisor is the fraction of the election timeout for which a leader without a voter that
	// stays goes on, so that its heartbeats release the others.
	releaseDivisor = 4
)

// departure is the state of a replica whose process is about to stop. The zero value is that of one
// that stays.
type departure struct {
	leaving     bool
	released    bool      // The leader needs this replica no longer.
	requestedAt time.Time // Time of the first call of Leave.
	reachedAt   time.Time // When this replica last reached a quorum.
	neededAt    time.Time // Leader only: when the group last needed this replica.
}

// Leave announces that this replica's process is about to stop. A leader transfers leadership, and
// any other replica asks the leader for its release; see MayStop. Calls after the first one
// transfer leadership again if this replica was elected meanwhile.
func (r *Raft) Leave(now time.Time) Effects {
	r.advanceClock(now)
	if !r.leaving {
		r.departure = departure{leaving: true, released: r.released, requestedAt: r.now, reachedAt: r.now, neededAt: r.now}
	}
	r.transferLeadership()
	return r.flush()
}

// MayStop returns why a leaving replica may stop, and an empty string as long as it may not. The
// leader that it follows has released it, no quorum is there that could, or LeaveTimeout has passed.
// A replica that stops sooner can take the quorum along, although another one is about to get its
// vote or to return.
func (r *Raft) MayStop(now time.Time) string {
	if !r.CutOff(now) {
		r.reachedAt = r.now
	}
	needed := r.role != leader || r.transferTarget != "" || !r.mayRelease(r.ID)
	if needed {
		r.neededAt = r.now
	}
	switch {
	case !r.leaving:
	case r.group == "":
		return "belongs to no group"
	case !needed && (r.isOnlyVoter() || r.now.Sub(r.neededAt) >= r.electionTimeout()/releaseDivisor):
		return "no other voter stays"
	case r.role == follower && r.leaderID != "" && r.released:
		return "released by the leader"
	case r.now.Sub(r.requestedAt) > cmp.Or(r.LeaveTimeout, DefaultLeaveTimeout):
		return "not released in time"
	case r.now.Sub(r.reachedAt) > leaveCutOffTimeouts*r.electionTimeout():
		return "no quorum in touch"
	}
	return ""
}

// mayRelease reports whether a replica that is leaving may stop. It has no vote, or the voters in
// touch are a quorum without it and no learner is there to take its vote, even if it has yet to
// catch up. Otherwise, with a voter fewer, the next loss could take the quorum, although waiting a
// moment prevents that. A learner takes a vote in its own data centre, and elsewhere if no newer
// replica of its data centre has a vote. If all voters are leaving, nothing is left to wait for but
// a learner.
func (r *Raft) mayRelease(id string) bool {
	if !r.isVoter(id) {
		return r.memberships[len(r.memberships)-1].index <= r.commitIndex
	}
	inTouch, staying, centre := 0, 0, findReplica(r.Replicas(), id).GetDataCentre()
	newerVoter := map[string]bool{} // By data centre.
	for _, p := range slices.Backward(r.Replicas()) {
		newerVoter[p.GetDataCentre()] = newerVoter[p.GetDataCentre()] || p.GetVoter()
		pr := r.peers[p.GetId()]
		switch {
		case p.GetId() == r.ID:
			if p.GetVoter() && !r.leaving {
				inTouch, staying = inTouch+1, staying+1
			}
		case pr == nil || pr.leaving:
		case p.GetVoter():
			staying++
			if r.inTouch(pr) {
				inTouch++
			}
		case r.HandsOverVotes && r.silenceOf(pr) < r.electionTimeout() && (p.GetDataCentre() == centre || !newerVoter[p.GetDataCentre()]):
			return false
		}
	}
	return staying == 0 || inTouch >= r.quorumSize()
}
