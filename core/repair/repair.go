// Package repair decides how a control group restores its set of voters: which learner to promote
// or which replica to remove next.
package repair

import (
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

// NextChange returns the membership change that the leader should propose now, or nil if none is
// needed. Argument self is the leader, and others are the remaining replicas as the leader sees
// them.
func (p Policy) NextChange(self *wire.Replica, others []raft.PeerStatus) *wire.Membership {
	voters, votersByDataCentre := 1, map[string]int{self.GetDataCentre(): 1}
	for _, o := range others {
		if o.GetVoter() {
			voters++
			votersByDataCentre[o.GetDataCentre()]++
		}
	}
	if voters > p.TargetVoters() {
		return removalOf(leastAvailable(others, true))
	}
	if c := p.learnerToPromote(others, votersByDataCentre, voters); c != nil {
		return &wire.Membership{
			Replica: c.GetId(), Address: c.GetAddress(), DataCentre: c.GetDataCentre(), Role: wire.Membership_ROLE_VOTER,
		}
	}
	if w := leastAvailable(others, false); w != nil && (w.Silence > p.RemoveLearnerAfter || hasSuccessor(*w, others)) {
		return removalOf(w)
	}
	return nil
}

// learnerToPromote returns a learner to promote, or nil. A learner is promoted if there are too few
// voters, or to replace a voter that is silent or has lost its disk. In the second case the group
// has one voter too many until the next change removes the old voter. In this order, each command
// is always on as many disks as before. The function decrements the count of the old voter's data
// centre in votersByDataCentre.
func (p Policy) learnerToPromote(others []raft.PeerStatus, votersByDataCentre map[string]int, voters int) *raft.PeerStatus {
	var outgoing *raft.PeerStatus
	if voters >= p.TargetVoters() {
		outgoing = p.voterToReplace(others)
		if outgoing == nil {
			return nil
		}
		votersByDataCentre[outgoing.GetDataCentre()]--
	}
	var best *raft.PeerStatus
	for i, o := range others {
		if o.GetVoter() || !o.CaughtUp || o.Silence > maxPromotionSilence || votersByDataCentre[o.GetDataCentre()] >= p.maxVotersPerDataCentre() {
			continue
		}
		if best == nil || (outgoing != nil && o.GetAddress() == outgoing.GetAddress()) {
			best = &others[i]
		}
	}
	return best
}

// voterToReplace returns the voter to replace, or nil. A voter whose address is used by a replica
// with another identity has lost its disk and can't rejoin, so ReplaceAfter does not apply to it.
func (p Policy) voterToReplace(others []raft.PeerStatus) *raft.PeerStatus {
	w := leastAvailable(others, true)
	for i, o := range others {
		if o.GetVoter() && hasSuccessor(o, others) {
			return &others[i]
		}
	}
	if w == nil || w.Silence < p.ReplaceAfter {
		return nil
	}
	return w
}

// hasSuccessor reports whether a replica with another identity has been heard from the address of r
// more recently than r.
func hasSuccessor(r raft.PeerStatus, all []raft.PeerStatus) bool {
	for _, o := range all {
		if o.GetId() != r.GetId() && o.GetAddress() == r.GetAddress() && o.Silence < r.Silence {
			return true
		}
	}
	return false
}

// leastAvailable returns the voter, or the learner if voter is false, with the longest silence, or
// nil if there is none. A replica with a successor takes precedence.
func leastAvailable(others []raft.PeerStatus, voter bool) *raft.PeerStatus {
	var w *raft.PeerStatus
	for i, o := range others {
		if o.GetVoter() != voter {
			continue
		}
		if hasSuccessor(o, others) {
			return &others[i]
		}
		if w == nil || o.Silence > w.Silence {
			w = &others[i]
		}
	}
	return w
}

// removalOf returns the membership change that removes a replica, or nil for nil.
func removalOf(r *raft.PeerStatus) *wire.Membership {
	if r == nil {
		return nil
	}
	return &wire.Membership{Replica: r.GetId(), Address: r.GetAddress(), Role: wire.Membership_ROLE_NONE}
}
