package trial

import (
	"time"

	"azurelane/io/rig/bench"
)

// scene is one scenario: what is asked, as a factor on the engines' capacity,
// and what fails meanwhile.
type scene struct {
	name   string
	what   string
	rate   func(at, span time.Duration) float64
	peak   float64
	factor float64              // Of the first client account's own load; zero for 1.
	fault  func(b *bench.Bench) // A third into the load; nil for none.
	stale  bool
}

const (
	usual    = 0.7
	overload = 2.0
	surge    = 5.0 * usual
	slowdown = 8
	faulty   = 1 // The engine that slows down or freezes: a quarter of the capacity.
)

func steady(factor float64) func(time.Duration, time.Duration) float64 {
	return func(time.Duration, time.Duration) float64 { return factor }
}

// burst is a fifth of the time at five times the usual load.
func burst(at, span time.Duration) float64 {
	if at > span*2/5 && at < span*3/5 {
		return surge
	}
	return usual
}

func scenes() []scene {
	return []scene{
		{name: "steady", what: "0.7 of the capacity", rate: steady(usual), peak: usual},
		{name: "burst", what: "0.7, and five times that for a fifth of the time", rate: burst, peak: surge},
		{name: "overload", what: "2 times the capacity", rate: steady(overload), peak: overload},
		{
			name: "slow", what: "0.7; an engine of the third generation becomes 8 times slower", rate: steady(usual), peak: usual,
			fault: func(b *bench.Bench) { b.Stands[faulty].Slow(slowdown) },
		},
		{
			name: "frozen", what: "0.7; an engine of the third generation freezes and goes on announcing itself", rate: steady(usual), peak: usual,
			fault: func(b *bench.Bench) { b.Stands[faulty].Freeze() },
		},
		{name: "stale", what: "0.7; load reports are five seconds old", rate: steady(usual), peak: usual, stale: true},
		{name: "greedy", what: "0.7, and the first client account at 10 times its part of that", rate: steady(usual), peak: usual, factor: 10},
	}
}
