package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/tier"
	"azurelane/core/wire"
	"azurelane/io/front"
)

// What can't be served is refused at once with a stable code, before a slot is
// asked for; nothing has run. What may be sent again says when.
func TestRefusedAtOnce(t *testing.T) {
	s := newSite(t, 1)
	s.cfg.Tiers = map[string]tier.Tier{"urgent": {}, "bulk": {Level: 2}}
	s.account(func(a *acct.Account) { a.Tiers, a.MaxBodyBytes = []string{"bulk"}, 200 })
	large := `{"model":"m","pad":"` + strings.Repeat("x", 300) + `"}`
	for _, tc := range []struct {
		name   string
		ask    ask
		status int
		code   string
	}{
		{"no account", ask{account: "none"}, 401, refuse.BadKey},
		{"no bearer", ask{header: http.Header{"Authorization": {"Basic x"}}}, 401, refuse.BadKey},
		{"bad JSON", ask{body: "{"}, 400, refuse.BadRequest},
		{"not an object", ask{body: "[1]"}, 400, refuse.BadRequest},
		{"no model", ask{body: `{"model":"none"}`}, 404, refuse.NotFound},
		{"no service", ask{path: "/svc/none/x"}, 404, refuse.NotFound},
		{"no path", ask{path: "/v2"}, 404, refuse.NotFound},
		{"no tier", ask{header: http.Header{front.HeaderTier: {"none"}}}, 400, refuse.BadRequest},
		{"tier of others", ask{header: http.Header{front.HeaderTier: {"urgent"}}}, 403, refuse.Forbidden},
		{"bad deadline", ask{deadline: "soon"}, 400, refuse.BadRequest},
		{"deadline passed", ask{deadline: "-1s"}, 400, refuse.BadRequest},
		{"bad repeatable", ask{header: http.Header{front.HeaderRepeatable: {"maybe"}}}, 400, refuse.BadRequest},
		{"key too long", ask{key: strings.Repeat("k", 256)}, 400, refuse.BadRequest},
		{"body too large", ask{body: large}, 413, refuse.TooLarge},
	} {
		got := s.entries[0].ask(tc.ask)
		must.Eq(t, tc.status, got.status, must.Sprint(tc.name))
		got.refused(t, tc.code, "not-run", "", must.Sprint(tc.name))
	}
	must.Eq(t, 0, s.granter.asked)

	s.granter.before = func(context.Context, *wire.Ticket) error { return refuse.New(refuse.Overloaded, "", 3*time.Second) }
	for _, key := range []string{"", "k"} {
		got := s.entries[0].ask(ask{key: key})
		must.Eq(t, reply{status: 503, outcome: "not-run", code: refuse.Overloaded, retry: "3", body: got.body, header: got.header}, got)
	}
	s.entries[0].Stop(t.Context())
	s.entries[0].ask(ask{}).refused(t, refuse.ShuttingDown, "not-run", "1")
	s.cfg = nil
	must.Eq(t, refuse.NotReady, s.start(1).ask(ask{}).code)
	must.SliceEmpty(t, s.engine.Journal())
}

// One account opens bodies that it never finishes. What they will take counts
// from their start, so its next request is refused; the other account is
// served as ever, and when the half-open callers are gone, the first one too.
func TestHalfOpenCallersHoldOnlyTheirOwn(t *testing.T) {
	s := newSite(t, 1)
	s.account(func(a *acct.Account) { a.MaxOpenBodyBytes = 1000 })
	e := s.entries[0]
	var conns []net.Conn
	for range 2 {
		c := e.dial(t, "Expect: 100-continue\r\n", 500, "")
		line, err := bufio.NewReader(c).ReadString('\n') // It comes when the entry begins to read the body.
		must.NoError(t, err)
		must.StrContains(t, line, "100")
		_, err = c.Write([]byte("{"))
		must.NoError(t, err)
		conns = append(conns, c)
	}
	must.Eq(t, refuse.AccountLimit, e.ask(ask{}).code)
	must.Eq(t, "whole", e.ask(ask{account: "two"}).outcome)
	for _, c := range conns {
		_ = c.Close()
	}
	s.eventually("account is free", func() bool { return e.ask(ask{}).outcome == "whole" })
}

