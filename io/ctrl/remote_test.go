package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against replies to beats that list more than two entries of another data centre, draining
// or silent ones, or that list them at each beat.
func TestAbroad(t *testing.T) {
	var b beats
	now := time.Unix(1e6, 0)
	for _, dc := range []string{"a", "b", "c"} {
		for i := range 5 {
			b.record(&wire.Beat{Node: fmt.Sprint(dc, i), DataCentre: dc, Role: "entry", Address: "127.0.0.1:1", Draining: dc == "b" && i < 4}, now)
		}
	}
	b.record(&wire.Beat{Node: "c9", DataCentre: "c", Role: "control", Address: "127.0.0.1:1"}, now)
	me := &wire.Beat{Node: "a0", DataCentre: "a", Role: "entry"}
	count := map[string]int{}
	for _, m := range b.remoteEntriesFor(me, now) {
		count[m.GetDataCentre()]++
		must.NotEq(t, "c9", m.GetNode())
	}
	must.Eq(t, map[string]int{"b": 1, "c": 2}, count)
	must.SliceEmpty(t, b.remoteEntriesFor(me, now.Add(time.Second)))
	must.SliceEmpty(t, b.remoteEntriesFor(me, now.Add(remoteEntriesInterval))) // No entry counts as live by then.
}
