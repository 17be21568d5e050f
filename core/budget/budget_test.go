package budget_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/budget"
)

// Every upstream of a pool refuses connections and 1,000 requests come. With
// three attempts each the pool would be dialled 3,000 times; the budget leaves
// the burst and a tenth of the requests as second attempts.
func TestRetriesAreAPartOfRequests(t *testing.T) {
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
