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

// breaking is an upstream that ends each answer in the middle; crashes says whether its
// process ends with it.
func breaking(t *testing.T, crashes bool) *upstream {
	t.Helper()
	var u *upstream
	u = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if r.URL.Path != "/once/bad" {
			return text("ok")(0, r, w)
		}
		_, _ = io.WriteString(w, head(r, http.StatusOK, "Content-Length: 100\r\n\r\nhalf"))
		if crashes {
			_ = u.Close()
		}
		closeConn(w)
		return false
	})
	return u
}

// Guards against a request that goes on to crash upstreams, and against a ban of what
// meets a broken connection to an upstream that lives.
func TestBreaksAreCrashesOnlyIfTheProcessEnded(t *testing.T) {
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
			ups := []*upstream{breaking(t, tc.crashes), breaking(t, tc.crashes), breaking(t, tc.crashes), breaking(t, tc.crashes), breaking(t, tc.crashes)}
			s := newSite(t, ups...)
			var r reply
			for n := range 5 {
				r = s.ask("POST", "/once/bad")
				for end := time.Now().Add(time.Second); tc.crashes && n < 3 && s.crashed() <= n && time.Now().Before(end); {
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
			must.Eq(t, http.StatusOK, s.ask("POST", "/once/other").status)
		})
	}
}

// Guards against a request that crashes one upstream again and again which comes back
// under its id.
func TestCrashesOfOneUpstreamThatComesBack(t *testing.T) {
	s := newSite(t)
	sent := 0
	for n := range 5 {
		u := breaking(t, true)
		s.mu.Lock()
		s.view.Upstreams["p"] = []*wire.Upstream{{Id: "up", Address: u.Addr().String(), Slots: 1, Born: int64(n + 1)}}
		s.mu.Unlock()
		s.ask("POST", "/once/bad")
		for end := time.Now().Add(time.Second); n < 3 && s.crashed() <= n && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		sent += u.count()
	}
	must.Eq(t, 3, sent)
}

// crashed is the number of crashes that were noted.
func (s *site) crashed() int {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	return len(s.suspects.unsent.GetCrashes())
}

// permit lets banned requests be tried as often as it says.
type permit int

func (p *permit) Try(context.Context, digest.Digest) error {
	if *p--; *p < 0 {
		return errors.New("not now")
	}
	return nil
}

// Guards against a request that stays banned though an upstream ran it, and against more
// tries than the scheduler allows.
func TestBannedByTheScheduler(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	one := permit(1)
	s.Trier = &one
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	list := &wire.Bans{Revision: 1, Banned: []*wire.Ban{{Digest: d[:], NextUs: -1}}, Watched: []*wire.Watched{{Digest: d[:]}}}
	s.SetBans(list, true)
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x").status)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/y").status)
	must.Eq(t, 1, u.count())

	list.Banned[0].NextUs = 0
	s.SetBans(list, false)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x").status)
	must.Eq(t, [][]byte{d[:]}, s.TakeCrashReports().GetCleared())

	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
}

// Guards against an entry that goes on to refuse what it has banned by itself, when the
// ban was lifted before it was heard of here.
func TestOwnBanIsLifted(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")))
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	for _, up := range []string{"a", "b", "c"} {
		s.suspects.crash(time.Now(), d, up)
	}
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x").status)
	s.SetBans(&wire.Bans{Revision: 1}, true)
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x").status)
	s.SetBans(&wire.Bans{Revision: 2}, false)
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
}

// Guards against a popular request that is banned though it was answered between the
// crashes, by another entry than those that saw them.
func TestAnsweredSinceTheFirstCrash(t *testing.T) {
	s := newSite(t, newUpstream(t, text("ok")))
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	d := digest.Of("radio", "h", "/once/x", []byte("text"))
	for _, tc := range []struct {
		age     time.Duration
		cleared int
	}{{0, 0}, {time.Minute, 1}} {
		s.SetBans(&wire.Bans{Watched: []*wire.Watched{{Digest: d[:], AgeUs: tc.age.Microseconds()}}}, true)
		must.Eq(t, tc.cleared, len(s.TakeCrashReports().GetCleared()))
	}
}
