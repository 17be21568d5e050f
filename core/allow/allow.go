// Package allow enforces the rates of client accounts with one token bucket per account.
package allow

import (
	"time"

	"azurelane/core/acct"
)

type (
	// Limiter holds one token bucket per account. The zero value allows everything.
	Limiter struct {
		Overage float64 // Fraction by which rates and bursts may be exceeded.
		Slack   float64 // Units added to every burst.
		// StartFull gives each new account a full burst, because its earlier usage is taken to be
		// zero apart from the usage that ChargePrior reports. Otherwise a new account starts with
		// InitialFraction of a burst.
		StartFull bool

		buckets map[string]*bucket
	}
)

// retryFill is the fraction of the burst that must be available again when a refused account is
// told to retry.
const retryFill = 0.05

// maxRetryAfter bounds the retry time of a refused account.
const maxRetryAfter = 5 * time.Second

// InitialFraction is the fraction of a burst that an account has while its usage is unknown. A
// limiter that takes over from another does not know the usage there. With a full burst, an account
// at its limit would get a second burst; with an empty bucket, all other accounts would be refused
// for a moment.
const InitialFraction = 0.1

// Fractions of rates for schedulers and entries that know of no others, because of a network
// partition or because there is no scheduler. The scheduler on the other side of the partition
// reserves these fractions for them.
const (
	// EqualShareFraction is the fraction of an equal share that may pass. The other side admits the
	// full rates until it notices which nodes are cut off. With whole equal shares, an account that
	// asks for its full rate on both sides would exceed it by a tenth within seconds.
	EqualShareFraction = 0.5
	// UsageFraction is the fraction of an account's recent usage on this side that may pass, if
	// that is more. Behind a partition, few entries serve all callers of a data centre. With equal
	// shares alone, half of the refusals there were rate limits on accounts far below their rates.
	UsageFraction = 0.95
	// ReserveFactor is the multiple of an account's recent usage behind the partition that the
	// scheduler on the other side reserves. The excess over UsageFraction covers the units that
	// both sides admit before they detect the partition. It costs only accounts that ask for their
	// full rate on the scheduler's side.
	ReserveFactor = 1.1
	// SlackFraction is the fraction of the slack of rates that all these nodes together may use. A
	// quarter is left for the scheduler, and a quarter for the units that both sides admit before
	// they detect a partition.
	SlackFraction = 0.5
)

// StandaloneShare returns the fraction of a rate that a node may admit while it knows of no others.
// Share is its equal share of the rate. Used is the account's recent usage there and rate the
// account's rate, both in units per second.
func StandaloneShare(share, used, rate float64) float64 {
	equal := EqualShareFraction * share
	if rate <= 0 {
		return equal
	}
	return max(equal, min(UsageFraction*used/rate, UsageFraction))
}

// Set installs the rates of the accounts, each multiplied by share. The usage so far stays counted,
// so that a change gives no account a second burst.
func (a *Limiter) Set(now time.Time, accounts map[string]acct.Account, share float64) {
	a.SetShares(now, accounts, func(string) float64 { return share })
}

// SetShares is Set with a separate share for each account. A larger share adds no tokens by itself:
// a share that goes up and down would add them again and again.
func (a *Limiter) SetShares(now time.Time, accounts map[string]acct.Account, share func(account string) float64) {
	old := a.buckets
	a.buckets = make(map[string]*bucket, len(accounts))
	for name, c := range accounts {
		if c.Rate <= 0 {
			continue
		}
		fraction, fullBurst := share(name), c.Burst*(1+a.Overage)+a.Slack
		rate, burst := c.Rate*(1+a.Overage)*fraction, fullBurst*fraction
		b := old[name]
		switch {
		case b != nil:
			b.setLimits(now, rate, burst, fullBurst)
		case a.StartFull:
			b = newFullBucket(now, rate, burst, fullBurst)
		default:
			b = newBucket(now, rate, burst, fullBurst)
			b.setBalance(burst * InitialFraction)
		}
		b.initial = burst*InitialFraction + a.Slack*fraction*(1-InitialFraction)
		a.buckets[name] = b
	}
}

// TopUp raises the tokens of an account to those of an account whose usage is unknown, plus the
// slack of its share.
func (a *Limiter) TopUp(now time.Time, account string) {
	if b := a.buckets[account]; b != nil {
		b.refill(now)
		b.setBalance(max(b.balance(), b.initial))
	}
}

// TopUpGrowth adds the initial tokens by which the share of an account has grown. Each token is
// added once, however often the share changes.
func (a *Limiter) TopUpGrowth(now time.Time, account string) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	if more := b.initial - b.toppedUp; more > 0 {
		b.toppedUp = b.initial
		b.setBalance(b.balance() + more)
	}
}

// ChargePrior charges an account for its usage before the counting began. Rate is that usage in
// units per second, in addition to the usage charged by earlier calls. An account that used its
// full rate has InitialFraction of a burst left.
func (a *Limiter) ChargePrior(now time.Time, account string, rate float64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	balance := b.balance()
	b.setBalance(max(balance-b.burst*rate/b.rate, min(balance, b.burst*InitialFraction)))
}

// ChargePast charges an account for its usage in the steps before a time at which this limiter began to
// count. The units are listed by step, latest first, and replace those of an earlier call.
func (a *Limiter) ChargePast(now, before time.Time, account string, units []float64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	b.chargePast(before, units)
}

// Take charges units to an account that has any tokens, even if they are fewer than units. If a
// request had to wait for all of its units, an account with a small share could never send its
// large requests. An account without tokens is charged nothing, and Take returns how long it should
// wait before the next try.
func (a *Limiter) Take(now time.Time, account string, units int64) (time.Duration, bool) {
	return a.TakeWithDebt(now, account, units, 0)
}

// TakeWithDebt is Take for an account that may have used up to debt units more than it has.
func (a *Limiter) TakeWithDebt(now time.Time, account string, units int64, debt float64) (time.Duration, bool) {
	b := a.buckets[account]
	if b == nil {
		return 0, true
	}
	b.refill(now)
	balance := b.balance() + debt
	if balance > 0 {
		b.charge(now, float64(units))
		return 0, true
	}
	wait := time.Duration((retryFill*b.burst - balance) / b.rate * float64(time.Second))
	return min(wait, maxRetryAfter), false
}

// Balance returns the units that an account may still use at once; negative if it has used more.
func (a *Limiter) Balance(now time.Time, account string) float64 {
	b := a.buckets[account]
	if b == nil {
		return 0
	}
	b.refill(now)
	return b.balance()
}

// Charge counts units that were used already. Negative units are given back.
func (a *Limiter) Charge(now time.Time, account string, units int64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	b.setBalance(max(b.balance()-float64(units), -b.burst))
}

// ChargeAt counts units that were used at a time in the past, of which the limiter learns only now. The
// balance becomes what it would be if they had been charged then, so that an account that stayed below
// its rate has nothing to pay.
func (a *Limiter) ChargeAt(now, usedAt time.Time, account string, units int64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	b.charge(usedAt, float64(units))
}

// Return gives back units that were charged at a time and not used. The balance becomes what it would
// have been without the charge.
func (a *Limiter) Return(now, chargedAt time.Time, account string, units int64) {
	b := a.buckets[account]
	if b == nil {
		return
	}
	b.refill(now)
	b.charge(chargedAt, -float64(units))
}
