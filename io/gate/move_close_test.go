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

// Guards against streams that end as whole although the continued run was stopped once more, by a late stop or for
// another move, or was killed.
func TestContinuedRunsThatEndWithTheirConnections(t *testing.T) {
	for _, tc := range []struct {
		name    string
		engines [][]string // Faults of each.
		slow    []int      // Events that each makes slowly; empty if the first engine leaves.
		whole   bool       // Else it may end visibly broken.
	}{
		{"stopped late", [][]string{{lostAnswers, stopsAgain}, nil}, nil, false},
		{"stopped late, slow", [][]string{{lostAnswers, stopsAgain}, nil}, []int{slowEvents}, false},
		{"ends by itself after lost answers", [][]string{{lostAnswers}, nil}, []int{slowEvents - 4}, true},
		{"killed at the source", [][]string{{lostAnswers, diesLater}, nil}, nil, false},
		{"killed at the destination", [][]string{nil, {diesLater}}, nil, false},
		{"moved twice", [][]string{nil, nil, nil}, []int{moveEvents, moveEvents}, true},
		{"moved twice, answers lost", [][]string{nil, {lostAnswers}, nil}, []int{moveEvents, moveEvents}, false},
		{"moved twice, killed", [][]string{nil, nil, {diesLater}}, []int{moveEvents, moveEvents}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for i := range tc.engines {
				tc.engines[i] = append(tc.engines[i], endsByClose)
			}
			p := rebalancingPool
			p.HandleTime = 1200 * time.Millisecond // The run ends within it after the return.
			m := newMoveGate(t, p, tc.engines...)
			for i, events := range tc.slow {
				m.slow(tc.slow[0], 5500*time.Millisecond)
				m.fleet.engines[i].slow = events
			}
			if len(tc.slow) == 0 {
				m.start(false)
			}
			r := m.do("POST", "/stream/x")
			must.StrHasPrefix(t, r.body, eventsUpTo(moveEvents))
			if r.err == nil || tc.whole {
				must.NoError(t, r.err)
				must.Eq(t, eventsUpTo(moveEvents), r.body)
			}
			m.check(t)
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			must.LessEq(t, 1, m.fleet.freed, must.Sprint("a copy is freed once, by the last that may need it"))
		})
	}
}
