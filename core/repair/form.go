// Package form decides how a control group repairs itself: which replica is
// to be added, promoted or removed next.
package repair

import (
	"time"

	"azurelane/core/raft"
	"azurelane/core/wire"
)

// Policy holds what the group is to tolerate. Its fields are set before use.
type Policy struct {
	MaxLosses  int           // Replicas that may be lost with their disks at once.
	DataCentres int           // Data centres that have replicas.
	ReplaceAfter    time.Duration // Silence after which a voter is replaced by a live learner.
	RemoveLearnerAfter  time.Duration // Silence after which a learner is removed.
}

// present is the longest silence of a replica that may be promoted: some
// heartbeats of the leader.
const present = 500 * time.Millisecond

// TargetVoters is the number of voters that outlives the losses: a command is
// acknowledged by more than half of them, so that one that has it remains, and
// the remaining ones are still more than half.
func (f Policy) TargetVoters() int { return 2*f.MaxLosses + 1 }

// perCentre bounds the voters in one data centre. With more the loss of that
// data centre would take the quorum along.
func (f Policy) perCentre() int {
	if most := max(f.MaxLosses, 1); most*f.DataCentres >= f.TargetVoters() {
		return most
	}
	return f.TargetVoters() // The data centres are too few to spread the voters.
}

// NextChange returns the change that a leader should propose now, or nil. Self is the
// leader, others what it hears of the rest of the group.
func (f Policy) NextChange(self *wire.Replica, others []raft.PeerStatus) *wire.Membership {
	voters, centres := 1, map[string]int{self.GetDataCentre(): 1}
	for _, o := range others {
		if o.GetVoter() {
			voters++
			centres[o.GetDataCentre()]++
		}
	}
	if voters > f.TargetVoters() {
		return remove(worst(others, true))
	}
	if c := f.candidate(others, centres, voters); c != nil {
		return &wire.Membership{
			Replica: c.GetId(), Address: c.GetAddress(), DataCentre: c.GetDataCentre(), Role: wire.Membership_ROLE_VOTER,
		}
	}
	if w := worst(others, false); w != nil && (w.Silence > f.RemoveLearnerAfter || replaced(*w, others)) {
		return remove(w)
	}
	return nil
}

// candidate is the learner to promote: to fill up the voters, or in the place
// of one that stays away or whose disk was replaced. The group has one voter
// too many until the next change removes that one. In this order a command is
// always on as many disks as before.
func (f Policy) candidate(others []raft.PeerStatus, centres map[string]int, voters int) *raft.PeerStatus {
	var away *raft.PeerStatus
	if voters >= f.TargetVoters() {
		away = f.away(others)
		if away == nil {
			return nil
		}
		centres[away.GetDataCentre()]--
	}
	var best *raft.PeerStatus
	for i, o := range others {
		if o.GetVoter() || !o.CaughtUp || o.Silence > present || centres[o.GetDataCentre()] >= f.perCentre() {
			continue
		}
		if best == nil || (away != nil && o.GetAddress() == away.GetAddress()) {
			best = &others[i]
		}
	}
	return best
}

// away is the voter to replace. One whose address has a learner with another
// identity has lost its disk: it can't come back.
func (f Policy) away(others []raft.PeerStatus) *raft.PeerStatus {
	w := worst(others, true)
	for i, o := range others {
		if o.GetVoter() && replaced(o, others) {
			return &others[i]
		}
	}
	if w == nil || w.Silence < f.ReplaceAfter {
		return nil
	}
	return w
}

// replaced reports whether another replica speaks from the address of one that
// is silent.
func replaced(r raft.PeerStatus, all []raft.PeerStatus) bool {
	for _, o := range all {
		if o.GetId() != r.GetId() && o.GetAddress() == r.GetAddress() && o.Silence < r.Silence {
			return true
		}
	}
	return false
}

// worst is the longest silent voter or learner; one that was replaced goes first.
func worst(others []raft.PeerStatus, voter bool) *raft.PeerStatus {
	var w *raft.PeerStatus
	for i, o := range others {
		if o.GetVoter() != voter {
			continue
		}
		if replaced(o, others) {
			return &others[i]
		}
		if w == nil || o.Silence > w.Silence {
			w = &others[i]
		}
	}
	return w
}

func remove(r *raft.PeerStatus) *wire.Membership {
	if r == nil {
		return nil
	}
	return &wire.Membership{Replica: r.GetId(), Address: r.GetAddress(), Role: wire.Membership_ROLE_NONE}
}
