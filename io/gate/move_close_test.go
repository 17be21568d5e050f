package gate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against streams that end as whole although their run was only stopped for a move: its engine lives, and
// closes the stream's connection without the stream's end, which looks like the end of a stream without chunks.
func TestMovesOfStreamsThatEndWithTheirConnections(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults [][]string
		whole  bool // Else it may end visibly broken.
	}{
		{"no fault", [][]string{nil, nil}, true},
		{"answer lost", [][]string{{lostAnswer}, nil}, true},
		{"all answers lost", [][]string{{lostAnswers}, nil}, false},
		{"destination dies", [][]string{nil, {diesStopped}}, false},
		{"source dies once stopped", [][]string{{diesStopped}, nil}, false},
		{"handle gone", [][]string{{handleGone}, {handleGone}}, false},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, " slow ", slow), func(t *testing.T) {
				t.Parallel()
				p := movingPool
				if slow {
					p = rebalancingPool
				}
				m := newMoveGate(t, p, append(slices.Clone(tc.faults[0]), endsByClose), append(slices.Clone(tc.faults[1]), endsByClose))
				m.start(slow)
				r := m.do("POST", "/stream/x")
				if r.err == nil || tc.whole {
					must.NoError(t, r.err)
					must.Eq(t, eventsUpTo(moveEvents), r.body)
				}
				m.check(t)
			})
		}
	}
}

// Guards against streams that break although their runs have ended by themselves, health checks that lengthen a pause,
// and an engine started anew whose answer, that it has no such run, is taken for the end of the run.
func TestRunsThatEndWhileAStopIsPending(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault string
		whole bool
	}{
		{"ends by itself", "", true},
		{"another instance", restarts, false},
	} {
		for _, slow := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, " slow ", slow), func(t *testing.T) {
				t.Parallel()
				p := movingPool
				if slow {
					p = rebalancingPool
				}
				p.HandleTime = time.Second
				m := newMoveGate(t, p, []string{stopsLate, endsByClose, tc.fault}, []string{endsByClose})
				m.checkHealthAt("/health")
				m.start(slow)
				r := m.do("POST", "/stream/x")
				must.Eq(t, tc.whole, r.err == nil)
				must.Eq(t, eventsUpTo(moveEvents), r.body)
				m.check(t)
				m.fleet.mu.Lock()
				defer m.fleet.mu.Unlock()
				must.Eq(t, 0, m.fleet.early)
				must.Eq(t, 1, m.fleet.checks)
				must.True(t, m.fleet.begun["up-1"].IsZero())
			})
		}
	}
}
