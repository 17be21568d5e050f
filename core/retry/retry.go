// Package retry chooses when refused callers are to return.
//
// A caller honours a Retry-After of at most a third of the time that it has left, and returns once. It is told
// the earliest time at which the forecast of its pool has room for its run beside the callers that were
// refused before it. Room is counted in slot time, as in package ahead.
package retry

import (
	"math"
	"time"
)

const (
	// step is the resolution of bookings. Within a step, returns are spread evenly.
	step = 100 * time.Millisecond
	// steps bounds how far ahead callers are booked: 30 s. What is forecast for later is little more than the
	// mean rate.
	steps = 300
	// honoured is the divisor of the time left that gives the longest Retry-After that callers honour.
	honoured = 3
	// transit is an upper bound of the time that a refusal takes to its caller. Without it, a Retry-After could
	// exceed a third of the time that is left on arrival, and the caller would not return.
	transit = 100 * time.Millisecond
	// backlogShare is the work that is expected before the first room, as a multiple of the work that waits.
	// First attempts go before callers that return. In a replay of waves with bursts, 94 % of the callers with
	// room by the forecast were served with a share of 1, and 99 % with 2.
	backlogShare = 2
)

type (
	// Book holds the callers that were told to return, for one pool. Times are counted from the same start.
	// The zero value has no bookings and knows of no room.
	Book struct {
		first    int                  // Step of the last update.
		backlog  time.Duration        // Work that goes before callers that return, at the last update.
		room     [steps]time.Duration // By step from first: what its capacity exceeds its arrivals by.
		bookings [steps]booking       // By step modulo steps, from first.
	}

	// booking is the work of the callers that return in a step.
	booking struct {
		fitting time.Duration // Of callers for which there was room.
		excess  time.Duration // Of the others, most of which will be refused again.
		callers int
	}

	// forecaster forecasts the room of a pool, cumulated over a time that begins now. See ahead.Forecast.
	forecaster interface {
		Room(now, until time.Duration) time.Duration
	}
)

// Latest returns the longest Retry-After that a caller honours when it has some time left; not positive if the
// caller can't return.
func Latest(left time.Duration) time.Duration { return (left - transit) / honoured }

// Update takes the forecast and the work that waits in the pool now. Callers whose time has come leave the
// book; they are arrivals now.
func (b *Book) Update(now, waiting time.Duration, f forecaster) {
	first := int(now / step)
	for s := b.first; s < min(first, b.first+steps); s++ {
		b.bookings[s%steps] = booking{}
	}
	b.first, b.backlog = first, backlogShare*waiting
	before := f.Room(now, now)
	for n := range b.room {
		after := f.Room(now, time.Duration(first+n+1)*step)
		b.room[n], before = after-before, after
	}
}

// Add books a caller that is refused now and returns its Retry-After, which is at most latest. The caller's run
// takes up the given work. If there is no room for it in time, the caller gets one of the last times that it
// honours; see addExcess. Add returns zero if latest is not positive.
func (b *Book) Add(now, latest, work time.Duration) time.Duration {
	// A caller needs some time to return, so the first step that is used begins at least one step from now.
	from, end := int((now+2*step-1)/step), min(int((now+latest)/step), b.first+steps)
	if from >= end {
		return time.Duration((1 + b.spread(b.first)) / 2 * float64(max(latest, 0)))
	}
	free := -b.backlog
	for s := b.first; s < end; s++ {
		k := &b.bookings[s%steps]
		// Tickets are being refused now, so the queue is as long as it may become. What the arrivals and
		// bookings exceed the capacity by is refused and does not wait.
		free = max(free+b.room[s-b.first]-k.fitting-k.excess, -b.backlog)
		if s >= from && free >= work {
			k.fitting += work
			return b.within(s) - now
		}
	}
	return b.within(b.addExcess(from, end, work)) - now
}

// addExcess books a caller for which there is no room in the steps from one to another. The later it returns,
// the likelier an overload is over, so later steps get more such callers. The share grows with the step's
// position, not all at once: callers that are refused in one moment must not return in one.
func (b *Book) addExcess(from, end int, work time.Duration) int {
	best, least := from, math.Inf(1)
	for s := end - 1; s >= from; s-- {
		load := float64(b.bookings[s%steps].excess+work) / float64(s-from+1)
		if load < least {
			best, least = s, load
		}
	}
	b.bookings[best%steps].excess += work
	return best
}

// Booked returns the work of the callers that return between two times, the first of which is now, and for
// which there was room. Work that can wait must leave them that room.
func (b *Book) Booked(now, until time.Duration) time.Duration {
	var work time.Duration
	for s := max(int(now/step), b.first); s < b.first+steps && time.Duration(s)*step < until; s++ {
		work += b.bookings[s%steps].fitting
	}
	return work
}

// within returns a time within a step, and counts its caller.
func (b *Book) within(s int) time.Duration {
	return time.Duration((float64(s) + b.spread(s)) * float64(step))
}

// spread returns a number from 0 to 1 that differs for each caller of a step. Multiples of the golden ratio
// are spread evenly however many callers follow.
func (b *Book) spread(s int) float64 {
	k := &b.bookings[s%steps]
	k.callers++
	_, part := math.Modf(float64(k.callers) * (math.Phi - 1))
	return part
}
