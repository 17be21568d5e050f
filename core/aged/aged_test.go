package aged

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/allow"
)

// Guards against late reports that move units to another time, lose them when a report fails, or
// grow without bound.
func TestByAge(t *testing.T) {
	var a Aged
	start := time.Unix(1000, 0)
	must.SliceEmpty(t, a.ByAge(start))
	a.Add(start, 1)
	a.Add(start.Add(allow.Step/2), 2)
	a.Add(start.Add(3*allow.Step), 4)
	now := start.Add(4 * allow.Step)
	must.Eq(t, []int64{0, 4, 0, 0, 3}, a.ByAge(now))
	must.Eq(t, 7, a.Total(now))
	newer := Aged{}
	newer.Add(now, 8)
	newer.Merge(&a)
	must.Eq(t, []int64{8, 4, 0, 0, 3}, newer.ByAge(now))
	must.Eq(t, 12, newer.Total(start.Add(allow.Memory+allow.Step)))
	for i := range 1000 {
		newer.Add(now.Add(time.Duration(i)*allow.Step), 1)
	}
	must.LessEq(t, int(allow.Memory/allow.Step)+1, len(newer.list))
}
