package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// noise is an engine on which work takes 2.5 times as long for 15 % of the time, in steps of 0.6 s.
type noise []bool

func newNoise(seed uint64, length time.Duration) noise {
	rnd := rand.New(rand.NewPCG(seed, 1))
	n := make(noise, length/(600*ms))
	for i := range n {
		n[i] = rnd.Float64() < 0.15
	}
	return n
}

func (n noise) figure(at time.Duration) float64 {
	if n[at/(600*ms)] {
		return 250
	}
	return 100
}

// takes returns how long work takes that begins at a time.
func (n noise) takes(at, work time.Duration) time.Duration {
	begun := at
	for work > 0 {
		part := (at/(600*ms)+1)*(600*ms) - at
		if can := time.Duration(float64(part) * 100 / n.figure(at)); can < work {
			at, work = at+part, work-can
			continue
		}
		return at + time.Duration(float64(work)*n.figure(at)/100) - begun
	}
	return at - begun
}

func takes(e *Engine, at, work time.Duration) time.Duration {
	f := e.Forecast(start.Add(at))
	return f.Takes(work)
}

// Guards against estimates of work that miss by the noise of an engine although it states how slow it is: figures
// come every 150 ms on average and 50 ms late.
func TestTakes(t *testing.T) {
	const length = 20 * time.Minute
	works := []time.Duration{100 * ms, 300 * ms, time.Second, 3 * time.Second}
	without, with, known := make([]float64, len(works)), make([]float64, len(works)), make([]float64, len(works))
	n, rnd := newNoise(1, length+time.Minute), rand.New(rand.NewPCG(2, 1))
	var p, exact Pace
	count := 0.0
	for at := time.Second; at < length; at += time.Duration(rnd.ExpFloat64() * float64(150*ms)) {
		e := p.Observe(start.Add(at-50*ms), "a", n.figure(at-50*ms))
		now := exact.Observe(start.Add(at), "a", n.figure(at))
		if at < time.Minute {
			continue
		}
		count++
		for i, work := range works {
			took := n.takes(at, work).Seconds()
			without[i] += math.Abs(work.Seconds()*e.Mean()-took) / took
			with[i] += math.Abs(takes(e, at, work).Seconds()-took) / took
			known[i] += math.Abs(takes(now, at, work).Seconds()-took) / took
		}
	}
	for i, work := range works {
		t.Logf("work of %v: mean error %.3f by the mean, %.3f with the figure, %.3f with the state known", work, without[i]/count, with[i]/count, known[i]/count)
	}
	must.Less(t, 0.6, with[0]/without[0])
	must.Less(t, 0.8, with[1]/without[1])
	must.Less(t, 1, with[2]/without[2])
	must.Between(t, 1.06, p.engines["a"].Mean(), 1.14, must.Sprint("1/0.91"))
	must.Between(t, 200*ms, p.timeConstant(), 700*ms)
}

// Guards against a time constant that does not follow how long figures stay.
func TestTimeConstant(t *testing.T) {
	for _, stay := range []time.Duration{300 * ms, 600 * ms, 3 * time.Second} {
		var p Pace
		rnd := rand.New(rand.NewPCG(3, 1))
		for _, engine := range []string{"a", "b", "c"} {
			figure, until := 100., time.Duration(0)
			for at := time.Duration(0); at < 10*time.Minute; at += time.Duration(rnd.ExpFloat64() * float64(150*ms)) {
				for until < at {
					figure = 100
					if rnd.Float64() < 0.15 {
						figure = 250
					}
					until += time.Duration(rnd.ExpFloat64() * float64(stay))
				}
				p.Observe(start.Add(at), engine, figure)
			}
		}
		t.Logf("figures stay for %v, learned %v", stay, p.timeConstant())
		must.Between(t, stay*7/10, p.timeConstant(), stay*14/10)
	}
}

// Guards against noise that is learned as speed: the usual time of a run is found from the figures that were
// stated while it ran.
func TestUsual(t *testing.T) {
	const length = 10 * time.Minute
	n, rnd := newNoise(4, length+time.Minute), rand.New(rand.NewPCG(5, 1))
	var p Pace
	raw, usualTime, count := 0., 0., 0.
	for at, ends := time.Duration(0), time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() * float64(150*ms)) {
		e := p.Observe(start.Add(at), "a", n.figure(at))
		if at < ends {
			continue
		}
		if work := time.Second; ends > 0 {
			took := n.takes(ends-3*time.Second, work)
			from := start.Add(ends - 3*time.Second)
			raw += math.Abs(took.Seconds() - work.Seconds())
			usualTime += math.Abs(e.Usual(from, from.Add(took)).Seconds() - work.Seconds())
			count++
		}
		ends = at + 3*time.Second
	}
	t.Logf("mean error of a second's run %.3f, divided by the figures %.3f", raw/count, usualTime/count)
	must.Less(t, raw/3, usualTime)
}

// Guards against reports that do harm: late ones, and figures that mean nothing.
func TestIgnored(t *testing.T) {
	var p Pace
	for _, figure := range []float64{0, -100, 10_001, math.NaN(), math.Inf(1), math.Inf(-1)} {
		must.Nil(t, p.Observe(start, "a", figure))
	}
	e := p.Observe(start, "a", 250)
	want := e.Forecast(start)
	must.Greater(t, 180*ms, want.Takes(100*ms))
	for _, tc := range []struct {
		at     time.Duration
		figure float64
	}{{-time.Second, 100}, {0, 100}, {time.Second, -1}, {time.Second, math.NaN()}, {time.Second, 20_000}} {
		must.True(t, e == p.Observe(start.Add(tc.at), "a", tc.figure))
		must.Eq(t, want, e.Forecast(start))
	}
}

// Guards against an engine that counts as slow for long because it has stopped stating figures.
func TestNoMoreFigures(t *testing.T) {
	var p Pace
	for at := range 600 {
		p.Observe(start.Add(time.Duration(at)*100*ms), "a", 100)
	}
	e := p.Observe(start.Add(time.Minute), "a", 250)
	must.Greater(t, 180*ms, takes(e, time.Minute, 100*ms))
	must.Less(t, 105*ms, takes(e, time.Minute+5*time.Second, 100*ms))
	must.Between(t, 950*ms, e.Usual(start.Add(70*time.Second), start.Add(71*time.Second)), time.Second)
}

// Guards against times that change where no figure is known, as at a new scheduler, and against status lines of
// engines that are gone.
func TestNothingKnown(t *testing.T) {
	var e *Engine
	must.Eq(t, 100*ms, takes(e, 0, 100*ms))
	must.Eq(t, time.Second, e.Usual(start, start.Add(time.Second)))
	must.Eq(t, 1, e.Mean())

	var p Pace
	for engine, figure := range map[string]float64{"a": 100, "b": 250, "gone": 250} {
		p.Observe(start, engine, figure)
	}
	p.Retain(func(engine string) bool { return engine != "gone" })
	known, age, share := p.Status(start.Add(time.Second), 150)
	must.Eq(t, 2, known)
	must.Eq(t, time.Second, age)
	must.Eq(t, 0.5, share)
	p.Forget("b")
	known, _, _ = p.Status(start, 150)
	must.Eq(t, 1, known)
}
