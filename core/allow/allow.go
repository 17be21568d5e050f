// Package allow counts what client accounts use against their rates.
package allow

import (
	"time"

	"azurelane/core/acct"
)

type (
	// Limiter holds one token bucket an account. The zero value allows everything.
	Limiter struct {
		Overage  float64 // Part of rates and bursts that is allowed beyond them.
		Slack float64 // Units that every burst is larger by.
		// StartFull says that accounts are taken to have used nothing before, but for what
		// Used tells; otherwise they have FreshPart of a burst.
		StartFull bool

		buckets map[string]*bucket
	}

	bucket struct {
		rate  float64 // Units a second.
		burst float64
		fullBurst float64 // The burst of all shares together.
		initial float64 // What it has where its use is not known.
		toppedUp float64 // What of that it was given.
		tokens  float64 // May be below zero: some units are charged after they were used.
		refilledAt    time.Time
	}
)

// retryFill is the part of a burst that a refused account is told to wait for.
const retryFill = 0.05

// maxRetryAfter bounds the time that a refused account is told to wait.
const maxRetryAfter = 5 * time.Second

// InitialFraction is the part of a burst that is left to an account of which nothing
// is known yet. A counter that takes over from another does not know what was
// used there: with a whole burst an account that was at its limit would get
// twice of it, and with nothing all others would be refused for a moment.
const InitialFraction = 0.1

// Parts of rates for schedulers and entries that know of nobody else, behind a cut
// or without a scheduler. The scheduler on the other side leaves them these.
const (
	// EqualShareFraction is the part of an equal share that may pass. The other side goes on
	// with whole rates until it has missed who is cut off; an account that asks for
	// all it may have on both sides would pass its rate by a tenth within seconds.
	EqualShareFraction = 0.5
	// UsageFraction is the part of what an account used there of late that may pass, if
	// that is more. Behind a cut few entries serve all callers of a data centre: by
	// equal shares, half of what they refused there was refused for the rate of an
	// account that was far below its own.
	UsageFraction = 0.95
	// ReserveFactor is what the scheduler on the other side leaves them, in times of what was
	// used there. It is more than they take by as much as both sides let pass in the
	// moments before they know of each other, and costs those accounts alone that ask for
	// their whole rate on the scheduler's side.
	ReserveFactor = 1.1
	// SlackFraction is the part of the slack of rates that all of them together may use;
	// a quarter is the scheduler's, and a quarter is left for what both sides let pass
	// before they know of a cut.
	SlackFraction = 0.5
)

// StandaloneShare is the part of a rate that may pass at one that knows of nobody else: share
// is its equal share, used the units a second that the account used there of late.
func StandaloneShare(share, used, rate float64) float64 {
	equal := EqualShareFraction * share
	if rate <= 0 {
		return equal
	}
	return max(equal, min(UsageFraction*used/rate, UsageFraction))
}

// Set puts the rates of the accounts in force, each times share. What accounts
// have used stays counted, so that a change gives nobody a second burst.
func (a *Limiter) Set(now time.Time, accounts map[string]acct.Account, share float64) {
	a.SetShares(now, accounts, func(string) float64 { return share })
}

// SetShares is Set with a share for each account. A larger share gives nothing at
// once: shares that go up and down would give it again and again.
func (a *Limiter) SetShares(now time.Time, accounts map[string]acct.Account, share func(account string) float64) {
	old := a.buckets
	a.buckets = make(map[string]*bucket, len(accounts))
	for name, c := range accounts {
		if c.Rate <= 0 {
			continue
		}
		part, whole := share(name), c.Burst*(1+a.Overage)+a.Slack
		b := &bucket{rate: c.Rate * (1 + a.Overage) * part, burst: whole * part, fullBurst: whole, refilledAt: now}
		b.tokens = b.burst * InitialFraction
		if a.StartFull {
			b.tokens = b.burst
		}
		b.initial = b.burst*InitialFraction + a.Slack*part*(1-InitialFraction)
		if was := old[name]; was != nil {
			was.refill(now)
			b.tokens, b.toppedUp = min(b.burst, was.tokens+max(whole-was.fullBurst, 0)*part), was.toppedUp
		}
		a.buckets[name] = b
	}
}

// TopUp gives an account what one has of which nothing is known, and the slack
// of its share.
func (a *Limiter) TopUp(now time.Time, account string) {
	if b := a.buckets[account]; b != nil {
		b.refill(now)
		b.tokens = max(b.tokens, b.initial)
	}
}

// TopUpGrowth gives an account what a part of its rate that has grown since has more of than
// it had, of what one has of which nothing is known. Each bit is given once, however
// often the part changes.
func (a *Limiter) TopUpGrowth(now time.Time, account string) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	if more := b.initial - b.toppedUp; more > 0 {
		b.tokens, b.toppedUp = min(b.tokens+more, b.burst), b.initial
	}
}

// ChargePrior tells that an account used so many units a second before the counting began,
// beyond what was told already. Who used its whole rate has FreshPart of a burst left.
func (a *Limiter) ChargePrior(now time.Time, account string, rate float64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	least := min(b.tokens, b.burst*InitialFraction)
	b.tokens = max(b.tokens-b.burst*rate/b.rate, least)
}

// Take uses units of an account that has any left, even if they are fewer: were
// a request to wait for all of its units, an account whose share is small would
// never get its large ones through. An account with none left uses none and is
// told when it has some.
func (a *Limiter) Take(now time.Time, account string, units int64) (time.Duration, bool) {
	b := a.buckets[account]
	if b == nil {
		return 0, true
	}
	b.refill(now)
	if b.tokens > 0 {
		b.tokens -= float64(units)
		return 0, true
	}
	wait := time.Duration((retryFill*b.burst - b.tokens) / b.rate * float64(time.Second))
	return min(wait, maxRetryAfter), false
}

// Charge counts units that were used already, or gives them back when they are
// below zero.
func (a *Limiter) Charge(now time.Time, account string, units int64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	b.tokens = max(min(b.tokens-float64(units), b.burst), -b.burst)
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.burst)
	}
	b.refilledAt = now
}
