package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// routeLoad describes the requests of one route in a replay.
type routeLoad struct {
	route    string
	priority int32
	prompt   int64
	interval time.Duration
	answer   func(n int) int64
	stall    time.Duration // Time that other prompts' prefills add to the gaps of a run.
}

// placedShares replays loads on four slots for two minutes and returns the share of each load's
// requests that got a slot in time, by route and answer length.
func placedShares(loads ...routeLoad) map[string]map[int64]float64 {
	const perToken, step = 3 * time.Millisecond, 10 * time.Millisecond
	e := newHarness(4, "a")
	var active activeRuns
	tickets := map[uint64]*wire.Ticket{}
	stalls := map[string]time.Duration{}
	duration := func(t *wire.Ticket) time.Duration {
		return time.Duration(t.GetAnswerTokens())*perToken + stalls[t.GetRoute()]
	}
	requested, placed := map[string]map[int64]float64{}, map[string]map[int64]float64{}
	handle := func(list []*wire.Decision) {
		for _, d := range list {
			if t := tickets[d.GetTicket()]; d.GetGrant() != nil {
				active = append(active, activeRun{d, e.now.Add(duration(t))})
				placed[t.GetRoute()][t.GetAnswerTokens()]++
			}
		}
	}
	for at := time.Duration(0); at < 2*time.Minute; at += step {
		e.now = e.now.Add(step)
		for _, l := range loads {
			if at%l.interval != 0 {
				continue
			}
			if requested[l.route] == nil {
				stalls[l.route] = l.stall
				requested[l.route], placed[l.route] = map[int64]float64{}, map[int64]float64{}
			}
			k := e.ticket(l.route, l.priority, l.prompt, l.answer(int(at/l.interval)))
			k.ObjectiveUs, k.DeadlineUs = (2 * time.Second).Microseconds(), (30 * time.Second).Microseconds()
			tickets[k.GetId()] = k
			requested[l.route][k.GetAnswerTokens()]++
			handle(e.Submit(e.now, k))
		}
		handle(e.Tick(e.now))
		for _, r := range active.takeEnded(e.now) {
			t := tickets[r.GetTicket()]
			handle(e.release(r.Decision, 60*time.Millisecond, 60*time.Millisecond+duration(t), t.GetAnswerTokens()/9+1))
		}
	}
	for route, by := range placed {
		for answer := range by {
			by[answer] /= requested[route][answer]
		}
	}
	return placed
}

// Guards against overload in which only large requests are refused. Twice as much is requested
// for two minutes as four slots can serve. Large answers have a lower value per second of slot
// time, so small requests of the same route would get every free slot.
func TestLargeRequestsKeepTheirShare(t *testing.T) {
	const small, large = 60, 1200
	got := placedShares(routeLoad{"usual", 1, 200, 40 * time.Millisecond, func(n int) int64 {
		if n%10 == 0 {
			return large
		}
		return small
	}, 0})["usual"]
	all := 0.9*got[small] + 0.1*got[large]
	t.Logf("granted: %.2f of all requests, %.2f of the large ones", all, got[large])
	must.Less(t, 0.9, all, must.Sprint("the load must exceed the capacity"))
	must.Greater(t, all/2, got[large])
}

// Guards against long answers that are refused because short ones distort the estimated token
// time. Each run pauses for 0.4 s in all while other prompts are prefilled: a short answer of
// three events then seems to take 26 ms per token, a long one 3.4 ms. If most runs are short, the
// engines seem too slow to end a long answer in time. In a replay of a day, engines that took 5 to
// 20 ms per token were estimated at 11 to 67 ms (log line `Speeds of upstreams.`), and 62 of 79 of
// the longest answers were refused. In this test the long answers take a seventh of the time to
// their deadline.
func TestShortAnswersDoNotSkewTokenTime(t *testing.T) {
	const small, large = 20, 1200
	got := placedShares(routeLoad{"usual", 1, 200, 70 * time.Millisecond, func(n int) int64 {
		if n%10 == 0 {
			return large
		}
		return small
	}, 400 * time.Millisecond})["usual"]
	all := 0.9*got[small] + 0.1*got[large]
	t.Logf("granted: %.2f of all requests, %.2f of the large ones", all, got[large])
	must.Less(t, 0.9, all, must.Sprint("the load must exceed the capacity"))
	must.Greater(t, all/2, got[large])
}

// Guards against a more urgent route that is refused more often because its answers are long. Two
// routes request twice as much as four slots can serve. The more urgent one has the lower value
// per second of slot time. It must be served no less often than the other, which gets the rest.
func TestUrgentRouteIsServedNoLess(t *testing.T) {
	got := placedShares(
		routeLoad{"rare", 0, 600, 10 * time.Second, func(int) int64 { return 60 }, 0}, // The only one that may queue at the engine.
		routeLoad{"urgent", 1, 600, 240 * time.Millisecond, func(int) int64 { return 300 }, 0},
		routeLoad{"other", 2, 1800, 30 * time.Millisecond, func(int) int64 { return 20 }, 0},
	)
	urgent, other := got["urgent"][300], got["other"][20]
	t.Logf("granted: %.2f of the urgent requests, %.2f of the others", urgent, other)
	must.Less(t, 0.9, urgent, must.Sprint("the load must exceed the capacity"))
	must.Greater(t, other-0.1, urgent)
	must.Greater(t, 0.1, other)
}

// Guards against a deficit bound that is a fixed number of slots. With a hundred engines, such a
// bound made up for only one in ten of the long runs that broke off, so the bound grows with the
// request rate.
func TestDeficitIsBoundedByLoad(t *testing.T) {
	for _, tc := range []struct {
		name   string
		every  time.Duration // Between two requests.
		broken int
		want   float64
	}{
		{"few engines", 100 * time.Millisecond, 2, 2},
		{"many engines", 4 * time.Millisecond, 40, 40},
	} {
		e := newHarness(1, "a")
		for n := range 2000 {
			e.now = e.now.Add(tc.every)
			e.Submit(e.now, e.ticket("usual", 1, 200, int64(50+n%100)))
		}
		k := e.routes["usual"]
		k.deficits = [sizeClasses]float64{}
		for range tc.broken {
			k.addBrokenRun(e.ticket("usual", 1, 200, 150))
		}
		must.InDelta(t, tc.want, k.deficits[largest], 0.01, must.Sprint(tc.name))
		must.LessEq(t, maxWeight, k.weights[largest], must.Sprint(tc.name))
	}
}
