package state_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/core/wire"
)

func claim(holder string, request uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Claim{Claim: &wire.Claim{
		Account: "a", Key: "k", BodyHash: 1, Holder: holder, Request: request, KeepUs: 100, NowUs: 1000,
	}}}
}

func finish(holder string, request uint64, outcome string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{
		Account: "a", Key: "k", Holder: holder, Request: request, Outcome: outcome, NowUs: 1010,
	}}}
}

func expire(now int64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Expire{Expire: &wire.Expire{NowUs: now}}}
}

// An entry gives up request 1 before dispatch and frees its key. The caller
// sends again, the same entry claims for request 2 and runs it. Then the first
// "not-run" arrives a second time, because its answer had been lost. If it
// freed the claim of request 2, a third submission would run the key again.
func TestLateFinishFreesNoOtherRequest(t *testing.T) {
	var s state.State
	must.Eq(t, state.OK, s.Apply(claim("e", 1)).GetCode())
	must.Eq(t, state.Running, s.Holder("a", "k").GetCode())
	must.Eq(t, state.OK, s.Apply(finish("e", 1, "not-run")).GetCode())
	must.Eq(t, state.OK, s.Holder("a", "k").GetCode())
	must.Eq(t, state.OK, s.Apply(claim("e", 2)).GetCode())
	must.Eq(t, state.Gone, s.Apply(finish("e", 1, "not-run")).GetCode())
	r := s.Apply(claim("other", 9))
	must.Eq(t, state.Running, r.GetCode())
	must.Eq(t, uint64(2), r.GetRequest())
}

// A joiner asks the holder in the moment after its answer was dropped, hears
// that nothing is held and frees the key as not run. The holder's "whole" was
// recorded before: it must stand, or the key would run a second time.
func TestFirstOutcomeStands(t *testing.T) {
	var s state.State
	s.Apply(claim("e", 1))
	must.Eq(t, state.OK, s.Apply(finish("e", 1, "whole")).GetCode())
	must.Eq(t, state.Gone, s.Apply(finish("e", 1, "not-run")).GetCode())
	must.Eq(t, state.OK, s.Apply(finish("e", 1, "whole")).GetCode(), must.Sprint("sent again"))
	r := s.Apply(claim("other", 9))
	must.Eq(t, state.Finished, r.GetCode())
	must.Eq(t, "whole", r.GetOutcome())
}

// The holder dies in mid-run and never records an outcome. Its claim must not
// stay for ever: the log would grow with each death, and the key would be
// stuck. It ends one keep time after it was made, which the entries set longer
// than the longest run.
func TestUnfinishedClaimExpires(t *testing.T) {
	var s state.State
	s.Apply(claim("dead", 1))
	s.Apply(expire(1099))
	must.Eq(t, state.Running, s.Apply(claim("other", 9)).GetCode())
	s.Apply(expire(1100))
	must.Eq(t, 0, s.Claims())
	must.Eq(t, state.OK, s.Apply(claim("other", 9)).GetCode())
}
