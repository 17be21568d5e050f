package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/conf"
	"azurelane/core/denial"
	"azurelane/core/ledger"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/logs"
	"azurelane/io/sched"
	"azurelane/io/stats"
)

// scheduler is the state of a replica from when it starts to schedule until it stops.
type scheduler struct {
	id             string // Incarnation, by which entries know the scheduler.
	scope          scope
	term           uint64 // Of the leader; zero at a scheduler of one data centre.
	sched          *sched.Sched
	upstreams      upstreamTable
	reachability   reachability
	bans           bans
	limits         limits
	rollouts       rollouts
	origins        origins
	leadership     confirmer
	brittle        brittle
	leaving        leaving
	stats          *stats.Stats
	log            logr.Logger
	refusalLog     *logs.Budget // Limits the log lines of refused tickets.
	speedsLoggedAt time.Time    // Used by sweep alone.

	mu        sync.Mutex
	allow     allow.Limiter
	rates     rates
	plainDebt float64 // Units that requests without tickets may exceed a balance by.
	version   uint64
	deferring []string // Pools that defer plain requests, sorted.
	liveSpeed []string // Pools that use the current speeds of engines, sorted.
	startedAt time.Time
	// entriesHere is the number of entries in this data centre, for a scheduler of one data
	// centre. entriesTotal is the number of all entries, which entries know from the former
	// scheduler and report.
	entriesHere, entriesTotal int64
	loggedShares              map[string]float64 // Shares of rates as last logged, by account.
	sharesLoggedAt            time.Time
	ledger                    ledger.Ledger // Units since the last log line.
	ledgerLoggedAt            time.Time
	denial                    denial.Denial // Refusals since the start; times count from startedAt.
}

// installAccounts puts the accounts' rates in force.
func (s *scheduler) installAccounts(version uint64, accounts map[string]acct.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rates.accounts = version, accounts
	s.updateShares(time.Now())
	s.denial.Retain(func(account string) bool { _, ok := accounts[account]; return ok })
}

// setPools takes from a configuration the pools that defer plain requests, and those that use the current speeds
// of engines.
func (s *scheduler) setPools(cfg *conf.Config) {
	var deferring, liveSpeed []string
	for name, p := range cfg.Pools {
		if p.DefersPlain() {
			deferring = append(deferring, name)
		}
		if p.LiveSpeeds() && p.Slots > 0 {
			liveSpeed = append(liveSpeed, name)
		}
	}
	slices.Sort(deferring)
	slices.Sort(liveSpeed)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deferring, s.liveSpeed = deferring, liveSpeed
}

// liveSpeedPools returns the pools that use the current speeds of engines.
func (s *scheduler) liveSpeedPools() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveSpeed
}

// deferringPools returns the pools that defer plain requests.
func (s *scheduler) deferringPools() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deferring
}

// updateShares recomputes the shares of the accounts' rates that this scheduler may admit. s.mu
// must be held.
func (s *scheduler) updateShares(now time.Time) {
	s.allow.SetShares(now, s.rates.accounts, s.accountShare)
}

// accountShare returns the share of an account's rate that this scheduler may admit. s.mu must be
// held.
func (s *scheduler) accountShare(account string) float64 {
	if s.scope == scopeDataCentre {
		return s.rates.cutOffShare(account, float64(s.entriesHere)/float64(max(s.entriesTotal, s.entriesHere, 1)))
	}
	return s.rates.leaderShare(account)
}

// registerEntry takes the rates that an entry reports when it first polls this scheduler, and
// the number of all entries as that entry knows it. The number of entries that this scheduler may
// serve is entriesHere.
func (s *scheduler) registerEntry(w *wire.Watch, entriesHere int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entriesTotal = max(s.entriesTotal, w.GetEntries())
	now := time.Now()
	s.countUsageFrom(now, w.GetIncarnation())
	estimates := s.estimatePriors(w.GetRates())
	isNew := s.rates.addPrior(w.GetIncarnation(), w.GetRates())
	if s.scope == scopeDeployment {
		if s.rates.addPast(now, s.startedAt, w) || isNew {
			s.chargePast(now, estimates)
		}
		return
	}
	if !isNew && s.entriesHere == entriesHere {
		return
	}
	s.entriesHere = entriesHere
	s.updateShares(now)
	for account := range s.rates.accounts {
		s.allow.TopUpGrowth(now, account) // Adds the units that a larger share starts with.
	}
}

// admitUsage charges an account for a request that an entry is about to place itself, if the account's
// rate allows it.
func (s *scheduler) admitUsage(u *wire.Usage) *wire.Decision {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range u.GetAccounts() {
		wait, ok := s.allow.TakeWithDebt(now, a.GetAccount(), a.GetUnits(), s.plainDebt)
		if !ok {
			s.ledger.Add(a.GetAccount(), unitsRefused, a.GetUnits())
			s.stats.Count("plain-requests-refused", 1)
			s.denial.Add(now.Sub(s.startedAt), a.GetAccount(), refuse.AccountLimit)
			return refuse.Ticket(&wire.Ticket{Incarnation: u.GetIncarnation()}, refuse.AccountLimit, wait)
		}
		s.rates.add(now, u.GetIncarnation(), a.GetAccount(), a.GetUnits())
		s.ledger.Add(a.GetAccount(), unitsReported, a.GetUnits())
	}
	return &wire.Decision{}
}