// A caller stops in the middle of its body, and one takes nothing of its
// stream; both keep their connections open. The first is refused, the second
// broken off when its time is over, and the slot comes free for others.
func TestSlowCallers(t *testing.T) {
	s := newSite(t, 1)
	e := s.entries[0]
	e.BodyTime = 200 * time.Millisecond
	c := e.dial(t, "", 500, "{")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestTimeout, resp.StatusCode)
	must.Eq(t, "not-run", resp.Header.Get(front.HeaderOutcome))
	must.Eq(t, "1", resp.Header.Get("Retry-After"))
	_ = resp.Body.Close()
	_ = c.Close()

	e.BodyTime, e.TakeTime = 0, 200*time.Millisecond
	const long = `{"model":"m","stream":true,"max_tokens":10000000,"messages":[]}`
	c = e.dial(t, "", len(long), long)
	defer func() { _ = c.Close() }()
	s.eventually("the engine is told to stop", func() bool { return s.engine.Tally().Cancelled == 1 })
	s.free()
}

// An account that holds all its connections waits for slots. Its next request
// is refused at once, another account's is not.
func TestConnectionsOfOneAccount(t *testing.T) {
	s := newSite(t, 1)
	s.account(func(a *acct.Account) { a.MaxConnections = 2 })
	gate := make(chan struct{})
	s.granter.before = func(_ context.Context, t *wire.Ticket) error {
		if t.GetAccount() == "one" {
			<-gate
		}
		return nil
	}
	e := s.entries[0]
	got := make(chan reply, 2)
	for range 2 {
		go func() { got <- e.ask(ask{}) }()
	}
	s.asked(2)
	must.Eq(t, refuse.AccountLimit, e.ask(ask{}).code)
	must.Eq(t, "whole", e.ask(ask{account: "two"}).outcome)
	close(gate)
	must.Eq(t, "whole", (<-got).outcome)
	must.Eq(t, "whole", (<-got).outcome)
}

// The first upstream can't be connected to: nothing has left, and the request
// goes to the next. When none can be, the attempts are bounded, and the caller
// may send again.
func TestConnectRefused(t *testing.T) {
	s := newSite(t, 1)
	live, dead := s.granter.ups[0], deadAddress(t)
	s.granter.ups = []string{dead, live}
	must.Eq(t, "whole", s.entries[0].ask(ask{key: "k"}).outcome)
	must.Eq(t, 1, s.runs("k"))
	s.granter.ups = []string{dead}
	s.granter.asked = 0
	for _, key := range []string{"", "k2"} {
		s.entries[0].ask(ask{key: key}).refused(t, refuse.Unreachable, "not-run", "1")
	}
	must.Eq(t, 6, s.granter.asked)
	for range 100 {
		s.entries[0].ask(ask{})
	}
	// Two second placements each would make 306; the budget leaves its burst and a tenth.
	must.Less(t, 150, s.granter.asked)
	s.free()
}

// A grant runs out before it is used, because the claim took too long. The
// owner may have given the slot away, so nothing is sent under it.
func TestExpiredGrantIsNotUsed(t *testing.T) {
	s := newSite(t, 1)
	s.granter.expires = -time.Second
	for _, key := range []string{"", "k"} {
		must.Eq(t, "not-run", s.entries[0].ask(ask{key: key}).outcome)
	}
	must.SliceEmpty(t, s.engine.Journal())
	s.granter.expires = time.Minute
	got := s.entries[0].ask(ask{key: "k"})
	must.Eq(t, "whole", got.outcome, must.Sprint("the key is free again ", got.body))
	s.free()
}

