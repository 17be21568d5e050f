package gate

import (
	"time"

	"azurelane/core/refuse"
)

// Kinds of units in the log lines of accounts at their rates.
const (
	unitsGranted    = "granted"    // Of requests that the scheduler placed.
	unitsPlaced     = "placed"     // Of requests that this entry placed while it knew a scheduler.
	unitsStandalone = "standalone" // Of requests that this entry placed while it knew none.
	unitsRepeated   = "repeated"   // Of further sends of a request.
	unitsRefused    = "refused"    // Of requests beyond the rate.
)

const (
	usageLogInterval = time.Second // Between two log lines about one account at its rate.
	// usageLogAccounts is the number of accounts that are logged at once, those with the most
	// refused units.
	usageLogAccounts = 2
)

// recordSentUnits records the units of a request that is about to be sent.
func (g *Gate) recordSentUnits(q *request, p *placement) {
	kind := unitsPlaced
	switch {
	case q.tried.Sends() > 0:
		kind = unitsRepeated
	case p.grant != nil:
		kind = unitsGranted
	case q.view.Owner == nil:
		kind = unitsStandalone
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Add(q.account, kind, q.units())
}

// recordRefusedUnits records the units of a request that was refused for its account's rate.
func (g *Gate) recordRefusedUnits(q *request, e *refuse.Error) {
	if e.Code != refuse.AccountLimit {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Add(q.account, unitsRefused, q.units())
}

// LogAccountUsage logs, at most once per second, what this entry sent for accounts that were refused
// for their rates.
func (g *Gate) LogAccountUsage(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.ledgerLoggedAt) < usageLogInterval {
		return
	}
	g.ledgerLoggedAt = now
	for _, l := range g.ledger.Take(unitsRefused, usageLogAccounts) {
		g.Log.Info("Usage of an account at its rate.", "account", l.Account, "units", l.Units)
	}
}
