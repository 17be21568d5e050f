package gate

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

// breakingUpstream returns an upstream that breaks off its responses to /once/bad. If crashes is
// set, it also stops listening, as if its process had ended.
func breakingUpstream(t *testing.T, crashes bool) *upstream {
	t.Helper()
	var u *upstream
	u = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if r.URL.Path != "/once/bad" {
			return respondText("ok")(0, r, w)
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Length: 100\r\n\r\nhalf"))
		if crashes {
			_ = u.Close()
		}
		closeConn(w)
		return false
	})
	return u
}

// Guards against a request that keeps crashing upstreams, and against a ban of a request that met a
// broken connection to a live upstream. A request is banned after crashes of three upstreams, so
// only three of five sends reach an upstream. Broken connections lead to no ban, so all five do.
func TestCrashOnlyIfProcessEnded(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes bool
		sent    int
		status  int
	}{
		{"crashes", true, 3, http.StatusServiceUnavailable},
		{"breaks", false, 5, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ups := []*upstream{breakingUpstream(t, tc.crashes), breakingUpstream(t, tc.crashes), breakingUpstream(t, tc.crashes), breakingUpstream(t, tc.crashes), breakingUpstream(t, tc.crashes)}
			s := newTestGate(t, ups...)
			var r reply
			for n := range 5 {
				r = s.do("POST", "/once/bad")
				for end := time.Now().Add(time.Second); tc.crashes && n < 3 && s.crashCount() <= n && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			}
			must.Eq(t, tc.status, r.status)
			must.Eq(t, "", r.header.Get("Retry-After"))
			sent := 0
			for _, u := range ups {
				sent += u.count()
			}
			must.Eq(t, tc.sent, sent)
			must.Eq(t, http.StatusOK, s.do("POST", "/once/other").status)
		})
	}
}

// Guards against a request that repeatedly crashes one upstream that restarts under the same ID.
func TestCrashesOfRestartedUpstream(t *testing.T) {
	s := newTestGate(t)
	sent := 0
	for n := range 5 {
		u := breakingUpstream(t, true)
		s.mu.Lock()
		s.view.Upstreams["p"] = []*wire.Upstream{{Id: "up", Address: u.Addr().String(), Slots: 1, Born: int64(n + 1)}}
		s.mu.Unlock()
		s.do("POST", "/once/bad")
		for end := time.Now().Add(time.Second); n < 3 && s.crashCount() <= n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		sent += u.count()
	}
	must.Eq(t, 3, sent)
}

// crashCount returns the number of recorded crashes.
func (s *testGate) crashCount() int {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	return len(s.suspects.queue.crashes)
}

// trialsLeft is a trier that allows this many trials.
type trialsLeft int

func (p *trialsLeft) Try(context.Context, digest.Digest) error {
	if *p--; *p < 0 {
		return errors.New("not now")
	}
	return nil
}

// Guards against a request that stays banned although an upstream completed it, and against more
// trials than the scheduler allows.
func TestBannedByTheScheduler(t *testing.T) {
	u := newUpstream(t, respondText("ok"))
	s := newTestGate(t, u)
	one := trialsLeft(1)
	s.Trier = &one
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	list := &wire.Bans{Revision: 1, Banned: []*wire.Ban{{Digest: d[:], NextUs: -1}}, Watched: []*wire.Watched{{Digest: d[:]}}}
	s.SetBans(list, true)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/y").status)
	must.Eq(t, 1, u.count())

	list.Banned[0].NextUs = 0
	s.SetBans(list, false)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	must.Eq(t, [][]byte{d[:]}, s.TakeCrashReports().GetCleared())

	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
}

// Guards against an entry that keeps refusing a request that it banned itself, if the scheduler
// lifted the ban before the entry heard of it.
func TestLocalBanIsLifted(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	for _, up := range []string{"a", "b", "c"} {
		s.suspects.recordCrash(time.Now(), &wire.Crash{Digest: d[:], Upstream: up})
	}
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	s.SetBans(&wire.Bans{Revision: 1}, true)
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
}

// Guards against a ban of a popular request that was answered between the crashes by an entry that
// saw none of them.
func TestAnswerAfterFirstCrashClears(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	for _, tc := range []struct {
		age     time.Duration
		cleared int
	}{{0, 0}, {time.Minute, 1}} {
		s.SetBans(&wire.Bans{Watched: []*wire.Watched{{Digest: d[:], AgeUs: tc.age.Microseconds()}}}, true)
		must.Eq(t, tc.cleared, len(s.TakeCrashReports().GetCleared()))
	}
}

// Guards against an entry without a path that bans requests by itself, and against crashes that it does not
// report to the scheduler, which can tell: to the one it knows, and to a new one.
func TestUnsureCrashIsReported(t *testing.T) {
	s := newTestGate(t, breakingUpstream(t, true))
	s.Prober = &testProber{noPath: true}
	s.do("POST", "/once/bad")
	for end := time.Now().Add(time.Second); s.crashCount() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, list := range [][]*wire.Crash{s.TakeCrashReports().GetCrashes(), s.KnownCrashes().GetCrashes()} {
		must.Len(t, 1, list)
		must.True(t, list[0].GetUnsure())
		must.Eq(t, "up-0", list[0].GetId())
	}
	d, _ := digest.From(s.KnownCrashes().GetCrashes()[0].GetDigest())
	must.False(t, s.suspects.crashes.Knows(d))
	s.markAnswered(time.Now(), d)
	must.SliceEmpty(t, s.KnownCrashes().GetCrashes())
	must.Eq(t, [][]byte{d[:]}, s.TakeCrashReports().GetCleared())
}
