package canary

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

var (
	simSeeds = flag.Int("canary.seeds", 6, "rollouts simulated for each combination")
	simTable = flag.Bool("canary.table", false, "print the results of each combination")
)

type (
	// scenario is one kind of rollout.
	scenario struct {
		servers int
		rate    float64 // Requests per second.
		length  time.Duration
		failing float64 // Share of the bad version's answers that fail.
		slower  float64 // Factor of its times; zero for none.
		onset   string  // When it is bad: see onsets.
		trouble string  // What affects both versions: see troubles.
	}

	// simRoute is a route of the simulated pool.
	simRoute struct {
		name    string
		weight  float64
		failing float64 // Of either version.
		median  float64 // Seconds.
		spread  float64 // Standard deviation of the logarithm.
	}

	// sim is one simulated rollout. Entries report every 100 ms, one after the other, and decisions
	// reach them after 50 ms more.
	sim struct {
		scenario
		rnd       *rand.Rand
		canary    Canary
		routes    []simRoute
		phase     wire.Rollout_Phase
		step      Step
		inForce   Step // As entries know it.
		entries   []simEntry
		stalls    []stall
		ending    [][]answer // Answers by the tick at which they end.
		onsetAt   time.Duration
		bad       int // Bad answers that callers have got.
		fiftieth  time.Duration
		lastSent  time.Duration // Last request sent to the bad version.
		exposed   int
		total     int
		shareSeen float64
	}

	// simEntry is what one entry has seen.
	simEntry struct {
		counts  map[routeKey]*wire.RouteEvidence
		running int64 // At the base version.
	}

	// stall is a time in which nothing runs.
	stall struct{ from, to time.Duration }

	answer struct {
		entry       *simEntry
		key         routeKey
		waiting     bool    // It counts as slow before it has come.
		timed       bool    // It has counted as slow.
		took        float64 // Seconds.
		failed, bad bool
	}

	// verdict is the result of one simulated rollout.
	verdict struct {
		phase    wire.Rollout_Phase
		exposed  float64       // As a fraction of the bound.
		overtime time.Duration // Between the 50th bad answer and the last request sent.
	}
)

const (
	simTick   = 50 * time.Millisecond
	badMargin = 5 * time.Second // From the 50th bad answer to the last request.
)

var (
	onsets   = []string{"at once", "late", "under load", "one route"}
	troubles = []string{"none", "grey servers", "slow servers", "burst", "stalls"}
)

func (s *sim) run() verdict {
	ticks := int(s.length/simTick) + 1
	s.ending = make([][]answer, ticks+int(20*time.Second/simTick))
	s.fiftieth = -1
	for n := range ticks {
		now := time.Duration(n) * simTick
		s.arrive(n, now)
		s.end(n, now)
		for e := range s.entries {
			if (n+e)%2 == 1 {
				s.report(e)
			}
		}
		if n%2 == 1 {
			s.inForce = s.step
		}
		if n%2 == 0 && s.phase < wire.Rollout_PHASE_COMPLETED {
			s.decide(now)
		}
	}
	v := verdict{phase: s.phase, exposed: float64(s.exposed) / (0.1*float64(s.total) + 50)}
	if s.fiftieth >= 0 {
		v.overtime = s.lastSent - s.fiftieth
	}
	return v
}

func (s *sim) decide(now time.Duration) {
	s.step = s.canary.Decide(Situation{Phase: s.phase, Elapsed: now, Entries: len(s.entries), BaseCapacity: int64(s.servers), TargetCapacity: int64(s.servers)})
	s.phase = s.step.Phase
	if s.phase == wire.Rollout_PHASE_COMPLETED {
		s.step.Share = 1
	}
}

// arrive sends the requests of one tick.
func (s *sim) arrive(n int, now time.Duration) {
	rate := s.rate
	if s.trouble == "burst" && now > s.length/3 && now < s.length/3+3*time.Second {
		rate *= 1.7
	}
	s.shareSeen += 0.2 * (s.inForce.Share - s.shareSeen)
	for range s.poisson(rate * simTick.Seconds()) {
		r := s.pickRoute()
		share := s.inForce.Share
		if own, ok := s.inForce.Routes[r.name]; ok {
			share = own
		}
		s.send(n, now, r, s.rnd.Float64() < share)
	}
}

