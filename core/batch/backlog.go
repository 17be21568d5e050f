package batch

import (
	"slices"
	"time"
)

type (
	// backlog holds the prompts that were sent to an upstream and that, as far as the scheduler
	// knows, it has not prefilled yet. The zero value is an empty backlog.
	backlog struct {
		pending []pendingPrefill // In send order.
		idleAt  time.Time        // Estimated end of the last prefill.
	}

	// pendingPrefill is a prompt whose first token has not been reported yet.
	pendingPrefill struct {
		sentAt   time.Time
		duration time.Duration // Estimated prefill time.
	}
)

// wait returns how long a prompt sent now waits for the prefills ahead of it.
func (b *backlog) wait(now time.Time) time.Duration { return max(b.idleAt.Sub(now), 0) }

// add records a prompt that was sent at now.
func (b *backlog) add(now time.Time, duration time.Duration) {
	b.pending = append(b.pending, pendingPrefill{now, duration})
	b.extend(now, b.pending[len(b.pending)-1:])
}

// prefillDone records the first token of an answer. By then the engine had prefilled its prompt
// and all prompts sent before it. Without this correction the errors of the estimates would add
// up for as long as requests keep coming.
func (b *backlog) prefillDone(sentAt, firstTokenAt time.Time) {
	if len(b.pending) == 0 || sentAt.Before(b.pending[0].sentAt) {
		return // A later prompt was reported before.
	}
	b.pending = slices.DeleteFunc(b.pending, func(p pendingPrefill) bool { return !p.sentAt.After(sentAt) })
	b.idleAt = firstTokenAt
	b.extend(firstTokenAt, b.pending)
}

// extend advances idleAt by the prefill times of the given prompts. Each prefill starts when the
// one before it ends, but not before its prompt was sent.
func (b *backlog) extend(now time.Time, prompts []pendingPrefill) {
	if b.idleAt.Before(now) {
		b.idleAt = now
	}
	for _, p := range prompts {
		if b.idleAt.Before(p.sentAt) {
			b.idleAt = p.sentAt
		}
		b.idleAt = b.idleAt.Add(p.duration)
	}
}
