package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// An entry is told two live entries of each other data centre and no more, not
// at each beat, and none that drains or is silent.
func TestAbroad(t *testing.T) {
	var b beats
	now := time.Unix(1e6, 0)
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 5 {
			b.note(&wire.Beat{Node: fmt.Sprint(dc, i), DataCentre: dc, Role: "entry", Address: "127.0.0.1:1", Draining: dc == "b" && i < 4}, now)
		}
	}
	b.note(&wire.Beat{Node: "c9", DataCentre: "c", Role: "control", Address: "127.0.0.1:1"}, now)
	me := &wire.Beat{Node: "a0", DataCentre: "a", Role: "entry"}
	count := map[string]int{}
	for _, m := range b.abroad(me, now) {
		count[m.GetDataCentre()]++
		must.NotEq(t, "c9", m.GetNode())
	}
	must.Eq(t, map[string]int{"b": 1, "c": 2}, count)
	must.SliceEmpty(t, b.abroad(me, now.Add(time.Second)))
	must.SliceEmpty(t, b.abroad(me, now.Add(tellEvery))) // All silent by then.
}
