package curve

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// Prompts of many lengths, most of them short, are fitted with times that scatter by a fifth. The
// times of the longest prompts must be estimated within a tenth, whether they grow with the
// length, with its square, or with both.
func TestCoefficients(t *testing.T) {
	for _, tc := range []struct {
		name       string
		a, b, c    float64
		from, span float64
	}{
		{"in proportion", 20, 3, 0, 0.2, 40},
		{"with the square, too", 20, 3, 0.1, 0.2, 40},
		{"with the square alone", 20, 0, 0.2, 0.2, 40},
		{"no offset", 0, 3, 0.05, 0.2, 40},
		{"all alike", 0, 3, 0, 5, 0},
		{"nothing of it", 20, 0, 0, 0.2, 40}, // The times do not depend on the length.
	} {
		t.Run(tc.name, func(t *testing.T) {
			var f Fit
			rnd := rand.New(rand.NewPCG(1, 2))
			for range 3000 {
				x := tc.from + tc.span*rnd.Float64()*rnd.Float64()*rnd.Float64()
				f.Add(0.999, x, (tc.a+tc.b*x+tc.c*x*x)*(0.8+0.4*rnd.Float64()))
			}
			linear, square := f.Coefficients()
			x := tc.from + tc.span
			want := tc.b*x + tc.c*x*x
			must.Between(t, 0.9*want-0.1*tc.a, linear*x+square*x*x, 1.1*want+0.1*tc.a)
		})
	}
	linear, square := new(Fit).Coefficients()
	must.Eq(t, 0, linear+square)
}
