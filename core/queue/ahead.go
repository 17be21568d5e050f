package queue

import (
	"time"

	"azurelane/core/item"
)

// RecordArrival counts a ticket's work among what its account asks for. It must be
// called before Push.
func (q *Queue) RecordArrival(i *item.Item) {
	a := q.of(i.GetAccount())
	a.asked[i.Level()] += i.Work
}

// UpdateRates closes a span of time in which Arrived counted, and adds it to the
// running rates by the given gain.
func (q *Queue) UpdateRates(span time.Duration, gain float64) {
	for _, a := range q.all {
		for l := range a.asked {
			a.arrives[l] += gain * (a.asked[l]/span.Seconds() - a.arrives[l])
			a.asked[l] = 0
		}
	}
}

// WorkAhead is the work in units that the pool does before the ticket, if the
// ticket is to wait for the given time at most and the pool does rate units a
// second: what waits before it and, as rates of late go, what will come before
// it. Of another account counts no more than that account's share of the time,
// as work beyond the share stands behind this ticket.
func (q *Queue) WorkAhead(i *item.Item, within time.Duration, rate float64) float64 {
	own := q.of(i.GetAccount())
	level, span := i.Level(), max(within.Seconds(), 0)
	weights := q.weights
	if own.at < 0 {
		weights += q.account(own.name).Weight
	}
	var sum float64
	for _, a := range q.all {
		var before float64
		for l := range level {
			before += a.work[l] + a.arrives[l]*span
		}
		if a == own {
			sum += before + a.work[level]*a.earlier(i)
			continue
		}
		before += a.work[level] + a.arrives[level]*span
		if before > 0 {
			sum += min(before, q.account(a.name).Weight/weights*rate*span)
		}
	}
	return sum
}

// earlier estimates the part of the account's waiting tickets of the same tier
// that have an earlier deadline, from the first and the last one.
func (a *account) earlier(i *item.Item) float64 {
	last := a.newest[i.Level()]
	if i.Deadline.IsZero() || last == nil {
		return 1
	}
	first := last
	for _, f := range a.flows {
		if f.level == i.Level() && sooner(f.items.nodes[0], first) {
			first = f.items.nodes[0]
		}
	}
	span := last.Deadline.Sub(first.Deadline)
	if last.Deadline.IsZero() || span <= 0 {
		return 1
	}
	return min(max(i.Deadline.Sub(first.Deadline).Seconds()/span.Seconds(), 0), 1)
}
