package engine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/rig/engine"
)

// Prompts of one engine are worked off one after the other, a cached prefix at
// a tenth, and a decoding step grows with the batch.
func TestSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine.Engine{Slots: 2, Prefill: 1000, Step: 10 * time.Millisecond, Crowd: 0.5, CacheLimit: 4}
		start := time.Now()
		done := make(chan time.Duration, 2)
		for prefix := range uint64(2) {
			go func() {
				must.True(t, e.Enter(t.Context()))
				_, ok := e.Read(t.Context(), prefix, 100)
				must.True(t, ok)
				done <- time.Since(start)
			}()
		}
		must.Eq(t, 100*time.Millisecond, <-done)
		must.Eq(t, 200*time.Millisecond, <-done)
		work, _ := e.Read(t.Context(), 1, 100)
		must.Eq(t, 10, work)
		start = time.Now()
		must.True(t, e.Decode(t.Context(), 4))
		must.Eq(t, 60*time.Millisecond, time.Since(start), must.Sprint("two in the batch"))
		running, _, cached := e.Load()
		must.Eq(t, 2, running)
		must.Eq(t, 2, len(cached))
	})
}

// A frozen engine goes on with nothing until it thaws, and a caller who leaves
// meanwhile is let go with the prompt counted as wasted.
func TestFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine.Engine{Slots: 1, Prefill: 1000, Step: time.Millisecond, CacheLimit: 4}
		e.Freeze()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		must.True(t, e.Enter(ctx))
		_, ok := e.Read(ctx, 1, 10)
		must.False(t, ok)
		e.Leave(false)
		must.Eq(t, 10, e.Tally().Wasted)
		must.Eq(t, 3*time.Second, e.Tally().Busy)
		e.Thaw()
		must.True(t, e.Enter(t.Context()))
		must.True(t, e.Decode(t.Context(), 1))
		e.Leave(true)
		must.Eq(t, 1, e.Tally().Finished)
	})
}
