package permit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"azurelane/core/permit"
	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func start(now time.Duration, checks bool) *wire.OrderStart {
	return &wire.OrderStart{
		Upstream: "e1", Kind: "load-model", ChecksFence: checks, LimitUs: time.Minute.Microseconds(), NowUs: now.Microseconds(),
	}
}

// Two operators order different models at one engine that ignores fences, and
// the first one's process dies before it can say how its order ended. The
// second is told to wait until the first order's time is surely up; the same
// order sent again gets the same number.
func TestIgnoringUpstreamRunsOneOrderAtATime(t *testing.T) {
	var o permit.Orders
	must.Eq(t, permit.OK, o.Start("a", start(0, false)).GetCode())
	b := o.Start("b", start(time.Second, false))
	must.Eq(t, permit.Busy, b.GetCode())
	must.Eq(t, "a", b.GetWinner())
	again := o.Start("a", start(2*time.Second, false))
	must.Eq(t, permit.OK, again.GetCode())
	must.Eq(t, uint64(1), again.GetVersion())
	must.Eq(t, permit.Busy, o.Start("b", start(time.Minute, false)).GetCode())
	late := o.Start("b", start(time.Minute+permit.ExpiryMargin, false))
	must.Eq(t, permit.OK, late.GetCode())
	must.Eq(t, uint64(2), late.GetVersion())
	must.Eq(t, permit.Gone, o.End(&wire.OrderEnd{Upstream: "e1", Fence: 1, Outcome: "done"}).GetCode())
}

// An engine that checks fences refuses the older of two orders by itself, so
// the second operator need not wait, and gets a higher number.
func TestCheckingUpstreamTakesTheNewerOrder(t *testing.T) {
	var o permit.Orders
	must.Eq(t, uint64(1), o.Start("a", start(0, true)).GetVersion())
	r := o.Start("b", start(time.Second, true))
	must.Eq(t, permit.OK, r.GetCode())
	must.Eq(t, uint64(2), r.GetVersion())
}

func TestWeightStoreLimit(t *testing.T) {
	var o permit.Orders
	begin := func(id string) string {
		s := start(0, true)
		s.Upstream, s.Weights, s.WeightLimit = "e"+id, true, 2
		return o.Start(id, s).GetCode()
	}
	must.Eq(t, permit.OK, begin("0"))
	must.Eq(t, permit.OK, begin("1"))
	must.Eq(t, permit.Limited, begin("2"))
	must.Eq(t, permit.OK, o.End(&wire.OrderEnd{Upstream: "e0", Fence: 1, Outcome: "done"}).GetCode())
	must.Eq(t, permit.OK, begin("2"))
}

// Any mix of starts, lost answers, ends and restarts: fences of an upstream
// only grow, and at one that ignores them no two orders' times overlap.
func TestOrdersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o permit.Orders
		now := time.Duration(0)
		last := map[string]uint64{}
		until := map[string]time.Duration{}
		holder := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pass")) * time.Second
			up := fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "upstream"))
			id := fmt.Sprint(up, "-", rapid.IntRange(0, 5).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				s := start(now, false)
				s.Upstream = up
				r := o.Start(id, s)
				if r.GetCode() != permit.OK {
					continue
				}
				if holder[up] == id {
					must.Eq(t, last[up], r.GetVersion())
					continue
				}
				must.Greater(t, last[up], r.GetVersion())
				must.GreaterEq(t, until[up], now)
				last[up], holder[up], until[up] = r.GetVersion(), id, now+time.Minute
			case 2:
				fence := last[up] - uint64(rapid.IntRange(0, 1).Draw(t, "old"))
				if o.End(&wire.OrderEnd{Upstream: up, Fence: fence, Outcome: "done"}).GetCode() == permit.OK {
					must.Eq(t, last[up], fence)
					until[up] = 0
				}
			case 3:
				var again permit.Orders
				again.Load(o.Save())
				o = again
			}
		}
	})
}
