package gate

import (
	"fmt"
	"slices"
	"testing"

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
