package allow

import "time"

const (
	// Step is the resolution at which a bucket remembers when units were charged.
	Step = 250 * time.Millisecond
	// stepCount is the number of steps that a bucket remembers. They cover a request that waits for
	// its refusal and a report that arrives late.
	stepCount = 40
	// Memory is how long a bucket remembers when units were charged.
	Memory = stepCount * Step
)

type (
	// bucket is a token bucket that remembers its recent steps. Units that turn out later to have
	// been used, or not to have been used, are corrected in the step in which they were charged, and
	// the balance becomes what it would have been with the right charge. A correction of the balance
	// alone would be wrong: a bucket that has refilled since would hold the units of the refill and
	// those that come back.
	bucket struct {
		rate      float64 // Units per second.
		burst     float64 // Maximum balance: this share of fullBurst.
		fullBurst float64 // Burst of all shares together.
		initial   float64 // Balance of an account whose usage is unknown.
		toppedUp  float64 // Part of initial that TopUpGrowth has added already.

		startedAt  time.Time // Start of step zero.
		refilledAt time.Time
		head       int64           // Number of the current step.
		base       float64         // Balance before the oldest step.
		before     float64         // Balance before the current step.
		steps      [stepCount]step // Ring, by the step's number.
		past       []float64       // Charged by chargePast.
	}

	step struct {
		refill    float64
		burst     float64
		fullBurst float64
		used      float64 // May be negative where a balance was raised.
	}
)

// newBucket returns a bucket without a balance.
func newBucket(now time.Time, rate, burst, fullBurst float64) *bucket {
	b := &bucket{rate: rate, burst: burst, fullBurst: fullBurst}
	b.restart(now, 0)
	return b
}

// newFullBucket returns a bucket that has not been used for as long as it remembers.
func newFullBucket(now time.Time, rate, burst, fullBurst float64) *bucket {
	b := newBucket(now, rate, burst, fullBurst)
	b.base, b.before = burst, burst
	for n := range b.head {
		b.steps[n].refill = rate * Step.Seconds()
	}
	return b
}

// restart forgets all steps and begins one with a balance.
func (b *bucket) restart(now time.Time, balance float64) {
	for i := range b.steps {
		b.steps[i] = step{burst: b.burst, fullBurst: b.fullBurst}
	}
	b.base, b.before, b.head, b.refilledAt = balance, balance, stepCount-1, now
	b.startedAt = now.Add(-(stepCount - 1) * Step)
}

// after returns the balance after a step that begins with a balance.
func (s *step) after(balance float64) float64 {
	return min(min(balance+s.refill, s.burst)-s.used, s.burst)
}

func (b *bucket) current() *step { return &b.steps[b.head%stepCount] }

// balance returns the units that may be used at once. It is negative if more were used.
func (b *bucket) balance() float64 { return b.current().after(b.before) }

// setBalance sets the balance, at most to the burst.
func (b *bucket) setBalance(to float64) {
	s := b.current()
	s.used = min(b.before+s.refill, s.burst) - min(to, s.burst)
}

// setLimits changes the limits and keeps the balance, as far as the burst allows. A full burst that is
// higher than any that is remembered adds the difference, in proportion to the share. One that is only
// higher than the last adds nothing: the account has had the difference before, and a limit that goes
// up and down would add it again and again.
func (b *bucket) setLimits(now time.Time, rate, burst, fullBurst float64) {
	b.refill(now)
	balance, highest := b.balance(), b.fullBurst
	for i := range b.steps {
		highest = max(highest, b.steps[i].fullBurst)
	}
	if more := fullBurst - highest; more > 0 {
		balance += more * burst / fullBurst
	}
	b.rate, b.burst, b.fullBurst = rate, burst, fullBurst
	s := b.current()
	s.burst, s.fullBurst = burst, max(s.fullBurst, fullBurst)
	b.setBalance(balance)
}

// refill adds the units that have become available since the last call.
func (b *bucket) refill(now time.Time) {
	if idle := now.Sub(b.refilledAt); idle > Memory {
		b.restart(now, min(b.balance()+b.rate*idle.Seconds(), b.burst))
		return
	}
	for b.refilledAt.Before(now) {
		end := b.startedAt.Add(time.Duration(b.head+1) * Step)
		to := end
		if now.Before(end) {
			to = now
		}
		b.current().refill += b.rate * to.Sub(b.refilledAt).Seconds()
		b.refilledAt = to
		b.setBalance(b.balance()) // What exceeds the burst is lost, also if the balance was raised before.
		if to.Equal(end) {
			b.before = b.balance()
			b.head++
			oldest := b.current()
			b.base = oldest.after(b.base)
			*oldest = step{burst: b.burst, fullBurst: b.fullBurst}
		}
	}
}

// charge counts units as used at a time. What lies before the oldest step counts there.
func (b *bucket) charge(at time.Time, units float64) {
	first := b.head - stepCount + 1
	n := min(max(int64(at.Sub(b.startedAt)/Step), first), b.head)
	b.steps[n%stepCount].used += units
	if n < b.head {
		b.recompute()
	}
}

// chargePast replaces the units that were charged for the steps before a time, latest first.
func (b *bucket) chargePast(before time.Time, units []float64) {
	last := int64(before.Sub(b.startedAt)/Step) - 1
	for i, u := range units {
		n := last - int64(i)
		if n <= b.head-stepCount {
			break
		}
		if len(b.past) == i {
			b.past = append(b.past, 0)
		}
		b.steps[n%stepCount].used += u - b.past[i]
		b.past[i] = u
	}
	b.recompute()
}

// recompute computes the balance before the current step anew.
func (b *bucket) recompute() {
	b.before = b.base
	for n := b.head - stepCount + 1; n < b.head; n++ {
		b.before = b.steps[n%stepCount].after(b.before)
	}
}
