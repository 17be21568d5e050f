// Package plane fits a sum of two parts, each in proportion to a quantity of
// its own, to observations that fade with age.
package plane

// Fit is a weighted least-squares fit of z = a*x + b*y with a and b not below
// zero, where each new observation takes a little weight from all older ones.
// The zero value has seen nothing and is ready.
type Fit struct {
	xx, xy, yy, xz, yz float64 // Faded sums.
}

// fade is what an observation keeps of its weight when the next one comes.
const fade = 0.98

// Add takes one observation. Its weight falls with the square of its size, so
// that the relative miss is what counts and small ones are fitted too.
func (p *Fit) Add(x, y, z float64) {
	w := 1 / (1 + (x+y)*(x+y))
	p.xx = p.xx*fade + w*x*x
	p.xy = p.xy*fade + w*x*y
	p.yy = p.yy*fade + w*y*y
	p.xz = p.xz*fade + w*x*z
	p.yz = p.yz*fade + w*y*z
}

// HasData reports whether anything was observed.
func (p *Fit) HasData() bool { return p.xx+p.yy > 0 }

// At returns z at x and y.
func (p *Fit) At(x, y float64) float64 {
	a, b := p.solve()
	return a*x + b*y
}

// solve returns the two factors. When x and y always come in the same
// proportion, one factor serves for both.
func (p *Fit) solve() (a, b float64) {
	const thin = 1e-3
	det := p.xx*p.yy - p.xy*p.xy
	if det <= thin*p.xx*p.yy {
		if sum := p.xx + 2*p.xy + p.yy; sum > 0 {
			return (p.xz + p.yz) / sum, (p.xz + p.yz) / sum
		}
		return 0, 0
	}
	a, b = (p.xz*p.yy-p.yz*p.xy)/det, (p.yz*p.xx-p.xz*p.xy)/det
	switch {
	case a < 0:
		return 0, p.yz / p.yy
	case b < 0:
		return p.xz / p.xx, 0
	}
	return a, b
}
