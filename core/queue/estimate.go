package queue

import (
	"time"

	"azurelane/core/item"
)

// RecordArrival adds a ticket's work to the arrivals of its account. It must be called
// before Push.
func (q *Queue) RecordArrival(i *item.Item) {
	a := q.accountState(i.GetAccount())
	a.arrived[i.Level()] += i.Work
}

// UpdateRates closes an interval of the given length and adds the arrivals recorded in it
// to the arrival rates, which are EWMAs with the given gain.
func (q *Queue) UpdateRates(span time.Duration, gain float64) {
	for _, a := range q.all {
		for l := range a.arrived {
			a.arrivalRate[l] += gain * (a.arrived[l]/span.Seconds() - a.arrivalRate[l])
			a.arrived[l] = 0
		}
	}
}

// WorkAhead estimates the work, in work units, that the pool does before the ticket, if the
// ticket is to wait for at most within and the pool does rate work units a second. It
// counts the work that waits ahead of the ticket and, by the recent arrival rates, the work
// that will arrive ahead of it. Another account's work counts up to that account's share of
// the time, because work beyond the share is scheduled after this ticket.
func (q *Queue) WorkAhead(i *item.Item, within time.Duration, rate float64) float64 {
	self := q.accountState(i.GetAccount())
	level, span := i.Level(), max(within.Seconds(), 0)
	weights := q.activeWeight
	if self.activeIndex < 0 {
		weights += q.accountConfig(self.name).Weight
	}
	var sum float64
	for _, a := range q.all {
		var before float64
		for l := range level {
			before += a.work[l] + a.arrivalRate[l]*span
		}
		if a == self {
			sum += before + a.work[level]*a.fractionEarlier(i)
			continue
		}
		before += a.work[level] + a.arrivalRate[level]*span
		if before > 0 {
			sum += min(before, q.accountConfig(a.name).Weight/weights*rate*span)
		}
	}
	return sum
}

// fractionEarlier estimates the fraction of the account's waiting tickets of the same tier
// that have an earlier deadline. It interpolates between the deadlines of the first and the
// newest of them.
func (a *account) fractionEarlier(i *item.Item) float64 {
	last := a.newest[i.Level()]
	if i.Deadline.IsZero() || last == nil {
		return 1
	}
	first := last
	for _, f := range a.flows {
		if f.level == i.Level() && dueBefore(f.items.nodes[0], first) {
			first = f.items.nodes[0]
		}
	}
	span := last.Deadline.Sub(first.Deadline)
	if last.Deadline.IsZero() || span <= 0 {
		return 1
	}
	return min(max(i.Deadline.Sub(first.Deadline).Seconds()/span.Seconds(), 0), 1)
}
