package depth

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// Guards against places that stand empty while messages are under way, and against a queue at the server in which
// requests can't go first: it holds what comes in that time, and no more.
func TestQueueFillsTheWay(t *testing.T) {
	const run = 60 * time.Millisecond
	for _, tc := range []struct {
		name   string
		hop    time.Duration // One way between two processes.
		places int
		want   int
	}{
		{"no way", 0, 6, 6},
		{"short way", time.Millisecond, 6, 7},
		{"longer way", 5 * time.Millisecond, 6, 8},
		{"way beyond the run", 100 * time.Millisecond, 6, 18},
		{"one place", 5 * time.Millisecond, 1, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d Depth
			must.Eq(t, tc.places, d.Most(start, tc.places, 8), must.Sprint("nothing is known"))
			for range 100 {
				d.Done(run+4*tc.hop, run+2*tc.hop, 0, true)
			}
			must.Eq(t, tc.want, d.Most(start, tc.places, 8))
		})
	}
}

// Guards against a server that announces nothing and is given more than it bears at once.
func TestUnknownServer(t *testing.T) {
	var d Depth
	for want := 1; want <= 8; want++ {
		must.Eq(t, want, d.Most(start, 0, 8))
		d.Done(60*time.Millisecond, 60*time.Millisecond, 0, true)
	}
	must.Eq(t, 8, d.Most(start, 0, 8))
}

// Guards against a server with fewer places than it announces that refuses requests again and again, and against
// one that stays limited after its places are free again.
func TestRefusals(t *testing.T) {
	const announced, runs = 6, 6000
	var d Depth
	for _, places := range []int{4, 1, announced} {
		refused := 0
		for range runs {
			if d.Most(start, announced, 8) > places {
				d.Refused(start, places)
				refused++
			}
			d.Done(60*time.Millisecond, 60*time.Millisecond, 0, true)
		}
		must.LessEq(t, runs/raiseRuns/places+announced, refused)
	}
	must.Eq(t, announced, d.Most(start, announced, 8))
}

// Guards against a server that refuses everything at once, and so seems to be free, and gets most requests.
func TestServerThatRefusesAll(t *testing.T) {
	var d Depth
	refused := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if d.Most(start.Add(now), 6, 8) > 0 {
			d.Refused(start.Add(now), 0)
			refused++
		}
	}
	must.LessEq(t, 11, refused)
	d.Done(60*time.Millisecond, 60*time.Millisecond, 0, true)
	d.Refused(start.Add(time.Minute), 0)
	must.Positive(t, d.Most(start.Add(time.Minute+minPause), 6, 8))
}

// Guards against a rate of a busy server that is too high, because requests wait in its queue, or too low, and
// against streams that count as late because they are long.
func TestRate(t *testing.T) {
	var d Depth
	must.Eq(t, 0, d.Rate(6, 7))
	d.Done(64*time.Millisecond, 62*time.Millisecond, 0, true)
	must.InDelta(t, 100, d.Rate(6, 7), 0.1)
	for range 200 { // The server takes twice as long.
		d.Done(144*time.Millisecond, 142*time.Millisecond, 0, false)
	}
	must.InDelta(t, 50, d.Rate(6, 7), 2)
	must.Between(t, 140*time.Millisecond, d.Span(), 160*time.Millisecond)
	d = Depth{}
	d.Done(3002*time.Millisecond, 3*time.Second, 50*time.Millisecond, true)
	must.Eq(t, 52*time.Millisecond, d.Span(), must.Sprint("first event of a stream"))
}
