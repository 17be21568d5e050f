package depart

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against an upstream that gets requests again because its start time was unknown, or because the
// first word of it came late, and against a new incarnation that is taken for the one that leaves.
func TestIncarnations(t *testing.T) {
	type word struct {
		born  int64
		after time.Duration
		isNew bool
	}
	for _, tc := range []struct {
		name  string
		words []word
		born  int64 // Of the incarnation that is asked for.
		since time.Duration
		want  bool
	}{
		{"nothing said", nil, 1, 0, false},
		{"said", []word{{1, 0, true}}, 1, 0, true},
		{"said twice", []word{{1, 0, true}, {1, time.Second, false}}, 1, 0, true},
		{"start unknown here", []word{{0, 0, true}}, 1, 0, true},
		{"start unknown there", []word{{1, 0, true}}, 0, 0, true},
		{"start becomes known", []word{{0, 0, true}, {1, time.Second, false}}, 1, 0, true},
		{"next incarnation", []word{{1, 0, true}}, 2, 0, false},
		{"next incarnation leaves too", []word{{1, 0, true}, {2, time.Second, true}}, 2, time.Second, true},
		{"late word of the incarnation before", []word{{2, 0, true}, {1, time.Second, false}}, 2, 0, true},
		{"next incarnation after the start became known", []word{{0, 0, true}, {1, time.Second, false}}, 2, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Depart
			for _, w := range tc.words {
				must.Eq(t, w.isNew, d.Record("a", w.born, start.Add(w.after)))
			}
			since, ok := d.Since("a", tc.born)
			must.Eq(t, tc.want, ok)
			if ok {
				must.Eq(t, start.Add(tc.since), since)
			}
			_, ok = d.Since("b", tc.born)
			must.False(t, ok, must.Sprint("another upstream"))
		})
	}
}

// An incarnation whose start time is learned by a question is that incarnation from then on.
func TestStartTimeIsLearned(t *testing.T) {
	var d Depart
	d.Record("a", 0, start)
	for _, tc := range []struct {
		born int64
		want bool
	}{{5, true}, {6, false}, {5, true}} {
		_, ok := d.Since("a", tc.born)
		must.Eq(t, tc.want, ok, must.Sprint(tc.born))
	}
}

// Guards against memory that grows with each upstream that ever left, and against one that is forgotten
// while it is known.
func TestForget(t *testing.T) {
	var d Depart
	d.Record("gone", 1, start)
	d.Record("known", 1, start)
	d.Record("new", 1, start.Add(time.Minute))
	d.Forget(start.Add(time.Second), func(id string) bool { return id == "known" })
	must.Eq(t, 2, d.Len())
	left := map[string]int64{}
	for id, born := range d.All() {
		left[id] = born
	}
	must.Eq(t, map[string]int64{"known": 1, "new": 1}, left)
}