func (s *sim) send(n int, now time.Duration, r simRoute, target bool) {
	k := routeKey{r.name, target}
	e := &s.entries[0]
	if len(s.entries) > 1 {
		e = &s.entries[s.rnd.IntN(len(s.entries))]
	}
	c := e.counts[k]
	if c == nil {
		c = &wire.RouteEvidence{Route: r.name, Target: target, Times: []*wire.TimeCounts{{Counts: make([]int64, Buckets)}}}
		e.counts[k] = c
	}
	c.Sent++
	s.total++
	a := answer{entry: e, key: k, took: r.median * math.Exp(r.spread*s.rnd.NormFloat64()), failed: s.rnd.Float64() < r.failing}
	// One server in ten, and at least one, is in trouble, of either version.
	troubled := s.rnd.IntN(s.servers) < max(s.servers/10, 1)
	switch {
	case s.trouble == "grey servers" && troubled && s.inTrouble(now):
		a.failed = a.failed || s.rnd.Float64() < 0.14
	case s.trouble == "slow servers" && troubled && s.inTrouble(now):
		a.took *= 5
	case s.trouble == "burst" && now > s.length/3 && now < s.length/3+3*time.Second:
		a.took *= 2.5
	}
	if target {
		s.exposed++
		s.lastSent = now
		if s.isBad(now, r) {
			a.bad = s.failing > 0 && s.rnd.Float64() < s.failing
			a.failed = a.failed || a.bad
			if s.slower > 0 {
				a.took, a.bad = a.took*s.slower, true
			}
		}
	} else {
		e.running++
	}
	a.took = s.delayed(now, a.took)
	if slow := s.inForce.Slow[r.name].Seconds(); slow > 0 && a.took > slow+simTick.Seconds() {
		at := min(n+1+int(slow/simTick.Seconds()), len(s.ending)-1)
		s.ending[at] = append(s.ending[at], answer{entry: e, key: k, took: slow, waiting: true})
		a.timed = true
	}
	at := min(n+1+int(a.took/simTick.Seconds()), len(s.ending)-1)
	s.ending[at] = append(s.ending[at], a)
}

// delayed returns how long an answer takes that would end in a stall.
func (s *sim) delayed(now time.Duration, took float64) float64 {
	end := now + time.Duration(took*float64(time.Second))
	for _, st := range s.stalls {
		if end >= st.from && end < st.to {
			return (st.to - now).Seconds()
		}
	}
	return took
}

func (s *sim) inTrouble(now time.Duration) bool {
	return now > s.length/4 && now < s.length/4+s.length/2
}

// isBad reports whether the bad version misbehaves now on a route.
func (s *sim) isBad(now time.Duration, r simRoute) bool {
	if s.failing == 0 && s.slower == 0 {
		return false
	}
	switch s.onset {
	case "late":
		return now >= s.onsetAt
	case "under load":
		return s.shareSeen > 0.6
	case "one route":
		return r.name == s.routes[0].name
	}
	return true
}

func (s *sim) end(n int, now time.Duration) {
	for _, a := range s.ending[n] {
		if a.waiting {
			a.entry.counts[a.key].Times[0].Counts[Bucket(time.Duration(a.took*float64(time.Second)))+1]++
			continue
		}
		if !a.key.target {
			a.entry.running--
		}
		if a.bad {
			if s.bad++; s.bad == 50 {
				s.fiftieth = now
			}
		}
		c := a.entry.counts[a.key]
		c.Ended++
		if a.failed {
			c.Failed++
		}
		if a.failed || a.timed {
			continue
		}
		c.Times[0].Counts[Bucket(time.Duration(a.took*float64(time.Second)))]++
	}
}

func (s *sim) report(entry int) {
	e := &s.entries[entry]
	ev := &wire.RolloutEvidence{BaseRunning: e.running}
	for _, c := range e.counts {
		times := make([]int64, len(c.GetTimes()[0].GetCounts()))
		copy(times, c.GetTimes()[0].GetCounts())
		ev.Routes = append(ev.Routes, &wire.RouteEvidence{
			Route: c.GetRoute(), Target: c.GetTarget(), Sent: c.GetSent(), Ended: c.GetEnded(), Failed: c.GetFailed(),
			Times: []*wire.TimeCounts{{Counts: times}},
		})
	}
	s.canary.Record(fmt.Sprint("entry-", entry), ev)
}

func (s *sim) pickRoute() simRoute {
	at := s.rnd.Float64()
	for _, r := range s.routes {
		if at -= r.weight; at < 0 {
			return r
		}
	}
	return s.routes[len(s.routes)-1]
}

func (s *sim) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := s.rnd.Float64(); u > p; n++ {
		u *= s.rnd.Float64()
	}
	return n
}

