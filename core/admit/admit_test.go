package admit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// brittle is a simulated upstream. It refuses what it has no room for on arrival; the sender hears of it
// a little later.
type brittle struct {
	Admit
	room     int
	running  map[uint64]time.Time // Ends of runs, by request.
	refusing map[uint64]time.Time // When the sender hears of a refusal.
	refusals []time.Time
	served   int
}

func (b *brittle) step(now time.Time, number uint64, latency, run time.Duration) {
	for n, at := range b.refusing {
		if !now.Before(at) {
			delete(b.refusing, n)
			b.Refused(now, n, len(b.running)+len(b.refusing))
		}
	}
	for n, end := range b.running {
		if !now.Before(end) {
			delete(b.running, n)
			b.served++
			b.Accepted(n)
		}
	}
	if !b.CanSend(now, len(b.running)+len(b.refusing)) {
		return
	}
	b.Sent(now, number)
	if len(b.running) >= b.room {
		b.refusals = append(b.refusals, now)
		b.refusing[number] = now.Add(latency)
		return
	}
	b.running[number] = now.Add(run)
}

// mostRefusals is the largest number of refusals in a second.
func (b *brittle) mostRefusals() int {
	most := 0
	for i, at := range b.refusals {
		n := 0
		for _, later := range b.refusals[i:] {
			if later.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against an upstream that has to refuse more requests than it bears, and against one whose room
// stays unused: room changes at random, always more is asked for than there is room, and the upstream
// may be new.
func TestRefusalsStayWithinTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Repeats.
			b := &brittle{room: 8, running: map[uint64]time.Time{}, refusing: map[uint64]time.Time{}}
			most, isNew := 1+rnd.IntN(5), rnd.IntN(2) == 0
			run := time.Duration(20+rnd.IntN(300)) * time.Millisecond
			b.SetLimit(start, most, isNew)
			fits := 0.0
			for ms := range 30_000 {
				if rnd.IntN(3000) == 0 {
					b.room = 1 + rnd.IntN(8)
				}
				fits += float64(b.room) / float64(run.Milliseconds())
				b.step(start.Add(time.Duration(ms)*time.Millisecond), uint64(ms), time.Duration(1+rnd.IntN(20))*time.Millisecond, run) //nolint:gosec // Not negative.
			}
			must.LessEq(t, most, b.mostRefusals())
			t.Logf("%d refusals a second allowed, runs of %v, new %v: %d served, %.0f fit", most, run, isNew, b.served, fits)
			must.Positive(t, b.served)
		})
	}
}

// Guards against an upstream that has come back and is given as many requests at once as before.
func TestSlowStart(t *testing.T) {
	var a Admit
	a.SetLimit(start, 5, true)
	must.True(t, a.CanSend(start, 0))
	a.Sent(start, 1)
	must.False(t, a.CanSend(start, 1))
	a.Accepted(1)
	must.True(t, a.CanSend(start, 1))
	a.Sent(start, 2)
	must.False(t, a.CanSend(start, 2))
	must.True(t, a.CanSend(start.Add(settleTime), 2), must.Sprint("not refused in time"))
}

// Without a limit nothing is counted.
func TestUnlimited(t *testing.T) {
	var a Admit
	for n := range uint64(100) {
		must.True(t, a.CanSend(start, 100))
		a.Sent(start, n)
		a.Refused(start, n, 0)
	}
	must.False(t, a.Limited())
	a.SetLimit(start, 1, false)
	a.Sent(start, 1)
	must.False(t, a.CanSend(start, 1))
	a.SetLimit(start, 0, false)
	must.True(t, a.CanSend(start, 1))
}
