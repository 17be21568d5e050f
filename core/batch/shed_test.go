package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// A burst of four times what eight places can do comes for three seconds. Callers who
// can't be served within their objective are told so soon after they came, and not when
// it is over, so that they lose no time. All places stay taken meanwhile: nobody is
// sent away whom one of them would have reached.
func TestHopelessAreToldSoon(t *testing.T) {
	const length, step, limit = 300 * time.Millisecond, 5 * time.Millisecond, 400 * time.Millisecond
	e := newEngines(8, "a")
	var on runs
	came := map[uint64]time.Time{}
	var told []time.Duration
	busy, looks := 0, 0
	take := func(list []*wire.Decision) {
		for _, d := range list {
			if d.GetGrant() != nil {
				on = append(on, run{d, e.now.Add(length)})
				continue
			}
			told = append(told, e.now.Sub(came[d.GetTicket()]))
		}
	}
	for at := time.Duration(0); at < 6*time.Second; at += step {
		e.now = e.now.Add(step)
		each := 45 * time.Millisecond // Somewhat less than the places can do.
		if at >= 2*time.Second && at < 5*time.Second {
			each = 10 * time.Millisecond
		}
		if at%each == 0 {
			k := e.ticket("usual", 1, 100, 96)
			k.ObjectiveUs = limit.Microseconds()
			came[k.GetId()] = e.now
			take(e.Submit(e.now, k))
		}
		take(e.Tick(e.now))
		for _, r := range on.ended(e.now) {
			take(e.end(r.Decision, 60*time.Millisecond, length, 11))
		}
		if at >= 3*time.Second && at < 5*time.Second {
			busy, looks = busy+len(on), looks+1
		}
	}
	slices.Sort(told)
	t.Logf("%d told, half of them within %v, all places taken %.3f of the time", len(told), told[len(told)/2], float64(busy)/float64((8+extraPlaces)*looks))
	must.Greater(t, 150, len(told), must.Sprint("there must be a shortage"))
	must.Less(t, limit/3, told[len(told)/2])
	must.Eq(t, (8+extraPlaces)*looks, busy)
}
