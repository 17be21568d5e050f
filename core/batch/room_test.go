package batch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

const roomDataCentres = 5

// newLargeHarness has n engines in several data centres.
func newLargeHarness(n int, slots int64) *harness {
	e := newHarness(slots)
	for i := range n {
		e.lastID++
		name := fmt.Sprint("engine-", i)
		e.Announce(e.now, &wire.Announce{
			Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
			Seq: e.lastID, DataCentre: fmt.Sprint("dc-", i%roomDataCentres),
		})
	}
	e.Tick(e.now)
	return e
}

func (e *harness) submitFrom(entry, dataCentre string) []*wire.Decision {
	t := e.ticket("usual", 1, 100, 100)
	t.Entry, t.DataCentre = entry, dataCentre
	return e.Submit(e.now, t)
}

// Guards against decisions whose cost grows with the pool: a scheduler with a few thousand engines
// spent its processor time on looking at all of them for each request.
func TestDecisionsDoNotGrowWithThePool(t *testing.T) {
	for _, n := range []int{1000, 4000} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			e := newLargeHarness(n, 2)
			for i := range n {
				must.Len(t, 1, e.submitFrom(fmt.Sprint("entry-", i%97), fmt.Sprint("dc-", i%roomDataCentres)))
				must.LessEq(t, sampleSize, len(e.offers))
			}
			for len(e.submitFrom("entry", "dc-0")) > 0 {
				must.LessEq(t, sampleSize, len(e.offers))
			}
			must.SliceEmpty(t, e.submitFrom("entry", "dc-0"))
			must.False(t, e.room.has(batchRoom), must.Sprint("the last free slot is found"))
		})
	}
}

// Guards against requests that wait or are late on a slow engine while one of thousands could run
// them in time.
func TestFastEngineIsFoundBeyondTheSample(t *testing.T) {
	e := newLargeHarness(1000, 2)
	for i, u := range e.engineList {
		u.stats.tokenTime = 50 * time.Millisecond
		if i == 617 {
			u.stats.tokenTime = 2 * time.Millisecond
		}
	}
	e.now = e.now.Add(sweepInterval)
	e.Tick(e.now)
	k := e.ticket("usual", 1, 100, 400)
	k.DeadlineUs = (5 * time.Second).Microseconds()
	got := e.Submit(e.now, k)
	must.Len(t, 1, got)
	must.Eq(t, e.engineList[617].GetUpstream(), got[0].GetGrant().GetUpstream())
}

// Guards against a new connection for nearly each request: the entries of a large deployment must
// each use few engines, in their own data centre while it has room.
func TestEntryKeepsToItsSubset(t *testing.T) {
	e := newLargeHarness(2000, 4)
	used := map[string]bool{}
	for range 300 {
		got := e.submitFrom("entry", "dc-3")
		must.Len(t, 1, got)
		must.Eq(t, "dc-3", e.table.GetOrAdd(got[0].GetGrant().GetUpstream()).GetDataCentre())
		used[got[0].GetGrant().GetUpstream()] = true
		e.release(got[0], 60*time.Millisecond, 300*time.Millisecond, 11)
	}
	must.LessEq(t, sampleSize, len(used))
}

// Guards against an index that loses engines: after any changes it has exactly the engines that
// have room.
func TestRoomFollowsChanges(t *testing.T) {
	e := newLargeHarness(120, 1)
	check := func() {
		t.Helper()
		want := 0
		for _, u := range e.knownEngines() {
			if u.Live(e.now) && u.Running < u.AnnouncedLimit()+engineQueueLimit {
				want++
			}
		}
		e.listOffers(e.now, &item{Ticket: &wire.Ticket{}}, len(e.engineList)+1)
		must.Len(t, want, e.offers)
	}
	check()
	got := e.fill(180)
	check()
	e.release(got[0], 60*time.Millisecond, 300*time.Millisecond, 11)
	check()
	e.announce("engine-7", 5, false)
	check()
	e.announce("engine-8", 5, true)
	check()
	e.Announce(e.now, &wire.Announce{Upstream: "engine-9", Pools: []string{"engines"}, Incarnation: "next", Seq: 1e6, MaxRunning: 1, LeaseUs: 1})
	e.now = e.now.Add(sweepInterval)
	e.Tick(e.now)
	check()
	e.Hold(e.now, &wire.Held{Incarnation: "other", Slots: []*wire.HeldSlot{{Ticket: &wire.Ticket{Id: 1, Pool: "engines"}, Grant: &wire.Grant{Slot: 1, Owner: "o", Upstream: "engine-7"}}}})
	check()
	e.Forget(e.now, "i")
	check()
}

// BenchmarkPool measures a submit and a release with nearly all slots free, also where engines have stated their
// current speeds. Targets: no growth with the number of engines, and at most a fifth more with speeds.
func BenchmarkPool(b *testing.B) {
	for _, tc := range []struct {
		engines int
		speeds  bool
	}{{90, false}, {90, true}, {900, false}, {2909, false}, {5818, false}} {
		n := tc.engines
		b.Run(fmt.Sprint("engines-", n, "-speeds-", tc.speeds), func(b *testing.B) {
			e := newLargeHarness(n, 6)
			if tc.speeds {
				e.stateSpeeds()
			}
			for i := range b.N {
				got := e.submitFrom(fmt.Sprint("entry-", i%985), fmt.Sprint("dc-", i%roomDataCentres))
				e.release(got[0], 60*time.Millisecond, 300*time.Millisecond, 11)
			}
		})
	}
}
