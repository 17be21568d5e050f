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
		i.LatestDispatch = i.Deadline.Add(-l.fastest(now, i))
	}
	return i
}

// fastest is the expected time of the item's run on the fastest upstream that
// serves it, zero while one of them is unknown. Most often the one that is
// fastest for usual runs is fast enough, and the others need no look.
func (l *Late) fastest(now time.Time, i *item.Item) time.Duration {
	if u := l.quick; u != nil && u.Live(now) && u.Eligible(i.Ticket) {
		if e := l.place.Safe(u, i.Ticket); !now.Add(e).After(i.Deadline) {
			return e
		}
	}
	best := time.Duration(-1)
	for _, u := range l.table.All() {
		if !u.Live(now) || !u.Eligible(i.Ticket) {
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
	if now.After(i.LatestDispatch) {
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
	left := i.LatestDispatch.Sub(now)
	return seconds(l.queue.Ahead(i, left, l.rate)/l.rate) - left
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
	return slices.ContainsFunc(l.table.All(), func(u *upstr.Upstream) bool { return u.Live(now) && u.Eligible(t) })
}
