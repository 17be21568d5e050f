// Package pace follows how long work currently takes on the engines of a pool.
//
// An engine states a figure: 100 when work takes its usual time, 250 when it takes 2.5 times as long. The
// inverse is its rate of work, 1 and 0.4. A figure holds for a part of a second. So the expected rate decays
// from the newest one towards the engine's mean rate. Rates are averaged rather than figures, because what an
// engine works off in a time is the integral of its rate.
package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	usual = 100    // Figure of an engine on which work takes its usual time.
	most  = 10_000 // Largest figure that is taken.
	// defaultTimeConstant is the time constant until it is learned. Engines that state figures change them every 0.6 s
	// on average.
	defaultTimeConstant = 600 * time.Millisecond
	minTimeConstant     = 50 * time.Millisecond
	maxTimeConstant     = time.Minute
	// memory is the number of pairs of figures that count for the time constant. One engine gives about seven
	// pairs a second, a tenth of which differ.
	memory = 20_000
	// minSpread is the sum of squared deviations, in rates, from which on the time constant is learned: that of
	// about ten figures of 250.
	minSpread = 3
)

// Pace holds the figures of a pool's engines. The zero value is ready.
type Pace struct {
	engines map[string]*Engine
	// For pairs of successive figures of an engine, as deviations of rates from the engine's mean: the sums of
	// the squared first ones, of the products, and of the times between, weighted by the squares. How much of a
	// deviation is left after the usual time between two figures gives the time constant.
	squares, products, gaps float64
	constant                time.Duration // Learned; zero until then.
}

// Observe records the figure that an engine stated at a time, and returns the engine's record. It ignores a
// figure that is out of range or no newer than the known one; the record of an engine without a figure is nil.
func (p *Pace) Observe(at time.Time, engine string, figure float64) *Engine {
	e := p.engines[engine]
	if !(figure > 0 && figure <= most) { // Nor what is not a number.
		return e
	}
	if e == nil {
		e = &Engine{pace: p}
		if p.engines == nil {
			p.engines = map[string]*Engine{}
		}
		p.engines[engine] = e
	}
	e.observe(at, usual/figure)
	return e
}

// Retain drops the engines for which known returns false.
func (p *Pace) Retain(known func(engine string) bool) {
	for id := range p.engines {
		if !known(id) {
			delete(p.engines, id)
		}
	}
}

// Forget drops an engine.
func (p *Pace) Forget(engine string) { delete(p.engines, engine) }

// Status returns the number of engines with figures, the median age of their newest figures, and the share of
// these that are above a figure.
func (p *Pace) Status(now time.Time, above float64) (known int, age time.Duration, share float64) {
	if len(p.engines) == 0 {
		return 0, 0, 0
	}
	ages, n := make([]time.Duration, 0, len(p.engines)), 0
	for _, e := range p.engines {
		last := e.last()
		ages = append(ages, now.Sub(last.at))
		if last.rate*above < usual {
			n++
		}
	}
	slices.Sort(ages)
	return len(ages), ages[len(ages)/2], float64(n) / float64(len(ages))
}

// learn records that a deviation from an engine's mean rate was followed by another one after a time.
func (p *Pace) learn(first, second float64, gap time.Duration) {
	const keep = 1 - 1./memory
	square := first * first
	p.squares = p.squares*keep + square
	p.products = p.products*keep + first*second
	p.gaps = p.gaps*keep + square*gap.Seconds()
	switch {
	case p.squares < minSpread:
	case p.products >= p.squares:
		p.constant = maxTimeConstant
	default:
		// Times between figures vary as those of arrivals do. What is left of a deviation after such a time is then
		// 1/(1+gap/constant) on average.
		s := p.gaps / p.squares * p.products / (p.squares - p.products)
		p.constant = min(max(time.Duration(s*float64(time.Second)), minTimeConstant), maxTimeConstant)
	}
}

// timeConstant returns the time constant with which a figure decays.
func (p *Pace) timeConstant() time.Duration { return cmp.Or(p.constant, defaultTimeConstant) }

// left returns the share of a deviation that is left after a time.
func left(after, tau time.Duration) float64 {
	return math.Exp(-max(after, 0).Seconds() / tau.Seconds())
}
