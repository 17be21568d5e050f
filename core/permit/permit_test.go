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

func newStart(now time.Duration, checksFence bool) *wire.OrderStart {
	return &wire.OrderStart{
		Upstream: "e1", Kind: "load-model", ChecksFence: checksFence, LimitUs: time.Minute.Microseconds(), NowUs: now.Microseconds(),
	}
}

// Two operators order different models at one engine that ignores fences, and the process of the
// first one crashes before it records the outcome. The second order must wait until the first one
// has expired. The first order, when it is sent again, must get its original fence.
func TestOneOrderAtATimeWithoutFenceCheck(t *testing.T) {
	var o permit.Orders
	must.Eq(t, permit.OK, o.Start("a", newStart(0, false)).GetCode())
	b := o.Start("b", newStart(time.Second, false))
	must.Eq(t, permit.Busy, b.GetCode())
	must.Eq(t, "a", b.GetWinner())
	again := o.Start("a", newStart(2*time.Second, false))
	must.Eq(t, permit.OK, again.GetCode())
	must.Eq(t, uint64(1), again.GetVersion())
	must.Eq(t, permit.Busy, o.Start("b", newStart(time.Minute, false)).GetCode())
	late := o.Start("b", newStart(time.Minute+permit.ExpiryMargin, false))
	must.Eq(t, permit.OK, late.GetCode())
	must.Eq(t, uint64(2), late.GetVersion())
	must.Eq(t, permit.Gone, o.End(&wire.OrderEnd{Upstream: "e1", Fence: 1, Outcome: "done"}).GetCode())
}

// An engine that checks fences rejects the older of two orders by itself. The second order must not
// wait and must get a higher fence.
func TestNewerOrderStartsAtOnceWithFenceCheck(t *testing.T) {
	var o permit.Orders
	must.Eq(t, uint64(1), o.Start("a", newStart(0, true)).GetVersion())
	r := o.Start("b", newStart(time.Second, true))
	must.Eq(t, permit.OK, r.GetCode())
	must.Eq(t, uint64(2), r.GetVersion())
}

func TestWeightStoreLimit(t *testing.T) {
	var o permit.Orders
	startCode := func(id string) string {
		s := newStart(0, true)
		s.Upstream, s.Weights, s.WeightLimit = "e"+id, true, 2
		return o.Start(id, s).GetCode()
	}
	must.Eq(t, permit.OK, startCode("0"))
	must.Eq(t, permit.OK, startCode("1"))
	must.Eq(t, permit.Limited, startCode("2"))
	must.Eq(t, permit.OK, o.End(&wire.OrderEnd{Upstream: "e0", Fence: 1, Outcome: "done"}).GetCode())
	must.Eq(t, permit.OK, startCode("2"))
}

// Checks random sequences of starts, repeated starts, ends and restarts from a snapshot. The fences
// of an upstream must only grow, and at an upstream that ignores them, an order must not start
// before the previous one has ended or reached its limit.
func TestOrdersProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o permit.Orders
		now := time.Duration(0)
		lastFence := map[string]uint64{}
		runsUntil := map[string]time.Duration{}
		latestID := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "pass")) * time.Second
			upstream := fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "upstream"))
			id := fmt.Sprint(upstream, "-", rapid.IntRange(0, 5).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				s := newStart(now, false)
				s.Upstream = upstream
				r := o.Start(id, s)
				if r.GetCode() != permit.OK {
					continue
				}
				if latestID[upstream] == id {
					must.Eq(t, lastFence[upstream], r.GetVersion())
					continue
				}
				must.Greater(t, lastFence[upstream], r.GetVersion())
				must.GreaterEq(t, runsUntil[upstream], now)
				lastFence[upstream], latestID[upstream], runsUntil[upstream] = r.GetVersion(), id, now+time.Minute
			case 2:
				fence := lastFence[upstream] - uint64(rapid.IntRange(0, 1).Draw(t, "old"))
				if o.End(&wire.OrderEnd{Upstream: upstream, Fence: fence, Outcome: "done"}).GetCode() == permit.OK {
					must.Eq(t, lastFence[upstream], fence)
					runsUntil[upstream] = 0
				}
			case 3:
				var restored permit.Orders
				restored.Load(o.Save())
				o = restored
			}
		}
	})
}
