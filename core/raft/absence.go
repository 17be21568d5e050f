package raft

import (
	"time"

	"azurelane/core/wire"
)

// silenceOf returns how long a replica has been silent. The time belongs to the replica and goes on
// across elections: a leader tells the others which replicas it doesn't hear, and its successor
// continues from there. For an election timeout a new leader counts from its own start, since even
// a replica that is there has had no time to reply.
func (r *Raft) silenceOf(p *progress) time.Duration {
	since := p.seenBefore
	if p.lastHeard.After(since) {
		since = p.lastHeard
	}
	if p.addedAt.After(since) && r.now.Sub(p.addedAt) < r.electionTimeout() {
		since = p.addedAt
	}
	return r.now.Sub(since)
}

// inTouch reports whether a replica has replied to this leader recently.
func (r *Raft) inTouch(p *progress) bool { return r.now.Sub(p.lastHeard) < r.electionTimeout() }

// lastSeen returns when a replica was last in touch with a leader or sent a message to this
// replica, as far as this replica knows.
func (r *Raft) lastSeen(id string) time.Time {
	if r.absencesAt.IsZero() {
		return r.now
	}
	at := r.absencesAt
	for _, a := range r.absences {
		if a.GetReplica() == id {
			at = at.Add(-time.Duration(a.GetSilenceUs()) * time.Microsecond) //nolint:gosec // Far below the limit.
		}
	}
	if heard := r.contacts.lastHeard[id]; heard.After(at) {
		return heard
	}
	return at
}

// updateAbsences lists the replicas that the leader does not hear, for its messages and for the
// time after it has stepped down.
func (r *Raft) updateAbsences() {
	r.absences, r.absencesAt = nil, r.now
	for _, p := range r.Replicas() {
		if pr := r.peers[p.GetId()]; pr != nil && r.silenceOf(pr) >= r.electionTimeout() {
			r.absences = append(r.absences, &wire.Absence{
				Replica: p.GetId(), SilenceUs: uint64(r.silenceOf(pr).Microseconds()), //nolint:gosec // Not negative.
			})
		}
	}
}

// learnAbsences takes over the leader's list.
func (r *Raft) learnAbsences(m *wire.Raft) { r.absences, r.absencesAt = m.GetAbsences(), r.now }