// chargePast charges the accounts for what entries admitted before this scheduler began to count. The
// accounts of a new leader start with a full burst, because after a restart of the whole deployment no
// account has been used for a while. A former leader may have admitted a full burst just before. Entries
// that have not reported yet are assumed to match the average of the others: otherwise, until the last
// one has reported, an account that asks for several times its rate would get a full burst again. s.mu
// must be held.
func (s *scheduler) chargePast(now time.Time, estimates map[string]float64) {
	for account := range s.rates.past {
		s.allow.ChargePast(now, s.startedAt, account, s.rates.estimatePast(s.entriesTotal, account))
	}
	for account, rate := range estimates {
		if more := s.rates.estimatePrior(s.entriesTotal, account) - rate; more > 0 {
			s.allow.ChargePrior(now, account, more)
		}
	}
}

// estimatePriors estimates the rates, before an entry's report, of the accounts for which the entry
// reports no units by age.
func (s *scheduler) estimatePriors(list []*wire.AccountUsage) map[string]float64 {
	estimates := map[string]float64{}
	for _, a := range list {
		if len(a.GetByAge()) == 0 {
			estimates[a.GetAccount()] = s.rates.estimatePrior(s.entriesTotal, a.GetAccount())
		}
	}
	return estimates
}

// countUsageFrom notes, at the first poll of an entry, from when on its reported usage is charged. The
// rates of entries that have never polled are either reserved by their number, or belong to another
// scheduler's shares. s.mu must be held.
func (s *scheduler) countUsageFrom(now time.Time, incarnation string) {
	if _, ok := s.rates.countedFrom[incarnation]; ok {
		return
	}
	from := s.startedAt
	if s.scope == scopeDataCentre || s.rates.unseenRatio > 0 {
		from = now
	}
	if s.rates.countedFrom == nil {
		s.rates.countedFrom = map[string]time.Time{}
	}
	s.rates.countedFrom[incarnation] = from
}

// entryCount returns how many entries share the limits, of which entriesHere poll this scheduler.
// The count includes entries that a scheduler of one data centre does not hear, and entries that
// have not polled a new leader yet.
func (s *scheduler) entryCount(entriesHere int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scope == scopeDeployment && time.Since(s.startedAt) > silentEntryRetention {
		return entriesHere
	}
	return max(entriesHere, s.entriesTotal)
}

// setSilentEntries reserves for silent entries the rates that they may still admit.
func (s *scheduler) setSilentEntries(now time.Time, silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rates.setSilent(now, silent) {
		return
	}
	s.updateShares(now)
	s.log.Info("Silent entries with reserved rates changed.", "incarnations", silent)
}

// reserveForUnseen reserves rates for entries that followed the former leader and have not
// polled this one: they may be cut off together with the former leader and still serve. The
// number of entries that have polled this leader is entriesHere.
func (s *scheduler) reserveForUnseen(now time.Time, entriesHere int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ratio := 0.0
	if age := now.Sub(s.startedAt); s.scope == scopeDeployment && age > takeoverGrace && age <= silentEntryRetention && entriesHere > 0 {
		ratio = float64(max(s.entriesTotal-entriesHere, 0)) / float64(entriesHere)
	}
	if ratio == s.rates.unseenRatio {
		return
	}
	s.rates.unseenRatio = ratio
	s.updateShares(now)
	s.log.Info("Number of entries that never polled this leader changed.", "here", entriesHere, "in-all", s.entriesTotal)
}

// forgetEntry drops the slots and the usage of an entry that is gone.
func (s *scheduler) forgetEntry(incarnation string) {
	s.mu.Lock()
	s.rates.forget(incarnation)
	s.mu.Unlock()
	s.sched.Forget(incarnation)
	s.rollouts.forget(incarnation)
}

// submit schedules a ticket and calls done with the decision.
func (s *scheduler) submit(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	if t.GetGoesOn() && !t.GetBound() {
		s.submitResumed(ctx, t, done)
		return
	}
	s.schedule(ctx, t, done)
}

