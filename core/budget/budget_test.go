package budget_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/budget"
)

// All upstreams of a pool refuse connections while 1,000 requests arrive. With three attempts each,
// the pool would be dialled 3,000 times. The budget allows the burst and a tenth of the requests as
// retries.
func TestRetriesAreLimited(t *testing.T) {
	var b budget.Budget
	retries := 0
	for range 1000 {
		b.AddFirstAttempt()
		for range 2 {
			if b.TakeRetry() {
				retries++
			}
		}
	}
	must.Between(t, 100, retries, 121)
}
