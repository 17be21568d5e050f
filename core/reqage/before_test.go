package reqage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers bring the same time each, or times that differ by a part, or first the
// one and then the other; some come back seconds later. First attempts must not
// be taken for late ones, and those that came back not for first ones.
func TestFirstAndAgain(t *testing.T) {
	const away = 3 * time.Second
	for _, tc := range []struct {
		name     string
		parts    []float64 // By which first waits differ, one after the other.
		returned float64   // Part of the attempts.
		firstOK  float64   // Part of first attempts that are told so.
		off      float64   // Most that the time since the first try may be off, as a part of it.
	}{
		{"all alike", []float64{0}, 0.1, 1, 0},
		{"all alike, many come back", []float64{0}, 0.3, 1, 0},
		{"they differ", []float64{0.15}, 0.1, 0.97, 0.2},
		{"they differ, many come back", []float64{0.15}, 0.3, 0.97, 0.3},
		{"they differ from some time on", []float64{0, 0.15}, 0.1, 0.95, 0.2},
		{"they do no more", []float64{0.15, 0}, 0.1, 0.99, 0.2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var b Estimator
			rnd := rand.New(rand.NewPCG(1, 2))
			first, told, missed := 0, 0, 0
			for i := range 4000 {
				part := tc.parts[i*len(tc.parts)/4000]
				wait := time.Duration((1 - part*rnd.Float64()) * float64(6*time.Second))
				learnt := i*len(tc.parts)%4000 > 4*keep
				if rnd.Float64() < tc.returned {
					got := b.Observe(wait - away)
					if learnt && got == 0 {
						missed++
					} else if learnt {
						must.Between(t, (1-tc.off)*away.Seconds(), got.Seconds(), (1+tc.off)*away.Seconds())
					}
					continue
				}
				got := b.Observe(wait)
				if learnt {
					first++
					if got == 0 {
						told++
					}
				}
			}
			must.GreaterEq(t, tc.firstOK, float64(told)/float64(first))
			must.LessEq(t, 0.01*float64(first), float64(missed), must.Sprint("taken for first ones"))
		})
	}
}

// The first caller of all can't be told from one that came back.
func TestNothingKnown(t *testing.T) {
	var b Estimator
	must.Eq(t, 0, b.Observe(time.Second))
	must.Eq(t, 0, b.Observe(time.Second))
	must.Eq(t, 400*time.Millisecond, b.Observe(600*time.Millisecond))
}
