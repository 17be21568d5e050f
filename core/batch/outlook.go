package batch

import (
	"math"
	"time"

	"azurelane/core/ahead"
)

// throughputTime is the time constant with which the pool's throughput is learnt.
const throughputTime = 10 * time.Second

// outlook forecasts how much slot time the pool will have left for requests that can wait, and for callers that
// return. The zero value is off.
type outlook struct {
	ahead.Forecast
	on bool
	// expected and held sum the slot times of recent runs, as estimated on arrival and as they were. Their
	// ratio turns slots into work per second, whatever the estimates are off by.
	expected, held float64
	runAt          time.Duration // When they were last changed.
	updatedAt      time.Duration
	waiting        time.Duration // Work of the tickets that can still be in time, at the last update.
}

// addGrant records that a ticket has got a slot. What requests in time take is not left for deferred ones. The
// forecast goes by grants and not by arrivals, since many requests that arrive in a peak are refused and come back.
func (o *outlook) addGrant(now time.Duration, i *item) {
	if o.on && !i.deferred {
		o.Arrive(now, i.work)
	}
}

// addRun learns from a run how fast the pool works compared with the estimates.
func (o *outlook) addRun(now, expected, held time.Duration) {
	if expected < 0 || held <= 0 {
		return
	}
	keep := math.Exp(-(now - o.runAt).Seconds() / throughputTime.Seconds())
	o.expected, o.held = o.expected*keep+expected.Seconds(), o.held*keep+held.Seconds()
	o.runAt = now
}

// capacity returns the estimated slot time that the pool works off per second, in seconds.
func (o *outlook) capacity(slots int64) float64 {
	if o.held == 0 {
		return float64(slots)
	}
	return float64(slots) * o.expected / o.held
}

// updateOutlook takes what waits and what the pool can do, at most once for a time. What is left of the runs that
// hold slots is not counted: as much is left at the end of the time for which room is forecast.
func (b *Batch) updateOutlook(now time.Duration) {
	o := &b.outlook
	if o.updatedAt == now {
		return
	}
	o.updatedAt, o.waiting = now, 0
	for _, i := range b.waitingByKey { // While tickets are refused, b.waiting also holds some that are gone.
		if now < i.refuseAt && !i.deferred && !i.unreachable {
			o.waiting += i.work
		}
	}
	o.Set(now, o.capacity(b.slotCount), o.waiting)
}
