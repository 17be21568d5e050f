package usage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An account started a moment ago to use 100 units per second. An entry that loses the scheduler at
// this moment must not estimate its usage as close to zero.
func TestRateOfNewAccount(t *testing.T) {
	var u Usage
	start := time.Unix(1000, 0)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		u.Add(now, "radio", 5)
		must.LessEq(t, 110, u.Rate(now, "radio"))
	}
	must.Between(t, 90, u.Rate(start.Add(2*time.Second), "radio"), 110)
}

// An account uses 100 units per second, then 300, then none. The estimate follows within seconds.
// An account without usage has a rate of zero.
func TestRate(t *testing.T) {
	var u Usage
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		units     int64
		low, high float64
	}{
		{10, 95, 105},
		{30, 290, 310},
		{0, 0, 5},
	} {
		for range 250 {
			now = now.Add(100 * time.Millisecond)
			u.Add(now, "radio", tc.units)
		}
		must.Between(t, tc.low, u.Rate(now, "radio"), tc.high)
	}
	must.Eq(t, 0, u.Rate(now, "airline"))
}
