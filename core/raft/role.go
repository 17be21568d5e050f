package raft

import (
	"time"

	"azurelane/core/wire"
)

// RoleChange describes a change of a replica's role and its cause, for logging. It
// distinguishes a leader that was cut off from one whose own process was not scheduled in time.
type RoleChange struct {
	Role         string        // The new role.
	Reason       string        // A short sentence.
	Term         uint64        // The term after the change.
	From         string        // Identity of the replica whose message caused the change, empty for none.
	Silence      time.Duration // Since a leader was heard; at a leader, since the round that a quorum answered.
	LongestPause time.Duration // Longest recent time between two calls to this replica.
}

// String names a role in logs.
func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// setRole changes the role and records the reason. From is the message that caused the change,
// nil for none.
func (r *Raft) setRole(to role, reason string, from *wire.Raft) {
	if r.role == to {
		return
	}
	at := r.lastLeaderContact
	if r.role == leader {
		at = r.quorumRound()
		if at.IsZero() {
			at = r.leaderSince
		}
	}
	r.role = to
	r.out.RoleChanges = append(r.out.RoleChanges, RoleChange{
		Role: to.String(), Reason: reason, Term: r.term, From: from.GetFrom(), Silence: r.now.Sub(at), LongestPause: r.pauses.longest(),
	})
}

// pauses tracks the longest of several times, such as those between two calls to a replica, in the
// current window and in the one before. The zero value is ready for use.
type pauses struct {
	windowStart       time.Time
	previous, current time.Duration
}

// observe records a time, such as the one between two calls.
func (p *pauses) observe(now time.Time, gap, span time.Duration) {
	if now.Sub(p.windowStart) >= span {
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, gap)
}

// longest is the longest time in both windows.
func (p *pauses) longest() time.Duration { return max(p.previous, p.current) }
