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
	replayStep     = 5 * time.Millisecond
	replayFor      = 45 * time.Second
	tokensPerEvent = 9 // As in newHarness.
)

type (
	// traffic describes the requests of one route in a replay. All answers stream.
	traffic struct {
		route               string
		priority            int32
		rate                float64 // Requests per second outside of bursts.
		prompt              float64 // Mean tokens.
		answer, spread      float64 // Median tokens, and the standard deviation of their logarithm.
		maxAnswer           int64   // Upper bound of the tokens of an answer.
		objective, deadline time.Duration
	}

	// request is a request of one caller, with its retry after a refusal.
	request struct {
		traffic
		account          string
		arrived          time.Time
		promptTokens     int64
		tokens, estimate int64
		retried, served  bool
		timely           bool // The first token came within the objective.
	}

	// replay runs requests on engines of different speeds. An engine prefills one prompt after
	// another, and its answers pause meanwhile.
	replay struct {
		*harness
		rnd          *rand.Rand
		speeds       map[string]time.Duration // Time per answer token by engine.
		prefillUntil map[string]time.Time     // Time at which an engine will have prefilled all its prompts.
		requests     []*request
		pending      map[uint64]*request
		retries      []retryAt
		active       []replayRun
		noise        *noise // Nil if engines have none.
	}

	retryAt struct {
		*request
		at time.Time
	}

	replayRun struct {
		*request
		*wire.Decision
		first, ends time.Time
		started     time.Time
		cut         bool
	}
)

func newReplay(seed uint64, slots int64, speeds ...time.Duration) *replay {
	r := &replay{rnd: rand.New(rand.NewPCG(seed, 1)), speeds: map[string]time.Duration{}, prefillUntil: map[string]time.Time{}, pending: map[uint64]*request{}}
	var names []string
	for n, s := range speeds {
		name := fmt.Sprint("engine-", n)
		names = append(names, name)
		r.speeds[name] = s
	}
	r.harness = newHarness(slots, names...)
	return r
}

// lognormal draws from a lognormal distribution with the given median and spread.
func (r *replay) lognormal(median, spread float64) int64 {
	return int64(math.Ceil(median * math.Exp(spread*r.rnd.NormFloat64())))
}

func (r *replay) submit(q *request) {
	k := r.ticket(q.route, q.priority, q.promptTokens, min(q.estimate, q.maxAnswer))
	k.Account = q.account
	k.ObjectiveUs = (q.objective - r.now.Sub(q.arrived)).Microseconds()
	k.DeadlineUs = (q.deadline - r.now.Sub(q.arrived)).Microseconds()
	r.pending[k.GetId()] = q
	r.handle(r.Submit(r.now, k))
}

// handle starts the granted runs and schedules one retry for each refused request.
func (r *replay) handle(list []*wire.Decision) {
	for _, d := range list {
		q := r.pending[d.GetTicket()]
		delete(r.pending, d.GetTicket())
		if refusal := d.GetRefusal(); refusal != nil {
			if at := r.now.Add(time.Duration(refusal.GetRetryAfterUs()) * time.Microsecond); !q.retried && at.Before(q.arrived.Add(q.deadline)) {
				q.retried = true
				r.retries = append(r.retries, retryAt{q, at})
			}
			continue
		}
		r.start(q, d)
	}
}

// start computes the times of the first token and the end of a granted run. Prefills of other
// prompts on the engine delay its tokens, by about 0.1 s per second.
func (r *replay) start(q *request, d *wire.Decision) {
	const (
		base          = 30 * time.Millisecond
		promptPerStep = 200 // Prompt tokens that are prefilled in one decode step.
		slowdown      = 1.1
	)
	up := d.GetGrant().GetUpstream()
	start := r.now
	if free := r.prefillUntil[up]; free.After(start) {
		start = free
	}
	prefill := time.Duration(float64(q.promptTokens) / promptPerStep * float64(r.speeds[up]))
	r.prefillUntil[up] = r.noise.end(up, start, prefill)
	first := r.noise.end(up, start, prefill+base)
	stall := time.Duration(r.rnd.ExpFloat64() * float64(200*time.Millisecond))
	ends := r.noise.end(up, first, stall+time.Duration(float64(q.tokens)*slowdown*float64(r.speeds[up])))
	run := replayRun{request: q, Decision: d, first: first, ends: ends, started: r.now}
	if last := q.arrived.Add(q.deadline); ends.After(last) {
		run.ends, run.cut = last, true
	}
	r.active = append(r.active, run)
}

