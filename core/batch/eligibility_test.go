package batch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against streams that are all sent to an engine which has crashed while it drained, because it
// runs the fewest requests, although another engine of their version has room.
func TestFailedEngineGetsNoStreamsWhileItDrains(t *testing.T) {
	e := newHarness(1)
	e.announceVersion("other", "v1", 4)
	e.announceLeaving("a", "v2", 4, time.Minute)
	e.announceLeaving("b", "v2", 4, time.Minute)
	first := e.submitBound("v2", true)
	must.Len(t, 1, first)
	failed := first[0].GetGrant().GetUpstream()
	e.Release(e.now, &wire.Release{
		Ticket: first[0].GetTicket(), Incarnation: first[0].GetIncarnation(), Pool: "engines", Upstream: failed, Slot: first[0].GetGrant().GetSlot(), Failed: true,
	})
	for range 4 {
		got := e.submitBound("v2", true)
		must.Len(t, 1, got)
		must.NotEq(t, failed, got[0].GetGrant().GetUpstream())
	}
}
