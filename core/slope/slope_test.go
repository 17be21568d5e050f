package slope

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against estimates that are no number when x is always zero, as for requests without tokens.
func TestOnlyZeros(t *testing.T) {
	var f Fit
	f.Add(0, 2)
	f.Add(0, 4)
	must.InDelta(t, 3, f.At(0), 0.1)
	must.InDelta(t, 3, f.At(10), 0.1)
}
