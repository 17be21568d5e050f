package httpd_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/httpd"
)

// A caller keeps its connection, and sends its next request just when the
// server is told to stop. It gets a refusal that closes the connection, not a
// connection that breaks under its request, and the server ends as soon as the
// last connection is closed.
func TestKeptConnectionIsRefusedNotCut(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var stopping atomic.Bool
	ctx, cancel := context.WithCancel(t.Context())
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	done := make(chan error, 1)
	s := &httpd.Httpd{Listen: ln, Handler: handler, Farewell: time.Minute}
	go func() { done <- s.Serve(ctx) }()

	tr := &http.Transport{}
	defer tr.CloseIdleConnections()
	ask := func() (int, error) {
		resp, err := (&http.Client{Transport: tr}).Get("http://" + ln.Addr().String())
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for i := range 50 {
		code, err := ask()
		must.NoError(t, err, must.Sprint(i))
		must.Eq(t, http.StatusOK, code)
	}
	stopping.Store(true)
	cancel()
	code, err := ask()
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, code)
	must.ErrorIs(t, <-done, context.Canceled)
}
