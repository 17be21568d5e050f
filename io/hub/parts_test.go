package hub

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/part"
)

// Guards against log lines that can't be written, because JSON has no infinity, and against lines that list
// every account that was ever seen.
func TestPartLines(t *testing.T) {
	got, err := json.Marshal(partLines(map[string]part.Part{
		"flooding": {Weight: 2, Held: 7, Used: 6.04, Waiting: 3.26, Share: 4.5, Beyond: true, RefusedBeyond: 9},
		"calm":     {Weight: 1, Used: 1, Share: math.Inf(1), RefusedWithin: 1},
		"gone":     {Weight: 1, Used: 0.01, Share: math.Inf(1)},
	}))
	must.NoError(t, err)
	must.EqJSON(t, `{
		"flooding": {"weight": 2, "share": 4.5, "held": 7, "used": 6, "waiting-s": 3.3, "beyond": true, "refused-within": 0, "refused-beyond": 9},
		"calm": {"weight": 1, "held": 0, "used": 1, "waiting-s": 0, "beyond": false, "refused-within": 1, "refused-beyond": 0}
	}`, string(got))
}
