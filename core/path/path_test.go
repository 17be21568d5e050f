package path

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against upstreams that are blamed for a path that is lost, and against a path that counts as
// lost because one upstream has crashed.
func TestLoss(t *testing.T) {
	for _, tc := range []struct {
		name    string
		events  []string // Hosts that fail one after the other; "ok" is a success.
		every   time.Duration
		lost    bool
		suspect bool
	}{
		{"one host again and again", []string{"a", "a", "a", "a"}, 0, false, false},
		{"two hosts", []string{"a", "b", "a", "b"}, 0, false, true},
		{"three hosts", []string{"a", "b", "c"}, 0, true, true},
		{"a success between", []string{"a", "b", "ok", "c"}, 0, false, false},
		{"hosts that crash one by one", []string{"a", "b", "c"}, failureRetention + time.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Path
			now := start
			for _, e := range tc.events {
				if e == "ok" {
					p.RecordSuccess(now)
				} else {
					p.RecordFailure(now, e)
				}
				now = now.Add(tc.every)
			}
			must.Eq(t, tc.lost, p.Lost())
			must.Eq(t, tc.suspect, p.Suspect(now))
			must.Eq(t, tc.lost, p.Suspect(now.Add(failureRetention+time.Second)), must.Sprint("old failures no longer count"))
		})
	}
}

// Guards against a path that is never tried again, and against all connections that come back to it at
// one moment.
func TestWayBack(t *testing.T) {
	var p Path
	must.True(t, p.Direct(start))
	for _, h := range []string{"a", "b"} {
		must.False(t, p.RecordFailure(start, h))
	}
	must.True(t, p.RecordFailure(start, "c"))
	must.False(t, p.Direct(start))
	must.False(t, p.ProbeDue(start))
	must.True(t, p.ProbeDue(start.Add(probeInterval)))
	must.False(t, p.ProbeDue(start.Add(probeInterval)))
	must.True(t, p.RecordSuccess(start.Add(time.Second)))
	for step, want := range []int{1, 2, 4, 8} {
		direct := 0
		for range rampStart {
			if p.Direct(start.Add(time.Second + time.Duration(step)*rampStep)) {
				direct++
			}
		}
		must.Eq(t, want, direct)
	}
}
