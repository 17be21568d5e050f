package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/io/flight"
	"azurelane/io/stats"
)

// Guards against a caller whose deadline passes in the moment in which the run of its key
// ends, and who is told that it still runs.
func TestPartFromAnEndedRun(t *testing.T) {
	for _, tc := range []struct {
		name   string
		ends   func(run *flight.Flight)
		status int
		body   string
	}{
		{"not run", func(run *flight.Flight) {
			run.End("not-run", refuse.New(refuse.Deadline, "", time.Second))
		}, refuse.New(refuse.Deadline, "", 0).Status(), ""},
		{"whole", func(run *flight.Flight) {
			must.NoError(t, run.Head(&answer.Answer{Status: http.StatusOK, Header: http.Header{}}))
			_, err := run.Write([]byte("answer"))
			must.NoError(t, err)
			run.End("whole", nil)
		}, http.StatusOK, "answer"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run := &flight.Flight{RunOn: true, Cancel: func(error) {}}
			must.True(t, run.Join())
			must.True(t, run.Sending())
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(errDeadline)
			_, err := run.Next(ctx, 0)
			must.ErrorIs(t, err, errDeadline)
			tc.ends(run)
			w := httptest.NewRecorder()
			q := &request{reply: reply{w: w, stats: &stats.Stats{}, takeTime: time.Second}}
			q.part(ctx, run, 0)
			must.Eq(t, tc.status, w.Code)
			must.StrContains(t, w.Body.String(), tc.body)
		})
	}
}
