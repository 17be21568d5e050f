package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/elig"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// harness drives a policy over some engines with a clock of its own.
type harness struct {
	Batch
	now    time.Time
	lastID uint64
}

func newHarness(slots int64, names ...string) *harness {
	e := &harness{now: time.Unix(1000, 0)}
	e.Configure(e.now, "engines", &conf.Config{Pools: map[string]pool.Pool{"engines": {Slots: slots, EventTokens: 9, CacheTokens: 100000}}})
	for _, n := range names {
		e.announce(n, slots, false)
	}
	return e
}

func (e *harness) announce(name string, slots int64, leaving bool) {
	e.lastID++
	e.Announce(e.now, &wire.Announce{
		Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
		Seq: e.lastID, Leaving: leaving,
	})
}

func (e *harness) ticket(route string, priority int32, prompt, answer int64) *wire.Ticket {
	e.lastID++
	return &wire.Ticket{
		Id: e.lastID, Incarnation: "i", Pool: "engines", Route: route, Priority: priority, PromptTokens: prompt, AnswerTokens: answer,
		ObjectiveUs: (300 * time.Millisecond).Microseconds(), DeadlineUs: (8 * time.Second).Microseconds(),
	}
}

// fill submits n requests.
func (e *harness) fill(n int) []*wire.Decision {
	var out []*wire.Decision
	for range n {
		out = append(out, e.Submit(e.now, e.ticket("usual", 1, 100, 100))...)
	}
	return out
}

// release ends a granted run and returns the decisions that follow.
func (e *harness) release(d *wire.Decision, first, total time.Duration, pieces int64) []*wire.Decision {
	return e.Release(e.now, &wire.Release{
		Ticket: d.GetTicket(), Incarnation: d.GetIncarnation(), Pool: "engines", Upstream: d.GetGrant().GetUpstream(), Slot: d.GetGrant().GetSlot(),
		Dispatched: true, Whole: true, FirstTokenUs: first.Microseconds(), TotalUs: total.Microseconds(), Pieces: pieces,
	})
}

func grantedIDs(t *testing.T, list []*wire.Decision) []uint64 {
	t.Helper()
	var ids []uint64
	for _, d := range list {
		must.NotNil(t, d.GetGrant(), must.Sprint(d))
		ids = append(ids, d.GetTicket())
	}
	return ids
}

// An engine admits requests in the order of arrival, so a request sent beyond its batch would
// wait there ahead of more urgent ones. The engine gets one request more than its batch, and the
// rest waits in the scheduler.
func TestEngineQueueIsBounded(t *testing.T) {
	e := newHarness(4, "a")
	must.Len(t, 4+engineQueueLimit, e.fill(10))
	must.Len(t, 5, e.waiting)
}

