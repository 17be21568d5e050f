// Package engine is a small stand-in for a model engine: continuous batching,
// a bounded prefix cache, no priorities. It also stands in for plain services.
package engine

import (
	"sync"
	"time"
)

type (
	// Engine is one stand-in. Its exported fields are set before use.
	Engine struct {
		Name       string
		Slots      int           // Requests that run at once; others wait in order of arrival.
		Prefill    float64       // Prompt tokens worked off in a second.
		Step       time.Duration // Time of one decoding step of a batch of one.
		Crowd      float64       // Part of Step that each further request in the batch adds.
		CacheLimit int           // Prefixes kept.

		mu      sync.Mutex
		running int
		waiting []chan struct{}
		cache   []uint64 // Least recently used first.
		stats   Stats
	}

	// Stats counts what an engine did.
	Stats struct {
		Started   int64 `json:"started"`
		Finished  int64 `json:"finished"`
		Cancelled int64 `json:"cancelled"`
		Prompt    int64 `json:"prompt-tokens"`  // Prefilled, without cached ones.
		Wasted    int64 `json:"wasted-prefill"` // Prefilled for requests that did not finish.
		Generated int64 `json:"generated-tokens"`
	}
)

// enter waits for a place in the batch. It returns false when gone is closed first.
func (e *Engine) enter(gone <-chan struct{}) bool {
	e.mu.Lock()
	if e.running < max(e.Slots, 1) && len(e.waiting) == 0 {
		e.running++
		e.mu.Unlock()
		return true
	}
	turn := make(chan struct{}, 1)
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-gone:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, t := range e.waiting {
		if t == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return false
		}
	}
	e.pass() // The turn came in the same moment: hand it on.
	return false
}

// leave frees the place in the batch.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pass()
}

func (e *Engine) pass() {
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	e.waiting[0] <- struct{}{}
	e.waiting = e.waiting[1:]
}

// stepTime is what one token of each running request takes now.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.Step) * (1 + e.Crowd*float64(e.running-1)))
}

// prefill returns the time that a prompt takes and notes its prefix as cached.
func (e *Engine) prefill(prefix uint64, tokens int64) (time.Duration, int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	work := tokens
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			work = tokens / 10 // Only the part behind the cached prefix.
			break
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.CacheLimit {
		e.cache = e.cache[1:]
	}
	if e.Prefill <= 0 {
		return 0, work
	}
	return time.Duration(float64(work) / e.Prefill * float64(time.Second)), work
}

// Load is what the engine reports of itself.
func (e *Engine) Load() (running, queued int, cached []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting), append([]uint64(nil), e.cache...)
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

func (e *Engine) count(f func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.stats)
}
