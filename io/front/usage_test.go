package front_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/refuse"
	"azurelane/core/tier"
	"azurelane/core/wire"
	"azurelane/io/front"
)

// An account's bulk work fills its limit at an entry: first some of it waits
// for slots, then all of it runs. An alert of the account comes. While bulk
// work waits, the newest of it is refused and the alert runs; when all of it
// runs already, the alert runs beside it. Nothing that runs is cut.
func TestAlertAtTheAccountsLimit(t *testing.T) {
	for _, tc := range []struct {
		name, key string
		runs      bool // The bulk work runs when the alert comes.
	}{
		{"bulk waits", "", false},
		{"bulk with keys waits", "k", false},
		{"bulk runs", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t, 1)
			s.account(func(a *acct.Account) { a.MaxConnections = 2 })
			s.cfg.Tiers = map[string]tier.Tier{"alert": {Level: 0}, "bulk": {Level: 2}}
			gate := make(chan struct{})
			s.granter.before = func(ctx context.Context, t *wire.Ticket) error {
				if t.GetTier() == wire.Tier_TIER_URGENT || tc.runs {
					return nil
				}
				select {
				case <-gate:
					return nil
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if tc.runs {
				s.engine.Step = time.Millisecond
			}
			e := s.entries[0]
			got := make(chan reply, 2)
			for i := range 2 {
				q := ask{header: http.Header{front.HeaderTier: {"bulk"}}}
				if tc.key != "" {
					q.key = tc.key + string(rune('a'+i))
				}
				if tc.runs {
					q.body = `{"model":"m","stream":true,"max_tokens":300,"messages":[]}`
				}
				go func() { got <- e.ask(q) }()
				s.asked(i + 1)
			}
			alert := e.ask(ask{header: http.Header{front.HeaderTier: {"alert"}}})
			must.Eq(t, "whole", alert.outcome)
			want := 2
			if !tc.runs {
				(<-got).refused(t, refuse.AccountLimit, "not-run", "1")
				want = 1
			}
			close(gate)
			for range want {
				must.Eq(t, "whole", (<-got).outcome)
			}
			s.free()
		})
	}
}

// An answer names the tokens that it took. The scheduler hears of them, or an
// account would be charged for what its callers allowed and not for what they got.
func TestReleaseSaysWhatWasUsed(t *testing.T) {
	s := newSite(t, 1)
	must.Eq(t, "whole", s.entries[0].ask(ask{body: `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`}).outcome)
	s.free()
	s.granter.mu.Lock()
	defer s.granter.mu.Unlock()
	must.Eq(t, int64(3), s.granter.last.GetAnswerTokens())
	must.Positive(t, s.granter.last.GetPromptTokens())
}
