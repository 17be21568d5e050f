package peers

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// A data centre is cut off from this entry. Two requests wait there in vain; from
// then on others don't, but one now and then that tries whether it is back, and
// once that is answered all go there again.
func TestCutOffCentre(t *testing.T) {
	far := []*wire.Upstream{
		{Id: "a", DataCentre: "z2", Slots: 4}, {Id: "b", DataCentre: "z2", Slots: 4}, {Id: "c", DataCentre: "z2", Slots: 4},
	}
	var p Peers
	now := start
	picks := func(n int) int {
		got := 0
		for range n {
			now = now.Add(time.Millisecond)
			if p.Pick(now, far, Choice{Centre: "z1"}) != nil {
				got++
			}
		}
		return got
	}
	p.Missed(now, far[0])
	must.Eq(t, 10, picks(10), must.Sprint("one alone has crashed"))
	p.Missed(now, far[1])
	must.Eq(t, 1, picks(100))
	now = now.Add(tryEvery)
	p.Missed(now, far[2])
	must.Eq(t, 1, picks(100))
	now = now.Add(tryEvery)
	must.NotNil(t, p.Pick(now, far, Choice{Centre: "z1"}))
	p.Reached(far[2])
	must.Eq(t, 100, picks(100))
}

// The entry's own data centre is never doubted: what it can't reach there has
// crashed, and another one may serve.
func TestOwnCentreIsNotDoubted(t *testing.T) {
	var p Peers
	for _, u := range list {
		p.Missed(start, &wire.Upstream{Id: u.GetId(), DataCentre: "z1"})
	}
	must.NotNil(t, p.Pick(start, list[:1], Choice{Centre: "z1"}))
}

// The entry is told that a data centre, or all but its own, seems cut off. It sends
// nothing there but a request now and then that tries it, also where it has seen
// nothing amiss itself: each would wait half a second for a connection in vain.
func TestToldOfACut(t *testing.T) {
	far := []*wire.Upstream{{Id: "a", DataCentre: "z2"}, {Id: "b", DataCentre: "z2"}}
	for _, tc := range []struct {
		name   string
		choice Choice
		list   []*wire.Upstream
		want   int // Of 100 requests.
	}{
		{"a data centre", Choice{Centre: "z1", Unreached: map[string]bool{"z2": true}}, far, 1},
		{"another one", Choice{Centre: "z1", Unreached: map[string]bool{"z3": true}}, far, 100},
		{"all others", Choice{Centre: "z1", Isolated: true}, far, 1},
		{"all others, and it has its own", Choice{Centre: "z1", Isolated: true}, list, 100},
		{"its own is never meant", Choice{Centre: "z2", Unreached: map[string]bool{"z2": true}, Isolated: true}, far, 100},
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
			must.NotNil(t, p.Pick(start.Add(tryEvery), tc.list, tc.choice))
		})
	}
}