// schedule charges a ticket to its account and passes it to the policy of its pool.
func (s *scheduler) schedule(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	start := time.Now()
	if t.GetBound() && !s.rollouts.bind(t, t.GetBegan()) {
		s.refuseStream(t, refuse.VersionGone, start, done)
		return
	}
	s.mu.Lock()
	wait, ok := time.Duration(0), true
	// A second send of a request costs no units and needs none to be left.
	if t.GetUnits() > 0 {
		wait, ok = s.allow.Take(start, t.GetAccount(), t.GetUnits())
	}
	if ok {
		s.rates.add(start, t.GetIncarnation(), t.GetAccount(), t.GetUnits())
		s.ledger.Add(t.GetAccount(), unitsAdmitted, t.GetUnits())
	} else {
		s.ledger.Add(t.GetAccount(), unitsRefused, t.GetUnits())
	}
	version := s.version
	s.mu.Unlock()
	if !ok {
		d := refuse.Ticket(t, refuse.AccountLimit, wait)
		s.recordRefusal(t, d.GetRefusal(), start, version)
		done(d)
		return
	}
	t.Version = s.rollouts.version(t)
	s.sched.SubmitAsync(ctx, t, func(d *wire.Decision) {
		if refusal := d.GetRefusal(); refusal != nil && t.GetMove() != nil {
			s.stats.Count("move-slots-refused", 1) // The run stays where it is; its account is refused nothing.
		} else if refusal != nil {
			s.refund(t, start)
			s.recordRefusal(t, refusal, start, version)
		} else {
			s.recordGrant(t, d.GetGrant(), start)
		}
		done(d)
	})
}

// recordGrant counts and logs a granted ticket.
func (s *scheduler) recordGrant(t *wire.Ticket, g *wire.Grant, start time.Time) {
	waited := time.Since(start)
	s.origins.recordGrant(time.Now(), t, g)
	s.stats.Count("tickets-granted", 1)
	s.stats.Time("ticket-wait", waited)
	if log := s.log.V(1); log.Enabled() {
		log.Info("Ticket granted.", "request", t.GetRequest(), "entry", t.GetEntry(), "upstream", g.GetUpstream(), "waited", waited.String())
	}
}

// refund returns the units that a refused ticket was charged when it was submitted.
func (s *scheduler) refund(t *wire.Ticket, submittedAt time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allow.Return(now, submittedAt, t.GetAccount(), t.GetUnits())
	s.rates.add(now, t.GetIncarnation(), t.GetAccount(), -t.GetUnits())
	s.ledger.Add(t.GetAccount(), unitsReturned, t.GetUnits())
}

// recordRefusal counts a refused ticket, and logs it if refusalLog has room.
func (s *scheduler) recordRefusal(t *wire.Ticket, refusal *wire.Refusal, start time.Time, version uint64) {
	s.stats.Count("tickets-refused-"+refusal.GetCode(), 1)
	s.mu.Lock()
	s.denial.Add(time.Since(s.startedAt), t.GetAccount(), refusal.GetCode())
	s.mu.Unlock()
	leftOut, ok := s.refusalLog.Take(start)
	if !ok {
		return
	}
	s.log.Info("Ticket refused.", "request", t.GetRequest(), "entry", t.GetEntry(), "pool", t.GetPool(), "route", t.GetRoute(),
		"prompt", t.GetPromptTokens(), "answer", t.GetAnswerTokens(), "deadline-left", micros(t.GetDeadlineUs()).String(),
		"account", t.GetAccount(), "units", t.GetUnits(), "code", refusal.GetCode(), "retry-after", micros(refusal.GetRetryAfterUs()).String(),
		"waited", time.Since(start).String(), "objective-left", micros(t.GetObjectiveUs()).String(),
		"returned", t.GetReturned(), "goes-on", t.GetGoesOn(), "began", t.GetBegan(), "waiting", s.sched.Waiting(), "version", version, "scheduler", s.id, "lines-left-out", leftOut)
}

// handleSlots takes what an entry says of its slots and waiting tickets.
func (s *scheduler) handleSlots(f *wire.Frame) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Release:
		s.release(b.Release)
	case *wire.Frame_Withdraw:
		s.sched.Withdraw(b.Withdraw)
	case *wire.Frame_Held:
		s.sched.Hold(b.Held)
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// release frees a slot. A completed request shows that its upstream is alive, even if the
// upstream's reports get lost.
func (s *scheduler) release(rel *wire.Release) {
	if rel.GetWhole() {
		now := time.Now()
		dc, a := s.upstreams.markServed(now, rel.GetUpstream())
		if a != nil {
			s.announce(a)
		}
		if dc != "" {
			s.reachability.markServed(now, dc)
		}
	}
	s.sched.RecordSpeeds(rel.GetSpeeds()) // Before the release: its run is judged by them.
	s.sched.Release(rel)
}

// chargeUsage charges accounts for requests that an entry served without tickets, at the times at
// which it served them. What the entry served before this scheduler counts it, or while the scheduler
// reserved rates for it, is covered already.
func (s *scheduler) chargeUsage(u *wire.Usage) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range u.GetAccounts() {
		byAge := a.GetByAge()
		if len(byAge) == 0 {
			byAge = []int64{a.GetUnits()}
		}
		for age, units := range byAge {
			at := now.Add(-time.Duration(age) * allow.Step)
			if at.Before(s.rates.countedFrom[u.GetIncarnation()]) {
				break
			}
			if net := units - s.rates.reservedUnits(u.GetIncarnation(), a.GetAccount(), at); net > 0 {
				s.allow.ChargeAt(now, at, a.GetAccount(), net)
			}
		}
		s.rates.add(now, u.GetIncarnation(), a.GetAccount(), a.GetUnits())
		s.ledger.Add(a.GetAccount(), unitsReported, a.GetUnits())
	}
}
