package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
	"azurelane/io/stats"
)

// Guards against an answer that is passed on before it is complete, for which there is no room, and that looks
// complete although its upstream stops within it.
func TestCutAnswersPassedOnEarly(t *testing.T) {
	const (
		size  = 64 << 10
		limit = 32 << 10
		from  = size - 4 // The first byte at which the body stops.
	)
	body := strings.Repeat("0123456789abcdef", size/16)
	for _, tc := range []struct {
		name, head, body string
		byClose          bool
	}{
		{name: "length", head: "Content-Length: 65536\r\n", body: body},
		{name: "chunks", head: "Transfer-Encoding: chunked\r\n", body: "8000\r\n" + body[:size/2] + "\r\n8000\r\n" + body[size/2:] + "\r\n0\r\nX-End: 1\r\n\r\n"},
		{name: "neither", body: body, byClose: true},
	} {
		for _, proto := range []string{"1.0", "1.1"} {
			for _, ends := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/HTTP %s/process ends=%t", tc.name, proto, ends), func(t *testing.T) {
					t.Parallel()
					for at := from; at <= len(tc.body); at++ {
						var u *upstream
						ready := make(chan struct{})
						u = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
							<-ready
							if r.URL.Path == "/health" {
								return respondText("")(0, r, w)
							}
							_, _ = io.WriteString(w, responseHead(r, http.StatusOK, tc.head)+"\r\n"+tc.body[:at])
							if ends {
								_ = u.Close()
							}
							closeConn(w)
							return false
						})
						close(ready)
						s := newTestGate(t, u)
						s.checkHealthAt("/health")
						s.Memory.Limit, s.Stats = limit, stats.New()
						c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
						must.NoError(t, err)
						_, err = fmt.Fprintf(c, "POST /once/x HTTP/%s\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", proto, key, idHeader)
						must.NoError(t, err)
						resp, err := http.ReadResponse(bufio.NewReader(c), nil)
						must.NoError(t, err)
						must.Eq(t, http.StatusOK, resp.StatusCode)
						got, err := io.ReadAll(resp.Body)
						_ = resp.Body.Close()
						_ = c.Close()
						complete := at == len(tc.body)
						if tc.byClose {
							complete = !ends // Nobody can tell.
							must.True(t, !complete || string(got) == body[:at])
						}
						must.Eq(t, complete, err == nil, must.Sprintf("byte %d of %d: %v", at, len(tc.body), err))
						must.True(t, strings.HasPrefix(body, string(got)))
						s.srv.Close() // Waits for the request.
						s.Calls.(*client.Client).Close()
						_ = u.Close()
						counts := httptest.NewRecorder()
						s.Stats.Text(counts, nil)
						must.StrContains(t, counts.Body.String(), "answers_passed_on_early_total 1")
					}
				})
			}
		}
	}
}
