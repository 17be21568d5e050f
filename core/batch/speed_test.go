package batch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	_ "github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// Ways in which a replay's scheduler learns of noise.
const (
	notStated   = iota
	stated      // Responses state it as of the start of a run; the scheduler hears it statedLate later.
	alwaysKnown // It is known at each moment.
)

const (
	noiseStep  = 600 * time.Millisecond
	statedLate = 100 * time.Millisecond
)

// noise makes engines take 2.5 times as long for 15 % of the time, in steps of noiseStep.
type noise struct {
	start time.Time
	rnd   *rand.Rand
	slow  map[string][]bool // By engine and step.
}

func newNoise(start time.Time) *noise {
	return &noise{start, rand.New(rand.NewPCG(7, 1)), map[string][]bool{}}
}

// percent returns an engine's figure, and the end of the step.
func (n *noise) percent(engine string, at time.Time) (float64, time.Time) {
	step := int(at.Sub(n.start) / noiseStep)
	for step >= len(n.slow[engine]) {
		n.slow[engine] = append(n.slow[engine], n.rnd.Float64() < 0.15)
	}
	until := n.start.Add(time.Duration(step+1) * noiseStep)
	if n.slow[engine][step] {
		return 250, until
	}
	return 100, until
}

// end returns when work ends that begins at a time.
func (n *noise) end(engine string, at time.Time, work time.Duration) time.Time {
	if n == nil {
		return at.Add(work)
	}
	for {
		percent, until := n.percent(engine, at)
		done := time.Duration(float64(until.Sub(at)) * 100 / percent)
		if done >= work {
			return at.Add(time.Duration(float64(work) * percent / 100))
		}
		at, work = until, work-done
	}
}

// configureSpeeds switches live-speed, and late service with it, of a harness.
func (e *harness) configureSpeeds(on bool) {
	e.Configure(e.now, "engines", &conf.Config{
		Routes: lateRoutes,
		Pools:  map[string]pool.Pool{"engines": {Slots: 4, EventTokens: 9, CacheTokens: 100000, LateService: &on, TimedReturn: &on, LiveSpeed: &on}},
	})
}

// speedOutcome is the error of the expected times, as shares of the mean times, and what became of the requests.
type speedOutcome struct{ first, end, timely, served float64 }

// playNoise replays kinds of requests like those of deployment A on engines of three speeds with noise.
func playNoise(seed uint64, load float64, way int) speedOutcome {
	const ms = time.Millisecond
	r := newReplay(seed, 7, 2200*time.Microsecond, 2200*time.Microsecond, 2200*time.Microsecond, 4*ms, 4*ms, 4*ms, 11200*time.Microsecond, 11200*time.Microsecond, 11200*time.Microsecond)
	r.configureSpeeds(true)
	r.noise = newNoise(r.now)
	kinds := []traffic{
		{"long", 0, 9, 3000, 300, 0.7, 2000, 800 * ms, 12 * time.Second},
		{"short", 1, 15, 600, 220, 0.7, 1500, 600 * ms, 12 * time.Second},
		{"tag", 2, 18, 1500, 24, 0.5, 100, 1200 * ms, 3 * time.Second},
	}
	var out speedOutcome
	var firsts, ends float64
	var reports []*wire.Speed // Their ages are those at their arrival.
	var due []time.Time
	start := r.now
	for r.now.Sub(start) < 60*time.Second {
		r.now = r.now.Add(replayStep)
		for len(due) > 0 && !due[0].After(r.now) {
			r.Pace(r.now, reports[:1])
			reports, due = reports[1:], due[1:]
		}
		if way == alwaysKnown {
			for name := range r.speeds {
				percent, _ := r.noise.percent(name, r.now)
				r.Pace(r.now, []*wire.Speed{{Upstream: name, Percent: percent}})
			}
		}
		for _, k := range kinds {
			for at := k.rate * load * replayStep.Seconds(); at > r.rnd.Float64(); at-- {
				r.arrive(k)
			}
		}
		r.step()
		for n := range r.active {
			one := &r.active[n]
			if one.started != r.now {
				continue
			}
			up := one.GetGrant().GetUpstream()
			if percent, _ := r.noise.percent(up, r.now); way == stated {
				reports, due = append(reports, &wire.Speed{Upstream: up, Percent: percent, AgeUs: statedLate.Microseconds()}), append(due, r.now.Add(statedLate))
			}
			if r.now.Sub(start) < 10*time.Second || one.cut {
				continue // While speeds are learned, and where the end says nothing of the engine.
			}
			first, end := r.expected(one)
			out.first += math.Abs((first - one.first.Sub(r.now)).Seconds())
			out.end += math.Abs((end - one.ends.Sub(r.now)).Seconds())
			firsts, ends = firsts+one.first.Sub(r.now).Seconds(), ends+one.ends.Sub(r.now).Seconds()
		}
	}
	out.first, out.end = out.first/firsts, out.end/ends
	for _, q := range r.requests {
		if q.served {
			out.served++
		}
		if q.served && q.timely {
			out.timely++
		}
	}
	all := float64(len(r.requests))
	out.timely, out.served = out.timely/all, out.served/all
	return out
}

// expected returns the expected times to the first token and to the end of a run that has just been granted.
func (r *replay) expected(one *replayRun) (first, end time.Duration) {
	s := r.engines[one.GetGrant().GetUpstream()].stats
	before := max(s.pending[len(s.pending)-1].sentAt.Sub(r.now), s.wait(r.now)-s.pending[len(s.pending)-1].duration, 0)
	f := s.pace.Forecast(r.now.Add(before))
	work := s.overhead() + s.prefillTime(one.promptTokens)
	return before + f.Takes(work), before + f.Takes(work+s.decodeTime(one.tokens))
}

// Guards against estimates that miss by the noise of engines although their responses state how long work
// currently takes, and against noise that is learned as speed.
func TestNoise(t *testing.T) {
	const seeds = 6
	for _, load := range []float64{1, 1.3, 1.6, 2.2} {
		var got [alwaysKnown + 1]speedOutcome
		for way := range got {
			for seed := range uint64(seeds) {
				o, g := playNoise(seed, load, way), &got[way]
				g.first, g.end, g.timely, g.served = g.first+o.first/seeds, g.end+o.end/seeds, g.timely+o.timely/seeds, g.served+o.served/seeds
			}
			t.Logf("load %.1f, way %d: error to the first event %.3f, to the end %.3f; in time %.3f, served %.3f", load, way, got[way].first, got[way].end, got[way].timely, got[way].served)
		}
	}
}
