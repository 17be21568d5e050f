package late

import (
	"time"

	"azurelane/core/item"
	"azurelane/core/limit"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

const (
	reviewMost  = 8   // Tickets of one account and tier that one review refuses.
	reviewSlack = 0.2 // Part of the time left by which a ticket must be late.
	reviewEvery = 5   // Sweeps between two reviews.
)

// sweep looks at all slots and upstreams, which is too much for each call.
func (l *Late) sweep(now time.Time) []*wire.Decision {
	l.swept, l.stale = now, true
	l.table.Expire(now, forgetAfter)
	l.slots.Sweep(now, l.pool.MaxRun+runGrace, l.overdue(now))
	l.turn(now)
	before := l.live
	l.measure(now)
	var out []*wire.Decision
	if l.sweeps++; l.sweeps%reviewEvery == 0 {
		out = l.review(now)
	}
	if (l.live < before || l.live == 0) && now.Sub(l.started) >= startGrace {
		out = append(out, l.unserved(now)...)
	}
	return out
}

// measure sums up the live upstreams: how many there are, how fast they are
// together, and which one is the fastest for a usual run.
func (l *Late) measure(now time.Time) {
	l.live, l.rate, l.quick = 0, 0, nil
	l.place.Alone, l.place.Usual = true, 0
	var quickest time.Duration
	prompt, answer := int64(l.usual.prompt), int64(l.usual.answer)
	for _, u := range l.table.All() {
		if !u.Live(now) {
			continue
		}
		l.live++
		l.place.Alone = l.place.Alone && u.Observed.OnTrial()
		e := u.Observed.RunTime(prompt, answer, false)
		if e <= 0 {
			continue
		}
		l.rate += float64(u.EffectiveLimit(now)) * limit.Cost(prompt, answer) / e.Seconds()
		l.place.Usual = max(l.place.Usual, e)
		if l.quick == nil || e < quickest {
			l.quick, quickest = u, e
		}
	}
	l.rate = l.drain.capacity(l.rate)
	l.queue.Burst = l.rate * burst.Seconds()
}

// unserved refuses what no live upstream serves any more, now and not at its
// deadline.
func (l *Late) unserved(now time.Time) []*wire.Decision {
	var out []*wire.Decision
	for _, i := range l.queue.Drop(func(i *item.Item) bool { return !l.served(now, i.Ticket) }) {
		out = append(out, refuse.Ticket(i.Ticket, refuse.NoUpstream, startGrace))
	}
	return out
}

// review refuses waiting tickets that are predicted to be late by now, the
// newest first. They were accepted before more urgent work came, or before an
// upstream became slow, and their callers should not learn of it at the last
// moment. It is slower to say no than hopeless, as what passes soon is no reason.
func (l *Late) review(now time.Time) []*wire.Decision {
	if l.rate == 0 {
		return nil
	}
	var out []*wire.Decision
	for _, i := range l.queue.Newest() {
		for n := 0; i != nil && n < reviewMost && !i.LatestDispatch.IsZero() && !l.queue.Lower(i.GetAccount(), i.Level()); n++ {
			late := l.late(now, i)
			if late <= time.Duration(reviewSlack*float64(i.LatestDispatch.Sub(now))) {
				break
			}
			l.queue.Remove(i.GetIncarnation(), i.GetId())
			out = append(out, refuse.Ticket(i.Ticket, refuse.Deadline, retry(i.Ticket, late)))
			i = l.queue.NewestOf(i.GetAccount(), i.Level())
		}
	}
	return out
}
