// Package rebal decides whether a run should move off an engine that serves. It knows the run's own pace there;
// whether another engine would do better is the scheduler's part. It does no input or output.
package rebal

import "time"

const (
	// The pace is the faster one of those in two windows. Engines that are busy for a moment take a multiple of
	// their time in steps of 0.6 s on average. The long window has most such steps whole, and the short one
	// shows soon that a step has ended.
	window = 1200 * time.Millisecond
	short  = 500 * time.Millisecond
	// shortEvents is the number of events at the slower pace that the short window has at least. Fewer say
	// little.
	shortEvents = 4
	// persist is for how long a run has to be expected to miss its goals before it moves, so that one such step
	// does not move it.
	persist = 600 * time.Millisecond
	// calm is the share of a limit below which a run counts as recovered. Between it and the limit nothing
	// changes, so that a run at its limit does not change its mind with each event.
	calm = 0.9
	// maxMoves is the number of moves of one run, and between the least time between two of them. See
	// docs/OVERLOAD.md.
	maxMoves = 2
	between  = 2 * time.Second
)

type (
	// Run is how a run stands.
	Run struct {
		Events int64         // That the caller has from the engine.
		Ahead  int64         // Events that are expected after them; zero if that is not known.
		Left   time.Duration // Until the caller's deadline.
		Gap    time.Duration // Longest pause between two events that is in time; zero for any.
		Moves  int           // That the run has made before.
	}

	// Rebal follows a run at one engine. The zero value is ready. Times count from when the engine got the run
	// and never decrease.
	Rebal struct {
		samples []sample // Of the long window, oldest first; the first may be older.
		pace    time.Duration
		run     Run
		now     time.Duration
		missing bool          // The run is expected to miss a goal.
		since   time.Duration // When that began.
	}

	sample struct {
		at     time.Duration
		events int64
	}
)

// Observe takes how the run stands now.
func (r *Rebal) Observe(now time.Duration, run Run) {
	r.now, r.run = now, run
	if run.Events == 0 {
		return // Before its first event a run has no pace.
	}
	r.samples = append(r.samples, sample{now, run.Events})
	for len(r.samples) > 1 && now-r.samples[1].at >= window {
		r.samples = r.samples[1:]
	}
	if now-r.samples[0].at < window {
		return
	}
	r.pace = r.paceOf(window)
	r.pace = min(r.pace, r.paceOf(min(max(short, shortEvents*r.pace), window)))
	switch {
	case r.misses(1) && !r.missing:
		r.missing, r.since = true, now
	case !r.misses(calm):
		r.missing = false
	}
}

// paceOf returns the time of an event within a window that ends now.
func (r *Rebal) paceOf(span time.Duration) time.Duration {
	n := len(r.samples) - 1
	for n > 0 && r.now-r.samples[n].at < span {
		n--
	}
	return (r.now - r.samples[n].at) / time.Duration(max(r.run.Events-r.samples[n].events, 1))
}

// misses reports whether the run goes beyond a share of a limit.
func (r *Rebal) misses(share float64) bool {
	return float64(r.End()) > share*float64(r.run.Left) || (r.run.Gap > 0 && float64(r.pace) > share*float64(r.run.Gap))
}

// Slow reports whether the engine is too slow for the run.
func (r *Rebal) Slow() bool {
	mayMove := r.run.Moves < maxMoves && (r.run.Moves == 0 || r.now >= between)
	return r.missing && mayMove && r.now-r.since >= persist
}

// End returns the time until the run is expected to end where it is, at its pace of late.
func (r *Rebal) End() time.Duration { return r.pace * time.Duration(r.run.Ahead) }
