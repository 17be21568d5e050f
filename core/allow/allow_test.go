package allow

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
)

var start = time.Unix(1000, 0)

func accounts(rate, burst float64) map[string]acct.Account {
	return map[string]acct.Account{"a": {Rate: rate, Burst: burst}, "free": {}}
}

// An account sends six times its rate for 10 s. In any 8 s, at most eight times its rate, its burst
// and one request pass. An account without a rate is never refused.
func TestRate(t *testing.T) {
	var a Limiter
	a.Set(start, accounts(100, 100), 1)
	var passed []time.Time
	for i := range 600 {
		now := start.Add(time.Duration(i) * 10 * time.Second / 600)
		if _, ok := a.Take(now, "a", 10); ok {
			passed = append(passed, now)
		}
		_, ok := a.Take(now, "free", 1<<40)
		must.True(t, ok)
	}
	for i, from := range passed {
		units := 0
		for _, at := range passed[i:] {
			if at.Sub(from) < 8*time.Second {
				units += 10
			}
		}
		must.LessEq(t, 8*100+100+10, units)
	}
	must.Greater(t, 90, len(passed))
}

// A request is larger than one entry's share of the account's rate. It must pass at some time, and
// the requests after it must pay for it.
func TestLargeRequestPasses(t *testing.T) {
	var a Limiter
	a.Set(start, accounts(100, 100), 0.1)
	_, ok := a.Take(start, "a", 500)
	must.True(t, ok)
	wait, ok := a.Take(start.Add(time.Second), "a", 1)
	must.False(t, ok)
	must.Greater(t, time.Second, wait)
}

// A limiter starts after an outage, or takes over from another, while callers continue at some
// fraction of their rate. The tokens left depend on the usage that nodes report, and an account at
// its limit gets no second burst.
func TestPriorUsageReducesTokens(t *testing.T) {
	for _, tc := range []struct {
		name  string
		used  []float64 // Units per second, of a rate of 100, as reported by several nodes.
		least int
		most  int
	}{
		{"nothing was used", nil, 100, 110},
		{"half of the rate", []float64{20, 30}, 50, 60},
		{"all of it", []float64{60, 40}, InitialFraction * 100, InitialFraction*100 + 10},
		{"more than that", []float64{90, 90}, InitialFraction * 100, InitialFraction*100 + 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := Limiter{StartFull: true}
			a.Set(start, accounts(100, 100), 1)
			for _, u := range tc.used {
				a.ChargePrior(start, "a", u)
			}
			units := 0
			for ok := true; ok; {
				if _, ok = a.Take(start, "a", 10); ok {
					units += 10
				}
			}
			must.Between(t, tc.least, units, tc.most)
		})
	}
}

// A scheduler takes over from one whose counts are lost. An account at its limit must not get a
// full burst again.
func TestTakeoverGivesNoSecondBurst(t *testing.T) {
	var a Limiter
	a.Set(start, accounts(100, 1000), 1)
	units := 0
	for range 100 {
		if _, ok := a.Take(start, "a", 100); ok {
			units += 100
		}
	}
	must.LessEq(t, InitialFraction*1000+100, float64(units))
}

// A changed rate keeps the usage so far: a change of the configuration gives no account a new
// burst, and a lower rate takes effect at once.
func TestChangeKeepsUsage(t *testing.T) {
	var a Limiter
	a.Set(start, accounts(100, 100), 1)
	a.Charge(start, "a", 1000)
	a.Set(start, accounts(50, 50), 1)
	_, ok := a.Take(start.Add(time.Second), "a", 1)
	must.False(t, ok)
	a.Charge(start.Add(time.Second), "a", -200)
	_, ok = a.Take(start.Add(time.Second), "a", 1)
	must.True(t, ok)
}

// Entries join a scheduler of their data centre one after the other, and each raises its share of
// the rate. An account that uses all of its tokens meanwhile gets the initial tokens of the whole
// share once, and not again with each entry.
func TestShareGrowthIsAddedOnce(t *testing.T) {
	var a Limiter
	now, part, taken := time.Unix(1000, 0), 0.0, int64(0)
	accounts := map[string]acct.Account{"a": {Rate: 1, Burst: 10000}}
	for range 40 {
		part += 0.01
		a.SetShares(now, accounts, func(string) float64 { return part })
		a.TopUpGrowth(now, "a")
		for {
			if _, ok := a.Take(now, "a", 1); !ok {
				break
			}
			taken++
		}
	}
	must.Between(t, 350, taken, 450)
}
