package raft

import (
	"time"

	"azurelane/core/wire"
)

// RoleChange is a change of a replica's role with what decided it, for its log. Who
// reads it afterwards can tell a leader that was cut off from one whose own
// process came too late to its turns.
type RoleChange struct {
	Role    string        // The one taken on.
	Reason     string        // A short sentence.
	Term    uint64        // Known afterwards.
	From    string        // Identity of the replica whose message decided it, empty for none.
	Silence time.Duration // Since a leader was heard; at a leader, since the round that a quorum answered.
	LongestPause    time.Duration // The longest time between two turns of this replica of late.
}

// String names a role in logs.
func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// shift takes on a role and notes why. From is the message that decided it, nil
// for none.
func (r *Raft) shift(to role, why string, from *wire.Raft) {
	if r.role == to {
		return
	}
	at := r.heard
	if r.role == leader {
		at = r.quorumRound()
		if at.IsZero() {
			at = r.since
		}
	}
	r.role = to
	r.out.RoleChanges = append(r.out.RoleChanges, RoleChange{
		Role: to.String(), Reason: why, Term: r.term, From: from.GetFrom(), Silence: r.now.Sub(at), LongestPause: r.pauses.longest(),
	})
}

// pauses is the longest time between two turns of a replica, in the current span
// of an election timeout and the one before. The zero value is ready.
type pauses struct {
	since      time.Time
	last, this time.Duration
}

// note takes the time between two turns.
func (p *pauses) note(now time.Time, gap, span time.Duration) {
	if now.Sub(p.since) >= span {
		p.since, p.last, p.this = now, p.this, 0
	}
	p.this = max(p.this, gap)
}

// longest is the longest one of late.
func (p *pauses) longest() time.Duration { return max(p.last, p.this) }
