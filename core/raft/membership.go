package raft

import (
	"fmt"
	"slices"
	"time"

	"azurelane/core/wire"
)

// membership is the list of replicas from one log index on, in the order in which they joined,
// oldest first. A demoted replica counts as the oldest. A membership takes effect as soon as the
// entry is in the log, committed or not.
type membership struct {
	index    uint64
	replicas []*wire.Replica
}

// Replicas lists the members of the group as this replica knows them.
func (r *Raft) Replicas() []*wire.Replica { return r.memberships[len(r.memberships)-1].replicas }

// ChangeMembership proposes to add a learner, to make one a voter, to demote a voter, to remove a
// replica or to change its address. Only one change may be under way at a time: the quorums of two
// memberships that differ by one replica always overlap.
func (r *Raft) ChangeMembership(now time.Time, m *wire.Membership) (uint64, Effects, error) {
	r.advanceClock(now)
	if err := r.checkChange(m); err != nil {
		return 0, r.flush(), err
	}
	r.appendEntry(&wire.LogEntry{Membership: m})
	if r.role == leader {
		r.updatePeers()
		r.replicate(false)
	}
	return r.log.lastIndex(), r.flush(), nil
}

func (r *Raft) checkChange(m *wire.Membership) error {
	if r.role != leader || r.transferTarget != "" {
		return ErrNotLeader
	}
	// Until the first entry of its own term is committed, a leader may not know of a change
	// that is under way. With two at a time, quorums might not overlap.
	if t, _ := r.log.term(r.commitIndex); t != r.term || r.memberships[len(r.memberships)-1].index > r.commitIndex {
		return ErrBusy
	}
	return r.checkRole(m)
}

// checkRole reports whether a replica may get the role of a change.
func (r *Raft) checkRole(m *wire.Membership) error {
	if m.GetReplica() == "" {
		return fmt.Errorf("%w: it names no replica", ErrRefused)
	}
	old := findReplica(r.Replicas(), m.GetReplica())
	switch m.GetRole() {
	case wire.Membership_ROLE_LEARNER:
		if old.GetVoter() {
			return fmt.Errorf("%w: the replica is a voter", ErrRefused)
		}
	case wire.Membership_ROLE_VOTER:
		// A new voter without the log would count towards quorums for entries that it lacks,
		// and the loss of one more VM could lose acknowledged entries.
		p := r.peers[m.GetReplica()]
		if old == nil || (!old.GetVoter() && (p == nil || p.matchIndex < r.commitIndex || r.now.Sub(p.lastHeard) >= r.electionTimeout())) {
			return fmt.Errorf("%w: the replica has not caught up as a learner", ErrRefused)
		}
	case wire.Membership_ROLE_DEMOTED:
		if !old.GetVoter() || m.GetReplica() == r.ID || r.voterCount() == 1 {
			return fmt.Errorf("%w: the replica is no other voter", ErrRefused)
		}
	case wire.Membership_ROLE_NONE:
		if old == nil {
			return fmt.Errorf("%w: no such replica", ErrRefused)
		}
		if old.GetVoter() && r.voterCount() == 1 {
			return fmt.Errorf("%w: the last voter can't be removed", ErrRefused)
		}
	}
	return nil
}

// TransferLeadership hands leadership to the reachable voter with the longest matching log, and to
// the newest of several, for a leader that is about to stop or to lose its vote. The leader accepts
// no proposals from then on.
func (r *Raft) TransferLeadership(now time.Time) Effects {
	r.advanceClock(now)
	r.transferLeadership()
	return r.flush()
}

func (r *Raft) transferLeadership() {
	if r.role != leader || r.transferTarget != "" {
		return
	}
	var best *progress
	for _, p := range r.Replicas() {
		pr := r.peers[p.GetId()]
		if p.GetVoter() && pr != nil && !pr.leaving && r.inTouch(pr) && (best == nil || pr.matchIndex >= best.matchIndex) {
			best, r.transferTarget = pr, p.GetId()
		}
	}
	r.transferDeadline = r.now.Add(r.electionTimeout())
	r.sendTimeoutNow()
}

