package batch

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of an arrivalRate: longer than bursts within a second,
// and short enough to follow bursts of several seconds.
const rateTimeConstant = 5 * time.Second

// arrivalRate measures the recent requests per second. The zero value has seen none.
type arrivalRate struct {
	count     float64 // Exponentially decayed.
	updatedAt time.Duration
}

func (r *arrivalRate) add(now time.Duration) {
	r.count = r.count*math.Exp(-(now-r.updatedAt).Seconds()/rateTimeConstant.Seconds()) + 1
	r.updatedAt = now
}

func (r *arrivalRate) perSecond() float64 { return r.count / rateTimeConstant.Seconds() }
