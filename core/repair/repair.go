// Package repair decides how a control group restores and moves its votes: which replica to promote,
// demote or remove next.
package repair

import (
	"slices"
	"time"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

// Policy sets which failures the group must tolerate and when replicas are replaced or removed.
// Its fields must be set before use.
type Policy struct {
	MaxLosses          int           // Replicas that may be lost at the same time, with their disks.
	DataCentres        int           // Number of data centres that have replicas.
	ReplaceAfter       time.Duration // Silence after which a live learner replaces a voter.
	RemoveLearnerAfter time.Duration // Silence after which a learner is removed.
}

// maxPromotionSilence is the maximum silence of a learner that may be promoted. It allows for a few
// missed heartbeats.
const maxPromotionSilence = 500 * time.Millisecond

// TargetVoters returns the number of voters that is needed to survive MaxLosses losses. More than
// half of the voters acknowledge each command, so at least one voter with the command survives, and
// the surviving voters are still a quorum.
func (p Policy) TargetVoters() int { return 2*p.MaxLosses + 1 }

// maxVotersPerDataCentre returns the maximum number of voters in one data centre. With more voters
// there, the loss of that data centre would lose the quorum.
func (p Policy) maxVotersPerDataCentre() int {
	if limit := max(p.MaxLosses, 1); limit*p.DataCentres >= p.TargetVoters() {
		return limit
	}
	return p.TargetVoters() // Too few data centres to spread the voters.
}

// settleTime returns how long a learner must have been in touch before it takes the vote of a voter
// that is in touch as well.
func (p Policy) settleTime() time.Duration { return p.ReplaceAfter / 4 }

// NextChange returns the membership change that the leader should propose now, or nil if none is
// needed. Argument self is the leader, and others are the remaining replicas as the leader sees
// them, oldest first. If the change demotes the leader, it must transfer leadership instead, and
// the next leader demotes it.
//
// Besides repairs, the policy moves the vote of a replica to a newer one in its data centre. A
// replica that is about to be removed gets its successor first, so by the time it goes, with or
// without notice, it has no vote, and the group can bear the next loss at once. With several older
// voters in the data centre nothing tells which of them goes, and the oldest yields. A demoted
// replica counts as the oldest of all, so each replica that joins causes one such move at most, and
// votes don't swing back and forth.
func (p Policy) NextChange(self *wire.Replica, others []raft.PeerStatus) *wire.Membership {
	g := newGroup(p, self, others)
	switch {
	case g.voters > p.TargetVoters():
		return g.reduction()
	case g.voters < p.TargetVoters():
		if l := g.learnerToAdd(); l != nil {
			return changeOf(l, wire.Membership_ROLE_VOTER)
		}
	default:
		if m := g.repair(); m != nil {
			return m
		}
		if l := g.learnerToMove(); l != nil {
			return changeOf(l, wire.Membership_ROLE_VOTER)
		}
	}
	if l := g.longestSilent(learners); l != nil && (l.Silence > p.RemoveLearnerAfter || g.hasSuccessor(l)) {
		return changeOf(l, wire.Membership_ROLE_NONE)
	}
	return nil
}

func changeOf(r *raft.PeerStatus, role wire.Membership_Role) *wire.Membership {
	return &wire.Membership{Replica: r.GetId(), Address: r.GetAddress(), DataCentre: r.GetDataCentre(), Role: role}
}

// group is the state of all replicas at one moment.
type group struct {
	Policy
	leader *raft.PeerStatus
	all    []*raft.PeerStatus // Oldest first.
	voters int
	spread map[string]int // Number of voters by data centre.
}

func newGroup(p Policy, self *wire.Replica, others []raft.PeerStatus) *group {
	g := &group{Policy: p, leader: &raft.PeerStatus{Replica: self, CaughtUp: true}, spread: map[string]int{}}
	for i := range others {
		g.all = append(g.all, &others[i])
	}
	at := slices.IndexFunc(g.all, func(r *raft.PeerStatus) bool { return r.Newer })
	if at < 0 {
		at = len(g.all)
	}
	g.all = slices.Insert(g.all, at, g.leader)
	for _, r := range g.all {
		if r.GetVoter() {
			g.voters++
			g.spread[r.GetDataCentre()]++
		}
	}
	return g
}

const (
	learners = false
	voters   = true
)

// reduction returns the change that removes the vote of one of too many voters, or nil if it must
// wait.
func (g *group) reduction() *wire.Membership {
	if r := g.lostDisk(); r != nil {
		return changeOf(r, wire.Membership_ROLE_NONE)
	}
	r := g.silentVoter()
	if r == nil {
		// One that is gone already may be back soon, and the promotion was not for it.
		r = g.first(func(r *raft.PeerStatus) bool {
			return r.GetVoter() && r.Leaving && r.Silence <= maxPromotionSilence
		})
	}
	if r == nil {
		r = g.yieldingVoter()
	}
	if r == nil {
		return nil
	}
	return changeOf(r, wire.Membership_ROLE_DEMOTED)
}

// learnerToAdd returns the learner to promote while there are too few voters, or nil. A superseded
// one is the last choice, and before it comes one whose data centre has more voters.
func (g *group) learnerToAdd() *raft.PeerStatus {
	var best *raft.PeerStatus
	for _, l := range g.all {
		if !eligible(l) || g.spread[l.GetDataCentre()] >= g.maxVotersPerDataCentre() {
			continue
		}
		if best == nil || g.rank(l) < g.rank(best) {
			best = l
		}
	}
	return best
}

func (g *group) rank(l *raft.PeerStatus) int {
	rank := g.spread[l.GetDataCentre()]
	if g.superseded(l) {
		rank += g.TargetVoters()
	}
	return rank
}

// repair returns the change that begins to replace a voter that has lost its disk, is silent or
// leaves, or nil. If the voter is gone, it loses its vote first: the replicas that are left store
// the change with a smaller quorum, and bear as much meanwhile as with a promotion first. A voter
// that is there, or whose vote goes to a data centre that has enough, loses its vote last.
func (g *group) repair() *wire.Membership {
	r, role := g.lostDisk(), wire.Membership_ROLE_NONE
	if r == nil {
		r, role = g.silentVoter(), wire.Membership_ROLE_DEMOTED
	}
	if r != nil {
		l := g.replacement(r)
		switch {
		case l == nil:
			return nil
		case l.GetDataCentre() == r.GetDataCentre(), g.spread[l.GetDataCentre()] < g.maxVotersPerDataCentre():
			return changeOf(r, role)
		}
		return changeOf(l, wire.Membership_ROLE_VOTER)
	}
	if r = g.first(func(r *raft.PeerStatus) bool { return r.GetVoter() && r.Leaving }); r != nil {
		if l := g.replacement(r); l != nil {
			return changeOf(l, wire.Membership_ROLE_VOTER)
		}
	}
	return nil
}

// learnerToMove returns a learner that takes the vote of a replica which is in touch, or nil. The
// group has one voter too many until the next change, so that each command is always on as many
// disks as before.
func (g *group) learnerToMove() *raft.PeerStatus {
	if l := g.first(func(l *raft.PeerStatus) bool {
		return g.settled(l) && g.spread[l.GetDataCentre()]+1 < g.mostVoters()
	}); l != nil {
		return l // Its data centre has too few voters.
	}
	return g.last(func(l *raft.PeerStatus) bool { return g.settled(l) && g.olderVoter(l) != nil })
}

// replacement returns the learner that takes the vote of a replica that is silent, has lost its
// disk or leaves, or nil. It is at the same address or else in the same data centre if possible.
// Until a voter has been silent for ReplaceAfter, its vote goes nowhere else if a replica at its
// address may take it soon, and not to a superseded learner, which may be about to be removed. A
// data centre with too many voters is better than a voter that is gone, and one of them yields once
// another data centre has a learner.
func (g *group) replacement(r *raft.PeerStatus) *raft.PeerStatus {
	conditions := []func(*raft.PeerStatus) bool{
		func(l *raft.PeerStatus) bool { return l.GetAddress() == r.GetAddress() },
		func(l *raft.PeerStatus) bool { return l.GetDataCentre() == r.GetDataCentre() },
	}
	urgent := r.Silence >= g.ReplaceAfter
	if urgent || !g.hasSuccessor(r) {
		conditions = append(conditions, func(l *raft.PeerStatus) bool {
			return !g.superseded(l) && g.spread[l.GetDataCentre()] < g.maxVotersPerDataCentre()
		}, func(l *raft.PeerStatus) bool { return !g.superseded(l) })
	}
	if urgent {
		conditions = append(conditions, func(l *raft.PeerStatus) bool {
			return g.spread[l.GetDataCentre()] < g.maxVotersPerDataCentre()
		}, func(*raft.PeerStatus) bool { return true })
	}
	for _, fits := range conditions {
		if l := g.first(func(l *raft.PeerStatus) bool { return eligible(l) && fits(l) }); l != nil {
			return l
		}
	}
	return nil
}

// superseded reports whether a newer replica in the data centre of a learner has a vote.
func (g *group) superseded(l *raft.PeerStatus) bool {
	return slices.ContainsFunc(g.all[slices.Index(g.all, l):], func(r *raft.PeerStatus) bool {
		return r.GetVoter() && r.GetDataCentre() == l.GetDataCentre()
	})
}

// eligible reports whether a replica is a learner that can take a vote.
func eligible(l *raft.PeerStatus) bool {
	return !l.GetVoter() && l.CaughtUp && !l.Leaving && l.Silence <= maxPromotionSilence
}

// settled reports whether a learner can take the vote of a replica that is in touch.
func (g *group) settled(l *raft.PeerStatus) bool { return eligible(l) && l.Steady >= g.settleTime() }

// silentVoter returns the voter that has been silent for longest, and for at least ReplaceAfter.
func (g *group) silentVoter() *raft.PeerStatus {
	if r := g.longestSilent(voters); r != nil && r.Silence >= g.ReplaceAfter {
		return r
	}
	return nil
}

// mostVoters returns the number of voters in the data centre that has most of them.
func (g *group) mostVoters() int {
	n := 0
	for _, voters := range g.spread {
		n = max(n, voters)
	}
	return n
}

// yieldingVoter returns the oldest voter in the data centre that has most voters, or nil. Of several
// such data centres it is the one with the newest voter. Unless that one is in touch, the older one
// must keep its vote. If no data centre has two voters, a silent voter may be the one to demote, so
// nothing is done before silentVoter returns it.
func (g *group) yieldingVoter() *raft.PeerStatus {
	newest := g.last(func(r *raft.PeerStatus) bool { return r.GetVoter() && g.spread[r.GetDataCentre()] == g.mostVoters() })
	if newest.Silence > maxPromotionSilence {
		return nil
	}
	if r := g.olderVoter(newest); r != nil {
		return r
	}
	if r := g.longestSilent(voters); r == nil || r.Silence > maxPromotionSilence {
		return nil
	}
	return g.first(func(r *raft.PeerStatus) bool { return r != g.leader && r.GetVoter() })
}

// olderVoter returns the oldest voter in the data centre of a replica that is older than it, or nil.
func (g *group) olderVoter(than *raft.PeerStatus) *raft.PeerStatus {
	for _, r := range g.all {
		if r == than {
			break
		}
		if r.GetVoter() && r.GetDataCentre() == than.GetDataCentre() {
			return r
		}
	}
	return nil
}

// lostDisk returns a voter with a successor at its address, or nil. It has lost its disk and can't
// rejoin, so ReplaceAfter does not apply to it.
func (g *group) lostDisk() *raft.PeerStatus {
	return g.first(func(r *raft.PeerStatus) bool { return r.GetVoter() && g.hasSuccessor(r) })
}

// hasSuccessor reports whether a replica with another identity has been heard from the address of r
// more recently than r.
func (g *group) hasSuccessor(r *raft.PeerStatus) bool {
	return r != g.leader && slices.ContainsFunc(g.all, func(o *raft.PeerStatus) bool {
		return o.GetId() != r.GetId() && o.GetAddress() == r.GetAddress() && o.Silence < r.Silence
	})
}

// longestSilent returns the voter or learner, other than the leader, with the longest silence, or
// nil if there is none. A replica with a successor takes precedence.
func (g *group) longestSilent(voter bool) *raft.PeerStatus {
	var w *raft.PeerStatus
	for _, r := range g.all {
		if r == g.leader || r.GetVoter() != voter {
			continue
		}
		if g.hasSuccessor(r) {
			return r
		}
		if w == nil || r.Silence > w.Silence {
			w = r
		}
	}
	return w
}

// first returns the oldest replica that meets a condition, or nil.
func (g *group) first(ok func(*raft.PeerStatus) bool) *raft.PeerStatus {
	if i := slices.IndexFunc(g.all, ok); i >= 0 {
		return g.all[i]
	}
	return nil
}

// last returns the newest replica that meets a condition, or nil.
func (g *group) last(ok func(*raft.PeerStatus) bool) *raft.PeerStatus {
	for _, r := range slices.Backward(g.all) {
		if ok(r) {
			return r
		}
	}
	return nil
}
