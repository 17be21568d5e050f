package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an upstream that gets most requests because it answers each of them with an error at
// once, while others are sound.
func TestQuickFailuresDrawNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		took time.Duration // Time until the error.
	}{{"as slow as a success", quick}, {"six times as quick", quick / 6}, {"twenty times as quick", quick / 20}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newUpstreams("a", "b", "c")
			all, failed := 0, 0
			for _, e := range entries(20) {
				s.latency["a"], s.failing["a"] = quick, false
				e.serve(s, 100)
				s.latency["a"], s.failing["a"] = tc.took, true
				e.serve(s, 1000)
				got := e.serve(s, 1000)
				all, failed = all+1000, failed+got["a"]
			}
			must.LessEq(t, all/50, failed, must.Sprint("one in fifty"))
		})
	}
}

// Guards against a new upstream that gets most requests because it answers each of them with an error at
// once, before any success has shown how long one takes.
func TestQuickFailuresOfANewUpstreamDrawNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name    string
		success time.Duration // Time that a success takes at the others.
	}{{"quick", quick}, {"slow", 100 * quick}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newUpstreams("a", "b")
			s.latency["a"], s.latency["b"] = tc.success, tc.success
			all, failed := 0, 0
			list := entries(20)
			for _, e := range list {
				e.serve(s, 100)
			}
			s.add("c")
			s.latency["c"], s.failing["c"] = quick/20, true
			for _, e := range list {
				e.serve(s, 1000)
				got := e.serve(s, 1000)
				all, failed = all+1000, failed+got["c"]
			}
			must.LessEq(t, all/50, failed, must.Sprint("one in fifty"))
		})
	}
}
