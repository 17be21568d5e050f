package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/logs"
	"azurelane/io/sched"
	"azurelane/io/stats"
)

// reign is what a replica has from the moment in which it begins to schedule to
// the end of that.
type reign struct {
	id     string
	scope  scope
	sched  *sched.Sched
	beats  beats
	reach  reach
	bans   bans
	limits limits
	stats  *stats.Stats
	log    logr.Logger
	lines  *logs.Budget // Of refused tickets.
	spoke  time.Time    // When speeds were last told; the sweep's own.

	mu      sync.Mutex
	allow   allow.Allow
	rates   rates
	version uint64
	begun   time.Time
	// How many entries there are in all, as they knew before, and, for a scheduler of one
	// data centre, here.
	here, all int64
	toldParts map[string]float64 // Parts of rates as they were told last, by account.
	toldAt    time.Time
}

// install puts the accounts' rates in force.
func (r *reign) install(version uint64, accounts map[string]acct.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.rates.accounts = version, accounts
	r.share(time.Now())
}

// share sets the parts of the accounts' rates that may pass here. The lock is held.
func (r *reign) share(now time.Time) {
	r.allow.SetEach(now, r.rates.accounts, r.part)
}

// part is the part of an account's rate that may pass here. The lock is held.
func (r *reign) part(account string) float64 {
	if r.scope == centre {
		return r.rates.alone(account, float64(r.here)/float64(max(r.all, r.here, 1)))
	}
	return r.rates.part(account)
}

// join takes what an entry knows that has just come to this scheduler.
func (r *reign) join(w *wire.Watch, here int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = max(r.all, w.GetEntries())
	now, before := time.Now(), map[string]float64{}
	for _, a := range w.GetRates() {
		before[a.GetAccount()] = r.rates.guess(r.all, a.GetAccount())
	}
	told := r.rates.tell(w.GetIncarnation(), w.GetRates())
	if r.scope == deployment {
		// After a stop of everything nobody has used anything for a while. With a part
		// of a burst for each account, as after another leader that may have let all of
		// it pass, most callers who came back in that moment were refused for a rate
		// that they were far below. But the first entries that come stand for all: until
		// the last one has told what it saw used, an account that asks for several times
		// its rate would get the whole of a burst again.
		for account, units := range before {
			if more := r.rates.guess(r.all, account) - units; more > 0 {
				r.allow.Used(now, account, more)
			}
		}
		return
	}
	if !told && r.here == here {
		return
	}
	r.here = here
	r.share(now)
	for account := range r.rates.accounts {
		r.allow.Grown(now, account) // Its part was smaller before, and so was what is left of it.
	}
}

// entries is how many entries share the limits of all: also those that a scheduler
// of one data centre doesn't hear, and those that have not come to a new one yet.
func (r *reign) entries(here int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.scope == deployment && time.Since(r.begun) > countFor {
		return here
	}
	return max(here, r.all)
}

// miss leaves silent entries their parts of the rates.
func (r *reign) miss(now time.Time, silent []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rates.miss(now, silent) {
		return
	}
	r.share(now)
	r.log.Info("Entries that keep their parts of the rates changed.", "incarnations", silent)
}

// await leaves their parts of the rates to entries that followed the leader before and
// have not come to this one: they may go on behind a cut, where it was. Here is how many
// have come.
func (r *reign) await(now time.Time, here int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unseen := 0.0
	if age := now.Sub(r.begun); r.scope == deployment && age > comeWithin && age <= countFor && here > 0 {
		unseen = float64(max(r.all-here, 0)) / float64(here)
	}
	if unseen == r.rates.unseen {
		return
	}
	r.rates.unseen = unseen
	r.share(now)
	r.log.Info("Entries that never came changed.", "here", here, "in-all", r.all)
}

// forget drops what an entry held and used that is gone.
func (r *reign) forget(incarnation string) {
	r.mu.Lock()
	r.rates.forget(incarnation)
	r.mu.Unlock()
	r.sched.Forget(incarnation)
}

// submit charges the ticket to its account and calls done with the decision.
func (r *reign) submit(ctx context.Context, t *wire.Ticket, done func(*wire.Decision)) {
	start := time.Now()
	r.mu.Lock()
	wait, ok := time.Duration(0), true
	if t.GetUnits() > 0 { // A second send of a request counts nothing, and needs nothing left.
		wait, ok = r.allow.Take(start, t.GetAccount(), t.GetUnits())
	}
	if ok {
		r.rates.add(start, t.GetIncarnation(), t.GetAccount(), t.GetUnits())
	}
	version := r.version
	r.mu.Unlock()
	if !ok {
		d := refuse.Ticket(t, refuse.AccountLimit, wait)
		r.refused(t, d.GetRefusal(), start, version)
		done(d)
		return
	}
	r.sched.SubmitAsync(ctx, t, func(d *wire.Decision) {
		if no := d.GetRefusal(); no != nil {
			r.refund(t)
			r.refused(t, no, start, version)
		} else {
			r.granted(t, d.GetGrant(), start)
		}
		done(d)
	})
}

func (r *reign) granted(t *wire.Ticket, g *wire.Grant, start time.Time) {
	waited := time.Since(start)
	r.stats.Count("tickets-granted", 1)
	r.stats.Time("ticket-wait", waited)
	if log := r.log.V(1); log.Enabled() {
		log.Info("Ticket granted.", "request", t.GetRequest(), "entry", t.GetEntry(), "upstream", g.GetUpstream(), "waited", waited.String())
	}
}

// refund gives back what a refused ticket was charged.
func (r *reign) refund(t *wire.Ticket) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allow.Charge(now, t.GetAccount(), -t.GetUnits())
	r.rates.add(now, t.GetIncarnation(), t.GetAccount(), -t.GetUnits())
}

func (r *reign) refused(t *wire.Ticket, no *wire.Refusal, start time.Time, version uint64) {
	r.stats.Count("tickets-refused-"+no.GetCode(), 1)
	leftOut, ok := r.lines.Take(start)
	if !ok {
		return
	}
	r.log.Info("Ticket refused.", "request", t.GetRequest(), "entry", t.GetEntry(), "pool", t.GetPool(), "route", t.GetRoute(),
		"prompt", t.GetPromptTokens(), "answer", t.GetAnswerTokens(), "deadline-left", micros(t.GetDeadlineUs()).String(),
		"account", t.GetAccount(), "units", t.GetUnits(), "code", no.GetCode(), "retry-after", micros(no.GetRetryAfterUs()).String(),
		"waited", time.Since(start).String(), "objective-left", micros(t.GetObjectiveUs()).String(),
		"returned", t.GetReturned(), "waiting", r.sched.Waiting(), "version", version, "scheduler", r.id, "lines-left-out", leftOut)
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// release gives a slot back. An upstream that served is alive, even if its
// announcements get lost.
func (r *reign) release(rel *wire.Release) {
	if rel.GetWhole() {
		now := time.Now()
		dc, a := r.beats.served(now, rel.GetUpstream())
		if a != nil {
			r.sched.Announce(a)
		}
		if dc != "" {
			r.reach.ended(now, dc)
		}
	}
	r.sched.Release(rel)
}

// used charges what an entry served by itself.
func (r *reign) used(u *wire.Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range u.GetAccounts() {
		r.allow.Charge(time.Now(), a.GetAccount(), a.GetUnits())
		r.rates.add(time.Now(), u.GetIncarnation(), a.GetAccount(), a.GetUnits())
	}
}
