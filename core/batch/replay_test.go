package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

const (
	replayStep = 5 * time.Millisecond
	replayFor  = 45 * time.Second
	perEvent   = 9 // Tokens in one event, as newEngines has it.
)

type (
	// traffic is one kind of requests in a replay, all streams.
	traffic struct {
		route               string
		priority            int32
		rate                float64 // Requests a second outside of bursts.
		prompt              float64 // Mean tokens.
		answer, spread      float64 // Tokens in the middle, and the spread of their logarithm.
		most                int64   // Tokens of an answer.
		objective, deadline time.Duration
	}

	// request is one caller's, with its return after a refusal.
	request struct {
		traffic
		came             time.Time
		promptTokens     int64
		tokens, estimate int64
		returned, served bool
	}

	// replay plays callers against engines of unlike speeds, which read prompts one after
	// the other and stand still for their answers meanwhile.
	replay struct {
		*engines
		rnd    *rand.Rand
		speeds map[string]time.Duration // Of one token.
		read   map[string]time.Time     // When an engine will have read what it has.
		asked  []*request
		open   map[uint64]*request
		back   []comesBack
		on     []running
	}

	comesBack struct {
		*request
		at time.Time
	}

	running struct {
		*request
		*wire.Decision
		first, ends time.Time
		started     time.Time
		cut         bool
	}
)

func newReplay(seed uint64, places int64, speeds ...time.Duration) *replay {
	r := &replay{rnd: rand.New(rand.NewPCG(seed, 1)), speeds: map[string]time.Duration{}, read: map[string]time.Time{}, open: map[uint64]*request{}}
	var names []string
	for n, s := range speeds {
		name := fmt.Sprint("engine-", n)
		names = append(names, name)
		r.speeds[name] = s
	}
	r.engines = newEngines(places, names...)
	return r
}

// lognormal draws a number whose logarithm scatters about that of a middle one.
func (r *replay) lognormal(middle, spread float64) int64 {
	return int64(math.Ceil(middle * math.Exp(spread*r.rnd.NormFloat64())))
}

func (r *replay) submit(q *request) {
	k := r.ticket(q.route, q.priority, q.promptTokens, min(q.estimate, q.most))
	k.ObjectiveUs = (q.objective - r.now.Sub(q.came)).Microseconds()
	k.DeadlineUs = (q.deadline - r.now.Sub(q.came)).Microseconds()
	r.open[k.GetId()] = q
	r.take(r.Submit(r.now, k))
}

// take begins what is granted, and lets who is refused at first come back when told.
func (r *replay) take(list []*wire.Decision) {
	for _, d := range list {
		q := r.open[d.GetTicket()]
		delete(r.open, d.GetTicket())
		if no := d.GetRefusal(); no != nil {
			if at := r.now.Add(time.Duration(no.GetRetryAfterUs()) * time.Microsecond); !q.returned && at.Before(q.came.Add(q.deadline)) {
				q.returned = true
				r.back = append(r.back, comesBack{q, at})
			}
			continue
		}
		r.begin(q, d)
	}
}

// begin works out when a run that is granted has its first piece and its end. Its tokens
// take longer by what is read beside them, some 0.1 s in each second.
func (r *replay) begin(q *request, d *wire.Decision) {
	const (
		base     = 30 * time.Millisecond
		perToken = 200 // Prompt tokens that are read in the time of one of an answer.
		beside   = 1.1
	)
	up := d.GetGrant().GetUpstream()
	start := r.now
	if free := r.read[up]; free.After(start) {
		start = free
	}
	read := time.Duration(float64(q.promptTokens) / perToken * float64(r.speeds[up]))
	r.read[up] = start.Add(read)
	first := start.Add(read + base)
	stall := time.Duration(r.rnd.ExpFloat64() * float64(200*time.Millisecond))
	ends := first.Add(stall + time.Duration(float64(q.tokens)*beside*float64(r.speeds[up])))
	run := running{request: q, Decision: d, first: first, ends: ends, started: r.now}
	if last := q.came.Add(q.deadline); ends.After(last) {
		run.ends, run.cut = last, true
	}
	r.on = append(r.on, run)
}

