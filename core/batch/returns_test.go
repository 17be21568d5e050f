package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
)

// Guards against callers that are refused together and return together or never, and against room that is kept
// for callers that do not return. Four slots are taken, and fifty callers are refused. With timed returns they
// must be told times that they honour, without them the times as before; no 100 ms may hold more than a fifth.
// The same holds for those that another scheduler had and this one gets late. Callers that have returned must
// keep no room.
func TestTimedReturns(t *testing.T) {
	const deadline = 8 * time.Second // As in harness.ticket.
	for _, tc := range []struct {
		name              string
		timed             bool
		objective, waited time.Duration
		least, most       time.Duration
		books             bool
	}{
		{"off", false, 300 * time.Millisecond, 0, minRetryAfter, maxRetryAfter * 3 / 2, false},
		{"on", true, 300 * time.Millisecond, 0, 100 * time.Millisecond, deadline / 3, true},
		{"on, from another scheduler", true, time.Microsecond, 300 * time.Millisecond, 100 * time.Millisecond, deadline / 3, true},
		{"on, have returned", true, time.Microsecond, 0, 100 * time.Millisecond, deadline / 3, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newHarness(4, "a")
			e.Configure(e.now, "engines", &conf.Config{Pools: map[string]pool.Pool{"engines": {Slots: 4, TimedReturn: &tc.timed}}})
			e.now = e.now.Add(2 * minSeen)
			e.fill(4 + engineQueueLimit)
			start := e.now
			for range 50 {
				k := e.ticket("usual", 1, 100, 100)
				k.ObjectiveUs, k.WaitedUs = tc.objective.Microseconds(), tc.waited.Microseconds()
				e.Submit(e.now, k)
			}
			var got []time.Duration
			for len(got) < 50 {
				e.now = e.now.Add(10 * time.Millisecond)
				for _, d := range e.Tick(e.now) {
					after := micros(d.GetRefusal().GetRetryAfterUs())
					must.Between(t, tc.least, after, tc.most)
					must.True(t, !tc.timed || after <= (deadline-e.now.Sub(start))/3)
					got = append(got, after)
				}
			}
			must.Eq(t, tc.books, e.returns.Booked(e.now.Sub(e.started), time.Hour) > 0)
			slices.Sort(got)
			for n, after := range got {
				end, _ := slices.BinarySearch(got, after+100*time.Millisecond)
				must.True(t, end-n <= 10 || !tc.books && tc.timed)
			}
		})
	}
}
