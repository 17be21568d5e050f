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

// reign is what a leader has from its election to its end.
type reign struct {
	id    string
	sched *sched.Sched
	beats beats
	stats *stats.Stats
	log   logr.Logger
	lines *logs.Budget // Of refused tickets.

	mu      sync.Mutex
	allow   allow.Allow
	rates   rates
	version uint64
}

// install puts the accounts' rates in force.
func (r *reign) install(version uint64, accounts map[string]acct.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.rates.accounts = version, accounts
	r.allow.SetEach(time.Now(), accounts, r.rates.part)
}

// miss leaves silent entries their parts of the rates.
func (r *reign) miss(now time.Time, silent []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rates.miss(now, silent) {
		return
	}
	r.allow.SetEach(now, r.rates.accounts, r.rates.part)
	r.log.Info("Entries that keep their parts of the rates changed.", "incarnations", silent)
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
	wait, ok := r.allow.Take(start, t.GetAccount(), t.GetUnits())
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
	r.sched.Queue(ctx, t, func(d *wire.Decision) {
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
		"account", t.GetAccount(), "units", t.GetUnits(), "code", no.GetCode(), "retry-after", micros(no.GetRetryAfterUs()).String(),
		"waited", time.Since(start).String(), "objective-left", micros(t.GetObjectiveUs()).String(),
		"returned", t.GetReturned(), "waiting", r.sched.Waiting(), "version", version, "scheduler", r.id, "lines-left-out", leftOut)
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// release gives a slot back. An upstream that served is alive, even if its
// announcements get lost.
func (r *reign) release(rel *wire.Release) {
	if rel.GetDispatched() && !rel.GetFailed() {
		if a := r.beats.served(time.Now(), rel.GetUpstream()); a != nil {
			r.sched.Announce(a)
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
