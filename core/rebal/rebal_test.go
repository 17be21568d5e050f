package rebal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against runs that move although their engine is slow for a moment only, has recovered, or is fast enough
// for their deadline, and against runs that move too often or stay where they miss a goal.
func TestSlow(t *testing.T) {
	const ms = time.Millisecond
	steady := func(d time.Duration) func(time.Duration) time.Duration {
		return func(time.Duration) time.Duration { return d }
	}
	slowBetween := func(from, to time.Duration) func(time.Duration) time.Duration {
		return func(now time.Duration) time.Duration {
			if now >= from && now < to {
				return 250 * ms
			}
			return 40 * ms
		}
	}
	for _, tc := range []struct {
		name   string
		step   func(now time.Duration) time.Duration // Time of an event.
		ahead  int64
		gap    time.Duration
		moves  int
		slowAt time.Duration // When it first counts as slow, or up to a window later; zero for never.
		atEnd  bool          // It does so still after 6 s.
	}{
		{"in time", steady(40 * ms), 200, 0, 0, 0, false},
		{"deadline missed", steady(100 * ms), 200, 0, 0, window + persist, true},
		{"length not known", steady(100 * ms), 0, 0, 0, 0, false},
		{"pauses too long", steady(400 * ms), 0, 300 * ms, 0, window + persist, true},
		{"slow for a moment", slowBetween(2*time.Second, 2600*ms), 200, 0, 0, 0, false},
		{"recovers", slowBetween(time.Second, 4*time.Second), 200, 0, 0, time.Second + persist, false},
		{"moved before", steady(100 * ms), 200, 0, 1, between, true},
		{"moved twice", steady(100 * ms), 200, 0, 2, 0, false},
		{"silent", func(now time.Duration) time.Duration {
			if now > 2*time.Second {
				return time.Hour
			}
			return 40 * ms
		}, 200, 0, 0, 2*time.Second + persist, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Rebal
			var slowAt time.Duration
			var events float64
			for now := time.Duration(0); now <= 6*time.Second; now += 50 * ms {
				events += float64(50*ms) / float64(tc.step(now))
				run := Run{Events: int64(events), Left: 12*time.Second - now, Gap: tc.gap, Moves: tc.moves}
				if tc.ahead > 0 {
					run.Ahead = max(tc.ahead-run.Events, 1)
				}
				r.Observe(now, run)
				if r.Slow() && slowAt == 0 {
					slowAt = now
				}
			}
			must.Between(t, tc.slowAt, slowAt, tc.slowAt+window)
			must.Eq(t, tc.slowAt == 0, slowAt == 0)
			must.Eq(t, tc.atEnd, r.Slow())
		})
	}
}