func (r *replay) end(one running) {
	q := one.request
	q.served = !one.cut
	tokens := q.tokens
	if one.cut {
		tokens = int64(max(float64(one.ends.Sub(one.first))/float64(r.speeds[one.GetGrant().GetUpstream()]), 0))
	}
	rel := &wire.Release{
		Ticket: one.GetTicket(), Incarnation: "i", Pool: "engines", Upstream: one.GetGrant().GetUpstream(), Slot: one.GetGrant().GetSlot(),
		Dispatched: true, Whole: !one.cut, Failed: one.cut, TotalUs: one.ends.Sub(one.started).Microseconds(), Pieces: tokens/perEvent + 1,
	}
	if one.first.Before(one.ends) {
		rel.FirstTokenUs = one.first.Sub(one.started).Microseconds()
	}
	r.take(r.Release(r.now, rel))
}

// play sends requests of some kinds, in bursts of so many times as much as usual for a
// third of the time, and returns all that were asked.
func (r *replay) play(burst float64, kinds ...traffic) []*request {
	const period = 15 * time.Second
	for at := time.Duration(0); at < replayFor; at += replayStep {
		r.now = r.now.Add(replayStep)
		load := 1.0
		if at%period < period/3 {
			load = burst
		}
		for _, s := range kinds {
			for due := s.rate * load * replayStep.Seconds(); due > r.rnd.Float64(); due-- {
				r.ask(s)
			}
		}
		r.step()
	}
	return r.asked
}

// ask sends a new request of a kind.
func (r *replay) ask(s traffic) {
	q := &request{traffic: s, came: r.now, promptTokens: r.lognormal(s.prompt, 0.5), tokens: min(r.lognormal(s.answer, s.spread), s.most)}
	q.estimate = r.lognormal(float64(q.tokens), 0.5)
	r.asked = append(r.asked, q)
	r.submit(q)
}

func (r *replay) step() {
	back := r.back
	r.back = nil
	for _, c := range back {
		if c.at.After(r.now) {
			r.back = append(r.back, c)
			continue
		}
		r.submit(c.request)
	}
	r.take(r.Tick(r.now))
	on := r.on
	r.on = nil
	for _, one := range on {
		if one.ends.After(r.now) {
			r.on = append(r.on, one)
			continue
		}
		r.end(one)
	}
}

// partServed is the part of requests that were answered whole.
func partServed(list []*request) float64 {
	n := 0
	for _, q := range list {
		if q.served {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// More is asked for than engines of unlike speeds can do, with bursts. Of the least urgent
// kind, some answers are a hundred times as long as others. Callers with the longest
// tenth are served at least half as often as all of that kind, by few engines as by many:
// a caller who needs much is not refused for it. The most urgent are served more often
// than the others.
func TestLongestAnswersInAShortage(t *testing.T) {
	const ms = time.Millisecond
	speeds := []time.Duration{4 * ms, 4 * ms, 5 * ms, 12 * ms, 14 * ms, 15 * ms, 16 * ms, 16 * ms, 18 * ms}
	for _, tc := range []struct {
		name  string
		times int // As many engines and requests.
		load  float64
		seeds uint64
	}{
		{"nine engines", 1, 1, 8},
		{"seventy-two engines", 8, 1.2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sum := 0.0
			for seed := range tc.seeds {
				r := newReplay(seed, 6, slices.Repeat(speeds, tc.times)...)
				n := tc.load * float64(tc.times)
				list := r.play(2,
					traffic{"urgent", 0, 15 * n, 4000, 40, 0.7, 500, time.Second, 6 * time.Second},
					traffic{"usual", 1, 18 * n, 1800, 20, 0.7, 225, 1500 * ms, 4 * time.Second},
					traffic{"long", 2, 14 * n, 600, 125, 1.1, 2760, 2 * time.Second, 15 * time.Second},
				)
				sum += fairToLongest(t, list)
			}
			t.Logf("the longest tenth is served %.2f times as often as all", sum/float64(tc.seeds))
		})
	}
}

// fairToLongest checks the shares of a replay, and returns how often the longest tenth of
// the long kind was served against all of it.
func fairToLongest(t *testing.T, list []*request) float64 {
	t.Helper()
	by := map[string][]*request{}
	for _, q := range list {
		by[q.route] = append(by[q.route], q)
	}
	long := by["long"]
	slices.SortFunc(long, func(a, b *request) int { return int(a.tokens - b.tokens) })
	all, largest := partServed(long), partServed(long[len(long)*9/10:])
	t.Logf("served %.2f of the urgent, %.2f of the usual, %.2f of the long kind, %.2f of its longest tenth",
		partServed(by["urgent"]), partServed(by["usual"]), all, largest)
	must.Less(t, 0.9, all, must.Sprint("there must be a shortage"))
	must.Greater(t, partServed(by["usual"])-0.05, partServed(by["urgent"]))
	must.Greater(t, all/2, largest)
	return largest / all
}
