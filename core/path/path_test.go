package path

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against upstreams that are blamed for a path that is lost, and against a path that counts as
// lost because upstreams have crashed.
func TestLoss(t *testing.T) {
	for _, tc := range []struct {
		name string
		// events are hosts that fail one after the other. One with a "-" refuses the connection, "+" says
		// that another process reaches it and "!" that none does; "ok" is a success.
		events  []string
		every   time.Duration
		lost    bool
		suspect bool
	}{
		{"one host again and again", []string{"a", "a", "a", "a"}, 0, false, false},
		{"two hosts", []string{"a", "b", "a", "b"}, 0, false, true},
		{"three hosts", []string{"a", "b", "c"}, 0, true, true},
		{"a success between", []string{"a", "b", "ok", "c"}, 0, false, false},
		{"hosts that crash one by one", []string{"a", "b", "c"}, failureRetention + time.Second, false, false},
		{"three hosts refuse", []string{"a-", "b-", "c-", "d-"}, 0, false, true},
		{"refused here, reached elsewhere", []string{"a-", "b-", "c-", "a+", "b+", "c+"}, 0, true, true},
		{"refused here, two reached elsewhere", []string{"a-", "b-", "c-", "a+", "b+"}, 0, false, true},
		{"refused everywhere", []string{"a-", "b-", "c-", "a!", "b!", "c!"}, 0, false, false},
		{"reached elsewhere once, refused again", []string{"a-", "a+", "b-", "b+", "c-", "c+", "a-"}, 0, true, true},
		{"silent everywhere", []string{"a", "b", "a!", "b!", "c"}, 0, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Path
			now := start
			for _, e := range tc.events {
				host, kind := e[:1], e[1:]
				switch {
				case e == "ok":
					p.RecordSuccess(now)
				case kind == "+":
					p.RecordElsewhere(now, host, Reached)
				case kind == "!":
					p.RecordElsewhere(now, host, Down)
				default:
					p.RecordFailure(now, host, kind == "-")
					p.RecordElsewhere(now, host, Unknown)
				}
				now = now.Add(tc.every)
			}
			must.Eq(t, tc.lost, p.Lost())
			must.Eq(t, tc.suspect, p.Suspect(now))
			must.Eq(t, tc.lost, p.Suspect(now.Add(failureRetention+time.Second)), must.Sprint("old failures no longer count"))
		})
	}
}

// Guards against upstreams that have crashed and are excused, so that the scheduler goes on to send
// requests there, and against upstreams that are blamed for a cut.
func TestExcuses(t *testing.T) {
	var p Path
	p.RecordFailure(start, "a", true)
	p.RecordFailure(start, "b", true)
	must.False(t, p.Excuses(start, "a"))
	p.RecordElsewhere(start, "a", Reached)
	must.True(t, p.Excuses(start, "a"))
	must.False(t, p.Excuses(start, "b"))
	p.RecordFailure(start, "c", false)
	must.False(t, p.Excuses(start, "c"))
	p.RecordElsewhere(start, "c", Unknown)
	must.True(t, p.Excuses(start, "c"))
	must.False(t, p.Lost())
	p.RecordElsewhere(start, "b", Reached)
	must.True(t, p.Lost())
	must.True(t, p.Excuses(start, "d"))
}

// Guards against a path that is never tried again, and against all connections that come back to it at
// one moment.
func TestWayBack(t *testing.T) {
	var p Path
	must.True(t, p.Direct(start))
	for _, h := range []string{"a", "b", "c"} {
		p.RecordFailure(start, h, false)
		must.Eq(t, h == "c", p.RecordElsewhere(start, h, Unknown))
	}
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
