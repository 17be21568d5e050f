package raft

import (
	"fmt"
	"slices"
	"time"

	"azurelane/core/wire"
)

// conf is the membership from one log index on. It counts as soon as the entry
// is in the log, committed or not.
type conf struct {
	index    uint64
	replicas []*wire.Replica
}

// Replicas lists the members of the group as this replica knows them.
func (r *Raft) Replicas() []*wire.Replica { return r.confs[len(r.confs)-1].replicas }

// ChangeMembership proposes to add a learner, to make one a voter, to remove a replica
// or to change its address. One change at a time: two sets that differ by one
// replica always share a member of any two quorums.
func (r *Raft) ChangeMembership(now time.Time, m *wire.Membership) (uint64, Effects, error) {
	r.advance(now)
	if err := r.mayChange(m); err != nil {
		return 0, r.flush(), err
	}
	r.appendOwn(&wire.LogEntry{Membership: m})
	if r.role == leader {
		r.syncPeers()
		r.spread(false)
	}
	return r.log.last(), r.flush(), nil
}

func (r *Raft) mayChange(m *wire.Membership) error {
	if r.role != leader || r.transfer != "" {
		return ErrNotLeader
	}
	// Before the first entry of its own term is committed a leader may miss a
	// change that is under way, and two at a time break the overlap of quorums.
	if t, _ := r.log.term(r.commit); t != r.term || r.confs[len(r.confs)-1].index > r.commit {
		return ErrBusy
	}
	if m.GetReplica() == "" {
		return fmt.Errorf("%w: it names no replica", ErrRefused)
	}
	old := find(r.Replicas(), m.GetReplica())
	switch m.GetRole() {
	case wire.Membership_ROLE_LEARNER:
		if old.GetVoter() {
			return fmt.Errorf("%w: the replica is a voter", ErrRefused)
		}
	case wire.Membership_ROLE_VOTER:
		// A new voter without the log counts in quorums for entries that it
		// lacks: the next VM lost could then take acknowledged entries along.
		p := r.peers[m.GetReplica()]
		if old == nil || (!old.GetVoter() && (p == nil || p.match < r.commit || r.now.Sub(p.heard) >= r.election())) {
			return fmt.Errorf("%w: the replica has not caught up as a learner", ErrRefused)
		}
	case wire.Membership_ROLE_NONE:
		if old == nil {
			return fmt.Errorf("%w: no such replica", ErrRefused)
		}
		if old.GetVoter() && r.voters() == 1 {
			return fmt.Errorf("%w: the last voter can't be removed", ErrRefused)
		}
	}
	return nil
}

// TransferLeadership lets the voter that is furthest take over, for a leader that is
// about to stop. It takes no proposals from then on.
func (r *Raft) TransferLeadership(now time.Time) Effects {
	r.advance(now)
	if r.role != leader || r.transfer != "" {
		return r.flush()
	}
	var best *progress
	for _, p := range r.Replicas() {
		pr := r.peers[p.GetId()]
		if p.GetVoter() && pr != nil && r.now.Sub(pr.heard) < r.election() && (best == nil || pr.match > best.match) {
			best, r.transfer = pr, p.GetId()
		}
	}
	r.leaveAt = r.now.Add(r.election())
	r.handOver()
	return r.flush()
}

// handOver starts the next leader once it holds the whole log. From then on it
// may win at any moment, without the promises that a lease counts on, so this
// leader reads no more in its term.
func (r *Raft) handOver() {
	if r.role != leader || r.transfer == "" || r.sent {
		return
	}
	if p := r.peers[r.transfer]; p != nil && p.match == r.log.last() {
		r.sent = true
		r.send(&wire.Raft{To: r.transfer, Kind: wire.Raft_KIND_TIMEOUT_NOW})
	}
}

func (r *Raft) noteConf(e *wire.LogEntry) {
	m := e.GetMembership()
	if m == nil {
		return
	}
	list := slices.DeleteFunc(slices.Clone(r.Replicas()), func(p *wire.Replica) bool { return p.GetId() == m.GetReplica() })
	if m.GetRole() != wire.Membership_ROLE_NONE {
		list = append(list, &wire.Replica{
			Id: m.GetReplica(), Address: m.GetAddress(), Voter: m.GetRole() == wire.Membership_ROLE_VOTER, DataCentre: m.GetDataCentre(),
		})
	}
	r.confs = append(r.confs, conf{e.GetIndex(), list})
}

// cut removes entries that another leader replaced, and the memberships that
// they brought.
func (r *Raft) cut(i uint64) {
	r.log.cut(i)
	r.synced = min(r.synced, i-1)
	for len(r.confs) > 1 && r.confs[len(r.confs)-1].index >= i {
		r.confs = r.confs[:len(r.confs)-1]
	}
}

func (r *Raft) confAt(i uint64) conf {
	c := r.confs[0]
	for _, d := range r.confs {
		if d.index <= i {
			c = d
		}
	}
	return c
}

// syncPeers starts to feed new replicas and forgets removed ones.
func (r *Raft) syncPeers() {
	for _, p := range r.Replicas() {
		if p.GetId() != r.ID && r.peers[p.GetId()] == nil {
			r.peers[p.GetId()] = &progress{next: r.log.last() + 1, probing: true, added: r.now}
		}
	}
	for id := range r.peers {
		if find(r.Replicas(), id) == nil {
			delete(r.peers, id)
		}
	}
}

func (r *Raft) leaveIfRemoved() {
	if !r.voter(r.ID) && r.confs[len(r.confs)-1].index <= r.commit {
		r.spread(true) // Tell the others that it is committed.
		r.stepDown("it was removed from the group", nil)
	}
}

func (r *Raft) voter(id string) bool { return find(r.Replicas(), id).GetVoter() }

func (r *Raft) alone() bool { return r.voters() == 1 && r.voter(r.ID) }

func (r *Raft) voters() int {
	n := 0
	for _, p := range r.Replicas() {
		if p.GetVoter() {
			n++
		}
	}
	return n
}

func (r *Raft) quorum() int { return r.voters()/2 + 1 }

func find(list []*wire.Replica, id string) *wire.Replica {
	for _, p := range list {
		if p.GetId() == id {
			return p
		}
	}
	return nil
}

// Transferring reports whether a transfer of leadership is under way.
func (r *Raft) Transferring() bool { return r.transfer != "" }
