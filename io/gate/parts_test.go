package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/blame"
	"azurelane/core/digest"
	"azurelane/core/meta"
	"azurelane/core/wire"
)

// crashingUpstream ends, as if its process had, at a request for /once/bad or /stream/bad, after this many
// events of a stream.
func crashingUpstream(t *testing.T, events int) *upstream {
	t.Helper()
	var u *upstream
	u = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if !strings.HasSuffix(r.URL.Path, "/bad") {
			writeEvents(r, w, 1, 3, true)
			return true
		}
		if events > 0 {
			writeEvents(r, w, 1, events, false)
		}
		_ = u.Close()
		closeConn(w)
		return false
	})
	return u
}

func partBanOf(parts ...string) *wire.Bans {
	list := &wire.Bans{Revision: 1}
	n := &wire.Ban{NextUs: -1, Part: &wire.PartBan{Account: "radio", Name: parts[0]}}
	for i, name := range parts {
		key := blame.Key("radio", name)
		if i == 0 {
			n.Digest = key[:]
			continue
		}
		n.Part.With = append(n.Part.With, key[:])
	}
	list.Banned = []*wire.Ban{n}
	list.WatchedParts = []*wire.Watched{{Digest: n.GetDigest(), AgeUs: time.Second.Microseconds()}}
	return list
}

// Guards against requests with a banned part that are sent, and against sound requests that are refused
// for a part that is their own, another account's or only came along with the banned one.
func TestBannedPart(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, true)
		return true
	})
	s := newTestGate(t, u)
	s.SetBans(partBanOf("bad", "along"), true)
	for _, tc := range []struct {
		name    string
		parts   string
		key     string
		refused bool
	}{
		{"both", "bad,along,own", key, true},
		{"in another order", "first,along,bad,own", key, true},
		{"only the banned one", "bad,own", key, false},
		{"only the other one", "along,own", key, false},
		{"the last part is the request's own", "along,bad", key, false},
		{"another account", "bad,along,own", otherKey, false},
		{"none", "", key, false},
	} {
		before := u.count()
		r := s.do("POST", "/stream/x", "X-Parts", tc.parts, "Authorization", "Bearer "+tc.key)
		must.Eq(t, tc.refused, r.status == http.StatusServiceUnavailable, must.Sprint(tc.name))
		must.Eq(t, tc.refused, u.count() == before, must.Sprint(tc.name))
		if tc.refused {
			must.Eq(t, "", r.header.Get("Retry-After"))
			must.StrContains(t, r.body, "part bad of its prompt")
		}
	}
	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.Eq(t, http.StatusOK, s.do("POST", "/stream/x", "X-Parts", "bad,along,own").status)
}

// Guards against trials of a banned part that the scheduler has not allowed, and against a part that
// stays banned although an upstream answered it.
func TestTrialOfBannedPart(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, true)
		return true
	})
	s := newTestGate(t, u)
	one := trialsLeft(1)
	s.Trier = &one
	list := partBanOf("bad")
	list.Banned[0].NextUs = 0
	s.SetBans(list, true)
	must.Eq(t, http.StatusOK, s.do("POST", "/stream/x", "X-Parts", "bad,own").status)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/stream/x", "X-Parts", "bad,own").status)
	c := s.TakeCrashReports()
	must.Len(t, 1, c.GetAnswered())
	must.Eq(t, list.GetBanned()[0].GetDigest(), c.GetAnswered()[0].GetKey())
	s.RequeueCrashReports()
	must.Len(t, 1, s.TakeCrashReports().GetAnswered(), must.Sprint("it could not be delivered"))
	must.SliceEmpty(t, s.TakeCrashReports().GetAnswered())
}

// Guards against requests with a banned part that wait for an upstream until their time is over.
func TestWaitEndsWhenPartIsBanned(t *testing.T) {
	s := newTestGate(t)
	waiting := make(chan struct{}, 1)
	s.withScheduler(nil)
	s.granter = &waitingGranter{waiting: waiting}
	s.SetBans(&wire.Bans{Revision: 1, WatchedParts: partBanOf("bad").GetWatchedParts()}, true)
	done := make(chan reply, 1)
	start := time.Now()
	go func() { done <- s.do("POST", "/stream/x", "X-Parts", "bad,own") }()
	<-waiting
	s.SetBans(partBanOf("bad"), false)
	r := <-done
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.StrContains(t, r.body, "crashes-upstreams")
	must.Less(t, time.Second, time.Since(start))
}

