package front

import (
	"context"
	"time"

	"azurelane/core/refuse"
)

// take counts a request against its account's limits. See core/quota for who
// goes when the account is over them.
func (f *Front) take(q *request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	shed, ok := f.open.Admit(q.account, q.id, int(q.ticket.GetTier()), q.limits.MaxConnections)
	f.shed(shed)
	if !ok {
		return refuse.New(refuse.AccountLimit, "too many open requests", time.Second)
	}
	return nil
}

// takeBytes counts a body against its account's limit, before it is read:
// bodies that trickle in hold memory as much as those that are there.
func (f *Front) takeBytes(q *request, n int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	shed, ok := f.open.AddBytes(q.account, q.id, n, q.limits.MaxOpenBodyBytes)
	f.shed(shed)
	if !ok {
		return refuse.New(refuse.AccountLimit, "too many bytes in open requests", time.Second)
	}
	return nil
}

// give takes back what a request counted.
func (f *Front) give(q *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open.Release(q.account, q.id)
	delete(f.waiting, q.id)
}

// waits notes that a request waits for a slot. While it does, more urgent work
// of its account may take its place; cancel then ends the wait.
func (f *Front) waits(q *request, cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting == nil {
		f.waiting = map[uint64]context.CancelCauseFunc{}
	}
	if f.ended {
		cancel(errStopping)
	}
	f.waiting[q.id] = cancel
	f.open.MarkWaiting(q.account, q.id)
}

// keeps notes that a request waits no more. It reports false when the request
// has lost its place a moment ago.
func (f *Front) keeps(q *request) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, q.id)
	return f.open.MarkRunning(q.account, q.id)
}

func (f *Front) shed(ids []uint64) {
	for _, id := range ids {
		f.Stats.Count("shed-for-urgent", 1)
		f.waiting[id](errShed)
		delete(f.waiting, id)
	}
}
