package peers

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

const (
	quick = 6 * time.Millisecond
	slow  = 6 * quick
)

// upstreams are the upstreams of one pool and how they respond.
type upstreams struct {
	list    []*wire.Upstream
	latency map[string]time.Duration
	failing map[string]bool
}

func newUpstreams(ids ...string) *upstreams {
	s := &upstreams{latency: map[string]time.Duration{}, failing: map[string]bool{}}
	for _, id := range ids {
		s.add(id)
	}
	return s
}

func (s *upstreams) add(id string) {
	s.list = append(s.list, &wire.Upstream{Id: id, DataCentre: "z1", Slots: 4})
	s.latency[id] = quick
}

// entry sends requests, two at a time.
type entry struct {
	Peers
	self string
	now  time.Time
}

func entries(n int) []*entry {
	list := make([]*entry, n)
	for i := range list {
		list[i] = &entry{self: fmt.Sprint("entry-", i), now: start}
	}
	return list
}

// serve sends requests, two of which always overlap, and counts them by upstream.
func (e *entry) serve(s *upstreams, requests int) map[string]int {
	got := map[string]int{}
	var last string
	for range requests {
		e.now = e.now.Add(quick)
		id := e.Pick(e.now, s.list, Choice{Self: e.self, DataCentre: "z1"}).GetId()
		e.Begin(e.now, id)
		got[id]++
		if last != "" {
			e.End(e.now, last, s.latency[last], true, !s.failing[last])
		}
		last = id
	}
	e.End(e.now, last, s.latency[last], true, !s.failing[last])
	return got
}

// Guards against upstreams that get no requests after they start or after their limit ends, because
// entries without observations expect them to be slow.
func TestUnseenUpstreamGetsWork(t *testing.T) {
	s := newUpstreams("a", "b")
	all, newcomer := 0, 0
	list := entries(20)
	for _, e := range list {
		e.serve(s, 100)
	}
	s.add("c")
	for _, e := range list {
		got := e.serve(s, 100)
		all, newcomer = all+100, newcomer+got["c"]
	}
	must.GreaterEq(t, all/len(s.list)/2, newcomer, must.Sprint("half of an even share"))
}

// Guards against upstreams that were slow or failed for a while and get no requests any more,
// although only their responses could show that they have recovered.
func TestRecoveredUpstreamGetsWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		harm func(s *upstreams, id string, yes bool)
	}{
		{"slow", func(s *upstreams, id string, yes bool) {
			s.latency[id] = quick
			if yes {
				s.latency[id] = slow
			}
		}},
		{"failing", func(s *upstreams, id string, yes bool) { s.failing[id] = yes }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newUpstreams("a", "b", "c")
			all, back := 0, 0
			for _, e := range entries(20) {
				e.serve(s, 100)
				tc.harm(s, "a", true)
				e.serve(s, 100)
				tc.harm(s, "a", false)
				e.serve(s, 500)
				got := e.serve(s, 500)
				all, back = all+500, back+got["a"]
			}
			must.GreaterEq(t, all/len(s.list)/2, back, must.Sprint("half of an even share"))
		})
	}
}

// Guards against requests that are late because entries check too often whether a slow upstream is
// still slow.
func TestSlowUpstreamGetsLittle(t *testing.T) {
	s := newUpstreams("a", "b", "c")
	s.latency["a"] = slow
	all, late := 0, 0
	for _, e := range entries(20) {
		got := e.serve(s, 1000)
		all, late = all+1000, late+got["a"]
	}
	must.LessEq(t, all/50, late, must.Sprint("one in fifty"))
}
