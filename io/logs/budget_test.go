package logs

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a burst of lines beyond the limit, and against dropped lines that are not reported: of ten lines in
// a second four are logged, and the first line of the next second says how many are missing.
func TestBudget(t *testing.T) {
	b := Budget{Most: 4}
	now := time.Unix(1000, 0)
	for n := range 10 {
		leftOut, ok := b.Take(now)
		must.Eq(t, n < 4, ok)
		must.Eq(t, 0, leftOut)
	}
	leftOut, ok := b.Take(now.Add(time.Second))
	must.True(t, ok)
	must.Eq(t, 6, leftOut)
	leftOut, _ = b.Take(now.Add(time.Second))
	must.Eq(t, 0, leftOut)
	_, ok = new(Budget).Take(now)
	must.True(t, ok)
}
