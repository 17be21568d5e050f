// Package curve fits a rising, convex curve to observations that lose weight with age.
package curve

// Fit is a weighted least-squares fit of y = a + b*x + c*x*x with non-negative a, b and c. Each
// new observation reduces the weight of all older ones. The zero value has no observations and is
// ready to use.
type Fit struct {
	n, x, x2, x3, x4 float64 // Sums with exponential decay.
	y, xy, x2y       float64
}

// minVarianceShare is the least variation of x at which coefficients can be distinguished. For the
// slope and the offset, it is the ratio of the variance of x to its mean square. For the
// coefficients of x and x*x, it is the share of the variation of x*x that is not proportional to
// the variation of x.
const minVarianceShare = 1e-3

// Add adds an observation and multiplies the weight of the older ones by keep. The observation's
// own weight falls with the square of x, because the scatter of y grows with x.
func (f *Fit) Add(keep, x, y float64) {
	w := 1 / ((1 + x) * (1 + x))
	f.n = f.n*keep + w
	f.x = f.x*keep + w*x
	f.x2 = f.x2*keep + w*x*x
	f.x3 = f.x3*keep + w*x*x*x
	f.x4 = f.x4*keep + w*x*x*x*x
	f.y = f.y*keep + w*y
	f.xy = f.xy*keep + w*x*y
	f.x2y = f.x2y*keep + w*x*x*y
}

// Degenerate reports whether the observed values of x differ too little to distinguish a slope
// from an offset.
func (f *Fit) Degenerate() bool { return f.n == 0 || f.x2-f.x*f.x/f.n <= minVarianceShare*f.x2 }

// Coefficients returns the coefficients of x and of its square.
func (f *Fit) Coefficients() (linear, square float64) {
	if f.n == 0 {
		return 0, 0
	}
	// Centred on the means, so that the offset drops out.
	xx, xq, qq := f.x2-f.x*f.x/f.n, f.x3-f.x*f.x2/f.n, f.x4-f.x2*f.x2/f.n
	if xx <= minVarianceShare*f.x2 {
		return solve(f.x2, 0, 0, f.xy, 0) // All x alike: fit a line through the origin.
	}
	linear, square = solve(xx, xq, qq, f.xy-f.x*f.y/f.n, f.x2y-f.x2*f.y/f.n)
	if f.y-linear*f.x-square*f.x2 < 0 {
		return solve(f.x2, f.x3, f.x4, f.xy, f.x2y) // The offset would be negative.
	}
	return linear, square
}

// solve returns the two coefficients from the sums of squares and products of x, its square q,
// and y. Neither of them is negative.
func solve(xx, xq, qq, xy, qy float64) (linear, square float64) {
	if xx <= 0 {
		return 0, 0
	}
	det := xx*qq - xq*xq
	if det <= minVarianceShare*xx*qq {
		return max(xy/xx, 0), 0
	}
	linear, square = (xy*qq-qy*xq)/det, (qy*xx-xy*xq)/det
	switch {
	case square < 0:
		return max(xy/xx, 0), 0
	case linear < 0:
		return 0, max(qy/qq, 0)
	}
	return linear, square
}
