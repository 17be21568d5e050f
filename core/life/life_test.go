package life_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/life"
)

var all = []life.State{life.Waiting, life.Claimed, life.Sending, life.Dispatched, life.Answered, life.Failed, life.Refused, life.Unknown}

// Guards against a request that runs twice after its upstream has broken off: no path may lead from Dispatched
// back to a state that can send. All paths are walked.
func TestDispatchedNeverRunsAgain(t *testing.T) {
	seen := map[life.State]bool{}
	var walk func(life.State)
	walk = func(from life.State) {
		for _, to := range all {
			s := from
			if s.To(to) != nil || seen[to] {
				continue
			}
			seen[to] = true
			walk(to)
		}
	}
	walk(life.Dispatched)
	must.MapLen(t, 3, seen)
	for _, s := range []life.State{life.Answered, life.Failed, life.Unknown} {
		must.True(t, seen[s])
		must.True(t, s.Final())
	}
}

func TestOutcome(t *testing.T) {
	for _, tc := range []struct {
		state life.State
		want  string
	}{
		{life.Answered, "whole"},
		{life.Failed, "failed"},
		{life.Refused, "not-run"},
		{life.Unknown, "unknown"},
		{life.Sending, "unknown"},
		{life.Dispatched, "unknown"},
	} {
		must.Eq(t, tc.want, tc.state.Outcome(), must.Sprint(tc.state))
	}
}

// Guards against telling a caller that its request can be sent again although it may have run: no path to
// Refused may come from a state in which bytes may have been sent, except through a state in which it is
// certain that none were.
func TestRefusedOnlyBeforeSending(t *testing.T) {
	for _, from := range all {
		s := from
		if s.To(life.Refused) == nil {
			must.False(t, from.MayHaveRun(), must.Sprint(from))
		}
	}
}
