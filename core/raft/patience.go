package raft

import "time"

const (
	// gapMultiplier is the multiple of the longest recent gap that the election timeout allows for.
	// On links that lose packets a gap is a retransmission, and its packet may be lost again: the
	// second one takes twice as long as the first.
	gapMultiplier = 4
	// gapWindowTimeouts is the number of election timeouts for which a gap counts at least.
	gapWindowTimeouts = 10
	// newLeaderTimeouts is the number of election timeouts for which a new leader, which can't know
	// the links yet, takes them for lossy.
	newLeaderTimeouts = 4
	// maxGapTimeouts is the length in election timeouts from which a gap is no retransmission but a
	// partition, and maxPatienceTimeouts/maxPatienceDivisor bounds the timeout.
	maxGapTimeouts      = 3
	maxPatienceTimeouts = 5
	maxPatienceDivisor  = 2
)

// observeGap records a time without a message of the leader, or without an answer of a quorum.
func (r *Raft) observeGap(gap time.Duration) {
	if gap < maxGapTimeouts*r.electionTimeout() {
		r.leaderGaps.observe(r.now, gap, gapWindowTimeouts*r.electionTimeout())
	}
}

// patience is the election timeout adapted to the links: a replica waits that long for a leader, at
// least, and a leader for a quorum. It is never shorter than the configured timeout, on which leases
// rely.
func (r *Raft) patience() time.Duration {
	limit := maxPatienceTimeouts * r.electionTimeout() / maxPatienceDivisor
	return min(max(gapMultiplier*r.leaderGaps.longest(), r.electionTimeout()), limit)
}

// lossy reports whether recent gaps were so long that the links seem to lose packets.
func (r *Raft) lossy() bool { return r.patience() > r.electionTimeout() }

// quorumPatience is how long a leader waits for a quorum.
func (r *Raft) quorumPatience() time.Duration {
	if r.lossy() {
		return 2 * r.patience()
	}
	return r.electionTimeout()
}
