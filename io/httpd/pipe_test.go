package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that waits behind a stream on its connection and is dropped when the server stops.
func TestPipelinedRequestOutlivesStop(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	h := &Httpd{Listen: ln, Drain: 5 * time.Second, DrainOpen: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stream" {
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Second)
		}
		_, _ = io.WriteString(w, "b")
	})}
	ended := make(chan error, 1)
	go func() { ended <- h.Serve(ctx) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	time.Sleep(200 * time.Millisecond)
	cancel()
	br := bufio.NewReader(c)
	first, err := http.ReadResponse(br, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(first.Body)
	must.NoError(t, err)
	must.NoError(t, first.Body.Close())
	must.Eq(t, "ab", string(body))
	second, err := http.ReadResponse(br, nil)
	must.NoError(t, err, must.Sprint("the second request, sent whole 1 s before, has no answer"))
	must.NoError(t, second.Body.Close())
	<-ended
}