func (r *replay) end(one replayRun) {
	q := one.request
	q.served, q.timely = !one.cut, one.first.Sub(q.arrived) <= q.objective
	tokens := q.tokens
	if one.cut {
		tokens = int64(max(float64(one.ends.Sub(one.first))/float64(r.speeds[one.GetGrant().GetUpstream()]), 0))
	}
	rel := &wire.Release{
		Ticket: one.GetTicket(), Incarnation: "i", Pool: "engines", Upstream: one.GetGrant().GetUpstream(), Slot: one.GetGrant().GetSlot(),
		Dispatched: true, Whole: !one.cut, Failed: one.cut, TotalUs: one.ends.Sub(one.started).Microseconds(), Pieces: tokens/tokensPerEvent + 1,
	}
	if one.first.Before(one.ends) {
		rel.FirstTokenUs = one.first.Sub(one.started).Microseconds()
	}
	r.handle(r.Release(r.now, rel))
}

// play sends the requests of some routes and returns all of them. For a third of the time, the
// rate is multiplied by burst.
func (r *replay) play(burst float64, routes ...traffic) []*request {
	const period = 15 * time.Second
	for at := time.Duration(0); at < replayFor; at += replayStep {
		r.now = r.now.Add(replayStep)
		load := 1.0
		if at%period < period/3 {
			load = burst
		}
		for _, s := range routes {
			for due := s.rate * load * replayStep.Seconds(); due > r.rnd.Float64(); due-- {
				r.arrive(s)
			}
		}
		r.step()
	}
	return r.requests
}

// arrive sends a new request.
func (r *replay) arrive(s traffic) { r.arriveFrom("", s) }

func (r *replay) arriveFrom(account string, s traffic) {
	q := &request{traffic: s, account: account, arrived: r.now, promptTokens: r.lognormal(s.prompt, 0.5), tokens: min(r.lognormal(s.answer, s.spread), s.maxAnswer)}
	q.estimate = r.lognormal(float64(q.tokens), 0.5)
	r.requests = append(r.requests, q)
	r.submit(q)
}

func (r *replay) step() {
	back := r.retries
	r.retries = nil
	for _, c := range back {
		if c.at.After(r.now) {
			r.retries = append(r.retries, c)
			continue
		}
		r.submit(c.request)
	}
	r.handle(r.Tick(r.now))
	on := r.active
	r.active = nil
	for _, one := range on {
		if one.ends.After(r.now) {
			r.active = append(r.active, one)
			continue
		}
		r.end(one)
	}
}

// servedShare returns the share of requests that got their whole answer.
func servedShare(list []*request) float64 {
	n := 0
	for _, q := range list {
		if q.served {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

// Guards against overload in which only the longest answers are refused. Engines of different
// speeds get more requests than they can serve, in bursts. Some answers of the least urgent route
// are a hundred times as long as others. The longest tenth of them must be served at least half
// as often as the whole route, on few engines and on many. The most urgent route must be served
// more often than the others.
func TestLongestAnswersUnderOverload(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	speeds := []time.Duration{4 * ms, 4 * ms, 5 * ms, 12 * ms, 14 * ms, 15 * ms, 16 * ms, 16 * ms, 18 * ms}
	for _, tc := range []struct {
		name  string
		times int // Multiple of the engines and requests.
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
				sum += checkLongestServed(t, list)
			}
			t.Logf("the longest tenth is served %.2f times as often as all", sum/float64(tc.seeds))
		})
	}
}

// checkLongestServed checks the served shares of a replay. It returns the served share of the
// longest tenth of the long route relative to that of the whole route.
func checkLongestServed(t *testing.T, list []*request) float64 {
	t.Helper()
	byRoute := map[string][]*request{}
	for _, q := range list {
		byRoute[q.route] = append(byRoute[q.route], q)
	}
	long := byRoute["long"]
	slices.SortFunc(long, func(a, b *request) int { return int(a.tokens - b.tokens) })
	all, largest := servedShare(long), servedShare(long[len(long)*9/10:])
	t.Logf("served %.2f of the urgent, %.2f of the usual, %.2f of the long kind, %.2f of its longest tenth",
		servedShare(byRoute["urgent"]), servedShare(byRoute["usual"]), all, largest)
	must.Less(t, 0.9, all, must.Sprint("the load must exceed the capacity"))
	must.Greater(t, servedShare(byRoute["usual"])-0.05, servedShare(byRoute["urgent"]))
	must.Greater(t, all/2, largest)
	return largest / all
}
