// Package usage tells how much client accounts used of late.
package usage

import (
	"math"
	"time"
)

// timeConstant is over what time use is averaged. It has to be long against the time
// between two requests of an account at one entry, and short enough to follow a
// tide of traffic.
const timeConstant = 5 * time.Second

// minObservation is the least time that use is averaged over: the first request alone
// says nothing of a rate.
const minObservation = time.Second

type (
	// Usage holds one fading count an account. The zero value is ready.
	Usage struct {
		counts map[string]*decayingCount
	}

	decayingCount struct {
		units float64
		startedAt time.Time
		updatedAt    time.Time
	}
)

// Add notes units that an account has used.
func (u *Usage) Add(now time.Time, account string, units int64) {
	if u.counts == nil {
		u.counts = map[string]*decayingCount{}
	}
	c := u.counts[account]
	if c == nil {
		c = &decayingCount{startedAt: now, updatedAt: now}
		u.counts[account] = c
	}
	c.decay(now)
	c.units += float64(units)
}

// Rate is the units a second that an account used of late.
func (u *Usage) Rate(now time.Time, account string) float64 {
	c := u.counts[account]
	if c == nil {
		return 0
	}
	c.decay(now)
	// What has faded by now of an even use since the first is missing in units.
	seen := 1 - math.Exp(-max(now.Sub(c.startedAt), minObservation).Seconds()/timeConstant.Seconds())
	return c.units / (timeConstant.Seconds() * seen)
}

// Rates lists the units a second of all accounts that were used of late.
func (u *Usage) Rates(now time.Time) map[string]float64 {
	rates := make(map[string]float64, len(u.counts))
	for name := range u.counts {
		rates[name] = u.Rate(now, name)
	}
	return rates
}

func (c *decayingCount) decay(now time.Time) {
	if d := now.Sub(c.updatedAt); d > 0 {
		c.units *= math.Exp(-d.Seconds() / timeConstant.Seconds())
		c.updatedAt = now
	}
}
