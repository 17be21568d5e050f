package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

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
type noise struct{ start time.Time }

// percent returns an engine's figure, and the end of the step.
func (n *noise) percent(engine string, at time.Time) (float64, time.Time) {
	step := int(at.Sub(n.start) / noiseStep)
	until := n.start.Add(time.Duration(step+1) * noiseStep)
	if xxhash.Sum64String(fmt.Sprint(engine, " ", step))%100 < 15 {
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
		Pools:  map[string]pool.Pool{"engines": {Slots: 4, EventTokens: 9, CacheTokens: 100000, LateService: &on, TimedReturn: &on, LiveSpeed: on}},
	})
}

// stateSpeeds makes all engines state how long work currently takes, every sixth one 250.
func (e *harness) stateSpeeds() {
	e.pool.LiveSpeed = true
	for n, u := range e.knownEngines() {
		percent := 100.
		if n%6 == 0 {
			percent = 250
		}
		e.RecordSpeeds(e.now, []*wire.Speed{{Upstream: u.GetUpstream(), Percent: percent}})
	}
}

// speedOutcome is the error of the expected times, as shares of the mean times, and what became of the requests.
type speedOutcome struct{ first, end, timely, served float64 }

// playNoise replays kinds of requests like those of deployment A on engines of three speeds with noise.
func playNoise(seed uint64, load float64, way int) speedOutcome {
	const ms = time.Millisecond
	r := newReplay(seed, 7, 2200*time.Microsecond, 2200*time.Microsecond, 2200*time.Microsecond, 4*ms, 4*ms, 4*ms, 11200*time.Microsecond, 11200*time.Microsecond, 11200*time.Microsecond)
	r.configureSpeeds(true)
	r.noise = &noise{r.now}
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
			r.RecordSpeeds(r.now, reports[:1])
			reports, due = reports[1:], due[1:]
		}
		if way == alwaysKnown {
			for name := range r.speeds {
				percent, _ := r.noise.percent(name, r.now)
				r.RecordSpeeds(r.now, []*wire.Speed{{Upstream: name, Percent: percent}})
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
	t.Parallel()
	const seeds = 3
	for _, load := range []float64{1, 1.6} {
		var got [alwaysKnown + 1]speedOutcome
		for way := range got {
			for seed := range uint64(seeds) {
				o, g := playNoise(seed, load, way), &got[way]
				g.first, g.end, g.timely, g.served = g.first+o.first/seeds, g.end+o.end/seeds, g.timely+o.timely/seeds, g.served+o.served/seeds
			}
			t.Logf("load %.1f, way %d: error to the first event %.3f, to the end %.3f; in time %.3f, served %.3f", load, way, got[way].first, got[way].end, got[way].timely, got[way].served)
		}
		must.Less(t, 0.85*got[notStated].first, got[stated].first)
		must.Less(t, got[notStated].end, got[stated].end)
		must.Less(t, 0.6*got[notStated].first, got[alwaysKnown].first)
		must.Greater(t, got[notStated].served-0.02, got[stated].served)
		must.Greater(t, got[notStated].timely-0.02, got[stated].timely)
	}
}

// trainAt runs requests on one engine, each of which takes as long as the figure says.
func (e *harness) trainAt(percent float64, runs int) {
	for range runs {
		k := e.ticket("usual", 0, 100, 90)
		k.ObjectiveUs, k.DeadlineUs = time.Hour.Microseconds(), (2 * time.Hour).Microseconds()
		d := e.Submit(e.now, k)[0]
		first, decode := time.Duration(percent*float64(400*time.Microsecond)), time.Duration(percent*float64(90*40*time.Microsecond))
		for at := e.now; at.Before(e.now.Add(first + decode)); at = at.Add(100 * time.Millisecond) {
			e.RecordSpeeds(at, []*wire.Speed{{Upstream: "a", Percent: percent}})
		}
		e.now = e.now.Add(first + decode)
		e.release(d, first, first+decode, 11)
		e.Tick(e.now)
	}
}

// Guards against noise that is learned as speed, against figures that count although live-speed is off, and
// against those of a process that is gone.
func TestStatedSpeeds(t *testing.T) {
	const usual = 4 * time.Millisecond
	for _, tc := range []struct {
		name string
		on   bool
		want time.Duration // Most time per token that is learned.
	}{{"off", false, 3 * usual}, {"on", true, usual * 11 / 10}} {
		e := newHarness(4)
		e.configureSpeeds(tc.on)
		announce := func(incarnation string) {
			e.Announce(e.now, &wire.Announce{Upstream: "a", Pools: []string{"engines"}, Incarnation: incarnation, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: 1})
		}
		announce("first")
		e.trainAt(100, 40)
		before := e.engines["a"].stats.timeToFirstToken(e.now, e.engines["a"].Upstream, 100)
		e.trainAt(250, 20)
		learned := e.Speeds()["a"]
		t.Logf("%s: %v per token learned at 2.5 times the usual %v", tc.name, learned, usual)
		must.Between(t, tc.want*3/4, learned, tc.want, must.Sprint(tc.name))
		if !tc.on {
			must.Nil(t, e.engines["a"].stats.pace)
			continue
		}
		now := e.engines["a"].stats.timeToFirstToken(e.now, e.engines["a"].Upstream, 100)
		must.Greater(t, before*3/2, now)
		known, _, slow := e.SpeedStatus(e.now, 150)
		must.Eq(t, 1, known)
		must.Eq(t, 1, slow)
		e.RecordSpeeds(e.now, []*wire.Speed{{Upstream: "unknown", Percent: 250}})
		announce("next")
		known, _, _ = e.SpeedStatus(e.now, 150)
		must.Eq(t, 0, known)
		must.Nil(t, e.engines["a"].stats.pace)
	}
}

// Guards against live-speed that changes decisions where no response states a speed.
func TestNothingStated(t *testing.T) {
	play := func(on bool) []*request {
		r := newReplay(5, 7, 3*time.Millisecond, 4*time.Millisecond, 11*time.Millisecond)
		r.configureSpeeds(true)
		r.pool.LiveSpeed = on
		return r.play(2, traffic{"short", 1, 12, 600, 220, 0.7, 1500, 600 * time.Millisecond, 12 * time.Second})
	}
	with, without := play(true), play(false)
	must.Eq(t, len(without), len(with))
	for n := range with {
		must.Eq(t, *without[n], *with[n])
	}
}
