package batch

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/route"
	"azurelane/core/wire"
)

// lateRoutes are the routes of a pool in which callers leave a stream without an event after 2.4 s.
var lateRoutes = []route.Route{{Name: "long", Patience: 2400 * time.Millisecond}, {Name: "short", Patience: 2400 * time.Millisecond}, {Name: "tag"}}

// configureLate switches late service and timed returns of a harness.
func (e *harness) configureLate(on bool) {
	e.Configure(e.now, "engines", &conf.Config{
		Routes: lateRoutes,
		Pools:  map[string]pool.Pool{"engines": {Slots: 4, EventTokens: 9, CacheTokens: 100000, LateService: &on, TimedReturn: &on}},
	})
}

// lateOutcome is what became of the requests of a replay, as shares of all.
type lateOutcome struct{ timely, served float64 }

// playWave replays kinds of requests like those of deployment A on engines of three speeds: a wave of 0.55 with a
// period of 13 s, and bursts of twice the rate for 5 s.
func playWave(seed uint64, on bool) lateOutcome {
	const ms = time.Millisecond
	r := newReplay(seed, 7, 3*ms, 3*ms, 3*ms, 4*ms, 4*ms, 4*ms, 11*ms, 11*ms, 11*ms)
	r.configureLate(on)
	kinds := []traffic{
		{"long", 0, 9, 3000, 300, 0.7, 2000, 800 * ms, 12 * time.Second},
		{"short", 1, 15, 600, 220, 0.7, 1500, 600 * ms, 12 * time.Second},
		{"tag", 2, 18, 1500, 24, 0.5, 100, 1200 * ms, 3 * time.Second},
	}
	for at := time.Duration(0); at < 60*time.Second; at += replayStep {
		r.now = r.now.Add(replayStep)
		load := 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13)
		if n := at % (23 * time.Second); n > 10*time.Second && n < 15*time.Second {
			load *= 2
		}
		for _, k := range kinds {
			for due := k.rate * load * replayStep.Seconds(); due > r.rnd.Float64(); due-- {
				r.arrive(k)
			}
		}
		r.step()
	}
	var out lateOutcome
	for _, q := range r.requests {
		if q.served {
			out.served++
		}
		if q.served && q.timely {
			out.timely++
		}
	}
	n := float64(len(r.requests))
	return lateOutcome{out.timely / n, out.served / n}
}

// Guards against requests that are refused in a peak of some seconds although there is room for them before their
// callers leave or their deadlines come: with late service more are served, and hardly fewer are in time.
func TestLateServiceInWaves(t *testing.T) {
	t.Parallel()
	var with, without lateOutcome
	const seeds = 3
	for seed := range uint64(seeds) {
		a, b := playWave(seed, true), playWave(seed, false)
		with.served, with.timely = with.served+a.served/seeds, with.timely+a.timely/seeds
		without.served, without.timely = without.served+b.served/seeds, without.timely+b.timely/seeds
	}
	t.Logf("served %.3f, in time %.3f; without late service %.3f and %.3f", with.served, with.timely, without.served, without.timely)
	must.Less(t, 0.95, without.served, must.Sprint("the load must exceed the capacity"))
	must.Greater(t, without.served+0.01, with.served)
	must.Greater(t, without.timely-0.01, with.timely)
}

// Guards against deferred requests that take slots from requests in time, and that are kept until their callers
// have left.
func TestDeferredRequests(t *testing.T) {
	e := newHarness(4, "a")
	e.configureLate(true)
	running := e.fill(4 + engineQueueLimit)
	late := e.ticket("short", 2, 100, 100)
	e.Submit(e.now, late)
	e.now = e.now.Add(400 * time.Millisecond) // Its objective is 300 ms.
	must.SliceEmpty(t, e.Tick(e.now))
	fresh := e.ticket("short", 2, 100, 100)
	e.Submit(e.now, fresh)
	must.SliceEmpty(t, e.release(running[0], 60*time.Millisecond, 350*time.Millisecond, 11)) // From the engine's queue.
	got := e.release(running[1], 60*time.Millisecond, 350*time.Millisecond, 11)
	must.Eq(t, []uint64{fresh.GetId()}, grantedIDs(t, got))
	must.Eq(t, []uint64{late.GetId()}, grantedIDs(t, e.release(running[2], 60*time.Millisecond, 350*time.Millisecond, 11)))

	left := e.ticket("short", 2, 100, 100)
	e.Submit(e.now, left)
	var refused time.Duration
	for waited := time.Duration(0); refused == 0 && waited < 3*time.Second; waited += 10 * time.Millisecond {
		e.now = e.now.Add(10 * time.Millisecond)
		for _, d := range e.Tick(e.now) {
			if d.GetTicket() == left.GetId() && d.GetRefusal() != nil {
				refused = waited
			}
		}
	}
	must.Between(t, 10*time.Millisecond, refused, 2400*time.Millisecond)
}

