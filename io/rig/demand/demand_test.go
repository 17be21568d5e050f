package demand_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/call"
	"azurelane/io/rig/demand"
)

const files = "../../../examples/load/"

// The example workloads draw the same plan for the same seed, at the rate
// asked for, with sizes a hundredfold apart, and one account alone sends more.
func TestDraw(t *testing.T) {
	const span, rate = 100 * time.Second, 50.0
	flat := func(time.Duration) float64 { return rate }
	for _, name := range []string{"solwatch", "huber"} {
		t.Run(name, func(t *testing.T) {
			d, err := demand.Load(files + name + ".json")
			must.NoError(t, err)
			first := d.Accounts[0].Name
			plain := d.Draw(1, span, rate, flat, "", 0)
			must.Eq(t, plain, d.Draw(1, span, rate, flat, "", 0))
			must.InDelta(t, span.Seconds()*rate, float64(len(plain)), 300)
			low, high := plain[0], plain[0]
			for _, c := range plain {
				if size(c) < size(low) {
					low = c
				}
				if size(c) > size(high) {
					high = c
				}
			}
			must.Greater(t, 50*size(low), size(high))
			more := d.Draw(1, span, rate, flat, first, 10)
			must.Eq(t, count(plain, first, false), count(more, first, false))
			must.InDelta(t, 10, float64(count(more, first, true))/float64(count(plain, first, true)), 1.5)
		})
	}
}

func size(c call.Call) int64 { return c.Prompt + c.Answer }

// count counts the calls of the account, or of all others.
func count(list []call.Call, account string, own bool) (n int) {
	for _, c := range list {
		if (c.Account == account) == own {
			n++
		}
	}
	return n
}
