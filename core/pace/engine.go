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
)

type (
	// Engine holds the figures of one engine. All times of a nil Engine are the usual ones.
	Engine struct {
		pace   *Pace
		points []point // Oldest first.
		mean   float64 // Rate.
		weight float64 // Seconds that count in the mean.
	}

	// point is a figure as it was stated.
	point struct {
		at   time.Time
		rate float64
		done time.Duration // Usual time of the work that the engine can have done since the first figure.
	}

	// Forecast is what is expected of an engine from some time on. The zero value expects the usual times.
	Forecast struct {
		mean      float64 // Rate; 0 if no figure is known.
		deviation float64 // Of the rate from the mean, at the start.
		tau       float64 // Time constant in nanoseconds.
	}
)

func (e *Engine) last() *point { return &e.points[len(e.points)-1] }

func (e *Engine) observe(at time.Time, rate float64) {
	if len(e.points) == 0 {
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
}

// Mean returns how many times as long as usual work takes on average; 1 if no figure is known.
func (e *Engine) Mean() float64 {
	if e == nil {
		return 1
	}
	return 1 / e.mean
}

// Forecast returns what is expected from a time on, which is not before the newest figure.
func (e *Engine) Forecast(from time.Time) Forecast {
	if e == nil {
		return Forecast{}
	}
	last, tau := e.last(), e.pace.timeConstant()
	return Forecast{e.mean, (last.rate - e.mean) * left(from.Sub(last.at), tau), float64(tau)}
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
func (f Forecast) Known() bool { return f.mean > 0 }

// After returns the forecast from a time later.
func (f Forecast) After(d time.Duration) Forecast {
	if d > 0 && f.deviation != 0 {
		f.deviation *= math.Exp(-float64(d) / f.tau)
	}
	return f
}

// Takes returns the expected time of work that begins at the start of the forecast and usually takes a time.
func (f Forecast) Takes(work time.Duration) time.Duration {
	if f.mean == 0 || work <= 0 {
		return work
	}
	w := float64(work)
	takes := w / f.rateOver(w/f.mean)
	return time.Duration(w / f.rateOver(takes)) // The mean rate depends on the time. Two steps leave a few percent.
}

// rateOver returns the mean rate over a time in nanoseconds. The share of the deviation is within 0.02 of
// (1-exp(-x))/x, at a tenth of its cost: a placement asks for hundreds.
func (f Forecast) rateOver(d float64) float64 {
	x := d / f.tau
	return f.mean + f.deviation*(1+x/6)/(1+x*(2./3+x/6))
}