// All slots are taken while a bulk request, an urgent request and a retry wait. The next free
// slot goes to the urgent one.
func TestUrgentFirst(t *testing.T) {
	e := newHarness(8, "a")
	first := e.fill(8 + engineQueueLimit)
	bulk, urgent, returned := e.ticket("bulk", 2, 500, 100), e.ticket("urgent", 0, 500, 100), e.ticket("urgent", 0, 500, 100)
	returned.ObjectiveUs = -time.Second.Microseconds()
	for _, w := range []*wire.Ticket{bulk, returned, urgent} {
		must.SliceEmpty(t, e.Submit(e.now, w))
	}
	got := e.release(first[0], 60*time.Millisecond, 300*time.Millisecond, 11)
	must.Eq(t, []uint64{urgent.GetId()}, grantedIDs(t, got))
	must.Eq(t, []uint64{returned.GetId()}, grantedIDs(t, e.release(first[1], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// No slot becomes free. A request is refused when its first token can no longer be in time, not
// at its deadline, and is told when to retry. A retry that arrives late waits for a part of its
// time.
func TestRefusedOnceLate(t *testing.T) {
	e := newHarness(1, "a")
	e.fill(1 + engineQueueLimit)
	fresh, late := e.ticket("usual", 1, 100, 100), e.ticket("usual", 1, 100, 100)
	late.ObjectiveUs = 1
	e.Submit(e.now, fresh)
	e.Submit(e.now, late)
	refused := map[uint64]time.Duration{}
	for range 400 {
		e.now = e.now.Add(5 * time.Millisecond)
		for _, d := range e.Tick(e.now) {
			must.Eq(t, refuse.Overloaded, d.GetRefusal().GetCode())
			must.GreaterEq(t, minRetryAfter.Microseconds(), d.GetRefusal().GetRetryAfterUs())
			refused[d.GetTicket()] = e.now.Sub(time.Unix(1000, 0))
		}
	}
	must.Between(t, 200*time.Millisecond, refused[fresh.GetId()], 300*time.Millisecond)
	must.Between(t, time.Second, refused[late.GetId()], 8*time.Second/retryWaitDivisor+100*time.Millisecond)
}

// One engine takes ten times as long per token. A long answer there would be cut off at its
// deadline and occupy the slot for seconds in vain. A short answer is in time there.
func TestLongRunWaitsForFastEngine(t *testing.T) {
	e := newHarness(1, "fast", "slow")
	for range 60 {
		for _, d := range e.fill(2) {
			perToken := 2 * time.Millisecond
			if d.GetGrant().GetUpstream() == "slow" {
				perToken = 20 * time.Millisecond
			}
			e.release(d, 60*time.Millisecond, 60*time.Millisecond+90*perToken, 11)
		}
		e.now = e.now.Add(time.Second)
	}
	var running []*wire.Decision
	for len(running) == 0 || running[len(running)-1].GetGrant().GetUpstream() != "slow" {
		running = append(running, e.fill(1)...)
	}
	for len(running) < 2*(1+engineQueueLimit) {
		running = append(running, e.fill(1)...)
	}
	long, short := e.ticket("long", 0, 100, 1000), e.ticket("short", 2, 100, 20)
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	var got []*wire.Decision
	for _, d := range running {
		if d.GetGrant().GetUpstream() == "slow" {
			got = append(got, e.release(d, 60*time.Millisecond, 2*time.Second, 11)...)
		}
	}
	must.Eq(t, []uint64{short.GetId()}, grantedIDs(t, got))
	for _, d := range running {
		if d.GetGrant().GetUpstream() == "fast" {
			must.Eq(t, []uint64{long.GetId()}, grantedIDs(t, e.release(d, 60*time.Millisecond, 260*time.Millisecond, 11)))
			break
		}
	}
}

// All slots of a batch are taken by usual requests. Less urgent requests wait in the scheduler
// even where the engine would take one more: in the engine's queue they would get the next free
// slot before a more urgent request that arrives a moment later. A request of the top priority
// may queue there, and is first when a slot becomes free.
func TestOnlyTopPriorityQueuesAtEngine(t *testing.T) {
	e := newHarness(4, "a")
	first := e.Submit(e.now, e.ticket("urgent", 0, 100, 100))
	e.fill(3)
	must.SliceEmpty(t, e.fill(1))
	must.Len(t, 1, e.Submit(e.now, e.ticket("urgent", 0, 100, 100)))
	must.SliceEmpty(t, e.Submit(e.now, e.ticket("urgent", 0, 100, 100)))
	// One waiting request takes the place of the run that ended; the other keeps waiting.
	must.SliceEmpty(t, e.release(first[0], 60*time.Millisecond, 300*time.Millisecond, 11)[1:])
	for range int(topPriorityTTL/time.Second) + 1 {
		e.now = e.now.Add(time.Second)
		e.fill(1)
	}
	must.Eq(t, 1, e.topPriority.priority, must.Sprint("no requests of a more urgent priority"))
}

// An engine breaks off a run before its first token. It gets no requests for minExclusion, and
// gets requests again after that.
func TestFailedEngineIsExcluded(t *testing.T) {
	e := newHarness(4, "a", "b")
	d := e.fill(1)[0]
	failed := d.GetGrant().GetUpstream()
	e.Release(e.now, &wire.Release{
		Ticket: d.GetTicket(), Incarnation: d.GetIncarnation(), Pool: "engines", Upstream: failed, Slot: d.GetGrant().GetSlot(), Dispatched: true, Failed: true,
	})
	for _, d := range e.fill(4) {
		must.NotEq(t, failed, d.GetGrant().GetUpstream())
	}
	e.now = e.now.Add(minExclusion)
	used := false
	for _, d := range e.fill(4) {
		used = used || d.GetGrant().GetUpstream() == failed
	}
	must.True(t, used)
}

// A session returns within seconds. The engine that ran it has cached its prompt, so the next
// request of the session runs there while another engine has as much room. The engine has almost
// nothing to prefill, so the request after it does not seem late.
func TestSessionReturnsToItsEngine(t *testing.T) {
	e := newHarness(4, "a", "b", "c")
	session := func(hash uint64) *wire.Ticket {
		k := e.ticket("usual", 0, 20000, 100)
		k.Parts = []*wire.PromptPart{{Hash: 1000, Tokens: 100}, {Hash: hash, Tokens: 15000}, {Hash: 2000 + e.lastID, Tokens: 4900}}
		return k
	}
	for hash := range uint64(6) {
		first := e.Submit(e.now, session(hash+1))
		must.Len(t, 1, first)
		e.now = e.now.Add(time.Second)
		e.release(first[0], 250*time.Millisecond, 500*time.Millisecond, 10)
		e.now = e.now.Add(time.Second)
		again := e.Submit(e.now, session(hash+1))
		must.Eq(t, first[0].GetGrant().GetUpstream(), again[0].GetGrant().GetUpstream())
		e.now = e.now.Add(time.Second)
		e.release(again[0], 100*time.Millisecond, 350*time.Millisecond, 10)
		e.now = e.now.Add(20 * time.Second) // Longer than cache entries are trusted.
		e.announce("a", 4, false)
		e.announce("b", 4, false)
		e.announce("c", 4, false)
	}
}

// A leaving engine gets no new requests once it has announced that it leaves.
func TestLeavingEngineGetsNothing(t *testing.T) {
	e := newHarness(4, "a", "b")
	e.announce("a", 4, true)
	for _, d := range e.fill(8) {
		must.Eq(t, "b", d.GetGrant().GetUpstream())
	}
}

// A batch has free slots, but its KV cache is promised to other requests. A request beyond that
// would be preempted in the middle of its stream.
func TestCacheBounds(t *testing.T) {
	e := newHarness(8, "a")
	must.Len(t, 1, e.Submit(e.now, e.ticket("large", 0, 60000, 100)))
	must.SliceEmpty(t, e.Submit(e.now, e.ticket("large", 0, 60000, 100)))
	must.Len(t, 1, e.Submit(e.now, e.ticket("small", 1, 1000, 100)))
}

// An entry dies while it holds slots and has tickets waiting. Its slots are free at once, and
// nothing is granted to it any more.
func TestDeadEntryFreesItsSlots(t *testing.T) {
	e := newHarness(2, "a")
	must.Len(t, 2+engineQueueLimit, e.fill(5))
	other := e.ticket("usual", 1, 100, 100)
	other.Incarnation = "other"
	e.Submit(e.now, other)
	must.Eq(t, []uint64{other.GetId()}, grantedIDs(t, e.Forget(e.now, "i")))
	must.SliceEmpty(t, e.waiting)
}

// A new scheduler learns from an entry which slots it holds, and must not grant them again.
func TestHeldSlotsAreTaken(t *testing.T) {
	e := newHarness(2, "a")
	h := &wire.Held{Incarnation: "i"}
	for i := range uint64(2) {
		h.Slots = append(h.Slots, &wire.HeldSlot{
			Ticket: &wire.Ticket{Id: 100 + i, Incarnation: "i", Pool: "engines"}, Grant: &wire.Grant{Slot: i, Owner: "old", Upstream: "a"},
		})
	}
	e.Hold(e.now, h)
	must.Len(t, engineQueueLimit, e.fill(3))
}

// Guards against estimates of the engines' load that grow a little with each run, until the
// policy grants nothing and the queue grows. Each run that ends makes room for one request.
func TestSteadyLoadKeepsQueueLength(t *testing.T) {
	const waiting, rounds = 30, 20000
	var names []string
	for i := range 90 {
		names = append(names, fmt.Sprint("e", i))
	}
	e := newHarness(6, names...)
	running := e.fill(90*(6+engineQueueLimit) + waiting)
	for i := range rounds {
		out := e.release(running[i%len(running)], 60*time.Millisecond, 300*time.Millisecond, 11)
		must.Len(t, 1, out, must.Sprint(i))
		running[i%len(running)] = out[0]
		must.SliceEmpty(t, e.fill(1), must.Sprint(i))
		must.Len(t, waiting, e.waiting, must.Sprint(i))
	}
}

// BenchmarkAssign measures one grant and one release with many tickets waiting for 90 engines,
// about the load of a burst on the larger deployments. Target: well below 0.4 ms per request, so
// that a thousand requests per second take less than half of a core.
func BenchmarkAssign(b *testing.B) {
	for _, tc := range []struct {
		waiting int
		speeds  bool
	}{{30, false}, {30, true}, {300, false}, {300, true}, {3000, false}, {3000, true}} {
		waiting := tc.waiting
		b.Run(fmt.Sprint("waiting-", waiting, "-speeds-", tc.speeds), func(b *testing.B) {
			var names []string
			for i := range 90 {
				names = append(names, fmt.Sprint("e", i))
			}
			e := newHarness(6, names...)
			if tc.speeds {
				e.stateSpeeds()
			}
			running := e.fill(90*(6+engineQueueLimit) + waiting)
			b.ResetTimer()
			for i := range b.N {
				d := running[i%len(running)]
				out := e.release(d, 60*time.Millisecond, 300*time.Millisecond, 11)
				if len(out) > 0 {
					running[i%len(running)] = out[0]
				}
				e.fill(1)
			}
		})
	}
}

// BenchmarkBurst measures a burst that exceeds 504 slots: requests of 200 entries arrive four
// times as fast as runs end. Target: a small part of one core, so that the leader's heartbeats go
// on, and a refusal that costs a small part of a grant.
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
			e := newHarness(6, names...)
			running := e.fill(engines * (6 + engineQueueLimit))
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
			for i := range b.N { // Steps of 10 ms.
				for n := range ends / 100 {
					e.now = e.now.Add(time.Second / ends)
					d := running[0]
					running = running[1:]
					note(e.release(d, 60*time.Millisecond, 500*time.Millisecond, 11))
					for range tc.rate / ends {
						k := e.ticket("usual", int32((i+n)%3), 100+int64(n%7)*100, 100) //nolint:gosec // Below three.
						k.Incarnation = fmt.Sprint("i", e.lastID%entries)
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

// A data centre seems cut off, and its engines have most of the free slots. Requests sent there
// would wait in vain, so one at a time probes it, and the others take the remaining slots or wait
// for one.
func TestUnreachedEnginesAreProbed(t *testing.T) {
	e := newHarness(4, "near", "far-1", "far-2")
	for _, n := range []string{"far-1", "far-2"} {
		e.lastID++
		e.Announce(e.now, &wire.Announce{
			Upstream: n, Address: n + ":80", Pools: []string{"engines"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: e.lastID, Unreached: true,
		})
	}
	at := map[string]int{}
	for _, d := range e.fill(12) {
		at[d.GetGrant().GetUpstream()[:3]]++
	}
	must.Eq(t, 4+engineQueueLimit, at["nea"])
	must.Eq(t, 1, at["far"])
	e.now = e.now.Add(elig.ProbeInterval)
	must.Len(t, 1, grantedIDs(t, e.fill(1)))
}

// train runs requests on the engines, so that the policy learns the time per token of each and a
// prefill time that grows with the length of the prompt and its square.
func (e *harness) train(speeds map[string]time.Duration, square float64) {
	for n := range 120 {
		k := e.ticket("usual", 0, 500+int64(n%12)*2500, 90)
		k.ObjectiveUs, k.DeadlineUs, k.GapUs = time.Hour.Microseconds(), (2 * time.Hour).Microseconds(), (300 * time.Millisecond).Microseconds()
		for _, d := range e.Submit(e.now, k) {
			perToken := speeds[d.GetGrant().GetUpstream()]
			x := float64(k.GetPromptTokens()) / kilotoken
			first := 20*perToken + time.Duration((3*x+square*x*x)*float64(perToken))
			e.now = e.now.Add(first + 90*perToken)
			e.release(d, first, first+90*perToken, 11)
		}
		e.Tick(e.now)
	}
}

// Prefill time grows faster than the length of the prompt. A prompt of 40,000 tokens is in time
// on the fast engine alone; extrapolated from short prompts, it would seem in time on each. The
// next free slot is on the slow engine: it goes to a short prompt further back, and the long one
// waits for the fast engine.
func TestLongPromptWaitsForFastEngine(t *testing.T) {
	e := newHarness(1, "quick", "slow")
	e.train(map[string]time.Duration{"quick": time.Millisecond, "slow": 2500 * time.Microsecond}, 0.1)
	running := map[string]*wire.Decision{}
	for len(running) < 2 {
		for _, d := range e.fill(1) {
			running[d.GetGrant().GetUpstream()] = d
		}
	}
	e.topPriority.priority = -1 // No requests beyond the batches.
	long, short := e.ticket("usual", 0, 40000, 90), e.ticket("usual", 0, 500, 90)
	long.ObjectiveUs = (500 * time.Millisecond).Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{short.GetId()}, grantedIDs(t, e.release(running["slow"], 60*time.Millisecond, 300*time.Millisecond, 11)))
	must.Eq(t, []uint64{long.GetId()}, grantedIDs(t, e.release(running["quick"], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// Five answers stream from a slow engine. The prefill of a 12,000-token prompt there would delay
// their next events for longer than their callers accept, although the prompt itself has time
// enough. It waits for a fast engine while other requests can use the slot.
func TestLongPromptDoesNotStallStreams(t *testing.T) {
	e := newHarness(6, "quick", "slow")
	e.train(map[string]time.Duration{"quick": time.Millisecond, "slow": 8 * time.Millisecond}, 0)
	e.topPriority.priority = -1
	at := map[string][]*wire.Decision{}
	for len(at["quick"]) < 6 || len(at["slow"]) < 6 {
		for _, d := range e.fill(1) {
			at[d.GetGrant().GetUpstream()] = append(at[d.GetGrant().GetUpstream()], d)
		}
	}
	e.now = e.now.Add(time.Second) // Their prompts have been prefilled.
	long, short := e.ticket("usual", 0, 12000, 90), e.ticket("usual", 0, 200, 90)
	long.ObjectiveUs = time.Second.Microseconds()
	e.Submit(e.now, long)
	e.Submit(e.now, short)
	must.Eq(t, []uint64{short.GetId()}, grantedIDs(t, e.release(at["slow"][0], 60*time.Millisecond, 700*time.Millisecond, 11)))
	must.Eq(t, []uint64{long.GetId()}, grantedIDs(t, e.release(at["quick"][0], 60*time.Millisecond, 300*time.Millisecond, 11)))
}

// All accounts have the same priority. The priority of the route still orders their requests: by
// the account's priority alone, a short classification, which has the higher value per second of
// slot time, went before every urgent briefing.
func TestRoutePriorityWithinAccounts(t *testing.T) {
	e := newHarness(8, "a")
	first := e.fill(8 + engineQueueLimit)
	short, brief := e.ticket("short", 2, 1800, 20), e.ticket("brief", 0, 2000, 100)
	ahead := e.ticket("short", 2, 1800, 20) // Of an account with a more urgent priority.
	short.AccountPriority, brief.AccountPriority = 3, 3
	for _, w := range []*wire.Ticket{short, brief, ahead} {
		must.SliceEmpty(t, e.Submit(e.now, w))
	}
	e.topPriority.priority = -1 // No requests beyond the batch.
	must.SliceEmpty(t, e.release(first[8], 60*time.Millisecond, 300*time.Millisecond, 11))
	for n, want := range []uint64{ahead.GetId(), brief.GetId(), short.GetId()} {
		must.Eq(t, []uint64{want}, grantedIDs(t, e.release(first[n], 60*time.Millisecond, 300*time.Millisecond, 11)))
	}
}

// More long answers wait than the policy considers for one slot, and the engine with room would
// cut off all of them at their deadline. A request further back can end there in time. It gets
// the slot, which any of the others would occupy for seconds in vain.
func TestRunsThatMeetTheDeadlineComeFirst(t *testing.T) {
	e := newHarness(1, "a")
	e.train(map[string]time.Duration{"a": 10 * time.Millisecond}, 0)
	running := e.fill(1)
	for range 2 * maxCandidates {
		long := e.ticket("long", 0, 500, 2000)
		long.ObjectiveUs = (2 * time.Second).Microseconds()
		must.SliceEmpty(t, e.Submit(e.now, long))
	}
	short := e.ticket("short", 2, 500, 50)
	short.ObjectiveUs = (2 * time.Second).Microseconds()
	must.SliceEmpty(t, e.Submit(e.now, short))
	must.Eq(t, []uint64{short.GetId()}, grantedIDs(t, e.release(running[0], 60*time.Millisecond, time.Second, 11)))
}

// Guards against new engines that count as fast for every request: each then gets a batch of long requests
// at once, before any run has shown that it is slow.
func TestNewEnginesGetFewRuns(t *testing.T) {
	const answer, long = 72, 288
	e := newHarness(4, "a", "b")
	e.train(map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond}, 0)
	for _, name := range []string{"new-1", "new-2"} {
		e.announce(name, 4, false)
	}
	byEngine := map[string]int64{}
	for _, tokens := range []int64{long, long, answer, answer, answer, answer} {
		list := e.Submit(e.now, e.ticket("usual", 1, 100, tokens))
		must.Len(t, 1, list)
		byEngine[list[0].GetGrant().GetUpstream()] += tokens
	}
	for _, name := range []string{"new-1", "new-2"} {
		must.Eq(t, answer, byEngine[name])
	}
}

// Guards against a new engine that gets nothing for as long as the others have room, because it counts as
// slower than them until it has run something.
func TestNewEngineGetsWork(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first, total time.Duration // Of the runs at the others.
	}{
		{"fast ones", 5 * time.Millisecond, 40 * time.Millisecond},
		{"usual ones", 70 * time.Millisecond, 300 * time.Millisecond},
		{"slow ones", 200 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newHarness(4, "a", "b", "c")
			runs := func(n int) map[string]int {
				byEngine := map[string]int{}
				for range n {
					list := e.Submit(e.now, e.ticket("usual", 1, 100, 72))
					must.Len(t, 1, list)
					byEngine[list[0].GetGrant().GetUpstream()]++
					e.now = e.now.Add(tc.total)
					e.release(list[0], tc.first, tc.total, 8)
					e.now = e.now.Add(sweepInterval)
					e.Tick(e.now)
				}
				return byEngine
			}
			runs(60)
			e.announce("new", 4, false)
			must.Positive(t, runs(5)["new"])
		})
	}
}
