package refuse_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
)

// Guards against refusals without a retry time, whose callers retry at once and add to the overload,
// and against a retry time where every retry would be refused.
func TestRetryAfter(t *testing.T) {
	for _, tc := range []struct {
		code   string
		after  time.Duration
		want   time.Duration
		status int
	}{
		{refuse.Overloaded, 0, refuse.DefaultRetry, 503},
		{refuse.Overloaded, 3 * time.Second, 3 * time.Second, 503},
		{refuse.AccountLimit, 0, refuse.DefaultRetry, 429},
		{refuse.ShuttingDown, 0, refuse.DefaultRetry, 503},
		{refuse.StillRunning, 0, refuse.DefaultRetry, 504},
		{refuse.TooLarge, time.Second, 0, 413},
		{refuse.KeyMismatch, time.Second, 0, 422},
		{refuse.UpstreamLost, time.Second, 0, 502},
		{"a-schedulers-own", 0, refuse.DefaultRetry, 503},
	} {
		e := refuse.New(tc.code, "", tc.after)
		must.Eq(t, tc.want, e.RetryAfter, must.Sprint(tc.code))
		must.Eq(t, tc.status, e.Status(), must.Sprint(tc.code))
	}
}
