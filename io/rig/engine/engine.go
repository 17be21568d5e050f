// Package engine is the speed model of a stand-in for a model engine:
// continuous batching, one prefill at a time, a bounded prefix cache, no
// priorities. It also stands in for plain services.
package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"azurelane/io/rig/tally"
)

// Engine is one stand-in. Its exported fields are set before use.
type Engine struct {
	Name       string
	Slots      int           // Requests that run at once; others wait in order of arrival.
	Prefill    float64       // Prompt tokens worked off in a second; zero for no prompt work.
	Step       time.Duration // Time of one decoding step of a batch of one.
	Crowd      float64       // Part of Step that each further request in the batch adds.
	CacheLimit int           // Prefixes kept.

	mu      sync.Mutex
	running int
	waiting []chan struct{}
	cache   []uint64  // Least recently used first.
	clear   time.Time // When the prompts taken so far are worked off.
	counts  tally.Tally
	changed time.Time // Of running, for the busy time.
	slow    float64   // Factor on every time; zero counts as 1.
	thaw    chan struct{}
}

// Enter waits for a place in the batch. It returns false when ctx ends first.
func (e *Engine) Enter(ctx context.Context) bool {
	e.mu.Lock()
	if e.running < max(e.Slots, 1) && len(e.waiting) == 0 {
		e.run(1)
		e.counts.Started++
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{}, 1)
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, turn); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return false
	}
	e.counts.Cancelled++
	e.pass() // The turn came in the same moment: hand it on.
	return false
}

// Leave frees the place in the batch and counts how the request ended.
func (e *Engine) Leave(finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if finished {
		e.counts.Finished++
	} else {
		e.counts.Cancelled++
	}
	e.pass()
}

func (e *Engine) pass() {
	if len(e.waiting) == 0 {
		e.run(-1)
		return
	}
	e.waiting[0] <- struct{}{}
	e.waiting = e.waiting[1:]
	e.counts.Started++
}

// run changes the number of running requests and counts the busy time so far.
func (e *Engine) run(n int) {
	now := time.Now()
	e.counts.Busy += time.Duration(e.running) * now.Sub(e.changed)
	e.changed = now
	e.running += n
}

// Read works off a prompt and notes its prefix as cached. It returns the
// tokens worked off, without cached ones, and false when ctx ended first.
func (e *Engine) Read(ctx context.Context, prefix uint64, tokens int64) (int64, bool) {
	took, work := e.prefill(prefix, tokens)
	ok := e.pause(ctx, took)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Prompt += work
	if !ok {
		e.counts.Wasted += work
	}
	return work, ok
}

// Waste counts a prompt whose request did not finish.
func (e *Engine) Waste(work int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Wasted += work
}

// Decode generates n tokens. It returns false when ctx ended first.
func (e *Engine) Decode(ctx context.Context, n int64) bool {
	e.mu.Lock()
	step := time.Duration(float64(e.Step) * (1 + e.Crowd*float64(e.running-1)) * max(e.slow, 1))
	e.mu.Unlock()
	if !e.pause(ctx, time.Duration(n)*step) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Generated += n
	return true
}

// prefill returns the time until a prompt is worked off. Prompts of one engine
// are worked off one after the other, as they share its arithmetic units.
func (e *Engine) prefill(prefix uint64, tokens int64) (time.Duration, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := tokens
	if i := slices.Index(e.cache, prefix); i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
		work = tokens / 10 // Only the part behind the cached prefix.
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.CacheLimit {
		e.cache = e.cache[1:]
	}
	if e.Prefill <= 0 {
		return 0, work
	}
	now := time.Now()
	if e.clear.Before(now) {
		e.clear = now
	}
	e.clear = e.clear.Add(time.Duration(float64(work) / e.Prefill * max(e.slow, 1) * float64(time.Second)))
	return e.clear.Sub(now), work
}

// Load is what the engine reports of itself.
func (e *Engine) Load() (running, queued int, cached []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting), slices.Clone(e.cache)
}

// Tally returns the counts so far.
func (e *Engine) Tally() tally.Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.run(0)
	return e.counts
}

// Slow multiplies every time by a factor from now on.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Freeze stops all progress until Thaw. Connections stay open, as with a
// process that hangs.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thaw == nil {
		e.thaw = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thaw != nil {
		close(e.thaw)
		e.thaw = nil
	}
}

// pause waits, as long as the engine is frozen too, and reports whether the
// caller is still there.
func (e *Engine) pause(ctx context.Context, d time.Duration) bool {
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	e.mu.Lock()
	thaw := e.thaw
	e.mu.Unlock()
	if thaw != nil {
		select {
		case <-ctx.Done():
		case <-thaw:
		}
	}
	return ctx.Err() == nil
}
