package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

func filled(n int) *State {
	var s State
	for i := range n {
		s.Apply(&wire.Command{Kind: &wire.Command_Claim{Claim: &wire.Claim{
			Account: "account-17", Key: fmt.Sprintf("order-%010d", i), Holder: "0123abcd", Address: "10.0.0.1:7000", BodyHash: 1 << 62,
			Request: uint64(i), KeepUs: 1 << 40, NowUs: int64(i + 1),
		}}})
	}
	return &s
}

// BenchmarkImage saves and loads the state of many claims, as a compaction and
// a restart do.
func BenchmarkImage(b *testing.B) {
	for _, n := range []int{10000, 50000, 100000, 400000} {
		b.Run(fmt.Sprintf("claims-%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := filled(n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var img []byte
			for b.Loop() {
				var err error
				img, err = EncodeImage(s.Image())
				must.NoError(b, err)
				var t State
				must.NoError(b, t.Load(img))
			}
			b.ReportMetric(float64(len(img))/float64(n), "image-bytes/claim")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/claim")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkApply claims and finishes keys beside claims that are kept.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{10000, 50000, 100000, 400000} {
		b.Run(fmt.Sprintf("claims-%d", n), func(b *testing.B) {
			s := filled(n)
			i := int64(0)
			for b.Loop() {
				i++
				s.Apply(claim("e", uint64(i)))
				s.Apply(finish("e", uint64(i), NotRun, i))
				s.Apply(expire(i))
			}
		})
	}
}
