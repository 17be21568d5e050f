package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// engines drives a policy over some engines by a clock of its own.
type engines struct {
	Batch
	now  time.Time
	next uint64
}

func newEngines(slots int64, names ...string) *engines {
	e := &engines{now: time.Unix(1000, 0)}
	e.Configure(e.now, "engines", &conf.Config{Pools: map[string]pool.Pool{"engines": {Slots: slots, EventTokens: 9, CacheTokens: 100000}}})
	for _, n := range names {
		e.announce(n, slots, false)
	}
	return e
}

func (e *engines) announce(name string, slots int64, leaving bool) {
	e.next++
	e.Announce(e.now, &wire.Announce{
		Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
		Seq: e.next, Leaving: leaving,
	})
}

func (e *engines) ticket(route string, priority int32, prompt, answer int64) *wire.Ticket {
	e.next++
	return &wire.Ticket{
		Id: e.next, Incarnation: "i", Pool: "engines", Route: route, Priority: priority, PromptTokens: prompt, AnswerTokens: answer,
		ObjectiveUs: (300 * time.Millisecond).Microseconds(), DeadlineUs: (8 * time.Second).Microseconds(),
	}
}

// fill takes all places of an engine.
func (e *engines) fill(n int) []*wire.Decision {
	var out []*wire.Decision
	for range n {
		out = append(out, e.Submit(e.now, e.ticket("usual", 1, 100, 100))...)
	}
	return out
}

// end releases a granted run and returns what is decided then.
func (e *engines) end(d *wire.Decision, first, total time.Duration, pieces int64) []*wire.Decision {
	return e.Release(e.now, &wire.Release{
		Ticket: d.GetTicket(), Incarnation: d.GetIncarnation(), Pool: "engines", Upstream: d.GetGrant().GetUpstream(), Slot: d.GetGrant().GetSlot(),
		Dispatched: true, Whole: true, FirstTokenUs: first.Microseconds(), TotalUs: total.Microseconds(), Pieces: pieces,
	})
}

func granted(t *testing.T, list []*wire.Decision) []uint64 {
	t.Helper()
	var ids []uint64
	for _, d := range list {
		must.NotNil(t, d.GetGrant(), must.Sprint(d))
		ids = append(ids, d.GetTicket())
	}
	return ids
}

// An engine admits in the order of arrival, so what is sent beyond its batch
// would wait there ahead of anything more urgent. It gets one request more than
// its batch, and the rest waits here.
func TestWaitsHereAndNotThere(t *testing.T) {
	e := newEngines(4, "a")
	must.Len(t, 4+extraPlaces, e.fill(10))
	must.Len(t, 5, e.waiting)
}