// Guards against a trial that is counted and not sent, because its request was waiting when the ban
// became known.
func TestWaitEndsWithTrial(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, true)
		return true
	})
	for _, tc := range []struct {
		name   string
		trials trialsLeft
		status int
	}{{"allowed", 1, http.StatusOK}, {"not allowed", 0, http.StatusServiceUnavailable}} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestGate(t, u)
			waiting := make(chan struct{}, 1)
			s.granter = &waitingGranter{waiting: waiting, next: s.withScheduler(func(*wire.Ticket) (*wire.Grant, error) {
				return &wire.Grant{Slot: 1, Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
			})}
			s.Trier = &tc.trials
			list := partBanOf("bad")
			s.SetBans(&wire.Bans{Revision: 1, WatchedParts: list.GetWatchedParts()}, true)
			done := make(chan reply, 1)
			go func() { done <- s.do("POST", "/stream/x", "X-Parts", "bad,own") }()
			<-waiting
			list.Banned[0].NextUs = 0
			s.SetBans(list, false)
			must.Eq(t, tc.status, (<-done).status)
		})
	}
}

// waitingGranter lets its first ticket wait until the request gives up, and passes the others on.
type waitingGranter struct {
	waiting chan struct{}
	once    sync.Once
	next    granter // Nil if each ticket waits.
}

func (g *waitingGranter) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	first := g.next == nil
	g.once.Do(func() { first = true })
	if !first {
		return g.next.Grant(ctx, t)
	}
	g.waiting <- struct{}{}
	<-ctx.Done()
	return nil, fmt.Errorf("waitingGranter: %w", ctx.Err())
}

func (*waitingGranter) Release(*wire.Release) {}

// Guards against parts that are suspected although the upstream had begun to answer them, and against
// crashes that are reported without the parts that were there.
func TestSuspectParts(t *testing.T) {
	for _, tc := range []struct {
		events int
		want   []string
	}{{0, []string{"first", "bad"}}, {1, []string{"first", "bad"}}, {2, nil}} {
		s := newTestGate(t, crashingUpstream(t, tc.events))
		s.do("POST", "/stream/bad", "X-Parts", "first,bad,own")
		var c *wire.Crashes
		for end := time.Now().Add(2 * time.Second); len(c.GetCrashes()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			c = s.TakeCrashReports()
		}
		must.Len(t, 1, c.GetCrashes())
		crash := c.GetCrashes()[0]
		must.Eq(t, "radio", crash.GetAccount())
		var names []string
		for _, p := range crash.GetParts() {
			names = append(names, p.GetName())
			key := blame.Key("radio", p.GetName())
			must.Eq(t, key[:], p.GetKey())
		}
		must.Eq(t, tc.want, names, must.Sprint(tc.events, " events"))
	}
}

// Guards against an entry without a scheduler that goes on to send a part under which upstreams crash.
func TestPartIsBannedWithoutScheduler(t *testing.T) {
	var ups []*upstream
	for range 5 {
		ups = append(ups, crashingUpstream(t, 0))
	}
	s := newTestGate(t, ups...)
	for n := range 3 {
		s.do("POST", fmt.Sprint("/stream/", n, "/bad"), "X-Parts", fmt.Sprint("first,bad,own-", n))
		for end := time.Now().Add(time.Second); s.crashCount() <= n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(blame.SettleTime)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/stream/x", "X-Parts", "first,bad,own").status)
	must.Eq(t, http.StatusOK, s.do("POST", "/stream/x", "X-Parts", "first,other,own").status)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/stream/x", "X-Parts", "another,bad,own").status)
	known := s.KnownCrashes()
	must.Len(t, 1, known.GetBanned())
	must.Eq(t, "bad", known.GetBanned()[0].GetPart().GetName())

	s.SetBans(&wire.Bans{Revision: 1}, true)
	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.SliceEmpty(t, s.KnownCrashes().GetBanned(), must.Sprint("a scheduler knows better"))
}

// BenchmarkTenParts measures a request with a ten-part header while no upstream has crashed.
func BenchmarkTenParts(b *testing.B) {
	q := &request{gate: &Gate{}, account: "radio"}
	for i := range 10 {
		q.meta.Parts = append(q.meta.Parts, meta.Part{Name: fmt.Sprint("part-", i)})
	}
	for b.Loop() {
		if _, banned := q.bannedPart(false); banned {
			b.Fatal("banned")
		}
		q.markBegun(time.Time{})
	}
}

// Guards against a report that can't be delivered because a caller's part is no valid text.
func TestPartNamesAreText(t *testing.T) {
	q := &request{gate: &Gate{}, account: "radio"}
	for _, name := range []string{"ab\xff\xfe", strings.Repeat("ü", maxPartName), "own"} {
		q.meta.Parts = append(q.meta.Parts, meta.Part{Name: name})
	}
	c := q.crash(digest.Digest{}, "up", result{})
	must.Len(t, 2, c.GetParts())
	_, err := proto.Marshal(c)
	must.NoError(t, err)
	must.Eq(t, "ab?", c.GetParts()[0].GetName())
	must.NotEq(t, c.GetParts()[0].GetKey(), c.GetParts()[1].GetKey())
}
