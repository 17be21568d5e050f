package batch

import (
	"cmp"
	"slices"
	"time"

	"azurelane/core/refuse"
	"azurelane/core/slot"
	"azurelane/core/wire"
)

const (
	// A move has to gain at least moveGain, and moveGainShare of the time that the run would take where it is.
	// Estimates are wrong by as much, and a move costs both engines a copy.
	moveGain      = 500 * time.Millisecond
	moveGainShare = 0.2
	// moveEndShare is the part of the time to the deadline in which the run has to be expected to end elsewhere,
	// as the engine there may become slower, too.
	moveEndShare = 0.9
)

// decideMove decides at once on the ticket of a run that asks to move off an engine that is too slow for it. It
// gets the slot where it is expected to end first, unless a waiting ticket wants that one. A refused run stays
// where it is and may ask again.
func (b *Batch) decideMove(now time.Time, t *wire.Ticket) *wire.Decision {
	o, ends := b.destination(now, t)
	if o == nil {
		return refuse.Ticket(t, refuse.Overloaded, 0)
	}
	b.elig.Granted(now, o.Upstream)
	d := b.slots.Grant(now, &slot.Slot{Upstream: o.Upstream, Ticket: t}, b.pool.GrantTTL)
	b.updateHeld(t.GetAccount())
	d.GetGrant().EndUs = ends.Microseconds()
	return d
}

// destination returns the engine at which a run that moves ends first, and the time until then; nil if none is
// enough better than the engine that it has.
func (b *Batch) destination(now time.Time, t *wire.Ticket) (*offer, time.Duration) {
	m := t.GetMove()
	if !b.pool.Rebalancing() {
		return nil, 0
	}
	sources, destinations := b.movesInProgress()
	if sources[m.GetFrom()] {
		return nil, 0
	}
	b.listOffers(now, &item{Ticket: t}, sampleSize)
	i := &item{Ticket: t, version: t.GetVersion(), bound: t.GetBound()}
	here := micros(m.GetEndUs())
	most := min(here-max(moveGain, time.Duration(moveGainShare*float64(here))), time.Duration(moveEndShare*float64(micros(t.GetDeadlineUs()))))
	suits := b.offers[:0]
	for _, o := range b.offers {
		id := o.GetUpstream()
		if id != m.GetFrom() && !destinations[id] && !o.batchFull && o.stats.tokenTime > 0 && b.suits(i, &o) && b.endsIn(m, &o) <= most {
			suits = append(suits, o)
		}
	}
	slices.SortStableFunc(suits, func(one, other offer) int { return cmp.Compare(b.endsIn(m, &one), b.endsIn(m, &other)) })
	for n := range suits {
		if o := &suits[n]; !b.isWanted(now.Sub(b.started), o) {
			return o, b.endsIn(m, o)
		}
	}
	return nil, 0
}

// endsIn returns the time until a run that moves to an engine ends there. It has no prefill, but it waits for
// those of others.
func (b *Batch) endsIn(m *wire.Move, o *offer) time.Duration {
	return max(micros(m.GetCostUs()), o.prefillWait) + time.Duration(m.GetTokens())*o.perToken
}

// suits reports whether a ticket may run at an engine, and without pauses that are too long.
func (b *Batch) suits(i *item, o *offer) bool {
	event := time.Duration(max(b.pool.EventTokens, 1)) * o.perToken
	return i.accepts(o.Version) && !slices.Contains(i.GetAvoid(), o.GetUpstream()) && b.fitsCache(o.Upstream, i.GetPromptTokens()+i.GetAnswerTokens()) &&
		(i.GetGapUs() == 0 || event <= micros(i.GetGapUs()))
}

// isWanted reports whether a ticket waits that can be in time on an engine.
func (b *Batch) isWanted(now time.Duration, o *offer) bool {
	return slices.ContainsFunc(b.waiting, func(i *item) bool {
		first := now + o.baseFirstToken + time.Duration(i.prefillSteps*float64(o.perToken))
		return !i.deferred && first <= i.objective && !i.overruns(now, o, i.prefillSteps) && b.suits(i, o)
	})
}

// hasMoved reports whether a run that no longer holds a slot goes on at another engine that is better for it.
func (b *Batch) hasMoved(s *slot.Slot) (moved bool) {
	b.slots.Each(func(other *slot.Slot) {
		m := other.Ticket.GetMove()
		moved = moved || (m != nil && m.GetTicket() == s.Ticket.GetId() && other.Ticket.GetIncarnation() == s.Ticket.GetIncarnation())
	})
	return moved
}

// movesInProgress returns the engines that a run leaves, and those that one moves to. A move is in progress while
// its entry holds the slots at both. Entries report slots to a new scheduler, so it knows the moves as well.
func (b *Batch) movesInProgress() (sources, destinations map[string]bool) {
	sources, destinations = map[string]bool{}, map[string]bool{}
	b.slots.Each(func(s *slot.Slot) {
		m := s.Ticket.GetMove()
		if m == nil {
			return
		}
		if source := b.slots.Of(s.Ticket.GetIncarnation(), m.GetTicket()); source != nil && source.Upstream.GetUpstream() == m.GetFrom() {
			sources[m.GetFrom()], destinations[s.Upstream.GetUpstream()] = true, true
		}
	})
	return sources, destinations
}
