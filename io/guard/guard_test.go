package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"azurelane/io/guard"
	"azurelane/io/httpd"
	"azurelane/io/listen"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a server whose bounds change.
type server struct {
	t    *testing.T
	addr string

	mu                   sync.Mutex
	headerBytes          int
	headerTime, idleTime time.Duration
}

func (s *server) set(headerBytes int, headerTime, idleTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headerBytes, s.headerTime, s.idleTime = headerBytes, headerTime, idleTime
}

func (s *server) bounds() (headerBytes int, headerTime, idleTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headerBytes, s.headerTime, s.idleTime
}

// newServer starts a server. Its answers have the size of the request's header, after the time that the
// request names.
func newServer(t *testing.T, room int64) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &server{t: t, addr: ln.Addr().String()}
	h := &httpd.Httpd{
		Listen: ln, DrainOpen: 10 * time.Millisecond, Guard: &guard.Guard{Bounds: s.bounds, Room: room},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			pause, _ := time.ParseDuration(r.URL.Query().Get("pause"))
			time.Sleep(pause)
			_, _ = fmt.Fprint(w, len(r.Header.Get("X")))
		}),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// client is a connection of a client.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *server) dial() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.addr)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	must.NoError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{c, s.t, bufio.NewReader(c)}
}

func (c *client) send(size int, path string) {
	c.t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", path, strings.Repeat("x", size))
	must.NoError(c.t, err)
}

// answer returns the status and the body of an answer; status 0 stands for a closed connection.
func (c *client) answer() (int, string) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return resp.StatusCode, string(body)
}

// Guards against a bound of headers that a configuration raises or lowers and the server doesn't obey, on
// new connections and on kept ones.
func TestHeaderBytes(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bound  int
		size   int
		status int
	}{
		{"default", 0, 30 << 10, http.StatusOK},
		{"over the default", 0, 40 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"raised", 64 << 10, 60 << 10, http.StatusOK},
		{"over the raised", 64 << 10, 70 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"far over the raised", 64 << 10, 600 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{"raised a lot", 4 << 20, 3 << 20, http.StatusOK},
		{"over the lowered", 8 << 10, 16 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t, 0)
			s.set(tt.bound, 0, 0)
			fresh := s.dial()
			fresh.send(tt.size, "/")
			status, _ := fresh.answer()
			must.Eq(t, tt.status, status)

			s.set(0, 0, 0)
			kept := s.dial()
			for range 3 {
				kept.send(1000, "/")
				status, body := kept.answer()
				must.Eq(t, http.StatusOK, status)
				must.Eq(t, "1000", body)
			}
			s.set(tt.bound, 0, 0)
			kept.send(tt.size, "/")
			status, body := kept.answer()
			must.Eq(t, tt.status, status)
			if status == http.StatusOK {
				must.Eq(t, strconv.Itoa(tt.size), body)
			}
		})
	}
}

// Guards against large headers that take all memory together: those without room are refused with a time
// to come back, and the room is given back.
func TestRoomForLargeHeaders(t *testing.T) {
	s := newServer(t, 100<<10)
	s.set(128<<10, 0, 0)
	first, second := s.dial(), s.dial()
	first.send(100<<10, "/?pause=300ms")
	time.Sleep(100 * time.Millisecond)
	second.send(100<<10, "/")
	status, _ := second.answer()
	must.Eq(t, http.StatusServiceUnavailable, status)
	small := s.dial()
	small.send(10<<10, "/")
	status, _ = small.answer()
	must.Eq(t, http.StatusOK, status)
	status, _ = first.answer()
	must.Eq(t, http.StatusOK, status)
	for range 3 { // The kept connection gave its room back, and so does each that is closed.
		again := s.dial()
		again.send(100<<10, "/")
		status, _ = again.answer()
		must.Eq(t, http.StatusOK, status)
		must.NoError(t, again.Close())
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against bounds of time that are acknowledged and not obeyed: idle connections that are closed while
// their clients may still use them, or kept until descriptors run out, also after a change.
func TestTimes(t *testing.T) {
	const short, long = 200 * time.Millisecond, time.Minute
	for _, tt := range []struct {
		name   string
		before time.Duration // Idle time at the beginning.
		after  time.Duration // Once the connection is idle.
		closed bool          // A second later.
	}{
		{"short", short, short, true},
		{"long", long, long, false},
		{"raised", short, long, false},
		{"lowered", long, short, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newServer(t, 0)
			s.set(0, 0, tt.before)
			c := s.dial()
			c.send(10, "/")
			status, _ := c.answer()
			must.Eq(t, http.StatusOK, status)
			s.set(0, 0, tt.after)
			time.Sleep(time.Second)
			_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			status, _ = c.answer()
			must.Eq(t, tt.closed, err != nil || status == 0)
		})
	}
	t.Run("header", func(t *testing.T) {
		s := newServer(t, 0)
		s.set(0, short, long)
		c := s.dial()
		_, err := c.Write([]byte("GET / HTTP/1.1\r\n"))
		must.NoError(t, err)
		start := time.Now()
		status, _ := c.answer()
		must.Eq(t, 0, status)
		must.Between(t, short/2, time.Since(start), 3*short)
	})
}

// Guards against requests that are broken off because they run for longer than a connection may be idle,
// alone and with another one behind them.
func TestLongRequestsAreNotIdle(t *testing.T) {
	s := newServer(t, 0)
	s.set(0, 100*time.Millisecond, 100*time.Millisecond)
	c := s.dial()
	c.send(10, "/?pause=500ms")
	c.send(20, "/?pause=500ms")
	c.send(30, "/?pause=500ms")
	for _, want := range []string{"10", "20", "30"} {
		status, body := c.answer()
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, want, body)
	}
}

// Guards against requests that an entry resets unread when it wakes up after a suspension, because the idle time
// is over by then.
func TestRequestsThatCameDuringASuspension(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	g := &guard.Guard{Bounds: func() (int, time.Duration, time.Duration) { return 0, 0, 50 * time.Millisecond }}
	wrapped := g.Wrap(listen.Of(ln))
	client, err := net.Dial("tcp", ln.Addr().String())
	must.NoError(t, err)
	defer func() { _ = client.Close() }()
	c, err := wrapped.Accept()
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, wrapped.Close())
	g.State(c, http.StateIdle)
	_, err = client.Write([]byte("request"))
	must.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // Nothing reads.
	buf := make([]byte, 100)
	n, err := c.Read(buf)
	must.NoError(t, err)
	must.Eq(t, "request", string(buf[:n]))
	g.State(c, http.StateIdle)
	_, err = c.Read(buf)
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
