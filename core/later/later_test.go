package later

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type planned struct {
	latest, work time.Duration
	value        float64
	kept         bool
}

// Guards against callers that wait for room that never comes, and against refusals while there is room for
// all: the cases are a peak with room after it, a lasting shortage, and a forecast that varies.
func TestDrop(t *testing.T) {
	const s = time.Second
	after := func(start time.Duration, perSecond float64) func(time.Duration) time.Duration {
		return func(until time.Duration) time.Duration {
			return time.Duration(perSecond * float64(max(until-start, 0)))
		}
	}
	for _, tc := range []struct {
		name string
		list []planned
		room func(time.Duration) time.Duration
		want []int
	}{
		{"all fit after the peak", []planned{{8 * s, s, 1, false}, {9 * s, s, 1, false}}, after(4*s, 1), nil},
		{"no room before the deadline", []planned{{2 * s, s, 9, false}, {9 * s, s, 1, false}}, after(4*s, 1), []int{0}},
		{"the least worth goes", []planned{{5 * s, s, 1, false}, {5 * s, s, 3, false}, {5 * s, s, 2, false}}, after(4*s, 1), []int{0}},
		{"what was kept stays", []planned{{5 * s, s, 1, true}, {5 * s, s, 3, false}}, after(5*s, 1.2), []int{1}},
		{"a forecast that falls a little short", []planned{{5 * s, s, 1, true}}, after(5*s, 0.9), nil},
		{"a forecast that falls far short", []planned{{5 * s, s, 1, true}}, after(5*s, 0.5), []int{0}},
		{"a later one has room although an earlier one has none", []planned{{s, s, 1, false}, {8 * s, s, 1, false}}, after(7*s, 1), []int{0}},
	} {
		var p Plan
		for n, e := range tc.list {
			p.Add(n, e.latest, e.work, e.value, e.kept)
		}
		got := p.Drop(tc.room)
		slices.Sort(got)
		must.Eq(t, tc.want, got, must.Sprint(tc.name))
	}
}
