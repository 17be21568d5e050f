package pace

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// meanTime is the time over which the mean rate is taken: some hundred changes of the figure.
	meanTime = time.Minute
	// priorTime is the weight of the usual rate in the mean, until enough figures are known.
	priorTime = 3 * time.Second
	// maxPoints is the number of changes of the figure that are kept, for the runs that span them: those of
	// about 20 s.
	maxPoints = 64
	// forecastAge is how long a forecast is used again, a small part of the time for which figures stay.
	forecastAge = 10 * time.Millisecond
)

type (
	// Engine holds the figures of one engine. All times of a nil Engine are the usual ones.
	Engine struct {
		pace   *Pace
		points []point // Oldest first.
		mean   float64 // Rate.
		weight float64 // Seconds that count in the mean.

		average    float64  // 1/mean.
		forecast   Forecast // The last one, until the next figure.
		forecastAt time.Time
	}

	// point is a figure as it was stated.
	point struct {
		at   time.Time
		rate float64
		done time.Duration // Usual time of the work that the engine can have done since the first figure.
	}

	// Forecast is what is expected of an engine from some time on. The zero value expects the usual times.
	Forecast struct {
		average float64 // Time for a unit of usual time on average; 0 if no figure is known.
		extra   float64 // Nanoseconds that long work takes beyond the average time, as it begins now.
		decay   float64 // 1/nanoseconds of usual time; how fast the rate at the start loses its effect.
	}
)

func (e *Engine) last() *point { return &e.points[len(e.points)-1] }

func (e *Engine) observe(at time.Time, rate float64) {
	if len(e.points) == 0 {
		e.mean, e.weight, e.average = 1, priorTime.Seconds(), 1
		e.points = append(e.points, point{at: at, rate: rate})
		return
	}
	last := e.last()
	gap := at.Sub(last.at)
	if gap <= 0 {
		return
	}
	done := e.between(last.rate, rate, gap)
	e.pace.learn(last.rate-e.mean, rate-e.mean, gap)
	e.addMean(done, gap)
	next := point{at, rate, last.done + done}
	if n := len(e.points); n > 1 && e.points[n-2].rate == rate && last.rate == rate {
		*last = next // The same figure is kept as its first and its newest statement.
		return
	}
	if len(e.points) == maxPoints {
		e.points = slices.Delete(e.points, 0, 1)
	}
	e.points = append(e.points, next)
}

// between returns the work expected to be done between two figures. Close ones count half each. In between, the
// rate decays to the mean and comes back from there.
func (e *Engine) between(first, second float64, gap time.Duration) time.Duration {
	tau := e.pace.timeConstant().Seconds()
	off := (first + second - 2*e.mean) * tau * math.Tanh(gap.Seconds()/(2*tau))
	return time.Duration((e.mean*gap.Seconds() + off) * float64(time.Second))
}

// addMean adds a time to the mean rate.
func (e *Engine) addMean(done, gap time.Duration) {
	e.weight = min(e.weight+gap.Seconds(), meanTime.Seconds())
	share := min(gap.Seconds()/e.weight, 1)
	e.mean += share * (done.Seconds()/gap.Seconds() - e.mean)
	e.average, e.forecast = 1/e.mean, Forecast{}
}

// Mean returns how many times as long as usual work takes on average; 1 if no figure is known.
func (e *Engine) Mean() float64 {
	if e == nil {
		return 1
	}
	return e.average
}

// Forecast returns what is expected from a time on, which is not before the newest figure.
func (e *Engine) Forecast(from time.Time) Forecast {
	if e == nil {
		return Forecast{}
	}
	if since := from.Sub(e.forecastAt); since >= 0 && since < forecastAge && e.forecast.Known() {
		return e.forecast
	}
	last, tau := e.last(), e.pace.timeConstant()
	deviation := (last.rate - e.mean) * left(from.Sub(last.at), tau)
	e.forecast, e.forecastAt = Forecast{e.average, -deviation * float64(tau) * e.average, 1 / ((e.mean + deviation) * float64(tau))}, from
	return e.forecast
}

// Usual returns how long work would have taken at the usual rate that took from one time to another.
// Before the first figure that is kept the rate counts as usual.
func (e *Engine) Usual(from, to time.Time) time.Duration {
	if e == nil {
		return to.Sub(from)
	}
	return e.doneAt(to) - e.doneAt(from)
}

func (e *Engine) doneAt(at time.Time) time.Duration {
	n := sort.Search(len(e.points), func(n int) bool { return e.points[n].at.After(at) })
	switch n {
	case 0:
		return e.points[0].done - e.points[0].at.Sub(at)
	case len(e.points):
		last, tau := e.last(), e.pace.timeConstant()
		gap := at.Sub(last.at)
		off := (last.rate - e.mean) * float64(tau) * (1 - left(gap, tau))
		return last.done + time.Duration(e.mean*float64(gap)+off)
	}
	a, b := &e.points[n-1], &e.points[n]
	share := float64(at.Sub(a.at)) / float64(b.at.Sub(a.at))
	return a.done + time.Duration(share*float64(b.done-a.done))
}

// Known reports whether a figure is known.
func (f *Forecast) Known() bool { return f.average > 0 }

// Takes returns the expected time of work that begins at the start of the forecast and usually takes a time.
//
// The rate begins at that of the newest figure and decays to the mean. Short work takes its usual time divided by
// the first rate, long work its average time and a constant. The formula in between is within a few percent of
// the solution of the integral and takes one division: a placement asks for thousands.
func (f *Forecast) Takes(work time.Duration) time.Duration {
	if f.average == 0 || work <= 0 {
		return work
	}
	x := float64(work) * f.decay
	x += x * x / 2
	return time.Duration(float64(work)*f.average + f.extra*x/(1+x))
}
