package denial

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against refusals that count too long or too short, or for another account, and against accounts that
// are never dropped.
func TestCounts(t *testing.T) {
	var d Denial
	const start = time.Hour
	d.Add(start, "a", "deadline")
	d.Add(start, "a", "deadline")
	d.Add(start, "b", "overloaded")
	d.Add(start, "", "overloaded")
	d.Add(start+time.Minute, "a", "overloaded")
	for _, tc := range []struct {
		after time.Duration
		want  map[string]int64
	}{
		{time.Minute, map[string]int64{"deadline": 2, "overloaded": 1}},
		{Window - step, map[string]int64{"deadline": 2, "overloaded": 1}},
		{Window, map[string]int64{"overloaded": 1}},
		{Window + time.Minute, map[string]int64{}},
	} {
		must.Eq(t, tc.want, d.Of(start+tc.after, "a"), must.Sprint(tc.after))
	}
	d.Add(start+Window, "a", "deadline")
	must.Eq(t, map[string]int64{"deadline": 1, "overloaded": 1}, d.Of(start+Window, "a"), must.Sprint("the first step is used again"))
	d.Retain(func(account string) bool { return account == "a" })
	must.MapEmpty(t, d.Of(start, "b"))
	must.MapLen(t, 1, d.byAccount)
}
