package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
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

// Callers open a connection for each request while the server stops. Each gets
// an answer or no connection; an end of file in place of an answer would leave
// it in doubt whether the request ran.
func TestNewConnectionsWhileItStops(t *testing.T) {
	for range 40 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		h := &httpd.Httpd{Listen: ln, Farewell: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
		})}
		done := make(chan error, 1)
		go func() { done <- h.Serve(ctx) }()
		var wg sync.WaitGroup
		var cut atomic.Int64
		stop := make(chan struct{})
		for range 6 {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				for {
					select {
					case <-stop:
						return
					default:
					}
					resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader("x"))
					if err == nil {
						_ = resp.Body.Close()
					} else if errors.Is(err, io.EOF) {
						cut.Add(1)
					}
				}
			})
		}
		time.Sleep(5 * time.Millisecond)
		cancel()
		must.ErrorIs(t, <-done, context.Canceled)
		close(stop)
		wg.Wait()
		must.Eq(t, 0, cut.Load())
	}
}