// Control is cut off and answers nothing. A keyed request must not hold its slot
// for longer than its grant lasts, and the next ones must take none, or the
// keyed requests of a cut-off data centre would starve all the others.
func TestClaimWithoutControlHoldsNoSlot(t *testing.T) {
	const lasts = 500 * time.Millisecond // A grant must not run out before it is used, also on a busy machine.
	for range 10 {
		s := newSite(t, 1)
		s.granter.expires = lasts
		s.control.setHook(func(c *wire.Command) loss {
			if c.GetClaim() != nil {
				return noAnswer
			}
			return nothingLost
		})
		start := time.Now()
		for i := range 3 {
			s.entries[0].ask(ask{key: fmt.Sprintf("k%d", i), deadline: "10s"}).refused(t, refuse.NoControl, "not-run", "1")
		}
		if time.Since(start) >= lasts+time.Second {
			continue // A busy machine: the entry may have tried control anew.
		}
		must.Eq(t, 1, s.granter.asked)
		s.free()
		must.Eq(t, "whole", s.entries[0].ask(ask{}).outcome)
		must.SliceLen(t, 1, s.engine.Journal())
		return
	}
	t.Fatal("never three refusals within the time that control counts as away")
}

// The deadline passes while the request waits, and while it runs. Waiting, it
// has not run, and the caller may come again. Running, it may have; with a key
// the run goes on, and a second submission gets its whole answer.
func TestDeadline(t *testing.T) {
	for _, key := range []string{"", "k"} {
		s := newSite(t, 1)
		s.granter.before = func(ctx context.Context, _ *wire.Ticket) error { <-ctx.Done(); return ctx.Err() }
		s.entries[0].ask(ask{key: key, deadline: "50ms"}).refused(t, refuse.Deadline, "not-run", "1")
		must.SliceEmpty(t, s.engine.Journal())

		s, got := begunBefore(t, key)
		must.Eq(t, "unknown", got.outcome)
		must.SliceLen(t, 1, s.engine.Journal())
		if key == "" {
			must.Eq(t, refuse.DeadlinePassed, got.code)
			s.eventually("cancelled", func() bool { return s.engine.Tally().Cancelled == 1 })
			continue
		}
		must.Eq(t, refuse.StillRunning, got.code)
		must.Eq(t, "whole", s.entries[0].ask(ask{key: key}).outcome)
		must.SliceLen(t, 1, s.engine.Journal())
	}
}

// begunBefore asks with a deadline that passes in the middle of the run. On a
// busy machine it may pass before the run begins; then the next one is longer.
func begunBefore(t *testing.T, key string) (*site, reply) {
	for d := 500 * time.Millisecond; d < 10*time.Second; d *= 2 {
		s := newSite(t, 1)
		s.engine.Step = d * 4 / 5
		got := s.entries[0].ask(ask{key: key, deadline: d.String()})
		if len(s.engine.Journal()) > 0 {
			return s, got
		}
		must.SliceContains(t, []string{refuse.Deadline, refuse.DeadlinePassed, refuse.StillRunning}, got.code)
	}
	t.Fatal("no run began before its deadline")
	return nil, reply{}
}

// A caller goes away while its request runs. Without a key no one can ask for
// the answer any more, so the engine's work is cancelled. With one the run goes
// on, unless the pool says otherwise, and is there when the caller is back.
func TestCallerGoesAway(t *testing.T) {
	no := false
	for _, tc := range []struct {
		key    string
		runOn  *bool
		cancel bool
	}{{"", nil, true}, {"k", &no, true}, {"k", nil, false}} {
		s := newSite(t, 1)
		s.cfg.Pools["engines"] = pool.Pool{Models: []string{"m"}, RunOn: tc.runOn}
		s.engine.Step = 100 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.entries[0].askCtx(ctx, ask{key: tc.key, stream: true}) }()
		s.eventually("it runs", func() bool { return s.engine.Tally().Generated > 0 })
		cancel()
		<-done
		s.eventually("end of the run", func() bool {
			st := s.engine.Tally()
			return st.Cancelled+st.Finished == 1
		})
		must.Eq(t, tc.cancel, s.engine.Tally().Cancelled == 1)
		if !tc.cancel {
			must.Eq(t, "whole", s.entries[0].ask(ask{key: tc.key, stream: true}).outcome)
			must.Eq(t, 1, s.runs(tc.key))
		}
		s.free()
	}
}

