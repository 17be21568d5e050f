package raft

import (
	"time"

	"azurelane/core/wire"
)

const (
	// reachAfter, reachEvery and cutAfter are parts of the election timeout, one in
	// so many: the silence of the leader after which a replica asks the voters whether
	// it reaches them, how often it asks, and the silence after which it may say that
	// it is cut off. A leader beats ten times in an election timeout.
	reachAfter = 2
	reachEvery = 8
	cutAfter   = 4 // Three of these parts.
	cutParts   = 3
)

// reach is which replicas were heard when. The zero value has heard none.
type reach struct {
	heard map[string]time.Time
	askAt time.Time
}

func (r *reach) note(now time.Time, from string) {
	if r.heard == nil {
		r.heard = map[string]time.Time{}
	}
	r.heard[from] = now
}

// askReach asks the voters for a sign of life while no leader is heard. The question
// is that of a pre-vote, which changes nothing at who answers it.
func (r *Raft) askReach() {
	if r.group == "" || r.now.Sub(r.heard) < r.election()/reachAfter || r.now.Before(r.reach.askAt) {
		return
	}
	r.reach.askAt = r.now.Add(r.election() / reachEvery)
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID {
			r.send(&wire.Raft{
				To: p.GetId(), Term: r.term + 1, Kind: wire.Raft_KIND_VOTE, PreVote: true,
				LastIndex: r.log.last(), LastTerm: r.log.lastTerm(),
			})
		}
	}
}

// CutOff reports whether this replica follows no leader and reaches no quorum, so
// that nobody will lead here for as long as that lasts. It is known within three
// quarters of the election timeout after a cut, and takes nothing but hearing a
// leader, or enough others, to end.
func (r *Raft) CutOff(now time.Time) bool {
	r.advance(now)
	if r.group == "" || r.role == leader || r.now.Sub(r.heard) < cutParts*r.election()/cutAfter {
		return false
	}
	n := 0
	if r.voter(r.ID) {
		n = 1
	}
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID && r.now.Sub(r.reach.heard[p.GetId()]) < r.election()/reachAfter {
			n++
		}
	}
	return n < r.quorum()
}
