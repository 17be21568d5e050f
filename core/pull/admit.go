package pull

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
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
)

// newItem returns the queue item of a ticket, with its estimated work, length class and
// deadline.
func (p *Policy) newItem(now time.Time, t *wire.Ticket) *item.Item {
	i := &item.Item{Ticket: t, RunsAt: t.GetVersion(), Work: limit.Cost(t.GetPromptTokens(), t.GetAnswerTokens()), Long: p.workload.observe(now, t)}
	if t.GetDeadlineUs() > 0 {
		i.Deadline = now.Add(micros(t.GetDeadlineUs()))
		i.LatestDispatch = i.Deadline.Add(-p.minRunTime(now, i))
	}
	return i
}

// minRunTime returns the expected run time of the item on the fastest live upstream that
// serves it. It is zero if there is no such upstream or the speed of one of them is
// unknown. The upstream that is fastest for a typical request is tried first: if it meets
// the deadline, its run time is returned and the others are not examined.
func (p *Policy) minRunTime(now time.Time, i *item.Item) time.Duration {
	if u := p.fastest; u != nil && u.Live(now) && u.Eligible(i.Ticket, i.RunsAt) {
		if e := p.picker.SafeRunTime(u, i.Ticket); !now.Add(e).After(i.Deadline) {
			return e
		}
	}
	best := time.Duration(-1)
	for _, u := range p.table.All() {
		if !u.Live(now) || !u.Eligible(i.Ticket, i.RunsAt) {
			continue
		}
		if e := p.picker.SafeRunTime(u, i.Ticket); best < 0 || e < best {
			best = e
		}
	}
	return max(best, 0)
}

// checkDeadline returns the refusal code and the retry delay for an item that can't meet
// its deadline, or an empty code. An item is refused if even the fastest upstream would
// finish it too late, or if the work queued ahead of it delays it too long. The second
// check is only a prediction, so it refuses no ticket while lower-tier work of the same
// account waits.
func (p *Policy) checkDeadline(now time.Time, i *item.Item) (string, time.Duration) {
	if i.Deadline.IsZero() {
		return "", 0
	}
	if now.After(i.LatestDispatch) {
		return refuse.Deadline, maxRetry
	}
	if p.rate == 0 || p.queue.HasLower(i.GetAccount(), i.Level()) {
		return "", 0
	}
	if late := p.lateness(now, i); late > 0 {
		return refuse.Deadline, spreadRetry(i.Ticket, late)
	}
	return "", 0
}

// lateness returns how long after its latest dispatch time the item is expected to be
// dispatched, given the work queued ahead of it. It is negative if the item is in time.
func (p *Policy) lateness(now time.Time, i *item.Item) time.Duration {
	left := i.LatestDispatch.Sub(now)
	return seconds(p.queue.WorkAhead(i, left, p.rate)/p.rate) - left
}

// retryAfter returns the retry delay for a shed ticket: the time that the pool needs for
// the work queued ahead of it.
func (p *Policy) retryAfter(i *item.Item) time.Duration {
	if p.rate == 0 {
		return spreadRetry(i.Ticket, time.Second)
	}
	return spreadRetry(i.Ticket, seconds(p.queue.WorkAhead(i, 0, p.rate)/p.rate))
}

// spreadRetry limits the delay to between minRetry and maxRetry and then adds up to half of
// it, depending on the ticket's ID. Without the spread, callers that were refused together
// would retry in one burst.
func spreadRetry(t *wire.Ticket, after time.Duration) time.Duration {
	after = min(max(after, minRetry), maxRetry)
	const parts = 16
	return after + after/2*time.Duration(t.GetId()%parts)/parts
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetry.Seconds()*10) * float64(time.Second))
}

// hasUpstream reports whether a live upstream may run the ticket, now or once its version is assigned
// anew. The version of a bound ticket stays.
func (p *Policy) hasUpstream(now time.Time, t *wire.Ticket) bool {
	version := ""
	if t.GetBound() {
		version = t.GetVersion()
	}
	return slices.ContainsFunc(p.table.All(), func(u *upstr.Upstream) bool { return u.Live(now) && u.Eligible(t, version) })
}

// refuseUnservedTicket refuses a ticket that no live upstream may run.
func (p *Policy) refuseUnservedTicket(now time.Time, t *wire.Ticket) *wire.Decision {
	if t.GetBound() && !slices.ContainsFunc(p.table.All(), func(u *upstr.Upstream) bool { return u.Live(now) && u.HasVersion(t, t.GetVersion()) }) {
		return refuse.Ticket(t, refuse.VersionGone, 0)
	}
	after := startGrace
	if p.plain != nil {
		after = p.plain.list.ReturnAfter(now, &item.Item{Ticket: t})
	}
	return refuse.Ticket(t, refuse.NoUpstream, after)
}
