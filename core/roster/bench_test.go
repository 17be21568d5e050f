package roster

import (
	"fmt"
	"testing"

	"azurelane/core/wire"
)

// BenchmarkSince changes one of 3,000 upstreams and lists the change for 300 entries. It should
// take well under a millisecond, because a restart of many servers causes hundreds of changes.
func BenchmarkSince(b *testing.B) {
	var r Roster
	for i := range 3000 {
		r.Enroll(&wire.Upstream{Id: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.1:", i), Pool: "p", Slots: 4})
	}
	b.ResetTimer()
	for i := range b.N {
		before := r.Revision()
		r.Enroll(&wire.Upstream{Id: fmt.Sprint("u", i%3000), Slots: int64(5 + i)})
		for range 300 {
			_, _ = r.Since(before)
		}
	}
}
