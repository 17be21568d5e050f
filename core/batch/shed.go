package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shedInterval is the time between two searches for tickets that no slot will reach. Callers
	// hardly notice a delay of this length, and the queue is sorted only this often.
	shedInterval = 40 * time.Millisecond
	// shedWindow is the time over which the rate of grants is measured.
	shedWindow = 500 * time.Millisecond
	// shedMargin is the factor by which the expected wait must exceed the time that a ticket can
	// wait. Rates vary, and some of the tickets ahead go away. With a lower factor, requests that
	// could have been served would be refused on a mere even chance.
	shedMargin = 1.5
	// minGrantShare is the least rate of grants that is assumed, as a share of the capacity,
	// because engines may pause for a moment and then continue.
	minGrantShare = 0.5
)

// shedder refuses early the tickets that will not get a slot. The zero value has no data yet.
//
// In a burst far more tickets wait than slots become free within their objectives. If they were
// kept until their objectives pass, those at the end of the queue would wait for nothing: their
// callers would retry later than they could, and the queue would be so long that each decision
// scans thousands of tickets. The order of the queue is known, and so is the number of tickets
// ahead of each.
type shedder struct {
	searchedAt  time.Duration // Since the policy started.
	windowStart time.Duration // Start of the current window, since the policy started.
	grants      int           // Grants in the current window.
	grantRate   float64       // Grants per second in the previous window; zero while unknown.
	sorted      []*item
}

func (s *shedder) addGrant(now time.Duration) {
	s.grants++
	s.rollWindow(now)
}

// rollWindow starts a new window if the current one has ended.
func (s *shedder) rollWindow(now time.Duration) {
	if d := now - s.windowStart; d >= shedWindow {
		s.grantRate = float64(s.grants) / d.Seconds()
		s.windowStart, s.grants = now, 0
	}
}

// due reports whether it is time for the next search.
func (s *shedder) due(now time.Duration) bool {
	s.rollWindow(now)
	if now-s.searchedAt < shedInterval {
		return false
	}
	s.searchedAt = now
	return true
}

// markUnreachable marks for refusal the tickets that have more tickets ahead of them, in the
// order of scores, than slots become free while they can wait. minRate is the least rate to
// assume, in grants per second.
func (s *shedder) markUnreachable(now time.Duration, waiting []*item, minRate float64) {
	rate := max(s.grantRate, minRate)
	s.sorted = append(s.sorted[:0], waiting...)
	slices.SortFunc(s.sorted, func(a, b *item) int { return cmp.Compare(b.score(now), a.score(now)) })
	orderByUrgency(s.sorted)
	ahead := 0.0
	for _, i := range s.sorted {
		if i.deferred {
			continue // It gets slots that the others leave.
		}
		unreachable := ahead/rate > shedMargin*(i.waitsUntil()-now).Seconds()
		i.unreachable = unreachable && i.deferrable
		if unreachable {
			if !i.deferrable {
				i.refuseAt = now
			}
			continue
		}
		ahead++
	}
}

// capacity returns how many requests per second all slots could start, by the slot times of the
// waiting tickets and the rate limits that engines announce.
func (b *Batch) capacity() float64 {
	var sum time.Duration
	for _, i := range b.waiting {
		sum += b.meanEngine.slotTime(i.prompt, i.answer)
	}
	if sum == 0 {
		return 0
	}
	meanSlotTime := sum.Seconds() / float64(len(b.waiting))
	total := 0.0
	for _, e := range b.knownEngines() {
		rate := float64(e.AnnouncedLimit()) / meanSlotTime
		if limit, ok := e.Meter.Rate(); ok {
			rate = min(rate, limit)
		}
		total += rate
	}
	return total
}
