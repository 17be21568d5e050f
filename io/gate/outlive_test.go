package gate

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/index"
	"azurelane/core/pool"
	"azurelane/io/client"
)

// Guards against answers that are cut short and look complete: an upstream without lengths or chunks is killed, and
// the kernel ends its connections as after a whole answer.
func TestUpstreamDoesNotOutliveItsAnswer(t *testing.T) {
	const whole = "the whole answer"
	const anew = whole + " of the second"
	for _, tc := range []struct {
		name   string
		path   string
		answer string // Sent by the first upstream after the header.
		check  string // Answer to a health check; "" if the pool has none.
		ends   bool   // The process ends with the answer.
		want   string
		broken bool
		moves  bool // A second upstream goes on.
	}{
		{name: "plain", path: "/once/x", answer: whole, ends: true, broken: true},
		{name: "plain, empty", path: "/once/x", ends: true, broken: true},
		{name: "plain, may run twice", path: "/again/x", answer: whole, ends: true, want: anew, moves: true},
		{name: "stream", path: "/stream/x", answer: eventsUpTo(2), ends: true, want: eventsUpTo(2), broken: true},
		{name: "stream without events", path: "/stream/x", ends: true, broken: true},
		{name: "resumable", path: "/resume/x", answer: eventsUpTo(2), ends: true, want: eventsUpTo(5), moves: true},
		{name: "health check answered", path: "/stream/x", answer: eventsUpTo(2), check: "200 X\r\nX-Instance: up-0", want: eventsUpTo(2)},
		{name: "health check answered without the instance", path: "/stream/x", answer: eventsUpTo(2), check: "200 X", want: eventsUpTo(2)},
		{name: "health check refused", path: "/once/x", answer: whole, check: "503 X", want: whole},
		{name: "another instance", path: "/stream/x", answer: eventsUpTo(2), check: "200 X\r\nX-Instance: other", want: eventsUpTo(2), broken: true},
		{name: "another instance refuses", path: "/once/x", answer: whole, check: "421 X", broken: true},
		{name: "another instance, resumable", path: "/resume/x", answer: eventsUpTo(2), check: "421 X", want: eventsUpTo(5), moves: true},
		{name: "health check with status 000", path: "/once/x", answer: whole, check: "000 X", broken: true},
		{name: "health check with status 101", path: "/stream/x", answer: eventsUpTo(2), check: "101 X", want: eventsUpTo(2), broken: true},
		{name: "health check with a blank in a name", path: "/once/x", answer: whole, check: "200 X\r\nX-Instance : other", broken: true},
		{name: "health check, process ends", path: "/stream/x", answer: eventsUpTo(2), check: "200 X", ends: true, want: eventsUpTo(2), broken: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			var first *upstream
			listening := make(chan struct{})
			first = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				if r.URL.Path == "/health" {
					must.Eq(t, "up-0", r.Header.Get("X-Instance"))
					_, _ = io.WriteString(w, "HTTP/1.1 "+tc.check+"\r\nContent-Length: 0\r\n\r\n")
					return true
				}
				runs.Add(1)
				_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "")+"\r\n"+tc.answer)
				if tc.ends {
					<-listening
					_ = first.Close()
				}
				closeConn(w)
				return false
			})
			close(listening)
			ups := []*upstream{first}
			if tc.moves {
				ups = append(ups, newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
					if strings.HasPrefix(r.URL.Path, "/resume/") {
						from, _ := strconv.Atoi(r.Header.Get("X-Last"))
						writeEvents(r, w, from+1, 5, true)
						return true
					}
					return respondText(anew)(n, r, w)
				}))
			}
			s := newTestGate(t, ups...)
			if tc.check != "" {
				s.checkHealthAt("/health")
			}
			r := s.do("POST", tc.path)
			for end := time.Now().Add(time.Second); runs.Load() == 0 && time.Now().Before(end); { // The second upstream may be chosen first.
				r = s.do("POST", tc.path)
			}
			must.Eq(t, 1, runs.Load())
			if tc.broken && r.status != http.StatusOK {
				must.Eq(t, http.StatusBadGateway, r.status)
				return
			}
			must.Eq(t, tc.broken, r.err != nil)
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, tc.want, r.body)
		})
	}
}

// Guards against a whole answer that counts as cut because its upstream resets one new connection.
func TestCheckAtTheLimitOfConnections(t *testing.T) {
	var checks atomic.Int64
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if r.URL.Path == "/health" {
			if checks.Add(1) == 1 {
				closeConn(w)
				return false
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "")+"\r\n"+eventsUpTo(2))
		closeConn(w)
		return false
	})
	s := newTestGate(t, u)
	s.checkHealthAt("/health")
	r := s.do("POST", "/stream/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(2), r.body)
	must.Eq(t, 2, checks.Load())
}

// checkHealthAt gives the pool a health check.
func (s *testGate) checkHealthAt(path string) {
	cfg := *s.view.Index.Config()
	p := cfg.Pools["p"]
	p.HealthPath = path
	cfg.Pools = map[string]pool.Pool{"p": p}
	s.view.Index, s.Calls = index.New(&cfg), &client.Client{}
}