// Guards against deferred requests that take the slots of slow engines while a request waits that only a faster one
// can serve in time: the next requests in time find no slot, and slower batches.
func TestDeferredRequestsLeaveSlots(t *testing.T) {
	e := newHarness(1, "quick", "slow")
	e.configureLate(true)
	e.train(map[string]time.Duration{"quick": time.Millisecond, "slow": 2500 * time.Microsecond}, 0.1)
	running := map[string]*wire.Decision{}
	for len(running) < 2 {
		for _, d := range e.fill(1) {
			running[d.GetGrant().GetUpstream()] = d
		}
	}
	e.topPriority.priority = -1 // No requests beyond the batches.
	timely, late := e.ticket("long", 0, 40000, 90), e.ticket("short", 2, 500, 90)
	timely.ObjectiveUs, timely.DeadlineUs = (500 * time.Millisecond).Microseconds(), time.Minute.Microseconds()
	e.Submit(e.now, late)
	e.now = e.now.Add(400 * time.Millisecond) // The objective of late is 300 ms.
	must.SliceEmpty(t, e.Tick(e.now))
	must.SliceEmpty(t, e.Submit(e.now, timely))
	must.SliceEmpty(t, e.release(running["slow"], 20*time.Millisecond, 260*time.Millisecond, 11))
	must.Eq(t, []uint64{timely.GetId(), late.GetId()}, grantedIDs(t, e.release(running["quick"], 20*time.Millisecond, 110*time.Millisecond, 11)))
}

// Guards against deferred requests that are lost with their scheduler: the entry sends them to the next one, with
// the time that is left, and they get a slot there. Those of an entry that dies take none.
func TestDeferredRequestsAtTheNextScheduler(t *testing.T) {
	e := newHarness(4, "a")
	e.configureLate(true)
	late := e.ticket("short", 1, 100, 100)
	late.ObjectiveUs, late.DeadlineUs, late.WaitedUs = -time.Second.Microseconds(), (6 * time.Second).Microseconds(), time.Second.Microseconds()
	must.Eq(t, []uint64{late.GetId()}, grantedIDs(t, e.Submit(e.now, late)))

	running := e.fill(3 + engineQueueLimit)
	dead := e.ticket("short", 2, 100, 100)
	dead.Incarnation = "dead"
	e.Submit(e.now, dead)
	e.now = e.now.Add(400 * time.Millisecond)
	e.Tick(e.now)
	e.Forget(e.now, "dead")
	must.SliceEmpty(t, e.release(running[0], 60*time.Millisecond, 350*time.Millisecond, 11))
}

// Guards against routes whose callers have no use for late answers and that are deferred nevertheless.
func TestRouteWithoutLateService(t *testing.T) {
	e := newHarness(1, "a")
	none, on := 0.0, true
	e.Configure(e.now, "engines", &conf.Config{
		Routes: []route.Route{{Name: "short", LateWorth: &none}},
		Pools:  map[string]pool.Pool{"engines": {Slots: 1, EventTokens: 9, LateService: &on}},
	})
	e.fill(1 + engineQueueLimit)
	k := e.ticket("short", 2, 100, 100)
	e.Submit(e.now, k)
	e.now = e.now.Add(300 * time.Millisecond)
	list := e.Tick(e.now)
	must.SliceContainsFunc(t, list, k.GetId(), func(d *wire.Decision, id uint64) bool { return d.GetTicket() == id && d.GetRefusal() != nil })
}

// Guards against requests with long answers that wait while all slots are free: by the estimate no engine can end
// them before their deadlines, but estimates are often too long.
func TestLongAnswerWithFreeSlots(t *testing.T) {
	e := newHarness(4, "a")
	e.configureLate(true)
	k := e.ticket("long", 0, 100, 90000)
	must.Eq(t, []uint64{k.GetId()}, grantedIDs(t, e.Submit(e.now, k)))
}
