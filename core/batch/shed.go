package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shedEvery is the time between two looks at whom the places to come can't reach:
	// callers hear it within the time that they would hardly notice, and the scheduler
	// sorts what waits that often only.
	shedEvery = 40 * time.Millisecond
	// shedSpan is the time over which the rate of grants is taken.
	shedSpan = 500 * time.Millisecond
	// shedMargin is by how much the expected wait must be longer than a request can
	// wait. Rates vary, and some of those ahead go away; refused on a mere even chance,
	// requests would come back that could have been served.
	shedMargin = 1.5
	// shedLeast is the part of what all places could begin by their usual runs that the
	// rate is taken for at least: engines that stand still for a moment go on.
	shedLeast = 0.5
)

// shed is what tells early who will not get a place. The zero value knows nothing.
//
// In a burst far more wait than places become free within their objectives. Kept until
// their objective is over, those at the end of the line wait for nothing: they come back
// later than they could, and the line is so long that each decision looks at thousands.
// As the order is known, so is how many are ahead of each.
type shed struct {
	looked time.Duration // Since the policy's start.
	since  time.Duration // When the current count began.
	count  int           // Grants since then.
	rate   float64       // Grants a second in the span before, zero while not known.
	order  []*item
}

// granted counts a grant.
func (s *shed) granted(now time.Duration) {
	s.count++
	s.roll(now)
}

// roll ends a span.
func (s *shed) roll(now time.Duration) {
	if d := now - s.since; d >= shedSpan {
		s.rate = float64(s.count) / d.Seconds()
		s.since, s.count = now, 0
	}
}

// due reports whether it is time for a look.
func (s *shed) due(now time.Duration) bool {
	s.roll(now)
	if now-s.looked < shedEvery {
		return false
	}
	s.looked = now
	return s.rate > 0
}

// hopeless marks those who wait for more places than will become free while they can
// wait, by the order in which they get them. Least is the least rate to reckon with.
func (s *shed) hopeless(now time.Duration, waiting []*item, least float64) {
	rate := max(s.rate, least)
	s.order = append(s.order[:0], waiting...)
	slices.SortFunc(s.order, func(a, b *item) int { return cmp.Compare(b.score(now), a.score(now)) })
	ahead := 0.0
	for _, i := range s.order {
		if ahead/rate > shedMargin*(i.giveUp-now).Seconds() {
			i.giveUp = now
			continue
		}
		ahead++
	}
}

// capacity is how many requests a second all places could begin, by the usual runs of
// what waits and the limits that engines name.
func (b *Batch) capacity() float64 {
	var sum time.Duration
	for _, i := range b.waiting {
		sum += b.mean.place(i.prompt, i.answer)
	}
	if sum == 0 {
		return 0
	}
	run := sum.Seconds() / float64(len(b.waiting))
	all := 0.0
	for _, e := range b.known() {
		rate := float64(e.Limit()) / run
		if limit, ok := e.Meter.Rate(); ok {
			rate = min(rate, limit)
		}
		all += rate
	}
	return all
}
