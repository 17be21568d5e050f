package tried

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against requests that run at more upstreams than they may, that return to one which failed, and
// that are given up although an upstream which has them is only silent.
func TestTried(t *testing.T) {
	all := []string{"a", "b", "c"}
	for _, tc := range []struct {
		name   string
		record func(*Tried)
		most   int
		may    bool
		left   []string // Upstreams that may get it.
	}{
		{"nothing", func(*Tried) {}, 1, true, all},
		{"one has not run it", func(t *Tried) { t.Fail("a", false) }, 1, true, []string{"b", "c"}},
		{"one has failed", func(t *Tried) { t.Fail("a", true) }, 2, true, []string{"b", "c"}},
		{"as many as may have failed", func(t *Tried) { t.Fail("a", true) }, 1, false, nil},
		{"one is silent", func(t *Tried) { t.GiveUp("a") }, 2, true, []string{"b", "c"}},
		{"one is silent, the last has failed", func(t *Tried) { t.GiveUp("a"); t.Fail("b", true) }, 2, true, []string{"a"}},
		{"one is silent, the others have failed", func(t *Tried) { t.GiveUp("a"); t.Fail("b", true); t.Fail("c", true) }, 4, true, []string{"a"}},
		{"all are silent", func(t *Tried) { t.GiveUp("a"); t.GiveUp("b"); t.GiveUp("c") }, 4, true, all},
		{"back to the silent one", func(t *Tried) { t.GiveUp("a"); t.Fail("b", true); t.GoBack() }, 2, true, []string{"a"}},
		{"back, and it has failed", func(t *Tried) { t.GiveUp("a"); t.GoBack(); t.Fail("a", true) }, 2, true, []string{"b", "c"}},
		{"one was not needed", func(t *Tried) { t.Drop("b") }, 2, true, all},
		{"one was not needed, the other has failed", func(t *Tried) { t.Drop("b"); t.Fail("a", true) }, 2, true, []string{"b"}},
		{"both have failed", func(t *Tried) { t.Drop("b"); t.Fail("a", true); t.Fail("b", true) }, 2, false, nil},
		{"beside one", func(t *Tried) { *t = t.Beside("a") }, 2, true, []string{"b", "c"}},
		{"beside one, another was not needed", func(t *Tried) { t.Drop("b"); *t = t.Beside("a") }, 2, true, []string{"b"}},
		{"beside the only one that may", func(t *Tried) { *t = t.Beside("a") }, 1, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var tr Tried
			tc.record(&tr)
			must.Eq(t, tc.may, tr.MayRun(tc.most))
			excluded := tr.Excludes(tc.most, all)
			var left []string
			for _, id := range all {
				if !slices.Contains(excluded, id) {
					left = append(left, id)
				}
			}
			must.Eq(t, tc.left, left)
		})
	}
}

// Guards against a second send beside one that may be running the request which the copy for it does not allow.
func TestMayRunBeside(t *testing.T) {
	for _, tc := range []struct {
		name   string
		record func(*Tried)
	}{
		{"nothing", func(*Tried) {}},
		{"another was not needed", func(t *Tried) { t.Drop("b") }},
		{"another has failed", func(t *Tried) { t.Fail("b", true) }},
		{"another is silent", func(t *Tried) { t.GiveUp("b") }},
		{"it was not needed", func(t *Tried) { t.Drop("a") }},
		{"it and another were not needed", func(t *Tried) { t.Drop("a"); t.Drop("b") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for most := 1; most <= 3; most++ {
				var tr Tried
				tc.record(&tr)
				c := tr.Beside("a")
				must.Eq(t, c.MayRun(most), tr.MayRunBeside("a", most), must.Sprint(most))
			}
		})
	}
}
