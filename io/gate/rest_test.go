package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// asksForRest returns a script of an upstream that refuses requests for a while from the first one on.
func asksForRest(d time.Duration, more string) func(int, *http.Request, io.Writer) bool {
	var once sync.Once
	var ends time.Time
	return func(n int, r *http.Request, w io.Writer) bool {
		once.Do(func() { ends = time.Now().Add(d) })
		if left := time.Until(ends); left > 0 {
			return respond(http.StatusServiceUnavailable, "", "X-Rest: "+left.String()+"\r\n"+more)(n, r, w)
		}
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			writeEvents(r, w, 1, 2, true)
			return true
		}
		return respondText("ok")(n, r, w)
	}
}

// Guards against requests to an upstream that has asked for rest, and against a rest that is not noted
// because the response doesn't say that nothing ran.
func TestNothingIsSentDuringARest(t *testing.T) {
	for _, test := range []struct {
		name, path, more string
	}{
		{"once", "/once/x", "X-Not-Run: 1\r\n"},
		{"again", "/again/x", "X-Not-Run: 1\r\n"},
		{"again, may have run", "/again/x", ""},
		{"resume", "/resume/x", "X-Not-Run: 1\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const d = 600 * time.Millisecond
			first, second := newUpstream(t, asksForRest(d, test.more)), newUpstream(t, asksForRest(0, ""))
			s := newTestGate(t, first, second)
			for range 8 {
				must.Eq(t, http.StatusOK, s.do("POST", test.path).status)
			}
			must.Eq(t, 1, first.count())
			must.Eq(t, 8, second.count())
			must.Eq(t, 1, s.Resting())
			time.Sleep(d + d/8)
			must.Zero(t, s.Resting())
			for range 40 {
				must.Eq(t, http.StatusOK, s.do("POST", test.path).status)
			}
			must.Greater(t, 1, first.count(), must.Sprint("gets requests again"))
		})
	}
}

// Guards against callers who wait in vain, or come back too early, while all upstreams rest, and against
// those who are refused just before a rest ends.
func TestAllUpstreamsRest(t *testing.T) {
	const d = time.Second
	script := asksForRest(d, "X-Not-Run: 1\r\n")
	ups := []*upstream{newUpstream(t, script), newUpstream(t, script)}
	s := newTestGate(t, ups...)
	begin := time.Now()
	must.Eq(t, http.StatusServiceUnavailable, s.do("POST", "/once/x").status)
	for time.Since(begin) < d/2 {
		sent := time.Now()
		r := s.do("POST", "/once/x")
		must.Less(t, d/4, time.Since(sent))
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.StrContains(t, r.body, "upstreams-resting")
		after, err := time.ParseDuration(r.header.Get("Retry-After"))
		must.NoError(t, err)
		must.GreaterEq(t, d, time.Since(begin)+after)
		must.LessEq(t, d+d/8+d/4, sent.Sub(begin)+after)
	}
	must.Eq(t, 1, ups[0].count())
	must.Eq(t, 1, ups[1].count())
	wait := s.restEnds(ups) - 15*time.Millisecond
	time.Sleep(wait) // The objective of the route allows a wait of 50 ms.
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
}

// restEnds returns the time until the first rest ends.
func (s *testGate) restEnds(ups []*upstream) time.Duration {
	s.rests.mu.Lock()
	defer s.rests.mu.Unlock()
	least := time.Hour
	for n := range ups {
		least = min(least, s.rests.known.Wait(time.Now(), fmt.Sprint("up-", n), 0))
	}
	return least
}

// Guards against a request that goes to a resting upstream by a grant that was made before, or that is
// charged twice because the grant is given back.
func TestGrantMadeBeforeARest(t *testing.T) {
	first, second := newUpstream(t, asksForRest(time.Minute, "X-Not-Run: 1\r\n")), newUpstream(t, respondText("ok"))
	s := newTestGate(t, first, second)
	addr := []string{first.Addr().String(), second.Addr().String()}
	var tickets []*wire.Ticket
	g := s.withScheduler(func(t *wire.Ticket) (*wire.Grant, error) {
		tickets = append(tickets, t)
		n := 1 - len(tickets)%2 // The scheduler does not know of the rest yet.
		return &wire.Grant{Upstream: fmt.Sprint("up-", n), Address: addr[n]}, nil
	})
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
	must.Eq(t, 1, first.count())
	must.Eq(t, 2, second.count())
	must.Len(t, 4, tickets)
	for n, want := range []bool{false, true, true, true} {
		must.Eq(t, want, slices.Contains(tickets[n].GetAvoid(), "up-0"), must.Sprint(n))
	}
	must.Positive(t, tickets[2].GetUnits())
	must.Zero(t, tickets[3].GetUnits())
	must.Len(t, 4, g.released)
	must.False(t, g.released[2].GetDispatched())
	must.False(t, g.released[2].GetFailed())
}

// Guards against an upstream that refuses requests at once and draws all of them, and against callers who
// are refused although it takes requests again.
func TestUpstreamThatKeepsRefusing(t *testing.T) {
	refuses := respond(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")
	for _, test := range []struct {
		name string
		ups  int
		most int // Requests that the first upstream gets.
	}{
		{"another has room", 2, 15},
		{"there is no other", 1, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var well atomic.Bool
			first := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
				if well.Load() {
					return respondText("ok")(n, r, w)
				}
				return refuses(n, r, w)
			})
			ups := []*upstream{first, newUpstream(t, respondText("ok"))}[:test.ups]
			s := newTestGate(t, ups...)
			for range 100 {
				must.Eq(t, test.ups > 1, s.do("POST", "/once/x").status == http.StatusOK)
			}
			must.Between(t, 1, first.count(), test.most)
			well.Store(true)
			refused := first.count()
			for end := time.Now().Add(3 * time.Second); first.count() < refused+10; {
				must.True(t, time.Now().Before(end), must.Sprint("gets requests again"))
				must.Eq(t, http.StatusOK, s.do("POST", "/once/x").status)
			}
		})
	}
}

// BenchmarkRequest serves a request where no upstream has ever refused one.
func BenchmarkRequest(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer func() { _ = ln.Close() }()
	s := newTestGate(b, &upstream{Listener: ln}, &upstream{Listener: ln})
	s.Sender = answeringSender{}
	r := httptest.NewRequestWithContext(b.Context(), http.MethodGet, "http://h/once/x", http.NoBody)
	r.Header.Set("Authorization", "Bearer "+key)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}

// answeringSender answers each request.
type answeringSender struct{}

// Send returns a complete response.
func (answeringSender) Send(_ context.Context, r *http.Request) (*http.Response, bool, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{genuineHeader: {"m"}}, Body: io.NopCloser(strings.NewReader("ok")), ContentLength: 2, Request: r,
	}, true, nil
}
