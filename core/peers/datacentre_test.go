package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against requests that wait for a data centre which is cut off. After two of them have
// failed, only occasional trial requests are sent there, and once one of these is answered, all are.
func TestCutOffDataCentre(t *testing.T) {
	far := []*wire.Upstream{
		{Id: "a", DataCentre: "z2", Slots: 4}, {Id: "b", DataCentre: "z2", Slots: 4}, {Id: "c", DataCentre: "z2", Slots: 4},
	}
	var p Peers
	now := start
	picks := func(n int) int {
		got := 0
		for range n {
			now = now.Add(time.Millisecond)
			if p.Pick(now, far, Choice{DataCentre: "z1"}) != nil {
				got++
			}
		}
		return got
	}
	p.RecordUnreachable(now, far[0])
	must.Eq(t, 10, picks(10), must.Sprint("one alone has crashed"))
	p.RecordUnreachable(now, far[1])
	must.Eq(t, 1, picks(100))
	now = now.Add(trialInterval)
	p.RecordUnreachable(now, far[2])
	must.Eq(t, 1, picks(100))
	now = now.Add(trialInterval)
	must.NotNil(t, p.Pick(now, far, Choice{DataCentre: "z1"}))
	p.RecordReached(far[2])
	must.Eq(t, 100, picks(100))
}

// The entry's own data centre never counts as cut off: an upstream there that it can't reach has
// crashed, and the others may serve.
func TestOwnDataCentreIsNeverCutOff(t *testing.T) {
	var p Peers
	for _, u := range list {
		p.RecordUnreachable(start, &wire.Upstream{Id: u.GetId(), DataCentre: "z1"})
	}
	must.NotNil(t, p.Pick(start, list[:1], Choice{DataCentre: "z1"}))
}

// Guards against requests that wait half a second for a connection although control has reported
// that a data centre, or all but the entry's own, is cut off. Only trial requests are sent there,
// even if the entry has had no failure itself.
func TestReportedCut(t *testing.T) {
	far := []*wire.Upstream{{Id: "a", DataCentre: "z2"}, {Id: "b", DataCentre: "z2"}}
	for _, tc := range []struct {
		name   string
		choice Choice
		list   []*wire.Upstream
		want   int // Of 100 requests.
	}{
		{"a data centre", Choice{DataCentre: "z1", Unreached: map[string]bool{"z2": true}}, far, 1},
		{"another one", Choice{DataCentre: "z1", Unreached: map[string]bool{"z3": true}}, far, 100},
		{"all others", Choice{DataCentre: "z1", Isolated: true}, far, 1},
		{"all others, and it has its own", Choice{DataCentre: "z1", Isolated: true}, list, 100},
		{"its own is never meant", Choice{DataCentre: "z2", Unreached: map[string]bool{"z2": true}, Isolated: true}, far, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Peers
			got := 0
			for range 100 {
				if p.Pick(start, tc.list, tc.choice) != nil {
					got++
				}
			}
			must.Eq(t, tc.want, got)
			must.NotNil(t, p.Pick(start.Add(trialInterval), tc.list, tc.choice))
		})
	}
}
