package late

import (
	"slices"
	"time"

	"azurelane/core/item"
	"azurelane/core/limit"
	"azurelane/core/refuse"
	"azurelane/core/upstr"
	"azurelane/core/wire"
)

const (
	shortestRetry = 100 * time.Millisecond
	longestRetry  = time.Minute

	reviewMost  = 8   // Tickets of one account and tier that one review refuses.
	reviewSlack = 0.2 // Part of the time left by which a ticket must be late.
	reviewEvery = 5   // Sweeps between two reviews.
)

// item makes a ticket ready for the queue.
func (l *Late) item(now time.Time, t *wire.Ticket) *item.Item {
	i := &item.Item{Ticket: t, Work: limit.Cost(t.GetPromptTokens(), t.GetAnswerTokens()), Long: l.usual.add(now, t)}
	if t.GetDeadlineUs() > 0 {
		i.Deadline = now.Add(micros(t.GetDeadlineUs()))
		i.Latest = i.Deadline.Add(-l.fastest(now, i))
	}
	return i
}

// fastest is the expected time of the item's run on the fastest upstream that
// serves it, zero while one of them is unknown. Most often the one that is
// fastest for usual runs is fast enough, and the others need no look.
func (l *Late) fastest(now time.Time, i *item.Item) time.Duration {
	if u := l.quick; u != nil && u.Live(now) && u.Serves(i.Ticket) {
		if e := l.place.Safe(u, i.Ticket); !now.Add(e).After(i.Deadline) {
			return e
		}
	}
	best := time.Duration(-1)
	for _, u := range l.table.All() {
		if !u.Live(now) || !u.Serves(i.Ticket) {
			continue
		}
		if e := l.place.Safe(u, i.Ticket); best < 0 || e < best {
			best = e
		}
	}
	return max(best, 0)
}

// hopeless returns the refusal of an item that can't be done in time: by the
// fastest upstream at once, or behind the work ahead of it. The second is a
// prediction, and an account's urgent ticket isn't refused on one while lower
// work of the account is kept.
func (l *Late) hopeless(now time.Time, i *item.Item) (string, time.Duration) {
	if i.Deadline.IsZero() {
		return "", 0
	}
	if now.After(i.Latest) {
		return refuse.Deadline, longestRetry
	}
	if l.rate == 0 || l.queue.Lower(i.GetAccount(), i.Level()) {
		return "", 0
	}
	if late := l.late(now, i); late > 0 {
		return refuse.Deadline, retry(i.Ticket, late)
	}
	return "", 0
}

// late is by how much the work ahead of an item makes it late, below zero when
// it is in time.
func (l *Late) late(now time.Time, i *item.Item) time.Duration {
	left := i.Latest.Sub(now)
	return seconds(l.queue.Ahead(i, left, l.rate)/l.rate) - left
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
		for n := 0; i != nil && n < reviewMost && !i.Latest.IsZero() && !l.queue.Lower(i.GetAccount(), i.Level()); n++ {
			late := l.late(now, i)
			if late <= time.Duration(reviewSlack*float64(i.Latest.Sub(now))) {
				break
			}
			l.queue.Remove(i.GetIncarnation(), i.GetId())
			out = append(out, refuse.Ticket(i.Ticket, refuse.Deadline, retry(i.Ticket, late)))
			i = l.queue.NewestOf(i.GetAccount(), i.Level())
		}
	}
	return out
}

// later is when a ticket like the shed one may find room: when what waits ahead
// of it is done.
func (l *Late) later(i *item.Item) time.Duration {
	if l.rate == 0 {
		return retry(i.Ticket, time.Second)
	}
	return retry(i.Ticket, seconds(l.queue.Ahead(i, 0, l.rate)/l.rate))
}

// retry spreads the return of callers that were refused together over half of
// the time again, or they would come back as one burst.
func retry(t *wire.Ticket, after time.Duration) time.Duration {
	after = min(max(after, shortestRetry), longestRetry)
	const parts = 16
	return after + after/2*time.Duration(t.GetId()%parts)/parts
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, longestRetry.Seconds()*10) * float64(time.Second))
}

// served reports whether a live upstream may run the ticket.
func (l *Late) served(now time.Time, t *wire.Ticket) bool {
	return slices.ContainsFunc(l.table.All(), func(u *upstr.Upstream) bool { return u.Live(now) && u.Serves(t) })
}

// sweep looks at all slots and upstreams, which is too much for each call.
func (l *Late) sweep(now time.Time) []*wire.Decision {
	l.swept, l.stale = now, true
	l.table.Expire(now, forgetAfter)
	l.slots.Sweep(now, l.pool.MaxRun+runGrace, l.overdue(now))
	live := 0
	l.place.Alone = true
	l.turn(now)
	l.rate, l.place.Usual, l.quick = 0, 0, nil
	var quickest time.Duration
	prompt, answer := int64(l.usual.prompt), int64(l.usual.answer)
	for _, u := range l.table.All() {
		if !u.Live(now) {
			continue
		}
		live++
		l.place.Alone = l.place.Alone && u.Learnt.Trial()
		if e := u.Learnt.Expect(prompt, answer, false); e > 0 {
			l.rate += float64(u.Most(now)) * limit.Cost(prompt, answer) / e.Seconds()
			l.place.Usual = max(l.place.Usual, e)
			if l.quick == nil || e < quickest {
				l.quick, quickest = u, e
			}
		}
	}
	l.rate = l.drain.capacity(l.rate)
	l.queue.Burst = l.rate * burst.Seconds()
	fewer := live < l.live || live == 0
	l.live = live
	var out []*wire.Decision
	if l.sweeps++; l.sweeps%reviewEvery == 0 {
		out = l.review(now)
	}
	if !fewer || now.Sub(l.started) < startGrace {
		return out
	}
	// What no live upstream serves any more is told so now, and not at its deadline.
	for _, i := range l.queue.Drop(func(i *item.Item) bool { return !l.served(now, i.Ticket) }) {
		out = append(out, refuse.Ticket(i.Ticket, refuse.NoUpstream, startGrace))
	}
	return out
}
