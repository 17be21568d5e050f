package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/wire"
)

// Operators see the shares of accounts in pools that have them, and of no other pool.
func TestShares(t *testing.T) {
	on := true
	s := &Sched{Incarnation: "own"}
	s.Install(&conf.Config{Pools: map[string]pool.Pool{
		"shared": {Scheduler: "batch", Slots: 4, FairShares: &on},
		"off":    {Scheduler: "batch", Slots: 4},
		"plain":  {Scheduler: "late", FairShares: &on},
	}})
	s.Announce(&wire.Announce{Upstream: "a", Pools: []string{"shared", "off", "plain"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: 1})
	d := s.Submit(t.Context(), &wire.Ticket{Id: 1, Incarnation: "i", Account: "t", Pool: "shared", Route: "r", PromptTokens: 100, AnswerTokens: 100, DeadlineUs: time.Minute.Microseconds()})
	must.NotNil(t, d.GetGrant())
	got := s.Shares()
	must.MapLen(t, 1, got)
	must.Eq(t, 1, got["shared"]["t"].Held)
}
