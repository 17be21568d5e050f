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

// Guards against an answer of another entry that is taken for whole without a status that a caller can get.
func TestAnswerWithoutStatusIsNone(t *testing.T) {
	for _, tc := range []struct {
		status int32
		whole  bool
	}{
		{200, true}, {404, true}, {599, true}, {0, false}, {-1, false}, {20, false}, {101, false}, {600, false},
	} {
		a := answer.FromWire(&wire.JoinReply{Outcome: "whole", Status: tc.status, Body: []byte("text")})
		must.Eq(t, tc.whole, a.Refusal == nil, must.Sprint(tc.status))
		if tc.whole {
			must.Eq(t, int(tc.status), a.Status)
			continue
		}
		must.True(t, a.Refusal.MayHaveRun())
		must.Eq(t, "unknown", a.Outcome)
	}
}
