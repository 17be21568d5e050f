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
	// maxQueueShare bounds the queue at a server, as a share of its places.
	maxQueueShare = 0.5
	// minRaiseInterval is the time after a refusal until the server is given one more request than it had
	// room for. The time doubles, up to maxRaiseInterval, with each refusal that a raise leads to: a server
	// with fewer places than it announces would otherwise refuse several requests a second for good.
	minRaiseInterval = 500 * time.Millisecond
	maxRaiseInterval = 8 * time.Second
)

// Depth is what is known of one server. The zero value knows nothing: the server is given what it announces,
// or one request if it announces nothing, and one more with each that it completes.
type Depth struct {
	free     float64 // Seconds from a send to its answer at a server with a free place; zero while unknown.
	way      float64 // Seconds for which a slot is held beyond the time from the send to the answer.
	held     float64 // Seconds for which a slot is held.
	off      float64 // Mean deviation of held.
	done     int     // Completed runs.
	room     int     // Requests that it had room for at the last refusals; zero without any.
	raises   bool    // Room is one more than it was found to have.
	raisedAt time.Time
	interval time.Duration
}

// Done records a completed run: for how long its slot was held, how long its answer took from the send, and
// whether the server had a free place when the slot was granted.
func (d *Depth) Done(held, took time.Duration, free bool) {
	d.done++
	mean(&d.held, held)
	mean(&d.off, time.Duration(math.Abs(held.Seconds()-d.held)*float64(time.Second)))
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

// Refused records that the server refused a request while it was running the given number of others, as far
// as the scheduler knows.
func (d *Depth) Refused(now time.Time, running int) {
	d.interval = max(d.interval, minRaiseInterval)
	if d.raises {
		d.interval = min(2*d.interval, maxRaiseInterval)
	}
	d.room, d.raises, d.raisedAt = max(running, 1), false, now
}

// Most returns how many requests the server may hold at once. Places is the number that it announces, zero if
// it announces none, and then at most otherwise.
func (d *Depth) Most(now time.Time, places, otherwise int) int {
	most := places
	if places <= 0 {
		most = min(1+d.done, otherwise)
	}
	most += d.queue(most)
	if d.room == 0 {
		return most
	}
	if now.Sub(d.raisedAt) >= d.interval {
		d.room, d.raises, d.raisedAt = d.room+1, true, now
	}
	if d.room >= most {
		d.room, d.raises, d.interval = 0, false, 0
		return most
	}
	return d.room
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

// Span returns the time from a grant until its slot is released, which is seldom longer.
func (d *Depth) Span() time.Duration {
	return time.Duration((d.held + spanDeviations*d.off) * float64(time.Second))
}