// All places are taken when a bulk request, an urgent one, and one that came
// back after a refusal wait. The next free place goes to the urgent one.
func TestUrgentFirst(t *testing.T) {
	e := newEngines(8, "a")
	first := e.fill(8 + extraPlaces)
	bulk, urgent, returned := e.ticket("bulk", 2, 500, 100), e.ticket("urgent", 0, 500, 100), e.ticket("urgent", 0, 500, 100)
	returned.ObjectiveUs = -time.Second.Microseconds()
	for _, w := range []*wire.Ticket{bulk, returned, urgent} {
		must.SliceEmpty(t, e.Submit(e.now, w))
	}
	got := e.end(first[0], 60*time.Millisecond, 300*time.Millisecond, 11)
	must.Eq(t, []uint64{urgent.GetId()}, granted(t, got))
	must.Eq(t, []uint64{returned.GetId()}, granted(t, e.end(first[1], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// Nothing becomes free. A request is refused when its first piece can't be in
// time any more, not at its deadline, and is told to come back later; one that
// comes back late waits for a part of its time.
func TestRefusedAsSoonAsItIsLate(t *testing.T) {
	e := newEngines(1, "a")
	e.fill(1 + extraPlaces)
	fresh, late := e.ticket("usual", 1, 100, 100), e.ticket("usual", 1, 100, 100)
	late.ObjectiveUs = 1
	e.Submit(e.now, fresh)
	e.Submit(e.now, late)
	refused := map[uint64]time.Duration{}
	for range 400 {
		e.now = e.now.Add(5 * time.Millisecond)
		for _, d := range e.Tick(e.now) {
			must.Eq(t, refuse.Overloaded, d.GetRefusal().GetCode())
			must.GreaterEq(t, shortestRetry.Microseconds(), d.GetRefusal().GetRetryAfterUs())
			refused[d.GetTicket()] = e.now.Sub(time.Unix(1000, 0))
		}
	}
	must.Between(t, 200*time.Millisecond, refused[fresh.GetId()], 300*time.Millisecond)
	must.Between(t, time.Second, refused[late.GetId()], 8*time.Second/lateWait+100*time.Millisecond)
}

// One engine takes ten times as long for a token. A long answer there would be
// cut off at its deadline and its place wasted for seconds; a short one is fine.
func TestLongRunWaitsForAFastEngine(t *testing.T) {
	e := newEngines(1, "fast", "slow")
	for range 60 {
		for _, d := range e.fill(2) {
			each := 2 * time.Millisecond
			if d.GetGrant().GetUpstream() == "slow" {
				each = 20 * time.Millisecond
			}
			e.end(d, 60*time.Millisecond, 60*time.Millisecond+90*each, 11)
		}
		e.now = e.now.Add(time.Second)
	}
	var at []*wire.Decision
	for len(at) == 0 || at[len(at)-1].GetGrant().GetUpstream() != "slow" {
		at = append(at, e.fill(1)...)
	}
	for len(at) < 2*(1+extraPlaces) {
		at = append(at, e.fill(1)...)
	}
	long, short := e.ticket("long", 0, 100, 1000), e.ticket("short", 2, 100, 20)
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	var got []*wire.Decision
	for _, d := range at {
		if d.GetGrant().GetUpstream() == "slow" {
			got = append(got, e.end(d, 60*time.Millisecond, 2*time.Second, 11)...)
		}
	}
	must.Eq(t, []uint64{short.GetId()}, granted(t, got))
	for _, d := range at {
		if d.GetGrant().GetUpstream() == "fast" {
			must.Eq(t, []uint64{long.GetId()}, granted(t, e.end(d, 60*time.Millisecond, 260*time.Millisecond, 11)))
			break
		}
	}
}

// All places of a batch are taken by usual work. What is less urgent waits here
// also where the engine would take one more: there it would have the next free
// place before a more urgent request that comes a moment later. The most urgent
// may go there, and is first when a place becomes free.
func TestOnlyTheMostUrgentWaitsThere(t *testing.T) {
	e := newEngines(4, "a")
	first := e.Submit(e.now, e.ticket("urgent", 0, 100, 100))
	e.fill(3)
	must.SliceEmpty(t, e.fill(1))
	must.Len(t, 1, e.Submit(e.now, e.ticket("urgent", 0, 100, 100)))
	must.SliceEmpty(t, e.Submit(e.now, e.ticket("urgent", 0, 100, 100)))
	must.SliceEmpty(t, e.end(first[0], 60*time.Millisecond, 300*time.Millisecond, 11)[1:])
	for range int(urgentFor/time.Second) + 1 {
		e.now = e.now.Add(time.Second)
		e.fill(1)
	}
	must.Eq(t, 1, e.urgent.priority, must.Sprint("nobody asks for more"))
}

// An engine breaks off a run. It gets nothing more for a while, then one trial
// after the other; a run that ends well brings it back.
func TestBrokenEngineIsLeftOut(t *testing.T) {
	e := newEngines(4, "a", "b")
	d := e.fill(1)[0]
	bad := d.GetGrant().GetUpstream()
	e.Release(e.now, &wire.Release{
		Ticket: d.GetTicket(), Incarnation: d.GetIncarnation(), Pool: "engines", Upstream: bad, Slot: d.GetGrant().GetSlot(), Dispatched: true, Failed: true,
	})
	for _, d := range e.fill(4) {
		must.NotEq(t, bad, d.GetGrant().GetUpstream())
	}
	e.now = e.now.Add(firstOut)
	used := false
	for _, d := range e.fill(4) {
		used = used || d.GetGrant().GetUpstream() == bad
	}
	must.True(t, used)
}

// A session comes back within seconds. The engine that ran it has kept its
// prompt, so its next request runs there while another engine is as free, and
// what the engine has to read is nothing: the next one is not taken for late.
func TestSessionReturnsToItsEngine(t *testing.T) {
	e := newEngines(4, "a", "b", "c")
	session := func(hash uint64) *wire.Ticket {
		k := e.ticket("usual", 0, 20000, 100)
		k.Parts = []*wire.PromptPart{{Hash: 1000, Tokens: 100}, {Hash: hash, Tokens: 15000}, {Hash: 2000 + e.next, Tokens: 4900}}
		return k
	}
	for hash := range uint64(6) {
		first := e.Submit(e.now, session(hash+1))
		must.Len(t, 1, first)
		e.now = e.now.Add(time.Second)
		e.end(first[0], 250*time.Millisecond, 500*time.Millisecond, 10)
		e.now = e.now.Add(time.Second)
		again := e.Submit(e.now, session(hash+1))
		must.Eq(t, first[0].GetGrant().GetUpstream(), again[0].GetGrant().GetUpstream())
		e.now = e.now.Add(time.Second)
		e.end(again[0], 100*time.Millisecond, 350*time.Millisecond, 10)
		e.now = e.now.Add(20 * time.Second) // Longer than the cache is trusted.
		e.announce("a", 4, false)
		e.announce("b", 4, false)
		e.announce("c", 4, false)
	}
}

// A leaving engine gets nothing new from the moment in which it says so.
func TestLeavingEngineGetsNothing(t *testing.T) {
	e := newEngines(4, "a", "b")
	e.announce("a", 4, true)
	for _, d := range e.fill(8) {
		must.Eq(t, "b", d.GetGrant().GetUpstream())
	}
}

// A batch has places left, but the memory for prompts and answers is promised.
// What is sent beyond it would be preempted in the middle of its stream.
func TestCacheBounds(t *testing.T) {
	e := newEngines(8, "a")
	must.Len(t, 1, e.Submit(e.now, e.ticket("large", 0, 60000, 100)))
	must.SliceEmpty(t, e.Submit(e.now, e.ticket("large", 0, 60000, 100)))
	must.Len(t, 1, e.Submit(e.now, e.ticket("small", 1, 1000, 100)))
}

// An entry dies with places held and tickets waiting. Its places are free at
// once, and nothing is granted to it any more.
func TestDeadEntryFreesItsPlaces(t *testing.T) {
	e := newEngines(2, "a")
	must.Len(t, 2+extraPlaces, e.fill(5))
	other := e.ticket("usual", 1, 100, 100)
	other.Incarnation = "other"
	e.Submit(e.now, other)
	must.Eq(t, []uint64{other.GetId()}, granted(t, e.Forget(e.now, "i")))
	must.SliceEmpty(t, e.waiting)
}

// A new scheduler hears from an entry which places it holds, and must not grant
// them again.
func TestHeldPlacesAreTaken(t *testing.T) {
	e := newEngines(2, "a")
	h := &wire.Held{Incarnation: "i"}
	for i := range uint64(2) {
		h.Slots = append(h.Slots, &wire.HeldSlot{
			Ticket: &wire.Ticket{Id: 100 + i, Incarnation: "i", Pool: "engines"}, Grant: &wire.Grant{Slot: i, Owner: "old", Upstream: "a"},
		})
	}
	e.Hold(e.now, h)
	must.Len(t, extraPlaces, e.fill(3))
}

// Guards against a policy that believes, a little more with each run, that engines are
// busy, until it places nothing and the line grows: each run that ends makes room for one.
func TestEvenLoadKeepsItsLine(t *testing.T) {
	const waiting, rounds = 30, 20000
	var names []string
	for i := range 90 {
		names = append(names, fmt.Sprint("e", i))
	}
	e := newEngines(6, names...)
	running := e.fill(90*(6+extraPlaces) + waiting)
	for i := range rounds {
		out := e.end(running[i%len(running)], 60*time.Millisecond, 300*time.Millisecond, 11)
		must.Len(t, 1, out, must.Sprint(i))
		running[i%len(running)] = out[0]
		must.SliceEmpty(t, e.fill(1), must.Sprint(i))
		must.Len(t, waiting, e.waiting, must.Sprint(i))
	}
}

// BenchmarkAssign is one grant and one release with many tickets waiting for 90
// engines, about the load of a burst on the larger deployments. Purpose: well
// below the 0.4 ms that half of a core has for each of a thousand a second.
func BenchmarkAssign(b *testing.B) {
	for _, waiting := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint("waiting-", waiting), func(b *testing.B) {
			var names []string
			for i := range 90 {
				names = append(names, fmt.Sprint("e", i))
			}
			e := newEngines(6, names...)
			running := e.fill(90*(6+extraPlaces) + waiting)
			b.ResetTimer()
			for i := range b.N {
				d := running[i%len(running)]
				out := e.end(d, 60*time.Millisecond, 300*time.Millisecond, 11)
				if len(out) > 0 {
					running[i%len(running)] = out[0]
				}
				e.fill(1)
			}
		})
	}
}

// BenchmarkBurst is a burst that 504 places can't work off: requests of 200 entries come
// four times as fast as runs end. Purpose: a small part of one core, so that the leader's
// heartbeats go on, and a refusal that costs a small part of a grant.
func BenchmarkBurst(b *testing.B) {
	const (
		perSecond = 4100
		ends      = 1000
		engines   = 84
		entries   = 200
	)
	for _, tc := range []struct {
		name string
		rate int
	}{{"worked-off", ends}, {"four-times", perSecond}} {
		b.Run(tc.name, func(b *testing.B) {
			var names []string
			for i := range engines {
				names = append(names, fmt.Sprint("e", i))
			}
			e := newEngines(6, names...)
			running := e.fill(engines * (6 + extraPlaces))
			refused, granted, waited := 0, 0, 0
			note := func(list []*wire.Decision) {
				for _, d := range list {
					if d.GetGrant() == nil {
						refused++
						continue
					}
					granted++
					running = append(running, d)
				}
			}
			b.ResetTimer()
			for i := range b.N { // A hundredth of a second each.
				for n := range ends / 100 {
					e.now = e.now.Add(time.Second / ends)
					d := running[0]
					running = running[1:]
					note(e.end(d, 60*time.Millisecond, 500*time.Millisecond, 11))
					for range tc.rate / ends {
						k := e.ticket("usual", int32((i+n)%3), 100+int64(n%7)*100, 100) //nolint:gosec // Below three.
						k.Incarnation = fmt.Sprint("i", e.next%entries)
						note(e.Submit(e.now, k))
					}
				}
				note(e.Tick(e.now))
				waited += len(e.waiting)
			}
			took := float64(b.Elapsed().Microseconds())
			b.ReportMetric(took/float64(refused+granted), "us/request")
			b.ReportMetric(took/float64(b.N)/1e4, "cores")
			b.ReportMetric(float64(refused)/float64(max(granted, 1)), "refused/granted")
			b.ReportMetric(float64(waited)/float64(b.N), "waiting")
		})
	}
}

// A data centre seems cut off, and its engines have most of the free places. Requests
// sent there would wait for nothing, so one at a time tries it, and the others take
// the places that are left or wait for one.
func TestFewTryWhatSeemsCutOff(t *testing.T) {
	e := newEngines(4, "near", "far-1", "far-2")
	for _, n := range []string{"far-1", "far-2"} {
		e.next++
		e.Announce(e.now, &wire.Announce{
			Upstream: n, Address: n + ":80", Pools: []string{"engines"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: e.next, Unreached: true,
		})
	}
	at := map[string]int{}
	for _, d := range e.fill(12) {
		at[d.GetGrant().GetUpstream()[:3]]++
	}
	must.Eq(t, 4+extraPlaces, at["nea"])
	must.Eq(t, 1, at["far"])
	e.now = e.now.Add(tryEvery)
	must.Len(t, 1, granted(t, e.fill(1)))
}

// learn shows the policy how long engines take: tokens of an answer each that long,
// and prompts by their length and its square.
func (e *engines) learn(speeds map[string]time.Duration, square float64) {
	for n := range 120 {
		k := e.ticket("usual", 0, 500+int64(n%12)*2500, 90)
		k.ObjectiveUs, k.DeadlineUs, k.GapUs = time.Hour.Microseconds(), (2 * time.Hour).Microseconds(), (300 * time.Millisecond).Microseconds()
		for _, d := range e.Submit(e.now, k) {
			each := speeds[d.GetGrant().GetUpstream()]
			x := float64(k.GetPromptTokens()) / perKilo
			first := 20*each + time.Duration((3*x+square*x*x)*float64(each))
			e.now = e.now.Add(first + 90*each)
			e.end(d, first, first+90*each, 11)
		}
		e.Tick(e.now)
	}
}

// Reading a prompt takes longer than in proportion to its length. One of forty
// thousand tokens is in time on a quick engine alone; by the times of short ones it
// would seem to be so on each. The next free place is at a slow engine: it goes to a
// short prompt behind, and the long one waits for the quick engine.
func TestLongPromptWaitsForAQuickEngine(t *testing.T) {
	e := newEngines(1, "quick", "slow")
	e.learn(map[string]time.Duration{"quick": time.Millisecond, "slow": 2500 * time.Microsecond}, 0.1)
	running := map[string]*wire.Decision{}
	for len(running) < 2 {
		for _, d := range e.fill(1) {
			running[d.GetGrant().GetUpstream()] = d
		}
	}
	e.urgent.priority = -1 // No place beyond the batches.
	long, short := e.ticket("usual", 0, 40000, 90), e.ticket("usual", 0, 500, 90)
	long.ObjectiveUs = (500 * time.Millisecond).Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{short.GetId()}, granted(t, e.end(running["slow"], 60*time.Millisecond, 300*time.Millisecond, 11)))
	must.Eq(t, []uint64{long.GetId()}, granted(t, e.end(running["quick"], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// Five answers stream from a slow engine. Reading a prompt of twelve thousand tokens
// there would hold all of them up for longer than their callers accept between two
// events, though the prompt itself has time enough. It waits for a quick engine while
// others have use for the place.
func TestLongPromptStallsNobody(t *testing.T) {
	e := newEngines(6, "quick", "slow")
	e.learn(map[string]time.Duration{"quick": time.Millisecond, "slow": 8 * time.Millisecond}, 0)
	e.urgent.priority = -1
	at := map[string][]*wire.Decision{}
	for len(at["quick"]) < 6 || len(at["slow"]) < 6 {
		for _, d := range e.fill(1) {
			at[d.GetGrant().GetUpstream()] = append(at[d.GetGrant().GetUpstream()], d)
		}
	}
	e.now = e.now.Add(time.Second) // What they brought has been read.
	long, short := e.ticket("usual", 0, 12000, 90), e.ticket("usual", 0, 200, 90)
	long.ObjectiveUs = time.Second.Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{short.GetId()}, granted(t, e.end(at["slow"][0], 60*time.Millisecond, 700*time.Millisecond, 11)))
	must.Eq(t, []uint64{long.GetId()}, granted(t, e.end(at["quick"][0], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// All accounts have the same rank of their own. Among their requests the route's rank
// still tells which are urgent: with the account's alone a short classification, which
// earns more for the time of its place, went before every urgent briefing.
func TestRoutesRankWithinAccounts(t *testing.T) {
	e := newEngines(8, "a")
	first := e.fill(8 + extraPlaces)
	short, brief := e.ticket("short", 2, 1800, 20), e.ticket("brief", 0, 2000, 100)
	ahead := e.ticket("short", 2, 1800, 20) // Of an account that goes before the others.
	short.AccountPriority, brief.AccountPriority = 3, 3
	for _, w := range []*wire.Ticket{short, brief, ahead} {
		must.SliceEmpty(t, e.Submit(e.now, w))
	}
	e.urgent.priority = -1 // No place beyond the batch.
	must.SliceEmpty(t, e.end(first[8], 60*time.Millisecond, 300*time.Millisecond, 11))
	for n, want := range []uint64{ahead.GetId(), brief.GetId(), short.GetId()} {
		must.Eq(t, []uint64{want}, granted(t, e.end(first[n], 60*time.Millisecond, 300*time.Millisecond, 11)))
	}
}

// More long answers wait than the policy looks at for one place, and all of them would
// be cut off at their end by the engine that has room. One that can end in time there
// stands behind them: it gets the place, which for the others would be wasted for
// seconds and bring nothing.
func TestRunsThatCanEndComeFirst(t *testing.T) {
	e := newEngines(1, "a")
	e.learn(map[string]time.Duration{"a": 10 * time.Millisecond}, 0)
	running := e.fill(1)
	for range 2 * passMost {
		long := e.ticket("long", 0, 500, 2000)
		long.ObjectiveUs = (2 * time.Second).Microseconds()
		must.SliceEmpty(t, e.Submit(e.now, long))
	}
	short := e.ticket("short", 2, 500, 50)
	short.ObjectiveUs = (2 * time.Second).Microseconds()
	must.SliceEmpty(t, e.Submit(e.now, short))
	must.Eq(t, []uint64{short.GetId()}, granted(t, e.end(running[0], 60*time.Millisecond, time.Second, 11)))
}
