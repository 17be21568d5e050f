package reqage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers have equal times to wait, times that differ, or first the one and then the other; some
// retry seconds later. First attempts must not be taken for retries, nor retries for first
// attempts.
func TestFirstAttemptsAndRetries(t *testing.T) {
	const retryDelay = 3 * time.Second
	for _, tc := range []struct {
		name     string
		parts    []float64 // Share by which the times of first attempts differ, one after another.
		returned float64   // Share of retries among the attempts.
		firstOK  float64   // Least share of first attempts that are recognized.
		off      float64   // Largest relative error of the time since the first attempt.
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
			first, recognized, missed := 0, 0, 0
			for i := range 4000 {
				part := tc.parts[i*len(tc.parts)/4000]
				wait := time.Duration((1 - part*rnd.Float64()) * float64(6*time.Second))
				warm := i*len(tc.parts)%4000 > 4*window
				if rnd.Float64() < tc.returned {
					got := b.Observe(wait - retryDelay)
					if warm && got == 0 {
						missed++
					} else if warm {
						must.Between(t, (1-tc.off)*retryDelay.Seconds(), got.Seconds(), (1+tc.off)*retryDelay.Seconds())
					}
					continue
				}
				got := b.Observe(wait)
				if warm {
					first++
					if got == 0 {
						recognized++
					}
				}
			}
			must.GreaterEq(t, tc.firstOK, float64(recognized)/float64(first))
			must.LessEq(t, 0.01*float64(first), float64(missed), must.Sprint("retries taken for first attempts"))
		})
	}
}

// The very first caller cannot be distinguished from a retry.
func TestFirstCaller(t *testing.T) {
	var b Estimator
	must.Eq(t, 0, b.Observe(time.Second))
	must.Eq(t, 0, b.Observe(time.Second))
	must.Eq(t, 400*time.Millisecond, b.Observe(600*time.Millisecond))
}
