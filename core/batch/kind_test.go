package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// load is one kind of requests in a replay.
type load struct {
	route    string
	priority int32
	prompt   int64
	every    time.Duration
	answer   func(n int) int64
	stall    time.Duration // What prompts that are read beside a run add to its pauses.
}

// shares replays loads on four places for two minutes and returns the part of each
// load's requests that got a place in time, by route and answer.
func shares(loads ...load) map[string]map[int64]float64 {
	const each, step = 3 * time.Millisecond, 10 * time.Millisecond
	e := newEngines(4, "a")
	var on runs
	tickets := map[uint64]*wire.Ticket{}
	stalls := map[string]time.Duration{}
	runs := func(t *wire.Ticket) time.Duration {
		return time.Duration(t.GetAnswerTokens())*each + stalls[t.GetRoute()]
	}
	asked, placed := map[string]map[int64]float64{}, map[string]map[int64]float64{}
	take := func(list []*wire.Decision) {
		for _, d := range list {
			if t := tickets[d.GetTicket()]; d.GetGrant() != nil {
				on = append(on, run{d, e.now.Add(runs(t))})
				placed[t.GetRoute()][t.GetAnswerTokens()]++
			}
		}
	}
	for at := time.Duration(0); at < 2*time.Minute; at += step {
		e.now = e.now.Add(step)
		for _, l := range loads {
			if at%l.every != 0 {
				continue
			}
			if asked[l.route] == nil {
				stalls[l.route] = l.stall
				asked[l.route], placed[l.route] = map[int64]float64{}, map[int64]float64{}
			}
			k := e.ticket(l.route, l.priority, l.prompt, l.answer(int(at/l.every)))
			k.ObjectiveUs, k.DeadlineUs = (2 * time.Second).Microseconds(), (30 * time.Second).Microseconds()
			tickets[k.GetId()] = k
			asked[l.route][k.GetAnswerTokens()]++
			take(e.Submit(e.now, k))
		}
		take(e.Tick(e.now))
		for _, r := range on.ended(e.now) {
			t := tickets[r.GetTicket()]
			take(e.end(r.Decision, 60*time.Millisecond, 60*time.Millisecond+runs(t), t.GetAnswerTokens()/9+1))
		}
	}
	for route, by := range placed {
		for answer := range by {
			by[answer] /= asked[route][answer]
		}
	}
	return placed
}

// Twice as much is asked for as four places can do, for two minutes. Large answers
// earn less for the time that they take a place, so the small ones of the same kind
// would go first whenever a place is free, and callers with large requests would be
// the only ones who are refused.
func TestLargeOnesKeepTheirShare(t *testing.T) {
	const small, large = 60, 1200
	got := shares(load{"usual", 1, 200, 40 * time.Millisecond, func(n int) int64 {
		if n%10 == 0 {
			return large
		}
		return small
	}, 0})["usual"]
	all := 0.9*got[small] + 0.1*got[large]
	t.Logf("placed %.2f of all, %.2f of the large", all, got[large])
	must.Less(t, 0.9, all, must.Sprint("there must be a shortage"))
	must.Greater(t, all/2, got[large])
}

// Callers with long answers are refused all day while those with short ones beside
// them are served. Each run stands still for 0.4 s in all, as prompts are read beside
// it: a short answer of three events then seems to take 26 ms a token, a long one 3.4.
// Believed by the short ones, of which there are most, no engine can end a long answer
// in time, and what can end goes first. In a play of such a day engines were believed
// to take 11 to 67 ms a token (`Speeds of upstreams.`) that took 5 to 20, and 62 of 79
// of the longest answers were refused. They end in a seventh of their time here.
func TestShortAnswersDontMakeEnginesSlow(t *testing.T) {
	const small, large = 20, 1200
	got := shares(load{"usual", 1, 200, 70 * time.Millisecond, func(n int) int64 {
		if n%10 == 0 {
			return large
		}
		return small
	}, 400 * time.Millisecond})["usual"]
	all := 0.9*got[small] + 0.1*got[large]
	t.Logf("placed %.2f of all, %.2f of the large", all, got[large])
	must.Less(t, 0.9, all, must.Sprint("there must be a shortage"))
	must.Greater(t, all/2, got[large])
}

// Twice as much is asked for as four places can do, by two kinds of requests. The more
// urgent one has long answers, so that by what it earns for the time of a place it
// loses to the other. Its callers are served no less often all the same, and those of
// the other get the rest.
func TestUrgentKindIsServedNoLess(t *testing.T) {
	got := shares(
		load{"rare", 0, 600, 10 * time.Second, func(int) int64 { return 60 }, 0}, // It alone may wait at the engine itself.
		load{"urgent", 1, 600, 240 * time.Millisecond, func(int) int64 { return 300 }, 0},
		load{"other", 2, 1800, 30 * time.Millisecond, func(int) int64 { return 20 }, 0},
	)
	urgent, other := got["urgent"][300], got["other"][20]
	t.Logf("placed %.2f of the urgent, %.2f of the others", urgent, other)
	must.Less(t, 0.9, urgent, must.Sprint("there must be a shortage"))
	must.Greater(t, other-0.1, urgent)
	must.Greater(t, 0.1, other)
}

// Guards against a bound in places, which makes up for one in ten of the long runs that
// break where a hundred engines serve.
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
		e := newEngines(1, "a")
		for n := range 2000 {
			e.now = e.now.Add(tc.every)
			e.Submit(e.now, e.ticket("usual", 1, 200, int64(50+n%100)))
		}
		k := e.kinds["usual"]
		k.deficits = [sizeClasses]float64{}
		for range tc.broken {
			k.broke(e.ticket("usual", 1, 200, 150))
		}
		must.InDelta(t, tc.want, k.deficits[largest], 0.01, must.Sprint(tc.name))
		must.LessEq(t, maxWeight, k.weights[largest], must.Sprint(tc.name))
	}
}
