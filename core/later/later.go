// Package later decides which requests that can't be in time any more are still served, in the room that
// requests in time leave. It answers overload that comes in waves and bursts: what is refused in a peak of
// some seconds could often be served before its deadline in the seconds that follow.
package later

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// keepMargin is the share of the work planned until a time by which the forecast room may fall short before a
// request is dropped that was kept before. Forecasts vary, and a caller that waited for nothing is worse off
// than one that was refused at once.
const keepMargin = 0.25

// Plan collects requests and says which of them there is no room for. They are planned in the order of their
// latest starts, which serves the most of them in time for their deadlines if each takes the same time. The
// zero value is empty.
type Plan struct{ list []entry }

type entry struct {
	n      int
	latest time.Duration
	work   time.Duration
	value  float64
	kept   bool
}

// Reset drops all requests.
func (p *Plan) Reset() { p.list = p.list[:0] }

// Add adds a request by a number of the caller's: the latest time at which its run may start, the slot time
// that it takes, its value per slot time, and whether an earlier plan kept it.
func (p *Plan) Add(n int, latest, work time.Duration, value float64, kept bool) {
	p.list = append(p.list, entry{n, latest, work, value, kept})
}

// Drop removes the requests that there is no room for and returns their numbers. Where the requests up to a
// latest start take more than the room until the last of them ends, those of the lowest value go.
// The function room returns the slot time that is free until a time.
func (p *Plan) Drop(room func(until time.Duration) time.Duration) []int {
	slices.SortStableFunc(p.list, func(a, b entry) int { return cmp.Compare(a.latest, b.latest) })
	var dropped []int
	var kept entries
	planned := time.Duration(0)
	for _, e := range p.list {
		heap.Push(&kept, e)
		planned += e.work
		free := room(e.latest + e.work)
		for len(kept) > 0 && planned > free+kept[0].margin(planned) {
			d := heap.Pop(&kept).(entry) //nolint:forcetypeassert // Only entries are pushed.
			planned -= d.work
			dropped = append(dropped, d.n)
		}
	}
	return dropped
}

// margin returns by how much a plan may exceed the room before the request is dropped.
func (e *entry) margin(planned time.Duration) time.Duration {
	if !e.kept {
		return 0
	}
	return time.Duration(keepMargin * float64(planned))
}

// entries is a heap with the request first that is to be dropped first.
type entries []entry

// before reports whether a is dropped before b: what was never kept goes first, then what is worth least.
func before(a, b *entry) bool {
	if a.kept != b.kept {
		return b.kept
	}
	return a.value < b.value
}

// Len, Less, Swap, Push and Pop implement heap.Interface.

func (h entries) Len() int           { return len(h) }
func (h entries) Less(i, j int) bool { return before(&h[i], &h[j]) }
func (h entries) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a request.
func (h *entries) Push(x any) { *h = append(*h, x.(entry)) } //nolint:forcetypeassert // Only Drop pushes.

// Pop removes the last request.
func (h *entries) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
