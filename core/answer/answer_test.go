package answer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// An entry of a newer version ends a run with a code that this one doesn't
// know, and says that it may have run. A caller that joined the run here must
// not be told that nothing ran: it would send the request again under a new key.
func TestOutcomeOfTheHolderStands(t *testing.T) {
	for _, tc := range []struct {
		name, outcome, code, want string
		mayHaveRun                bool
	}{
		{"unknown code that may have run", "unknown", "engine-on-fire", refuse.UpstreamLost, true},
		{"unknown code that did not run", "not-run", "quota-of-tomorrow", "quota-of-tomorrow", false},
		{"known code that may have run", "unknown", refuse.UpstreamMute, refuse.UpstreamMute, true},
	} {
		a := answer.FromWire(&wire.JoinReply{Outcome: tc.outcome, Code: tc.code, Text: "text", RetryAfterUs: time.Second.Microseconds()})
		must.Eq(t, tc.want, a.Refusal.Code, must.Sprint(tc.name))
		must.Eq(t, tc.mayHaveRun, a.Refusal.MayHaveRun(), must.Sprint(tc.name))
		must.StrContains(t, a.Refusal.Text, "text")
	}
}
