package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// A burst of four times the capacity of eight slots lasts for three seconds. Requests that cannot
// be served within their objective must be refused soon after they arrive, not when the objective
// passes. All slots must stay taken meanwhile: no request is refused that a slot would have
// reached.
func TestUnreachableTicketsAreRefusedEarly(t *testing.T) {
	const duration, step, objective = 300 * time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond
	e := newHarness(8, "a")
	var active activeRuns
	arrived := map[uint64]time.Time{}
	var refusedAfter []time.Duration
	busy, steps := 0, 0
	handle := func(list []*wire.Decision) {
		for _, d := range list {
			if d.GetGrant() != nil {
				active = append(active, activeRun{d, e.now.Add(duration)})
				continue
			}
			refusedAfter = append(refusedAfter, e.now.Sub(arrived[d.GetTicket()]))
		}
	}
	for at := time.Duration(0); at < 6*time.Second; at += step {
		e.now = e.now.Add(step)
		interval := 45 * time.Millisecond // Somewhat below capacity.
		if at >= 2*time.Second && at < 5*time.Second {
			interval = 10 * time.Millisecond
		}
		if at%interval == 0 {
			k := e.ticket("usual", 1, 100, 96)
			k.ObjectiveUs = objective.Microseconds()
			arrived[k.GetId()] = e.now
			handle(e.Submit(e.now, k))
		}
		handle(e.Tick(e.now))
		for _, r := range active.takeEnded(e.now) {
			handle(e.release(r.Decision, 60*time.Millisecond, duration, 11))
		}
		if at >= 3*time.Second && at < 5*time.Second {
			busy, steps = busy+len(active), steps+1
		}
	}
	slices.Sort(refusedAfter)
	t.Logf("%d refused, half of them within %v, slots taken: %.3f of the time", len(refusedAfter), refusedAfter[len(refusedAfter)/2], float64(busy)/float64((8+engineQueueLimit)*steps))
	must.Greater(t, 150, len(refusedAfter), must.Sprint("the load must exceed the capacity"))
	must.Less(t, objective/3, refusedAfter[len(refusedAfter)/2])
	must.Eq(t, (8+engineQueueLimit)*steps, busy)
}
