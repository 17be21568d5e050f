package reqage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// All callers wait equally long, their waits differ, or the one case changes to the other midway.
// Some callers retry after retryDelay. First attempts must not be taken for retries, nor retries
// for first attempts.
func TestFirstAttemptsAndRetries(t *testing.T) {
	const retryDelay = 3 * time.Second
	for _, tc := range []struct {
		name          string
		spreads       []float64 // Largest share by which first attempts' waits fall short of 6 s; one for each part of the test.
		retryShare    float64   // Share of retries among the attempts.
		minRecognized float64   // Least share of first attempts that must be recognized.
		maxError      float64   // Largest relative error of the estimated time since the first attempt.
	}{
		{"all alike", []float64{0}, 0.1, 1, 0},
		{"all alike, many come back", []float64{0}, 0.3, 1, 0},
		{"they differ", []float64{0.15}, 0.1, 0.97, 0.2},
		{"they differ, many come back", []float64{0.15}, 0.3, 0.97, 0.3},
		{"they differ from some time on", []float64{0, 0.15}, 0.1, 0.95, 0.2},
		{"they do no more", []float64{0.15, 0}, 0.1, 0.99, 0.2}, // Waits differ at first and are equal later.
	} {
		t.Run(tc.name, func(t *testing.T) {
			var e Estimator
			rnd := rand.New(rand.NewPCG(1, 2))
			first, recognized, missed := 0, 0, 0
			for i := range 4000 {
				spread := tc.spreads[i*len(tc.spreads)/4000]
				wait := time.Duration((1 - spread*rnd.Float64()) * float64(6*time.Second))
				warm := i*len(tc.spreads)%4000 > 4*window
				if rnd.Float64() < tc.retryShare {
					got := e.Observe(wait - retryDelay)
					if warm && got == 0 {
						missed++
					} else if warm {
						must.Between(t, (1-tc.maxError)*retryDelay.Seconds(), got.Seconds(), (1+tc.maxError)*retryDelay.Seconds())
					}
					continue
				}
				got := e.Observe(wait)
				if warm {
					first++
					if got == 0 {
						recognized++
					}
				}
			}
			must.GreaterEq(t, tc.minRecognized, float64(recognized)/float64(first))
			must.LessEq(t, 0.01*float64(first), float64(missed), must.Sprint("retries taken for first attempts"))
		})
	}
}

// The very first caller cannot be distinguished from a retry.
func TestFirstCaller(t *testing.T) {
	var e Estimator
	must.Eq(t, 0, e.Observe(time.Second))
	must.Eq(t, 0, e.Observe(time.Second))
	must.Eq(t, 400*time.Millisecond, e.Observe(600*time.Millisecond))
}
