// Package slope fits a line to observations that lose weight with age.
package slope

// Fit is a weighted least-squares line through (x, y). Each new observation reduces the weight of
// all older ones. The zero value has no observations and is ready to use.
type Fit struct {
	n, x, xx, y, xy float64 // Sums with exponential decay.
}

// decay is the factor by which each new observation reduces the weight of older ones. About fifty
// observations count, so that the line follows a change within a few dozen observations.
const decay = 0.98

// minVarianceShare is the share of x's mean square that its variance must exceed to distinguish
// the slope from the offset.
const minVarianceShare = 0.01

// Add adds an observation. Its weight falls with x, so that a few observations with a large x do
// not outweigh many with a small x.
func (f *Fit) Add(x, y float64) {
	w := 1 / (1 + x)
	f.n = f.n*decay + w
	f.x = f.x*decay + w*x
	f.xx = f.xx*decay + w*x*x
	f.y = f.y*decay + w*y
	f.xy = f.xy*decay + w*x*y
}

// HasData reports whether there are any observations.
func (f *Fit) HasData() bool { return f.n > 0 }

// At returns the y of the line at x, at least zero.
func (f *Fit) At(x float64) float64 {
	if f.n == 0 {
		return 0
	}
	slope, offset := f.line()
	return max(offset+slope*x, 0)
}

// line returns the coefficients of a line that does not fall. If x varies too little, the line
// goes through the origin.
func (f *Fit) line() (slope, offset float64) {
	det := f.n*f.xx - f.x*f.x
	if det <= minVarianceShare*f.n*f.xx {
		if f.x == 0 {
			return 0, f.y / f.n
		}
		return f.y / f.x, 0
	}
	slope = (f.n*f.xy - f.x*f.y) / det
	offset = (f.y - slope*f.x) / f.n
	switch {
	case slope < 0:
		return 0, f.y / f.n
	case offset < 0:
		return f.xy / f.xx, 0
	}
	return slope, offset
}
