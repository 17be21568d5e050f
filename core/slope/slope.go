// Package slope fits a line to observations that fade with age.
package slope

// Fit is a weighted least-squares line through (x, y), where each new
// observation takes a little weight from all older ones. The zero value has
// seen nothing and is ready.
type Fit struct {
	n, x, xx, y, xy float64 // Faded sums.
}

// fade is what an observation keeps of its weight when the next one comes:
// about fifty count, so that a changed speed shows within some dozen runs.
const fade = 0.98

// flat is the part of x's mean square that its variance must exceed for the
// incline to be told from the offset.
const flat = 0.01

// Add takes one observation. Its weight falls with x, so that the few long
// requests don't drown the many short ones.
func (s *Fit) Add(x, y float64) {
	w := 1 / (1 + x)
	s.n = s.n*fade + w
	s.x = s.x*fade + w*x
	s.xx = s.xx*fade + w*x*x
	s.y = s.y*fade + w*y
	s.xy = s.xy*fade + w*x*y
}

// HasData reports whether anything was observed.
func (s *Fit) HasData() bool { return s.n > 0 }

// At returns the line's y at x, never below zero.
func (s *Fit) At(x float64) float64 {
	if s.n == 0 {
		return 0
	}
	incline, offset := s.line()
	return max(offset+incline*x, 0)
}

// line returns a line that does not fall. With too little spread in x it goes
// through the origin.
func (s *Fit) line() (incline, offset float64) {
	det := s.n*s.xx - s.x*s.x
	if det < flat*s.n*s.xx {
		if s.x == 0 {
			return 0, s.y / s.n
		}
		return s.y / s.x, 0
	}
	incline = (s.n*s.xy - s.x*s.y) / det
	offset = (s.y - incline*s.x) / s.n
	switch {
	case incline < 0:
		return 0, s.y / s.n
	case offset < 0:
		return s.xy / s.xx, 0
	}
	return incline, offset
}
