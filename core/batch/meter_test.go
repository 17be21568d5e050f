package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func (e *engines) limit(name string, slots int64, perSecond float64) {
	e.next++
	e.Announce(e.now, &wire.Announce{
		Upstream: name, Address: name + ":80", Pools: []string{"engines"}, MaxRunning: slots, LeaseUs: time.Hour.Microseconds(),
		Seq: e.next, Limit: &wire.Limit{PerSecond: perSecond},
	})
}

// Guards against an engine that gets more than the limit that it names because its
// places are free, and against urgent requests that wait behind others for what it takes.
func TestEngineWithALimit(t *testing.T) {
	e := newEngines(8, "a", "b")
	e.limit("a", 8, 2)
	var got []*wire.Decision
	for n := range 80 { // Two seconds, as answers take 100 ms.
		e.now = e.now.Add(25 * time.Millisecond)
		route, priority := "bulk", int32(2)
		if n%2 == 0 {
			route, priority = "urgent", 0
		}
		for _, d := range e.Submit(e.now, e.ticket(route, priority, 100, 10)) {
			got = append(got, d)
			e.end(d, 10*time.Millisecond, 20*time.Millisecond, 1)
		}
	}
	limited := 0
	for _, d := range got {
		must.NotNil(t, d.GetGrant())
		if d.GetGrant().GetUpstream() == "a" {
			limited++
		}
	}
	must.Len(t, 80, got)
	must.LessEq(t, 2*2+2, limited)

	e = newEngines(8, "a")
	e.limit("a", 8, 2)
	bulk, urgent := e.ticket("bulk", 2, 100, 10), e.ticket("urgent", 0, 100, 10)
	must.SliceEmpty(t, e.Submit(e.now, bulk))
	must.SliceEmpty(t, e.Submit(e.now, urgent))
	e.now = e.now.Add(510 * time.Millisecond)
	bulk.ObjectiveUs, urgent.ObjectiveUs = time.Second.Microseconds(), time.Second.Microseconds()
	must.Eq(t, []uint64{urgent.GetId()}, granted(t, e.assign(e.now)))
}

// Guards against requests that are kept for places which limits leave unused.
func TestCapacityUnderALimit(t *testing.T) {
	e := newEngines(8, "a", "b")
	waiting := []*item{newItem(0, e.ticket("usual", 1, 100, 100), &kind{}, &e.mean)}
	e.waiting = waiting
	free := e.capacity()
	e.waiting = nil
	e.limit("a", 8, 1)
	e.waiting = waiting
	must.Between(t, free/2, e.capacity(), free/2+1)
}
