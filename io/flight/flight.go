// Package flight shares one run of a request among several callers.
package flight

import (
	"context"
	"sync"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/io/pipe"
)

type (
	// Flight collects the answer of one run and passes it to all followers. Its exported fields
	// are set before use; Cancel must not be nil.
	Flight struct {
		Digest [32]byte                // Of the request; distinguishes requests with the same key.
		Limit  int64                   // Maximum size of the answer in bytes.
		RunOn  bool                    // Complete the run after all followers have left.
		Cancel context.CancelCauseFunc // Ends the run.

		mu        sync.Mutex
		phase     phase
		followers int
		answer    answer.Answer
		changed   chan struct{} // Closed at the next change; nil while nothing waits.
	}

	phase int
)

const (
	waiting   phase = iota // Nothing was sent to an upstream.
	sent                   // Something may have been sent.
	abandoned              // All followers left before, so nothing will be sent.
)

// Join adds a follower. It returns false if the run was abandoned, which ends soon as not run.
func (f *Flight) Join() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == abandoned {
		return false
	}
	f.followers++
	return true
}

// Leave removes a follower. After the last one it cancels the run, unless something may have been sent
// and RunOn is set. It returns true if the run has ended or is cancelled.
func (f *Flight) Leave(cause error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followers--
	if f.answer.Ended() {
		return true
	}
	if f.followers > 0 || (f.phase == sent && f.RunOn) {
		return false
	}
	if f.phase == waiting {
		f.phase = abandoned
	}
	f.Cancel(cause)
	return true
}

// Sending records that something may be sent from now on. It returns false if the run was abandoned: its
// callers are told that nothing ran.
func (f *Flight) Sending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == abandoned {
		return false
	}
	f.phase = sent
	return true
}

// Unsent reverts Sending if it is certain that nothing was sent.
func (f *Flight) Unsent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = waiting
}

// Head sets the head of the answer.
func (f *Flight) Head(a *answer.Answer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer.Status, f.answer.Header, f.answer.Streamed = a.Status, a.Header, a.Streamed
	f.wake()
	return nil
}

// Write appends to the body of the answer.
func (f *Flight) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Limit > 0 && int64(len(f.answer.Body)+len(p)) > f.Limit {
		return 0, pipe.ErrLarge
	}
	f.answer.Body = append(f.answer.Body, p...)
	f.wake()
	return len(p), nil
}

// Flush does nothing, as followers see each write at once.
func (f *Flight) Flush() error { return nil }

// End ends the run. The refusal is nil for a complete answer.
func (f *Flight) End(outcome string, refusal *refuse.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer.Outcome, f.answer.Refusal = outcome, refusal
	f.wake()
}

// Next waits until there is more than the head and seen bytes of the body: the next part of a stream, or
// the end of the run. The returned answer contains the body from seen on.
func (f *Flight) Next(ctx context.Context, seen int) (answer.Answer, error) {
	for {
		f.mu.Lock()
		if f.answer.Ended() || (f.answer.Streamed && len(f.answer.Body) > seen) {
			a := f.answer
			// The body only grows, so the existing part can be read without the lock.
			a.Body = a.Body[seen:len(a.Body):len(a.Body)]
			f.mu.Unlock()
			return a, nil
		}
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return answer.Answer{}, context.Cause(ctx)
		}
	}
}

// Wait waits for the end of the run and returns the complete answer.
func (f *Flight) Wait(ctx context.Context) (answer.Answer, error) {
	for {
		f.mu.Lock()
		n := len(f.answer.Body)
		f.mu.Unlock()
		a, err := f.Next(ctx, n)
		if err != nil {
			return a, err
		}
		if a.Ended() {
			return f.Next(ctx, 0)
		}
	}
}

func (f *Flight) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}
