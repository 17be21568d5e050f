package gate

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against an answer that a caller gets although its head is not well-formed, and against a caller that gets
// none. It may have run: a request that may run once is not sent again.
func TestMalformedHead(t *testing.T) {
	for _, tc := range []struct {
		name, status, header string
	}{
		{name: "status 000", status: "000 X"},
		{name: "status 099", status: "099 X"},
		{name: "status with a sign", status: "+20 X"},
		{name: "status 101", status: "101 X"},
		{name: "status 101 that names a protocol", status: "101 X", header: "Connection: Upgrade\r\nUpgrade: websocket\r\n"},
		{name: "status 600", status: "600 X"},
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
						_, _ = io.WriteString(w, head+"Content-Length: 4\r\n\r\ntext")
						return true
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
