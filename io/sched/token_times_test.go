package sched

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	_ "azurelane/core/batch" // Registers a policy that estimates token times.
	"azurelane/core/conf"
	"azurelane/core/pool"
	_ "azurelane/core/pull" // Registers a policy that does not estimate them.
	"azurelane/core/wire"
)

// Long requests are placed by token times, so operators need the times to find out why such
// requests are refused. They must be reported for each upstream of a pool whose policy estimates
// them, and for no other pool.
func TestTokenTimes(t *testing.T) {
	s := &Sched{Incarnation: "own"}
	s.Install(&conf.Config{Pools: map[string]pool.Pool{
		"engines": {Scheduler: "batch", Slots: 4, EventTokens: 1},
		"plain":   {Scheduler: "late"},
	}})
	for _, name := range []string{"a", "b"} {
		s.Announce(&wire.Announce{Upstream: name, Pools: []string{"engines", "plain"}, MaxRunning: 4, LeaseUs: time.Hour.Microseconds(), Seq: 1})
	}
	before := s.TokenTimes()
	must.MapLen(t, 1, before)
	must.MapLen(t, 2, before["engines"])

	d := s.Submit(t.Context(), &wire.Ticket{Id: 1, Incarnation: "i", Pool: "engines", Route: "r", PromptTokens: 100, AnswerTokens: 100, DeadlineUs: time.Minute.Microseconds()})
	must.NotNil(t, d.GetGrant())
	up := d.GetGrant().GetUpstream()
	s.Release(&wire.Release{
		Ticket: 1, Incarnation: "i", Pool: "engines", Upstream: up, Slot: d.GetGrant().GetSlot(), Owner: "own",
		Dispatched: true, Whole: true, FirstTokenUs: time.Second.Microseconds(), TotalUs: (3 * time.Second).Microseconds(), Pieces: 101,
	})
	must.Greater(t, before["engines"][up], s.TokenTimes()["engines"][up])
}
