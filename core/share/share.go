// Package share computes which client accounts use more than their fair share of a full pool.
//
// Shares are max-min fair by weight and counted in slots, that is, in slot time per second. An account that
// asks for less than its weight allows gets what it asks for, and the others get the rest by their weights.
// Where the configuration does not tell how accounts compare, an account's weight is its usual use: what it
// used on average while the pool had room.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"azurelane/core/acct"
	"azurelane/core/part"
)

const (
	// lately is the time constant of the use by which demand is estimated, about one long run.
	lately = 2 * time.Second
	// minUseTime is that time constant at the start. A new scheduler learns within moments which slots are held.
	// Their use would otherwise seem far lower for some seconds, and all accounts beyond their shares of it.
	minUseTime = 10 * time.Millisecond
	// maxCredit is the time of its share that an account can save up, and creditSpent the time in which it may
	// spend it. Without credit, an account whose demand varies around its usual one would be beyond its share
	// in every second moment. In a replay with three accounts at six times their usual load, other accounts
	// lost four times as much with 4 s of credit as with 1 s, and as much with 0.5 s as with 1 s.
	maxCredit   = time.Second
	creditSpent = 2 * time.Second
	// usualTime is the time constant of the usual use. It is longer than the waves of demand, which must not
	// pass for a change of the usual use.
	usualTime = 30 * time.Second
	// fullFrom is the wait that the waiting tickets must amount to, if all slots work on them, for the pool
	// to count as full. What accounts use while the pool is full is not usual: it would raise the weight of
	// an account by its own flood.
	fullFrom = 100 * time.Millisecond
	// newShare is the part of the mean usual use that is added to each account's usual use, so that an
	// account without history gets some slots.
	newShare = 0.1
)

// Ledger holds the use and the demand of the accounts of one pool. Times are counted from the same start.
// The zero value has no accounts, and all that it gets to know have equal weights until one has used more
// than another.
type Ledger struct {
	// FixedWeights makes accounts without a configured weight or rate weigh 1 instead of their usual use.
	FixedWeights bool

	accounts  map[string]*part.Part
	list      []named            // The accounts in the order in which they were added, so that sums do not vary.
	weights   map[string]float64 // Configured, by account; nil if nothing tells how accounts compare.
	updated   bool
	begun     time.Duration // Time of the first update.
	updatedAt time.Duration
	level     float64 // Slots per weight at which a share ends, or ended when tickets last waited.
	full      bool    // Tickets wait.
	order     []*part.Part
}

// named is the standing of an account with its name.
type named struct {
	name string
	*part.Part
}

// Configure takes the weights of the accounts. If some have a weight, the others weigh 1. If all have a rate
// in the same unit, those without a weight weigh as much as their rate.
func (l *Ledger) Configure(accounts map[string]acct.Account) {
	rates, weights, byRequest := len(accounts) > 0, false, 0
	for _, a := range accounts {
		rates = rates && a.Rate > 0
		weights = weights || a.Weight > 0
		if a.ByRequest {
			byRequest++
		}
	}
	rates = rates && (byRequest == 0 || byRequest == len(accounts))
	l.weights = nil
	if !rates && !weights {
		return
	}
	l.weights = make(map[string]float64, len(accounts))
	for name, a := range accounts {
		l.weights[name] = cmp.Or(a.Weight, 1)
		if rates {
			l.weights[name] = cmp.Or(a.Weight, a.Rate)
		}
	}
}

// Account returns the standing of an account, which it adds if it is new. The pointer stays valid.
func (l *Ledger) Account(name string) *part.Part {
	p := l.accounts[name]
	if p == nil {
		if l.accounts == nil {
			l.accounts = map[string]*part.Part{}
		}
		p = &part.Part{Weight: 1, Share: math.Inf(1), Urgent: math.MaxInt32}
		l.accounts[name] = p
		l.list = append(l.list, named{name, p})
	}
	return p
}

// All returns the standings of all accounts by name.
func (l *Ledger) All() map[string]*part.Part { return l.accounts }

// SetHeld updates the slots that an account holds.
func (l *Ledger) SetHeld(p *part.Part, held int) {
	p.Held = held
	p.Beyond = beyond(p)
}

// beyond reports whether an account holds more slots than its share and what its credit adds for creditSpent.
func beyond(p *part.Part) bool { return float64(p.Held) > p.Share+p.Credit/creditSpent.Seconds() }

// Update ends an interval, in which the accounts held the slots that SetHeld told, and computes the shares.
// The field Waiting of each account must be up to date.
func (l *Ledger) Update(now time.Duration) {
	if !l.updated {
		l.updated, l.begun, l.updatedAt = true, now, now
	}
	span := now - l.updatedAt
	l.updatedAt = now
	useTime := min(lately, max(now-l.begun, minUseTime))
	waiting, held, used := 0.0, 0.0, 0.0
	for _, p := range l.list {
		p.Used = approach(p.Used, float64(p.Held), span, useTime)
		held += float64(p.Held)
		waiting += p.Waiting
		used += p.Used
	}
	if waiting < fullFrom.Seconds()*held {
		for _, p := range l.list {
			p.Usual = approach(p.Usual, float64(p.Held), span, usualTime)
		}
	}
	l.updateWeights()
	if level := l.fill(used); waiting > 0 && !math.IsInf(level, 1) {
		l.level, l.full = level, true
	} else {
		l.full = false
	}
	for _, p := range l.list {
		share := p.Weight * l.level
		most := share * maxCredit.Seconds()
		if l.full {
			p.Share = share
			p.Credit += (share - float64(p.Held)) * span.Seconds()
		} else {
			p.Share = math.Inf(1)
			p.Credit += share * span.Seconds()
		}
		p.Credit = min(max(p.Credit, 0), most)
		p.Beyond = beyond(p.Part)
	}
}

func approach(from, to float64, span, timeConstant time.Duration) float64 {
	return to + (from-to)*math.Exp(-span.Seconds()/timeConstant.Seconds())
}

func (l *Ledger) updateWeights() {
	mean := 0.0
	for _, p := range l.list {
		mean += p.Usual / float64(len(l.accounts))
	}
	for _, p := range l.list {
		switch {
		case l.weights != nil:
			p.Weight = cmp.Or(l.weights[p.name], 1)
		case l.FixedWeights || mean == 0:
			p.Weight = 1
		default:
			p.Weight = p.Usual + newShare*mean
		}
	}
}

// fill returns the slots per weight at which max-min fair shares of the given slots end: accounts that ask
// for less get what they ask for. It is infinite if the slots are enough for all. The slots are those in use
// and not those announced, as waiting tickets may suit none of the rest.
func (l *Ledger) fill(slots float64) float64 {
	l.order = l.order[:0]
	weights := 0.0
	for _, p := range l.list {
		if demand(p.Part) > 0 {
			l.order = append(l.order, p.Part)
			weights += p.Weight
		}
	}
	slices.SortFunc(l.order, func(a, b *part.Part) int { return cmp.Compare(demand(a)/a.Weight, demand(b)/b.Weight) })
	for _, p := range l.order {
		if demand(p)*weights > slots*p.Weight {
			return slots / weights
		}
		slots -= demand(p)
		weights -= p.Weight
	}
	return math.Inf(1)
}

// demand returns the slots that an account would use if it got them.
func demand(p *part.Part) float64 { return p.Used + p.Waiting/lately.Seconds() }