func newSim(sc scenario, seed uint64) *sim {
	s := &sim{scenario: sc, rnd: rand.New(rand.NewPCG(seed, 40))}
	s.canary.Limits = Limits{Share: 0.1, Slack: 50, Length: sc.length}
	s.entries = make([]simEntry, 1)
	if sc.trouble == "stalls" {
		s.entries = make([]simEntry, 3)
	}
	for e := range s.entries {
		s.entries[e].counts = map[routeKey]*wire.RouteEvidence{}
	}
	s.onsetAt = time.Duration((0.1 + 0.5*s.rnd.Float64()) * float64(sc.length))
	s.routes = []simRoute{{"push", 0.8, 0.004, 0.018, 0.5}, {"sms", 0.2, 0.14, 0.018, 0.5}}
	if sc.trouble == "stalls" {
		s.stalls = stalls(s.rnd, sc.length)
	}
	if sc.servers > 3 {
		s.routes = []simRoute{{"brief", 0.15, 0.002, 0.15, 0.6}, {"advisory", 0.4, 0.002, 0.08, 0.6}, {"tag", 0.45, 0.002, 0.1, 0.6}}
	}
	return s
}

// stalls draws times in which the VM of all processes stands still, about one a second.
func stalls(rnd *rand.Rand, length time.Duration) []stall {
	var list []stall
	for at := time.Duration(0); at < length; {
		at += time.Duration(rnd.ExpFloat64() * float64(time.Second))
		span := 50*time.Millisecond + time.Duration(rnd.Int64N(int64(150*time.Millisecond)))
		list = append(list, stall{at, at + span})
		at += span
	}
	return list
}

// tally sums the results of one scenario up.
type tally struct {
	scenario
	runs, completed, overExposed, overtime int
	passed                                 int // Runs that went over the exposure bound or completed.
	worst                                  float64
}

func (t *tally) String() string {
	bad := "good"
	switch {
	case t.failing > 0:
		bad = fmt.Sprintf("%.0f in 100 fail %s", 100*t.failing, t.onset)
	case t.slower > 0:
		bad = fmt.Sprintf("%.0f times slower %s", t.slower, t.onset)
	}
	return fmt.Sprintf("%s\t%d\t%.0f\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f", bad, t.servers, t.rate, t.length, t.trouble, t.runs, t.completed, t.overExposed, t.overtime, t.worst)
}

func simulate(sc scenario, seeds int) *tally {
	t := &tally{scenario: sc}
	for seed := range uint64(seeds) {
		v := newSim(sc, seed).run()
		t.runs++
		if v.phase == wire.Rollout_PHASE_COMPLETED {
			t.completed++
		}
		if v.exposed > 1 {
			t.overExposed++
		}
		if v.exposed > 1 || v.phase == wire.Rollout_PHASE_COMPLETED {
			t.passed++
		}
		if v.overtime > badMargin {
			t.overtime++
		}
		t.worst = max(t.worst, v.exposed)
	}
	return t
}

// simulateAll runs scenarios side by side and prints their results.
func simulateAll(list []scenario, seeds int) []*tally {
	out := make([]*tally, len(list))
	var wg sync.WaitGroup
	limit := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for n, sc := range list {
		limit <- struct{}{}
		wg.Go(func() {
			out[n] = simulate(sc, seeds)
			<-limit
		})
	}
	wg.Wait()
	if *simTable {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, strings.Join([]string{"version", "servers", "rate", "length", "trouble", "runs", "completed", "over-exposed", "overtime", "worst"}, "\t"))
		for _, t := range out {
			fmt.Fprintln(w, t)
		}
		_ = w.Flush()
	}
	return out
}

// Loads of the simulated pool.
var (
	lengths  = []time.Duration{12 * time.Second, 30 * time.Second}
	rates    = []float64{400, 1500}
	few      = []float64{20}
	badKinds = []scenario{{failing: 0.2}, {failing: 1}, {slower: 3}, {slower: 6}}
)

// loads lists a pool of few and one of many servers with the given rates and lengths.
func loads(rates []float64, lengths []time.Duration) []scenario {
	var list []scenario
	for _, servers := range []int{3, 90} {
		for _, rate := range rates {
			for _, length := range lengths {
				list = append(list, scenario{servers: servers, rate: rate, length: length, trouble: "none"})
			}
		}
	}
	return list
}

// bad lists rollouts of bad versions.
func bad(loads, kinds []scenario) []scenario {
	var list []scenario
	for _, sc := range loads {
		for _, sc.onset = range onsets {
			for _, kind := range kinds {
				sc.failing, sc.slower = kind.failing, kind.slower
				list = append(list, sc)
			}
		}
	}
	return list
}

// checkContained fails for each kind of rollout in which a bad version got more than its bound.
func checkContained(t *testing.T, list []scenario) {
	t.Helper()
	for _, r := range simulateAll(list, *simSeeds) {
		must.Zero(t, r.overExposed, must.Sprint("over the exposure bound: ", r))
		must.Zero(t, r.overtime, must.Sprint("too long after the 50th bad answer: ", r))
	}
}

