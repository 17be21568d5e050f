package batch

import "time"

// topPriorityTTL is how long a priority stays the top priority without a new request.
const topPriorityTTL = 30 * time.Second

// topPriority is the most urgent priority requested recently; a smaller number is more urgent.
// Only requests of at least this urgency may wait at an engine beyond its batch. A less urgent
// request there would take the next free slot before any more urgent one that arrives meanwhile,
// and with runs of a second that is a long wait.
type topPriority struct {
	priority int32
	seenAt   time.Time
}

// includes reports whether a ticket is at least as urgent as the top priority.
func (p *topPriority) includes(i *item) bool { return i.priority <= p.priority }

func (p *topPriority) observe(now time.Time, priority int32) {
	if priority <= p.priority || now.Sub(p.seenAt) > topPriorityTTL {
		p.priority, p.seenAt = priority, now
	}
}