// sendTimeoutNow tells the transfer target to start an election once it holds the whole log.
// From then on the target may win at any moment, since voters grant it their votes even if they
// have heard a leader recently. This leader therefore serves no local reads for the rest of its
// term.
func (r *Raft) sendTimeoutNow() {
	if r.role != leader || r.transferTarget == "" || r.timeoutNowSent {
		return
	}
	if p := r.peers[r.transferTarget]; p != nil && p.matchIndex == r.log.lastIndex() {
		r.timeoutNowSent = true
		r.send(&wire.Raft{To: r.transferTarget, Kind: wire.Raft_KIND_TIMEOUT_NOW})
	}
}

func (r *Raft) appendMembership(e *wire.LogEntry) {
	m := e.GetMembership()
	if m == nil {
		return
	}
	list := slices.Clone(r.Replicas())
	at := slices.IndexFunc(list, func(p *wire.Replica) bool { return p.GetId() == m.GetReplica() })
	if at >= 0 {
		list = slices.Delete(list, at, at+1)
	}
	switch m.GetRole() {
	case wire.Membership_ROLE_NONE:
		at = -1
	case wire.Membership_ROLE_DEMOTED:
		at = 0
	case wire.Membership_ROLE_LEARNER, wire.Membership_ROLE_VOTER:
		if at < 0 {
			at = len(list)
		}
	}
	if at >= 0 {
		list = slices.Insert(list, at, &wire.Replica{
			Id: m.GetReplica(), Address: m.GetAddress(), Voter: m.GetRole() == wire.Membership_ROLE_VOTER, DataCentre: m.GetDataCentre(),
		})
	}
	r.memberships = append(r.memberships, membership{e.GetIndex(), list})
}

// truncateLog removes entries that another leader has replaced, and the memberships that they
// set.
func (r *Raft) truncateLog(i uint64) {
	r.log.truncate(i)
	r.syncedIndex = min(r.syncedIndex, i-1)
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= i {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Raft) membershipAt(i uint64) membership {
	c := r.memberships[0]
	for _, d := range r.memberships {
		if d.index <= i {
			c = d
		}
	}
	return c
}

// updatePeers starts replication to new replicas and drops removed ones.
func (r *Raft) updatePeers() {
	for _, p := range r.Replicas() {
		if p.GetId() != r.ID && r.peers[p.GetId()] == nil {
			r.peers[p.GetId()] = &progress{nextIndex: r.log.lastIndex() + 1, probing: true, addedAt: r.now, seenBefore: r.lastSeen(p.GetId())}
		}
	}
	for id := range r.peers {
		if findReplica(r.Replicas(), id) == nil {
			delete(r.peers, id)
		}
	}
}

func (r *Raft) stepDownIfRemoved() {
	if !r.isVoter(r.ID) && r.memberships[len(r.memberships)-1].index <= r.commitIndex {
		r.replicate(true) // Tell the others that it is committed.
		r.stepDown("removed from the group", nil)
	}
}

func (r *Raft) isVoter(id string) bool { return findReplica(r.Replicas(), id).GetVoter() }

func (r *Raft) isOnlyVoter() bool { return r.voterCount() == 1 && r.isVoter(r.ID) }

func (r *Raft) voterCount() int {
	n := 0
	for _, p := range r.Replicas() {
		if p.GetVoter() {
			n++
		}
	}
	return n
}

func (r *Raft) quorumSize() int { return r.voterCount()/2 + 1 }

func findReplica(list []*wire.Replica, id string) *wire.Replica {
	for _, p := range list {
		if p.GetId() == id {
			return p
		}
	}
	return nil
}

// Transferring reports whether a leadership transfer is under way.
func (r *Raft) Transferring() bool { return r.transferTarget != "" }
