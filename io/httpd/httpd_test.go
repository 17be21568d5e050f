package httpd_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/io/httpd"
	"azurelane/io/rig/stall"
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
	s := &httpd.Httpd{Listen: ln, Handler: handler, DrainOpen: time.Minute}
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
		h := &httpd.Httpd{Listen: ln, DrainOpen: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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

// Guards against resets of callers that are connected and not accepted yet when the
// server stops.
func TestWaitingConnectionsAreAnswered(t *testing.T) {
	for _, tc := range []struct {
		name      string
		drainOpen time.Duration
	}{
		{"without a drain of open connections", 0},
		{"with a drain of open connections", time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			s := &stall.Stall{TCPListener: ln.(*net.TCPListener)}
			ctx, cancel := context.WithCancel(t.Context())
			h := &httpd.Httpd{Listen: s, DrainOpen: tc.drainOpen, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			done := make(chan error, 1)
			go func() { done <- h.Serve(ctx) }()
			conns := make([]net.Conn, 30)
			for i := range conns {
				conns[i], err = net.Dial("tcp", ln.Addr().String())
				must.NoError(t, err)
				_, err = conns[i].Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
				must.NoError(t, err)
			}
			cancel()
			for i, c := range conns {
				mustAnswer(t, c, i)
			}
			must.ErrorIs(t, <-done, context.Canceled)
		})
	}
}

// Guards against a request that is read and dropped because the server stops meanwhile.
func TestRequestOnItsWayIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	h := &httpd.Httpd{Listen: ln, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))
	must.NoError(t, err)
	cancel()
	for err == nil { // Until the server accepts nothing new.
		var probe net.Conn
		if probe, err = net.Dial("tcp", ln.Addr().String()); err == nil {
			_ = probe.Close()
		}
	}
	_, err = c.Write([]byte("\r\n"))
	must.NoError(t, err)
	mustAnswer(t, c, 0)
	must.ErrorIs(t, <-done, context.Canceled)
}

// mustAnswer reads an answer that closes its connection.
func mustAnswer(t *testing.T, c net.Conn, i int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err, must.Sprint(i))
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, resp.Close)
	must.NoError(t, resp.Body.Close())
	must.NoError(t, c.Close())
}

// Guards against a stop that hides a run: callers whose connections break don't know
// whether to send their requests again, so that none of these may have run.
func TestBrokenRequestsHaveNotRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		kept bool // Callers keep their connections.
	}{
		{"new connections", false},
		{"kept connections", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				must.NoError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				var ran sync.Map
				h := &httpd.Httpd{Listen: ln, DrainOpen: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					ran.Store(r.URL.Path, true)
				})}
				done := make(chan error, 1)
				go func() { done <- h.Serve(ctx) }()
				ended := make(chan struct{})
				var callers sync.WaitGroup
				var hidden atomic.Int64
				for n := range 6 {
					callers.Go(func() {
						tr := &http.Transport{DisableKeepAlives: !tc.kept}
						defer tr.CloseIdleConnections()
						broken := untilRefused(&http.Client{Transport: tr}, fmt.Sprintf("http://%s/%d-", ln.Addr(), n), ended)
						for _, path := range broken {
							if _, ok := ran.Load(path); ok {
								hidden.Add(1)
							}
						}
					})
				}
				time.Sleep(5 * time.Millisecond)
				cancel()
				must.ErrorIs(t, <-done, context.Canceled)
				close(ended)
				callers.Wait()
				must.Eq(t, 0, hidden.Load())
			}
		})
	}
}

// untilRefused sends requests until a connection is refused, or the server has ended, and
// returns the paths of those that got no answer before.
func untilRefused(c *http.Client, prefix string, ended <-chan struct{}) []string {
	var broken []string
	for i := 0; ; i++ {
		select {
		case <-ended:
			return broken
		default:
		}
		to := fmt.Sprintf("%s%d", prefix, i)
		resp, err := c.Post(to, "text/plain", strings.NewReader("x"))
		switch {
		case err == nil:
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			return broken
		default:
			broken = append(broken, to[strings.LastIndex(to, "/"):])
		}
	}
}

// Guards against requests that a server cuts at the end of its stop: their contexts must end in time
// for an answer.
func TestRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	running := make(chan struct{})
	h := &httpd.Httpd{Listen: ln, Drain: 400 * time.Millisecond, DrainOpen: 10 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), httpd.ErrStopping) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	answer := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			answer <- 0
			return
		}
		_ = resp.Body.Close()
		answer <- resp.StatusCode
	}()
	<-running
	start := time.Now()
	cancel()
	must.Eq(t, http.StatusServiceUnavailable, <-answer)
	<-done
	must.Less(t, time.Second, time.Since(start))
}