// checkMostlyContained fails if more bad versions pass, which is to go over the exposure bound or to
// complete, than chance allows a rule that lets the given share pass. To complete counts because the
// version then gets all requests for good; without that a rule could hold the bound by giving each
// version few requests and judging none.
func checkMostlyContained(t *testing.T, list []scenario, share float64) {
	t.Helper()
	runs, passed := 0, 0
	for _, r := range simulateAll(list, *simSeeds) {
		must.Zero(t, r.overtime, must.Sprint("too long after the 50th bad answer: ", r))
		runs += r.runs
		passed += r.passed
	}
	t.Logf("%d of %d passed", passed, runs)
	must.LessEq(t, binomialLimit(runs, share), passed)
}

// binomialLimit returns the number of hits among n that chance exceeds less than once in a thousand
// times, where each is a hit with probability p.
func binomialLimit(n int, p float64) int {
	const falseAlarm = 0.001
	probability := math.Pow(1-p, float64(n))
	hits, above := 0, 1-probability
	for ; above >= falseAlarm; above -= probability {
		hits++
		probability *= float64(n-hits+1) / float64(hits) * p / (1 - p)
	}
	return hits
}

// checkCompleted fails if less than a fraction of good versions completes.
func checkCompleted(t *testing.T, list []scenario, least float64) {
	t.Helper()
	runs, completed := 0, 0
	for _, r := range simulateAll(list, *simSeeds) {
		runs += r.runs
		completed += r.completed
	}
	t.Logf("%d of %d completed", completed, runs)
	must.GreaterEq(t, int(math.Ceil(least*float64(runs))), completed)
}

// Guards against a good version that is not in use by its deadline because upstreams of either
// version were in trouble, or callers many, for a while.
func TestGoodVersionsCompleteInTrouble(t *testing.T) {
	for _, trouble := range troubles {
		t.Run(trouble, func(t *testing.T) {
			list := loads(append(few, rates...), lengths)
			for n := range list {
				list[n].trouble = trouble
			}
			checkCompleted(t, list, 0.95)
		})
	}
}

// Guards against chance that keeps a good version from completing.
func TestGoodVersionsComplete(t *testing.T) {
	checkCompleted(t, loads(append(few, rates...), lengths), 0.999)
}

// Guards against a bad version that gets more requests than its bound allows, or any that are sent
// more than 5 s after its 50th bad answer.
func TestBadVersionsAreContained(t *testing.T) {
	checkContained(t, bad(loads(rates, lengths), badKinds))
}

// unfailed returns the probability that a version has not failed once in n answers, which is the
// share of bad versions that passes even if the first failure rolls back.
func unfailed(failing float64, n int) float64 { return math.Pow(1-failing, float64(n)) }

// The same for versions of which one answer in twenty fails.
func TestRareFailuresAreContained(t *testing.T) {
	rare := []scenario{{failing: 0.05}}
	t.Run("few requests in 12 s", func(t *testing.T) {
		checkMostlyContained(t, bad(loads(few, lengths[:1]), rare), unfailed(0.05, 74)) // 0.1 of 240 requests, and 50.
	})
	t.Run("others", func(t *testing.T) {
		checkContained(t, bad(append(loads(rates, lengths), loads(few, lengths[1:])...), rare))
	})
}

// underLoad lists versions of which one answer in five fails under load. In pools with few requests
// the shortest shift gives 14 answers to tell them by.
func underLoad(length time.Duration) []scenario {
	list := loads(few, []time.Duration{length})
	for n := range list {
		list[n].failing, list[n].onset = 0.2, "under load"
	}
	return list
}

// withoutUnderLoad drops what underLoad lists.
func withoutUnderLoad(list []scenario, length time.Duration) []scenario {
	out := underLoad(length)
	return slices.DeleteFunc(list, func(sc scenario) bool { return slices.Contains(out, sc) })
}

// The same for pools with few requests.
func TestFewRequestsAreContained(t *testing.T) {
	t.Run("under load in 12 s", func(t *testing.T) {
		checkMostlyContained(t, underLoad(lengths[0]), unfailed(0.2, 14))
	})
	t.Run("others", func(t *testing.T) {
		checkContained(t, withoutUnderLoad(bad(loads(few, lengths), badKinds), lengths[0]))
	})
}

// The same for rollouts of six seconds.
func TestShortRolloutsAreContained(t *testing.T) {
	six := []time.Duration{6 * time.Second}
	t.Run("few requests under load", func(t *testing.T) {
		checkMostlyContained(t, underLoad(six[0]), unfailed(0.2, 14))
	})
	t.Run("others", func(t *testing.T) {
		checkContained(t, withoutUnderLoad(bad(loads(append(few, rates...), six), badKinds), six[0]))
	})
}

// Good versions complete within six seconds, too.
func TestShortRolloutsComplete(t *testing.T) {
	checkCompleted(t, loads(append(few, rates...), []time.Duration{6 * time.Second}), 0.999)
}
