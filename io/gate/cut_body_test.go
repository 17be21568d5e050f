package gate

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a request that runs with a part of its body, because its caller was killed.
func TestCutRequests(t *testing.T) {
	begin := "POST /once/%03d HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\nX-Id: 1\r\nConnection: close\r\n"
	for _, tc := range []struct{ name, head, body string }{
		{"length", begin + "Content-Length: 10\r\n\r\n", "the 1 body"},
		{"length, HTTP/1.0", strings.Replace(begin, "HTTP/1.1", "HTTP/1.0", 1) + "Content-Length: 10\r\n\r\n", "the 1 body"},
		{"length, LF only", strings.ReplaceAll(begin, "\r", "") + "X-Long: a\n b\nContent-Length: 10\n\n", "the 1 body"},
		{"chunks", begin + "Transfer-Encoding: chunked\r\n\r\n", "4;n=v\r\nthe \r\n6\r\n1 body\r\n0\r\nX-End: 1\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			u := newUpstream(t, respondText("ok"))
			s := newTestGate(t, u)
			whole := len(fmt.Sprintf(tc.head, 0) + tc.body)
			var wg sync.WaitGroup
			for at := range whole + 1 {
				wg.Go(func() {
					c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					defer func() { _ = c.Close() }()
					_, _ = io.WriteString(c, (fmt.Sprintf(tc.head, at) + tc.body)[:at])
					if at < whole { // Else it counts as a caller that leaves.
						_ = c.(*net.TCPConn).CloseWrite()
					}
					data, _ := io.ReadAll(c)
					if strings.Contains(string(data), " 200 ") != (at == whole) {
						t.Errorf("byte %d: %q", at, data)
					}
				})
			}
			wg.Wait()
			must.Eq(t, 1, u.count())
			must.Eq(t, fmt.Sprintf("/once/%03d", whole), u.requests[0].URL.Path)
			must.Eq(t, "the 1 body", u.bodies[0])
		})
	}
}
