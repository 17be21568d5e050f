package front_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/io/resume"
	"azurelane/io/rig/fault"
)

// The upstream runs the request and then answers wrongly. The caller gets a
// whole answer, or is told that the outcome is unknown; a stream that has begun
// breaks off. The next caller on the same connections gets its own answer, and
// the slot is free. With a key, a second submission gets the same end and runs
// nothing.
func TestWrongAnswers(t *testing.T) {
	for _, tc := range []struct {
		fault  string
		stream bool
		code   string // Of the refusal; empty for a whole answer.
		broken bool   // The stream had begun.
	}{
		{fault.Lost, false, refuse.UpstreamLost, false},
		{fault.Lost, true, refuse.UpstreamLost, false},
		{fault.Cut, false, refuse.UpstreamLost, false},
		{fault.Cut, true, refuse.UpstreamLost, true},
		{fault.Short, true, refuse.UpstreamLost, true},
		{fault.NoLength, false, refuse.UpstreamLost, false},
		{fault.Foreign, false, refuse.AnswerForeign, false},
		{fault.Foreign, true, refuse.AnswerForeign, false},
		{fault.Double, false, "", false},
		{fault.Mute, true, refuse.UpstreamMute, false},
		{fault.Mute, false, refuse.RunLimit, false},
		{fault.Stall, true, refuse.UpstreamMute, true},
		{fault.Stall, false, refuse.UpstreamMute, false},
	} {
		for _, key := range []string{"", "k"} {
			t.Run(fmt.Sprintf("%s/stream=%v/key=%s", tc.fault, tc.stream, key), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1)
				e := s.entries[0]
				must.Eq(t, "whole", e.ask(ask{}).outcome, must.Sprint("now the connection is kept"))
				switch tc.code {
				case refuse.RunLimit:
					s.limit(pool.Pool{MaxRun: time.Second})
				case refuse.UpstreamMute:
					s.limit(pool.Pool{Silence: 300 * time.Millisecond})
				}
				a := ask{fault: tc.fault, stream: tc.stream, key: key}
				for range 2 {
					got := e.ask(a)
					switch {
					case tc.code == "":
						must.Eq(t, "whole", got.outcome)
						must.StrContains(t, got.body, "t0 t1 t2")
					case got.err != nil: // A later joiner gets the refusal at once.
						must.True(t, tc.broken)
						must.Eq(t, "", got.outcome)
						must.StrContains(t, got.body, "event: error")
						must.StrContains(t, got.body, tc.code)
					default:
						must.Eq(t, tc.code, got.code)
						must.Eq(t, "unknown", got.outcome)
					}
					if key == "" {
						break
					}
				}
				must.SliceLen(t, 2, s.engine.Journal(), must.Sprint("one run besides the first request's"))
				s.limit(pool.Pool{})
				must.StrContains(t, e.ask(ask{}).body, "t0 t1 t2")
				s.free()
			})
		}
	}
}

// The connection of a stream breaks in its middle, ends too soon or goes
// silent. The engine still has the run, so the rest comes on a new connection,
// and the caller sees one whole stream of one run.
func TestStreamResumes(t *testing.T) {
	for _, kind := range []string{fault.Cut, fault.Short, fault.Stall} {
		for _, key := range []string{"", "k"} {
			t.Run(kind+"/key="+key, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1)
				if kind == fault.Stall {
					s.limit(pool.Pool{Silence: 2 * time.Second}) // The head of the answer must come within it.
				}
				s.up.Config.Handler = &fault.Fault{Handler: &resume.Resume{Handler: s.engine, Grace: time.Minute}}
				s.granter.canResume = true
				got := s.entries[0].ask(ask{fault: kind, stream: true, key: key})
				must.NoError(t, got.err)
				must.Eq(t, "whole", got.outcome)
				s.limit(pool.Pool{})
				want := s.entries[0].ask(ask{stream: true})
				must.Eq(t, plain(want.body), plain(got.body))
				must.SliceLen(t, 2, s.engine.Journal())
				s.free()
			})
		}
	}
}

// An upstream says that it can resume and can't. It must not run the request a
// second time, and the stream breaks visibly.
func TestResumeThatFailsRunsNothing(t *testing.T) {
	s := newSite(t, 1)
	s.granter.canResume = true
	got := s.entries[0].ask(ask{fault: fault.Cut, stream: true})
	must.Error(t, got.err)
	must.StrContains(t, got.body, "event: error")
	must.Eq(t, 3, s.engine.Tally().Generated, must.Sprint("the tokens of one run"))
	s.free()
}
