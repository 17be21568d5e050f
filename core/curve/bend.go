// Package bend fits a curve that rises and does not flatten to observations that
// fade with age.
package curve

// Fit is a weighted least-squares fit of y = a + b*x + c*x*x, with none of the
// three below zero, where each new observation takes a little weight from all older
// ones. The zero value has seen nothing and is ready.
type Fit struct {
	n, x, x2, x3, x4 float64 // Faded sums.
	y, xy, x2y       float64
}

// flat is the part of what x or its square would have to vary by in itself, for a
// factor of its own to be told from the others.
const flat = 1e-3

// Add takes one observation; keep is the part of their weight that the older ones
// keep. Its own weight falls with the square of x, as the scatter of y grows with it.
func (b *Fit) Add(keep, x, y float64) {
	w := 1 / ((1 + x) * (1 + x))
	b.n = b.n*keep + w
	b.x = b.x*keep + w*x
	b.x2 = b.x2*keep + w*x*x
	b.x3 = b.x3*keep + w*x*x*x
	b.x4 = b.x4*keep + w*x*x*x*x
	b.y = b.y*keep + w*y
	b.xy = b.xy*keep + w*x*y
	b.x2y = b.x2y*keep + w*x*x*y
}

// Degenerate reports whether what was seen of x differs too little to tell a rise from an
// offset.
func (b *Fit) Degenerate() bool { return b.n == 0 || b.x2-b.x*b.x/b.n <= flat*b.x2 }

// Coefficients returns the factors of x and of its square.
func (b *Fit) Coefficients() (linear, square float64) {
	if b.n == 0 {
		return 0, 0
	}
	// About the means, so that the offset drops out.
	xx, xq, qq := b.x2-b.x*b.x/b.n, b.x3-b.x*b.x2/b.n, b.x4-b.x2*b.x2/b.n
	if xx <= flat*b.x2 {
		return solve(b.x2, 0, 0, b.xy, 0) // All alike: in proportion.
	}
	linear, square = solve(xx, xq, qq, b.xy-b.x*b.y/b.n, b.x2y-b.x2*b.y/b.n)
	if b.y-linear*b.x-square*b.x2 < 0 {
		return solve(b.x2, b.x3, b.x4, b.xy, b.x2y) // It would begin below zero.
	}
	return linear, square
}

// solve returns the two factors from the sums of squares and products of x, its
// square q and y, neither of them below zero.
func solve(xx, xq, qq, xy, qy float64) (linear, square float64) {
	if xx <= 0 {
		return 0, 0
	}
	det := xx*qq - xq*xq
	if det <= flat*xx*qq {
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
