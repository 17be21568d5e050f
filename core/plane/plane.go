// Package plane fits the sum of two terms, each proportional to a quantity of its own, to
// observations that lose weight with age.
package plane

// Fit is a weighted least-squares fit of z = a*x + b*y with non-negative a and b. Each new
// observation reduces the weight of all older ones. The zero value has no observations and is
// ready to use.
type Fit struct {
	xx, xy, yy, xz, yz float64 // Sums with exponential decay.
}

// decay is the factor by which each new observation reduces the weight of older ones.
const decay = 0.98

// Add adds an observation. Its weight falls with the square of x+y, so that the fit minimizes the
// relative error and small observations count, too.
func (f *Fit) Add(x, y, z float64) {
	w := 1 / (1 + (x+y)*(x+y))
	f.xx = f.xx*decay + w*x*x
	f.xy = f.xy*decay + w*x*y
	f.yy = f.yy*decay + w*y*y
	f.xz = f.xz*decay + w*x*z
	f.yz = f.yz*decay + w*y*z
}

// HasData reports whether there are any observations.
func (f *Fit) HasData() bool { return f.xx+f.yy > 0 }

// At returns z at x and y.
func (f *Fit) At(x, y float64) float64 {
	a, b := f.solve()
	return a*x + b*y
}

// solve returns the two coefficients. If x and y always occur in the same proportion, both
// coefficients are equal.
func (f *Fit) solve() (a, b float64) {
	const minDeterminant = 1e-3
	det := f.xx*f.yy - f.xy*f.xy
	if det <= minDeterminant*f.xx*f.yy {
		if sum := f.xx + 2*f.xy + f.yy; sum > 0 {
			return (f.xz + f.yz) / sum, (f.xz + f.yz) / sum
		}
		return 0, 0
	}
	a, b = (f.xz*f.yy-f.yz*f.xy)/det, (f.yz*f.xx-f.xz*f.xy)/det
	switch {
	case a < 0:
		return 0, f.yz / f.yy
	case b < 0:
		return f.xz / f.xx, 0
	}
	return a, b
}
