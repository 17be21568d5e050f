package grants_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/grants"
	"azurelane/core/wire"
)

func fill(h *grants.Set, now time.Time, n int) {
	for i := range n {
		h.Add(now, &wire.Ticket{
			Id: uint64(i + 1000), Incarnation: "1a2b3c4d", Account: "airline-dispatch", Pool: "alerts", Model: "storm-2",
			PromptTokens: 900, AnswerTokens: 256, PrefixHash: 1 << 60,
		}, &wire.Grant{Slot: uint64(i + 5000), Owner: "5e6f7a8b", Upstream: "engine-17", Address: "10.0.0.1:8000"})
	}
}

// A pool is listed for PoolRetention after its last slot was released. Slots younger than
// MinListAge are left out of periodic lists, but not of the first list for a new owner, which has
// no minimum age.
func TestList(t *testing.T) {
	var h grants.Set
	now := time.Unix(1e6, 0)
	fill(&h, now, 3)
	pools := []string{"alerts"}
	must.Len(t, 0, h.List(now, pools, grants.MinListAge))
	must.Len(t, 3, h.List(now, pools, 0))
	now = now.Add(grants.MinListAge)
	must.Len(t, 3, h.List(now, pools, grants.MinListAge))
	must.Len(t, 0, h.List(now, []string{"quotes"}, 0))
	for id := range uint64(3) {
		h.Remove(now, "alerts", 1000+id)
	}
	must.Len(t, 0, h.List(now, pools, 0))
	must.Eq(t, pools, h.Pools(now.Add(grants.PoolRetention)))
	must.SliceEmpty(t, h.Pools(now.Add(grants.PoolRetention+1)))
}

// BenchmarkList measures listing n slots and the size of the list on the wire.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{10, 50, 150, 500} {
		b.Run(fmt.Sprintf("slots=%d", n), func(b *testing.B) {
			var h grants.Set
			now := time.Unix(1e6, 0)
			fill(&h, now, n)
			size := 0
			for b.Loop() {
				size = proto.Size(&wire.Held{Slots: h.List(now, []string{"alerts"}, 0)})
			}
			b.ReportMetric(float64(size)/float64(n), "B/slot")
			b.ReportMetric(float64(proto.Size(&wire.Held{Tickets: h.Tickets(now, []string{"alerts"}, 0)}))/float64(n), "B/ticket")
		})
	}
}
