package story

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	entry = `{"time":"2026-01-01T10:00:00Z","msg":"watch: Configuration in force.","version":3}
{"time":"2026-01-01T10:00:01Z","msg":"watch: Scheduler lost: this entry places requests by itself.","why":"it does not answer"}
{"time":"2026-01-01T10:00:03Z","msg":"gate: Request refused.","request":"r1","code":"overloaded","status":503}
{"time":"2026-01-01T10:00:02Z","msg":"gate: Send ended.","request":"r1","upstream":"s","ending":"busy"}
{"time":"2026-01-01T10:00:04Z","msg":"watch: Configuration in force.","version":4}
{"time":"2026-01-01T10:00:05Z","msg":"gate: Request ends without a whole answer.","request":"r2","why":"stream broken","err":"EOF"}
panic: no line of the log
`
	other = `10.0 core-1 {"time":"2026-01-01T10:00:00Z","msg":"hub: Leadership gained.","scheduler":"x"}
`
)

// The story has the request's lines in the order of time, whatever the order in
// the files, and what the processes that it met believed before its end.
func TestStory(t *testing.T) {
	for _, tc := range []struct{ id, cause string }{
		{"r1", "no upstream could have begun in time: all places were taken"},
		{"r2", "stream broken: EOF"},
		{"r3", ""},
	} {
		s := Story{Request: tc.id}
		skipped, err := s.Read("entry-1", strings.NewReader(entry))
		must.NoError(t, err)
		must.Eq(t, 1, skipped)
		_, err = s.Read("core-1", strings.NewReader(other))
		must.NoError(t, err)
		must.Eq(t, tc.cause, s.Cause())
		var b strings.Builder
		must.NoError(t, s.Write(&b))
		text := b.String()
		must.StrNotContains(t, text, "Leadership gained", must.Sprint("it met no other process"))
		if tc.id != "r1" {
			continue
		}
		must.Eq(t, 2, s.Found())
		must.Less(t, strings.Index(text, "Request refused"), strings.Index(text, "Send ended"))
		must.StrContains(t, text, `"version":3`)
		must.StrNotContains(t, text, `"version":4`)
		must.StrContains(t, text, "Scheduler lost")
	}
}
