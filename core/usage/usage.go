// Package usage estimates the recent usage of client accounts.
package usage

import (
	"math"
	"time"
)

// timeConstant is the time constant of the exponential decay. It must be long compared with the
// time between two requests of an account at one entry, and short enough to follow changes in
// traffic.
const timeConstant = 5 * time.Second

// minObservation is the shortest time that usage is averaged over, because the first request alone
// does not show a rate.
const minObservation = time.Second

type (
	// Usage holds one exponentially decaying count per account. The zero value is ready to use.
	Usage struct {
		counts map[string]*decayingCount
	}

	decayingCount struct {
		units     float64
		startedAt time.Time
		updatedAt time.Time
	}
)

// Add records units that an account has used.
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

// Rate returns the recent usage of an account in units per second.
func (u *Usage) Rate(now time.Time, account string) float64 {
	c := u.counts[account]
	if c == nil {
		return 0
	}
	c.decay(now)
	// Under steady usage, units has reached this fraction of its final value since startedAt.
	warmUp := 1 - math.Exp(-max(now.Sub(c.startedAt), minObservation).Seconds()/timeConstant.Seconds())
	return c.units / (timeConstant.Seconds() * warmUp)
}

// Rates returns the recent usage of all accounts that have used any units, in units per second.
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
