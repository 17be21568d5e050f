// Package depth learns how many requests a plain server may be given at once: as many as it runs, and a
// short queue.
//
// A place stands empty from the end of a run until the release has reached the scheduler and the next
// request has reached the server. A request that already waits at the server fills that time. More than that
// would wait at the server, where a more urgent request can't go first.
package depth

import (
	"math"
	"time"
)

const (
	// gain is the weight of a new value in the running means.
	gain = 0.05
	// spanDeviations is how many mean deviations Span exceeds the mean by. In an overload nearly all requests
	// start at the last moment at which they can be in time by Span.
	spanDeviations = 2.5
	// maxQueueShare bounds what fills the way, as a share of the places. With runs of 60 ms and 6 places, it is
	// reached with messages of 30 ms.
	maxQueueShare = 2
	// raiseRuns is the number of completed runs, for each request that a server has room for, after which it is
	// given one more than it had room for at its last refusal. A server with fewer places than it announces
	// refuses one request in that many, far fewer than may be sent again.
	raiseRuns = 8
	// minPause and maxPause bound the time for which a server gets nothing that has refused a request while it
	// held no other. The time doubles until a run completes. A server that refuses all at once always has room,
	// and would otherwise get nearly every request.
	minPause = 50 * time.Millisecond
	maxPause = 2 * time.Second
)

// Depth is what is known of one server. The zero value knows nothing: the server is given what it announces,
// or one request if it announces nothing, and one more with each that it completes.
type Depth struct {
	free     float64 // Seconds from a send to its answer at a server with a free place; zero while unknown.
	way      float64 // Seconds for which a slot is held beyond the time from the send to the answer.
	held     float64 // Seconds for which a slot is held.
	span     float64 // Seconds from a grant until the answer, or the first event of a stream, is at the entry.
	off      float64 // Mean deviation of span.
	done     int     // Completed runs.
	room     int     // Requests that it had room for at its last refusals; zero without any.
	accepted int     // Completed runs since room has changed.

	pause       time.Duration // Last one, since which no run has completed.
	pausedUntil time.Time
}

// Done records a completed run: for how long its slot was held, how long its answer took from the send, how long
// the first event of a stream took, zero without one, and whether the server had a free place when the slot was
// granted.
func (d *Depth) Done(held, took, first time.Duration, free bool) {
	d.done++
	d.accepted++
	d.pause = 0
	mean(&d.held, held)
	span := held
	if first > 0 {
		span -= max(took-first, 0)
	}
	mean(&d.span, span)
	mean(&d.off, time.Duration(math.Abs(span.Seconds()-d.span)*float64(time.Second)))
	mean(&d.way, max(held-took, 0))
	if free || d.free == 0 {
		mean(&d.free, took)
	}
}

// run returns the seconds for which a request takes up a place. The messages between entry and server are taken
// to need as long as those between entry and scheduler.
func (d *Depth) run() float64 { return max(d.free-d.way, d.free/2) }

func mean(m *float64, v time.Duration) {
	if *m == 0 {
		*m = v.Seconds()
		return
	}
	*m += gain * (v.Seconds() - *m)
}

// Refused records that the server refused a request while it held the given number of others, as far as the
// scheduler knows. One that held none gets nothing for a while.
func (d *Depth) Refused(now time.Time, held int) {
	d.room, d.accepted = max(held, 1), 0
	if held == 0 {
		d.pause = min(max(2*d.pause, minPause), maxPause)
		d.pausedUntil = now.Add(d.pause)
	}
}

// Most returns how many requests the server may hold at once. Places is the number that it announces, zero if
// it announces none, and then at most otherwise.
func (d *Depth) Most(now time.Time, places, otherwise int) int {
	if now.Before(d.pausedUntil) {
		return 0
	}
	most := places
	if places <= 0 {
		most = min(1+d.done, otherwise)
	}
	most += d.queue(most)
	if d.room > 0 && d.accepted >= raiseRuns*d.room {
		d.room, d.accepted = d.room+1, 0
	}
	if d.room >= most {
		d.room = 0
	}
	if d.room > 0 {
		return d.room
	}
	return most
}

// queue returns how many requests fill the time in which places stand empty: the way of the answer and of the
// release, and that of the grant and of the next request.
func (d *Depth) queue(places int) int {
	if d.free == 0 {
		return 0
	}
	return min(int(math.Ceil(float64(places)*2*d.way/d.run())), int(maxQueueShare*float64(places)))
}

// Rate returns how many requests a second the server completes while it holds most, of which it runs at most
// places at once; zero while that is unknown.
func (d *Depth) Rate(places, most int) float64 {
	if d.free == 0 {
		return 0
	}
	return min(float64(places)/d.run(), float64(most)/d.held)
}

// Span returns the time from a grant until the answer, or the first event of a stream, is at the entry, with the
// way of the release. It is seldom longer.
func (d *Depth) Span() time.Duration {
	return time.Duration((d.span + spanDeviations*d.off) * float64(time.Second))
}
