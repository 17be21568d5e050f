package batch

import (
	"slices"
	"time"
)

// urgentFor is how long the most urgent priority seen stays the one to heed.
const urgentFor = 30 * time.Second

// urgent is the most urgent priority that was asked for of late. Only its requests
// may wait at an engine beyond its batch. A less urgent one there would take the
// next free place before any more urgent one that comes meanwhile, and with runs
// of a second that is a long while.
type urgent struct {
	priority int32
	at       time.Time
}

// has reports whether a ticket is of that priority.
func (u *urgent) has(i *item) bool { return i.priority <= u.priority }

// waits reports whether any such ticket waits.
func (u *urgent) waits(list []*item) bool { return slices.ContainsFunc(list, u.has) }

func (u *urgent) seen(now time.Time, priority int32) {
	if priority <= u.priority || now.Sub(u.at) > urgentFor {
		u.priority, u.at = priority, now
	}
}
