// Package flight is one run of a request that several callers may wait for.
package flight

import (
	"context"
	"sync"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/io/pipe"
)

type (
	// Flight collects the answer of one run and gives it to all who follow it.
	// Its exported fields are set before use; Cancel must not be nil.
	Flight struct {
		Digest [32]byte                // Of the request, to tell another one with the same key.
		Limit  int64                   // Bytes of its answer.
		RunOn  bool                    // Run to the end when all followers have left.
		Cancel context.CancelCauseFunc // Ends the run.

		mu        sync.Mutex
		phase     phase
		followers int
		answer    answer.Answer
		changed   chan struct{} // Closed at each change; nil when no one waits.
	}

	phase int
)

const (
	waiting   phase = iota // Nothing has left for an upstream.
	sent                   // Something may have left.
	abandoned              // Every follower left before anything did; it never will.
)

// Join adds a follower. It returns false when the run was abandoned, which ends
// shortly as not run.
func (f *Flight) Join() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == abandoned {
		return false
	}
	f.followers++
	return true
}

// Leave takes a follower away. When it was the last, a run that has not been
// sent is cancelled, and so is one that need not run on. It returns true when the
// run has ended or its end follows at once.
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

// Sending marks that bytes may leave from now on. It returns false when the run
// was abandoned: its callers have been told that nothing ran, or will be.
func (f *Flight) Sending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.phase == abandoned {
		return false
	}
	f.phase = sent
	return true
}

// Unsent takes Sending back when it is proved that no byte left.
func (f *Flight) Unsent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = waiting
}

// Head takes the head of the upstream's answer.
func (f *Flight) Head(a *answer.Answer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer.Status, f.answer.Header, f.answer.Streamed = a.Status, a.Header, a.Streamed
	f.wake()
	return nil
}

// Write takes the next bytes of the answer.
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

// Flush has nothing to do: followers see each write at once.
func (f *Flight) Flush() error { return nil }

// End closes the run. The refusal is nil for a whole answer.
func (f *Flight) End(outcome string, refusal *refuse.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer.Outcome, f.answer.Refusal = outcome, refusal
	f.wake()
}

// Next waits until there is more to pass on than the head and seen bytes of
// the body: the next part of a stream, or the run's end. The answer that it
// returns holds the rest of the body from seen on.
func (f *Flight) Next(ctx context.Context, seen int) (answer.Answer, error) {
	for {
		f.mu.Lock()
		if f.answer.Ended() || (f.answer.Streamed && len(f.answer.Body) > seen) {
			a := f.answer
			// The body only grows, so the part that is there may be read without the lock.
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

// Wait waits for the run's end and returns the whole answer.
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
