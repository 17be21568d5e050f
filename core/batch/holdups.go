package batch

import "time"

const (
	// maxHoldUpShare is the share of a run's time up to which its entry may hold a slot beyond the run.
	// Beyond it, the times that the entry reports hold as much of its own delay, and nothing is learnt from them.
	maxHoldUpShare = 0.25
	// holdUpSteps is the hold-up of a run in multiples of what shows beside it: the entry is as late
	// with what it passes on meanwhile as with the grant and the release.
	holdUpSteps     = 2
	holdUpRetention = 10 * time.Second
	// holdUpWindow is the time for which the least hold-up of an entry is kept, once or twice. That much is the
	// way to the entry and back, which may be long where it is in another region.
	holdUpWindow = time.Minute
	// An entry that is held up for lateHoldUp may hold lateSlotShare of a pool's slots while other entries ask
	// for some. It releases most of them at once, and until then the others would wait past their objectives.
	lateHoldUp    = 250 * time.Millisecond
	lateSlotShare = 0.75
	// otherEntryAfter is when callers may retry that were refused since their entry is late. They reach other
	// entries then.
	otherEntryAfter = 100 * time.Millisecond
)

type (
	// holdUps estimates for how long entries hold slots beyond the runs that they report. An entry without
	// processor time left, or behind a slow link, gets grants late and releases late. The zero value knows
	// of none.
	holdUps struct {
		entries map[string]*holdUp // By name.
		late    int                // Entries that are held up for lateHoldUp, as of the last sweep.
	}

	holdUp struct {
		mean   time.Duration // EWMA, beyond the least.
		at     time.Time     // Of the last release.
		least  time.Duration // In this window.
		before time.Duration // In the window before; that of this window if there is none.
		since  time.Time     // Start of the window.
	}
)

// add records a slot of an entry that was held for a time beyond its run. It returns by how much that exceeds
// the way to the entry and back.
func (h *holdUps) add(now time.Time, entry string, beyond time.Duration) time.Duration {
	e := h.entries[entry]
	if e == nil {
		if h.entries == nil {
			h.entries = map[string]*holdUp{}
		}
		e = &holdUp{least: beyond, before: beyond, since: now}
		h.entries[entry] = e
	}
	if now.Sub(e.since) >= holdUpWindow {
		e.before, e.least, e.since = e.least, beyond, now
	}
	e.least = min(e.least, beyond)
	excess := beyond - min(e.least, e.before)
	e.mean, e.at = ewma(e.mean, excess), now
	return excess
}

// of returns by how much longer a run of an entry is expected to hold a slot than an engine works on it.
func (h *holdUps) of(entry string) time.Duration {
	if e := h.entries[entry]; e != nil {
		return holdUpSteps * e.mean
	}
	return 0
}

// isLate reports whether an entry is held up for lateHoldUp.
func (h *holdUps) isLate(entry string) bool {
	e := h.entries[entry]
	return e != nil && e.mean >= lateHoldUp
}

// isSlowest reports whether an entry is held up for lateHoldUp while most entries are not.
func (h *holdUps) isSlowest(entry string) bool {
	return h.late > 0 && 2*h.late < len(h.entries) && h.isLate(entry)
}

// sweep forgets entries that have held nothing for a while, and counts those that are late.
func (h *holdUps) sweep(now time.Time) {
	h.late = 0
	for name, e := range h.entries {
		if now.Sub(e.at) > holdUpRetention {
			delete(h.entries, name)
			continue
		}
		if h.isLate(name) {
			h.late++
		}
	}
}

// leavesSlots reports whether a ticket has to leave the slots that are free to other entries.
func (b *Batch) leavesSlots(i *item) bool {
	if b.holdUps.late == 0 || len(b.holdUps.entries) == 1 || !b.holdUps.isLate(i.GetEntry()) {
		return false
	}
	return float64(b.slots.EntryLen(i.GetIncarnation())) >= lateSlotShare*float64(b.slotCount)
}
