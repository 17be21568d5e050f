package gate

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
)

// Guards against an answer that a caller gets although its head is not well-formed, and against a caller that gets
// none. It may have run: a request that may run once is not sent again.
func TestMalformedHead(t *testing.T) {
	for _, tc := range []struct {
		name, status, header string
		rest                 string // After the header; empty for a length and a body.
	}{
		{name: "status 000", status: "000 X"},
		{name: "status 099", status: "099 X"},
		{name: "status with a sign", status: "+20 X"},
		{name: "status 101", status: "101 X"},
		{name: "status 101 that names a protocol", status: "101 X", header: "Connection: Upgrade\r\nUpgrade: websocket\r\n"},
		{name: "status 600", status: "600 X"},
		{name: "blank after a name", status: "200 X", header: "X-A : 1\r\n"},
		{name: "blank in a name", status: "200 X", header: "Content-Type x: text/event-stream\r\n"},
		{name: "blank after chunked coding", status: "200 X", header: "Transfer-Encoding : chunked\r\n", rest: "\r\n4\r\ntext\r\n0\r\n\r\n"},
		{name: "blank after chunked coding, cut", status: "200 X", header: "Transfer-Encoding : chunked\r\n", rest: "\r\n4\r\nte"},
		{name: "blank after a length, cut", status: "200 X", header: "Content-Length : 17\r\n", rest: "\r\nthe who"},
		{name: "control byte in a name", status: "200 X", header: "X\x01A: 1\r\n"},
		{name: "blank in the name of a failure", status: "500 X", header: "X-A : 1\r\n"},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(tc.name+map[bool]string{true: ", kept connection"}[kept], func(t *testing.T) {
				t.Parallel()
				for _, path := range []string{"/once/", "/stream/", "/again/", "/resume/"} {
					bad := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
						if strings.HasSuffix(r.URL.Path, "/before") {
							return respondText("before")(n, r, w)
						}
						head := strings.Replace(responseHead(r, http.StatusOK, tc.header), "200 X", tc.status, 1)
						_, _ = io.WriteString(w, head+cmp.Or(tc.rest, "Content-Length: 4\r\n\r\ntext"))
						if tc.rest != "" {
							closeConn(w)
						}
						return tc.rest == ""
					})
					s := newTestGate(t, bad)
					if kept {
						must.Eq(t, "before", s.do("POST", "/once/before").body)
					}
					r := s.do("POST", path+"x")
					must.NoError(t, r.err)
					must.Eq(t, http.StatusBadGateway, r.status, must.Sprint(path, r.body))
					must.Eq(t, 1+map[bool]int{true: 1}[kept], bad.count())
					if path == "/once/" || path == "/stream/" {
						continue
					}
					sound := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
						if path == "/resume/" {
							writeEvents(r, w, 1, 2, true)
							return true
						}
						return respondText("whole")(n, r, w)
					})
					s = newTestGate(t, bad, sound)
					s.view.Index.Route("h", path+"x").Timeout = 20 * time.Second // Many run at once.
					for range 4 {
						r = s.do("POST", path+"x")
						must.NoError(t, r.err)
						must.Eq(t, http.StatusOK, r.status, must.Sprint(path, r.body))
						must.True(t, r.body == "whole" || r.body == eventsUpTo(2), must.Sprint(r.body))
					}
				}
			})
		}
	}
}

// Guards against a refusal that shows a caller what an upstream sent, or where it is, and against log lines as long as
// what it sent.
func TestRefusalDoesNotQuoteTheUpstream(t *testing.T) {
	const secret = "of-another-account"
	const maxLine = 2 << 10
	long := strings.Repeat("x", 16<<10)
	for _, tc := range []struct {
		name, head string // Of the answer; empty for a reset.
		want       string // In the log.
	}{
		{name: "malformed line", head: "HTTP/1.1 200 X\r\nX\x01" + secret + ": 1\r\n\r\n", want: secret},
		{name: "long malformed line", head: "HTTP/1.1 200 X\r\nX\x01" + secret + long + ": 1\r\n\r\n", want: secret},
		{name: "blank in a name", head: "HTTP/1.1 200 X\r\nX " + secret + ": 1\r\n\r\n", want: secret},
		{name: "malformed status line", head: "HTTP/1.1 " + secret + long + "\r\n\r\n", want: secret},
		{name: "reset", want: "reset"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newUpstream(t, func(_ int, _ *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, tc.head)
				if tc.head == "" {
					_ = w.(*net.TCPConn).SetLinger(0)
				}
				closeConn(w)
				return false
			})
			s := newTestGate(t, u)
			var mu sync.Mutex
			var lines []string
			s.Log = funcr.New(func(_, line string) {
				mu.Lock()
				defer mu.Unlock()
				lines = append(lines, line)
			}, funcr.Options{})
			r := s.do("POST", "/once/x")
			must.NoError(t, r.err)
			must.Eq(t, http.StatusBadGateway, r.status)
			must.StrNotContains(t, r.body, secret)
			must.StrNotContains(t, r.body, "127.0.0.1")
			mu.Lock()
			defer mu.Unlock()
			must.StrContains(t, strings.Join(lines, "\n"), tc.want)
			for _, line := range lines {
				must.Less(t, maxLine, len(line))
			}
		})
	}
}