// The upstream makes the second part of a stream only when the caller has the
// first. Were parts held back anywhere on the way, neither would go on.
func TestStreamIsPassedOnAtOnce(t *testing.T) {
	s := newSite(t, 1)
	next := make(chan struct{})
	s.up.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		<-next
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	for _, key := range []string{"", "k"} {
		resp, err := http.DefaultClient.Do(ask{stream: true, key: key}.request(t.Context(), s.entries[0].URL))
		must.NoError(t, err)
		part := make([]byte, 9)
		_, err = io.ReadFull(resp.Body, part)
		must.NoError(t, err)
		must.Eq(t, "data: 1\n\n", string(part))
		next <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.Eq(t, "data: [DONE]\n\n", string(rest))
		must.Eq(t, "whole", resp.Trailer.Get(front.HeaderOutcome))
		_ = resp.Body.Close()
	}
	s.free()
}

// What belongs to the caller's connection or account stays here; what a service
// needs goes both ways, path and query as the caller wrote them.
func TestHeaders(t *testing.T) {
	s := newSite(t, 1)
	var seen *http.Request
	s.up.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r
		for name, v := range map[string]string{
			"Content-Type": "text/plain", "Etag": "\"1\"", "Location": "/x", "Set-Cookie": "a=b", "Azurelane-Outcome": "forged", "X-Own": "1",
		} {
			w.Header().Set(name, v)
		}
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "body")
	})
	got := s.entries[0].ask(ask{path: "/svc/notes/a%2Fb/../c?q=1&q=2", body: "x", key: "k", header: http.Header{
		"X-Own": {"1", "2"}, "Cookie": {"a=b"}, "X-Hop": {"1"}, "Connection": {"X-Hop"}, "X-Forwarded-For": {"1.2.3.4"},
		"Content-Type": {"text/x"}, "If-None-Match": {"\"1\""}, front.HeaderTier: {""},
	}})
	must.Eq(t, "/a%2Fb/../c?q=1&q=2", seen.RequestURI)
	must.Eq(t, []string{"1", "2"}, seen.Header["X-Own"])
	must.Eq(t, "text/x", seen.Header.Get("Content-Type"))
	must.Eq(t, "k", seen.Header.Get(front.HeaderKey))
	for _, name := range []string{"Authorization", "Cookie", "X-Hop", "X-Forwarded-For", front.HeaderTier} {
		must.Eq(t, "", seen.Header.Get(name), must.Sprint(name))
	}
	must.Eq(t, http.StatusTeapot, got.status)
	must.Eq(t, "failed", got.outcome)
	must.Eq(t, "body", got.body)
	must.Eq(t, "\"1\"", got.header.Get("Etag"))
	must.Eq(t, "/x", got.header.Get("Location"))
	must.Eq(t, "", got.header.Get("Set-Cookie"))
}

// An answer that is read whole before it is passed on may not fill the entry.
func TestAnswerOverLimit(t *testing.T) {
	s := newSite(t, 1)
	s.cfg.Pools["engines"] = pool.Pool{Models: []string{"m"}, MaxAnswer: 100}
	for _, key := range []string{"", "k"} {
		s.entries[0].ask(ask{key: key}).refused(t, refuse.AnswerLarge, "unknown", "")
	}
	s.free()
}

// Guards against requests that a stop cuts while they wait for a slot: with and
// without a key they get a refusal at the end.
func TestStopRefusesWaiting(t *testing.T) {
	for _, key := range []string{"", "k"} {
		t.Run("key "+key, func(t *testing.T) {
			s := newSite(t, 1)
			waits := make(chan struct{})
			s.granter.before = func(ctx context.Context, _ *wire.Ticket) error {
				close(waits)
				<-ctx.Done()
				return ctx.Err()
			}
			got := make(chan reply, 1)
			go func() { got <- s.entries[0].ask(ask{key: key}) }()
			<-waits
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			start := time.Now()
			s.entries[0].Stop(ctx)
			must.Less(t, time.Second, time.Since(start))
			r := <-got
			r.refused(t, refuse.ShuttingDown, "not-run", "1")
			must.SliceEmpty(t, s.engine.Journal())
		})
	}
}
