// Package ahead forecasts how much slot time a pool will have left for work that can wait.
//
// Work is the slot time that a run takes on a usual engine of its pool. Demand moves in waves and bursts:
// its rate stays off its mean for some seconds and returns. A mean alone would promise room in the middle of
// a burst, and the current rate alone would promise none before its end. So the forecast learns, for some
// horizons, how much of a deviation from the mean was left on average over the time that followed.
package ahead

import (
	"math"
	"time"
)

const (
	// step is the interval at which rates are sampled.
	step = 100 * time.Millisecond
	// currentTime is the time constant of the current rate: long enough to even out single arrivals, and
	// short against a burst.
	currentTime = 400 * time.Millisecond
	// meanTime is the time constant of the mean rate. It is longer than the waves of demand, whose phase the
	// mean must not follow.
	meanTime = 20 * time.Second
	// memory is the time constant with which what was learnt of deviations fades: some waves and bursts.
	memory = 60 * time.Second
	// priorSquare is the weight of the shares in expectedLeft, as a sum of squared deviations relative to the
	// square of the mean rate. A few seconds of a wave outweigh it.
	priorSquare = 2
	// usableShare is the share of the capacity that deferred work can use. Some engines with room suit no
	// ticket that waits.
	usableShare = 0.95
)

// expectedLeft is the share of a deviation that is left on average over each horizon until it is learnt:
// bursts last for some seconds.
var expectedLeft = [...]float64{0.9, 0.8, 0.6, 0.35}

// horizons are the times ahead for which deviations are followed, in samples, ascending.
var horizons = [...]int{10, 20, 40, 80}

// kept is the number of samples that are kept, enough for the longest horizon.
const kept = 81

// Forecast is the forecast for one pool. Times are counted from the same start. The zero value has seen
// nothing.
type Forecast struct {
	capacity  float64 // Seconds of work per second.
	committed time.Duration

	begun         bool
	sampledAt     time.Duration // End of the last sample.
	arrived       time.Duration // Work since sampledAt.
	current, mean decayed       // Seconds of work per second.
	samples       int
	deviations    [kept]float64 // Of the current rate, by sample.
	total         float64       // Work of all samples, in seconds.
	totals        [kept]float64 // total by sample.
	followed      [len(horizons)]followed
}

// followed is what was left of deviations over one horizon: a regression through zero.
type followed struct{ product, square float64 }

// left returns the share of a deviation that is left on average. The prior is the share that is expected
// without any deviation seen, and weight its weight.
func (l *followed) left(prior, weight float64) float64 {
	if l.square+weight == 0 {
		return prior
	}
	return (l.product + prior*weight) / (l.square + weight)
}

// decayed is a mean that fades with time and is not biased by its start.
type decayed struct{ sum, weight float64 }

func (d *decayed) add(v float64, timeConstant time.Duration) {
	keep := math.Exp(-step.Seconds() / timeConstant.Seconds())
	d.sum, d.weight = d.sum*keep+v, d.weight*keep+1
}

func (d *decayed) value() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.sum / d.weight
}

// Arrive records work that has arrived and will be done before deferred work.
func (f *Forecast) Arrive(now, work time.Duration) {
	if !f.begun {
		f.begun, f.sampledAt = true, now
	}
	f.sample(now)
	f.arrived += work
}

// Set takes the work that the pool can do per second, in seconds, and the work that waits
// ahead of deferred work.
func (f *Forecast) Set(now time.Duration, capacity float64, committed time.Duration) {
	f.sample(now)
	f.capacity, f.committed = capacity, committed
}

// sample ends the samples that are complete by now.
func (f *Forecast) sample(now time.Duration) {
	for f.begun && now-f.sampledAt >= step {
		f.sampledAt += step
		rate := f.arrived.Seconds() / step.Seconds()
		f.arrived = 0
		f.current.add(rate, currentTime)
		f.mean.add(rate, meanTime)
		f.total += rate * step.Seconds()
		f.follow()
		f.deviations[f.samples%kept], f.totals[f.samples%kept] = f.current.value()-f.mean.value(), f.total
		f.samples++
	}
}

// follow learns what was left of the deviations one horizon ago.
func (f *Forecast) follow() {
	keep := math.Exp(-step.Seconds() / memory.Seconds())
	for n, ahead := range horizons {
		if f.samples < ahead {
			continue
		}
		then := (f.samples - ahead) % kept
		deviation := f.deviations[then]
		since := (f.total-f.totals[then])/(float64(ahead)*step.Seconds()) - f.mean.value()
		l := &f.followed[n]
		l.product = l.product*keep + deviation*since
		l.square = l.square*keep + deviation*deviation
	}
}

// excess returns the work beyond that of the mean rate that a deviation of 1 s per second is expected to
// bring within a time.
func (f *Forecast) excess(ahead float64) float64 {
	before, work := 0.0, 0.0
	weight := priorSquare * f.mean.value() * f.mean.value()
	for n, steps := range horizons {
		horizon := float64(steps) * step.Seconds()
		within := f.followed[n].left(expectedLeft[n], weight) * horizon
		if ahead <= horizon {
			return work + (within-work)*(ahead-before)/(horizon-before)
		}
		before, work = horizon, within
	}
	return work
}

// Arrivals returns the work that is expected to arrive between two times, the first of which is now.
func (f *Forecast) Arrivals(now, until time.Duration) time.Duration {
	f.sample(now)
	ahead := max(until-now, 0).Seconds()
	current, mean := f.current.value(), f.mean.value()
	return time.Duration(max(mean*ahead+(current-mean)*f.excess(ahead), 0) * float64(time.Second))
}

// Room returns the work that the pool is expected to have room for between two times, the first of which is
// now, beyond what is committed and what will arrive. It is negative while more is committed than it can do.
func (f *Forecast) Room(now, until time.Duration) time.Duration {
	ahead := max(until-now, 0).Seconds()
	return time.Duration(usableShare*f.capacity*ahead*float64(time.Second)) - f.committed - f.Arrivals(now, until)
}
