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
	wait := seconds(l.queue.Ahead(i) / l.rate)
	if late := now.Add(wait).Sub(i.Latest); late > 0 {
		return refuse.Deadline, retry(i.Ticket, late)
	}
	return "", 0
}

// drain is when a ticket like the shed one may find room: when the work ahead
// of it is done.
func (l *Late) drain(i *item.Item) time.Duration {
	if l.rate == 0 {
		return retry(i.Ticket, time.Second)
	}
	return retry(i.Ticket, seconds(l.queue.Ahead(i)/l.rate))
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
	l.queue.Burst = l.rate * burst.Seconds()
	fewer := live < l.live || live == 0
	l.live = live
	if !fewer || now.Sub(l.started) < startGrace {
		return nil
	}
	// What no live upstream serves any more is told so now, and not at its deadline.
	var out []*wire.Decision
	for _, i := range l.queue.Drop(func(i *item.Item) bool { return !l.served(now, i.Ticket) }) {
		out = append(out, refusal(i.Ticket, refuse.NoUpstream, startGrace))
	}
	return out
}
