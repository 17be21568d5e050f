package front_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// The same key and body come many times, at two entries, while the first run
// goes on, and once more after its end. All get the same whole answer of one
// run, and only one slot is out at a time for each entry.
func TestSecondSubmissionsJoin(t *testing.T) {
	for _, stream := range []bool{false, true} {
		s := newSite(t, 2)
		s.engine.Step = 20 * time.Millisecond
		a := ask{key: "k", stream: stream}
		got := make([]reply, 12)
		var wg sync.WaitGroup
		for i := range got {
			wg.Go(func() { got[i] = s.entries[i%2].ask(a) })
		}
		wg.Wait()
		got = append(got, s.entries[0].ask(a), s.entries[1].ask(a))
		for _, r := range got {
			must.NoError(t, r.err)
			must.Eq(t, "whole", r.outcome)
			must.Eq(t, got[0].body, r.body)
		}
		must.Eq(t, 1, s.runs("k"))
		s.free()
	}
}

// A failed answer is the upstream's own: a second submission gets the same one
// and doesn't run.
func TestFailedAnswerIsKept(t *testing.T) {
	s := newSite(t, 2)
	for range 2 {
		for _, e := range s.entries {
			got := e.ask(ask{key: "k", body: `{"model":"m","max_tokens":3,"messages":3}`})
			must.Eq(t, "failed", got.outcome)
			must.Eq(t, 400, got.status)
		}
	}
	must.Eq(t, 1, s.runs("k"))
}

// The key is used with another body, path or method: refused clearly, at the
// entry that holds it and at another one. Two accounts may use equal keys and
// never meet.
func TestKeyMismatch(t *testing.T) {
	s := newSite(t, 2)
	first := ask{key: "k", path: "/svc/notes/x", body: "text"}
	must.Eq(t, "whole", s.entries[0].ask(first).outcome)
	for _, e := range s.entries {
		for _, a := range []ask{
			{}, {path: "/svc/notes/x", body: "Text"}, {path: "/svc/notes/y", body: "text"}, {path: "/svc/notes/x?y", body: "text"},
		} {
			a.key = "k"
			got := e.ask(a)
			got.refused(t, refuse.KeyMismatch, "not-run", "")
			must.Eq(t, 422, got.status)
		}
	}
	must.Eq(t, 1, s.runs("k"))
	for _, e := range s.entries {
		must.Eq(t, "whole", e.ask(ask{key: "k", account: "two"}).outcome)
	}
	must.Eq(t, 2, s.runs("k"))
	s.free()
}

// The caller's connection breaks while its request waits for a slot, and it
// sends again: the first one is withdrawn, the second runs, once.
func TestGoneBeforeDispatch(t *testing.T) {
	s := newSite(t, 1)
	waits, withdrawn := make(chan struct{}, 1), make(chan struct{}, 1)
	s.granter.before = func(ctx context.Context, _ *wire.Ticket) error {
		waits <- struct{}{}
		<-ctx.Done()
		withdrawn <- struct{}{}
		return ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.entries[0].askCtx(ctx, ask{key: "k"}) }()
	<-waits
	cancel()
	<-done
	<-withdrawn // The server has seen it; else the second would join the first and wait with it.
	s.granter.mu.Lock()
	s.granter.before = nil
	s.granter.mu.Unlock()
	must.Eq(t, "whole", s.entries[0].ask(ask{key: "k"}).outcome)
	must.Eq(t, 1, s.runs("k"))
	s.free()
}

// An entry stops while a keyed run has lost its caller. Stop waits until the
// run's end is on record, or a second submission elsewhere would find a holder
// that is gone.
func TestStopWaitsForRecord(t *testing.T) {
	s := newSite(t, 2)
	var held sync.WaitGroup
	held.Add(1)
	release := make(chan struct{})
	s.control.setHook(func(c *wire.Command) loss {
		if c.GetFinish() != nil {
			held.Done()
			<-release
		}
		return nothingLost
	})
	must.Eq(t, "whole", s.entries[0].ask(ask{key: "k"}).outcome, must.Sprint("the caller doesn't wait for the record"))
	held.Wait()
	s.control.setHook(nil)
	stopped := make(chan struct{})
	go func() { s.entries[0].Stop(context.Background()); close(stopped) }()
	select {
	case <-stopped:
		t.Fatal("stopped before the outcome was on record")
	default:
	}
	close(release)
	<-stopped
	s.mesh.set(0, nil)
	s.entries[1].ask(ask{key: "k"}).refused(t, refuse.AnswerGone, "unknown", "")
	must.Eq(t, 1, s.runs("k"))
}

// The caller of a keyed request loses its connection and sends again, where the
// submission is refused: the pool is full, the entry stops, the account has too
// much open. "Not-run" would make it do the work by other means, although the
// first submission runs. A refusal that waits for nothing joins the run; the
// others, and one that can't look the key up, say that the outcome is unknown.
func TestRefusedAgain(t *testing.T) {
	full := func(context.Context, *wire.Ticket) error { return refuse.New(refuse.Overloaded, "", 0) }
	away := func(c *wire.Command) loss {
		if c == nil {
			return commandLost
		}
		return nothingLost
	}
	for _, tc := range []struct {
		name    string
		key     string
		prepare func(s *site)
		outcome string
		code    string
	}{
		{"full", "k", func(s *site) { s.granter.before = full }, "whole", ""},
		{"full, holder dead", "k", func(s *site) { s.granter.before = full; s.mesh.set(0, nil) }, "unknown", refuse.AnswerGone},
		{"full, control away", "k", func(s *site) { s.granter.before = full; s.control.setHook(away) }, "unknown", refuse.Earlier},
		{"stopping", "k", func(s *site) { s.entries[1].Stop(t.Context()) }, "unknown", refuse.Earlier},
		{"full, never submitted", "other", func(s *site) { s.granter.before = full }, "not-run", refuse.Overloaded},
		{"stopping, never submitted", "other", func(s *site) { s.entries[1].Stop(t.Context()) }, "not-run", refuse.ShuttingDown},
	} {
		s := newSite(t, 2)
		must.Eq(t, "whole", s.entries[0].ask(ask{key: "k"}).outcome)
		s.eventually("on record", func() bool { return s.control.outcome("k") == "whole" })
		tc.prepare(s)
		got := s.entries[1].ask(ask{key: tc.key})
		must.Eq(t, tc.outcome, got.outcome, must.Sprint(tc.name))
		must.Eq(t, tc.code, got.code, must.Sprint(tc.name))
		must.Eq(t, tc.code != "" && tc.code != refuse.AnswerGone, got.retry != "", must.Sprint(tc.name))
		must.SliceLen(t, 1, s.engine.Journal())
	}
}
