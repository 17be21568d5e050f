package raft

import (
	"time"

	"azurelane/core/wire"
)

const (
	// These constants define fractions of the election timeout. A replica that hears no leader
	// probes the voters after 1/probeDelayDivisor, and then every 1/probeIntervalDivisor. After
	// cutOffMultiplier/cutOffDivisor it may report that it is cut off. A voter counts as
	// reachable for 1/probeDelayDivisor after its last message. The leader sends ten heartbeats
	// in an election timeout.
	probeDelayDivisor    = 2
	probeIntervalDivisor = 8
	cutOffDivisor        = 4
	cutOffMultiplier     = 3
	// startGraceTimeouts is the number of election timeouts after its start within which a replica
	// that has not heard a leader does not report that it is cut off. After a stop of everything
	// the links of many replicas take longer to stand than a partition takes to be detected.
	startGraceTimeouts = 3
)

// contacts records when each replica was last heard. The zero value is empty and ready for use.
type contacts struct {
	lastHeard map[string]time.Time
	nextProbe time.Time
}

func (r *contacts) observe(now time.Time, from string) {
	if r.lastHeard == nil {
		r.lastHeard = map[string]time.Time{}
	}
	r.lastHeard[from] = now
}

// probeVoters asks the voters for a reply while no leader is heard. The probe is a pre-vote
// request, which changes nothing at its receiver.
func (r *Raft) probeVoters() {
	if r.group == "" || r.now.Sub(r.lastLeaderContact) < r.electionTimeout()/probeDelayDivisor || r.now.Before(r.contacts.nextProbe) {
		return
	}
	r.contacts.nextProbe = r.now.Add(r.electionTimeout() / probeIntervalDivisor)
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID {
			r.send(&wire.Raft{
				To: p.GetId(), Term: r.term + 1, Kind: wire.Raft_KIND_VOTE, PreVote: true,
				LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
			})
		}
	}
}

// CutOff reports whether this replica follows no leader and reaches no quorum, so that no
// leader can be elected on its side of a network partition. It is detected within three
// quarters of the election timeout after a partition, and ends once the replica hears a leader
// or enough voters. A replica that has just started has startGraceTimeouts to hear them first.
func (r *Raft) CutOff(now time.Time) bool {
	r.advanceClock(now)
	if r.group == "" || r.role == leader || r.now.Sub(r.lastLeaderContact) < cutOffMultiplier*r.electionTimeout()/cutOffDivisor {
		return false
	}
	if !r.lastLeaderContact.After(r.startedAt) && r.now.Sub(r.startedAt) < startGraceTimeouts*r.electionTimeout() {
		return false
	}
	n := 0
	if r.isVoter(r.ID) {
		n = 1
	}
	for _, p := range r.Replicas() {
		if p.GetVoter() && p.GetId() != r.ID && r.now.Sub(r.contacts.lastHeard[p.GetId()]) < r.electionTimeout()/probeDelayDivisor {
			n++
		}
	}
	return n < r.quorumSize()
}
