package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/buffer"
	"azurelane/core/index"
	"azurelane/core/refuse"
	"azurelane/io/httpd"
	"azurelane/io/stats"
)

const largeBody = 72 << 10

// dial sends the header of a request and the beginning of its body.
func (s *testGate) dial(path, more, begin string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: 1\r\n%s\r\n%s", path, key, idHeader, more, begin)
	must.NoError(s.t, err)
	return c
}

// status reads the status of an answer.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// post sends a request with a body.
func (s *testGate) post(path, id, body string) reply {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.srv.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Host, r.Header = "h", http.Header{"Authorization": {"Bearer " + key}, idHeader: {id}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint(what))
	}
}

func (s *testGate) awaitBodies(want int64) {
	s.t.Helper()
	eventually(s.t.(*testing.T), fmt.Sprint(want, " bytes of bodies"), func() bool { return s.Memory.Used(buffer.Bodies) == want })
}

// fill takes the memory that bodies of that size may have.
func (s *testGate) fill(size int64) (held int64) {
	s.Memory.Limit = 1 << 20
	for s.Memory.Grow(buffer.Bodies, 0, size) {
		held += size
	}
	return held
}

// setObjective sets the objective of all routes.
func (s *testGate) setObjective(d time.Duration) {
	cfg := *s.view.Index.Config()
	cfg.Routes = append(cfg.Routes[:0:0], cfg.Routes...)
	for n := range cfg.Routes {
		cfg.Routes[n].Objective = d
	}
	s.view.Index = index.New(&cfg)
}

// deaf answers requests without reading their bodies, or does not answer.
func deaf(t *testing.T, answer func(r *http.Request, w io.Writer)) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // The kernel must not take all of the body.
				if r, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					answer(r, c)
					<-t.Context().Done()
				}
			}()
		}
	}()
	return u
}

// Guards against a body that takes memory beyond the bound, that waits for as long as its objective, or whose refusal
// is not true or has no Retry-After, and against a log line for each refusal.
func TestNoMemoryForABody(t *testing.T) {
	for _, body := range []struct{ name, more string }{
		{"stated", fmt.Sprintf("Content-Length: %d\r\n", largeBody)},
		{"chunked", "Transfer-Encoding: chunked\r\n"},
	} {
		t.Run(body.name, func(t *testing.T) {
			up := newUpstream(t, respondText("ok"))
			s := newTestGate(t, up)
			s.Stats = stats.New()
			var lines atomic.Int64
			s.Log = funcr.New(func(_, args string) {
				if strings.Contains(args, "No memory for a body.") {
					lines.Add(1)
				}
			}, funcr.Options{})
			s.fill(minPiece)
			held := s.Memory.Used(buffer.Bodies)
			for range 3 {
				start := time.Now()
				c := s.dial("/once/x", body.more, "")
				must.Eq(t, http.StatusServiceUnavailable, status(t, c))
				must.Less(t, 1200*time.Millisecond, time.Since(start))
			}
			r := s.post("/once/x", "2", strings.Repeat("x", largeBody))
			must.Eq(t, http.StatusServiceUnavailable, r.status)
			must.StrContains(t, r.body, "no-memory")
			must.NotEq(t, "", r.header.Get("Retry-After"))
			must.Eq(t, 0, up.count())
			must.Eq(t, held, s.Memory.Used(buffer.Bodies))
			must.Eq(t, 0, s.Memory.Waiting())
			must.Between(t, 1, lines.Load(), 3)
		})
	}
}

// Guards against a body that is refused although memory becomes free while it waits.
func TestBodyWaitsForMemory(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	s.setObjective(time.Second)
	held := s.fill(minPiece)
	go func() {
		for s.Memory.Waiting() == 0 {
			time.Sleep(time.Millisecond)
		}
		s.Memory.Free(buffer.Bodies, held)
	}()
	r := s.post("/once/x", "1", strings.Repeat("x", largeBody))
	must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
	s.awaitBodies(0)
}

// Guards against memory that stays counted after its request.
func TestMemoryOfBodiesReturns(t *testing.T) {
	text := strings.Repeat("x", largeBody)
	failing := respond(http.StatusInternalServerError, "no", "")
	stated := fmt.Sprintf("Content-Length: %d\r\n", largeBody)
	chunked := "Transfer-Encoding: chunked\r\n"
	for _, tc := range []struct {
		name string
		ups  []func(int, *http.Request, io.Writer) bool
		play func(t *testing.T, s *testGate)
	}{
		{"stated", nil, func(t *testing.T, s *testGate) {
			must.Eq(t, http.StatusOK, s.post("/once/x", "1", text).status)
		}},
		{"chunked", nil, func(t *testing.T, s *testGate) {
			c := s.dial("/once/x", chunked, "")
			for range 18 {
				writeChunk(c, text[:4<<10])
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			must.Eq(t, http.StatusOK, status(t, c))
		}},
		{"too large", nil, func(t *testing.T, s *testGate) {
			c := s.dial("/once/x", chunked, "")
			go func() {
				for range defaultBodyLimit/largeBody + 2 {
					writeChunk(c, text)
				}
			}()
			must.Eq(t, http.StatusRequestEntityTooLarge, status(t, c))
		}},
		{"caller leaves in the middle", nil, func(t *testing.T, s *testGate) {
			for _, more := range []string{stated, chunked} {
				c := s.dial("/once/x", more, "1000\r\n"+text[:1000])
				eventually(t, "body", func() bool { return s.Memory.Used(buffer.Bodies) > 0 })
				must.NoError(t, c.Close())
				s.awaitBodies(0)
			}
		}},
		{"trickles for too long", nil, func(t *testing.T, s *testGate) {
			for _, more := range []string{stated, chunked} {
				c := s.dial("/once/x", more+"X-Wait: 500ms\r\n", "1000\r\n")
				go func() {
					for err := error(nil); err == nil; time.Sleep(10 * time.Millisecond) {
						_, err = io.WriteString(c, "x")
					}
				}()
				must.Eq(t, http.StatusRequestTimeout, status(t, c))
			}
		}},
		{"sent again", []func(int, *http.Request, io.Writer) bool{failing, respondText("ok")}, func(t *testing.T, s *testGate) {
			for range 20 {
				must.Eq(t, http.StatusOK, s.post("/again/x", "1", text).status)
			}
		}},
		{"failure passed on", []func(int, *http.Request, io.Writer) bool{failing}, func(t *testing.T, s *testGate) {
			must.Eq(t, http.StatusInternalServerError, s.post("/once/x", "1", text).status)
		}},
		{"silent upstream", []func(int, *http.Request, io.Writer) bool{pausedStream(1200 * time.Millisecond), pausedStream(0)}, func(t *testing.T, s *testGate) {
			for range 3 {
				r := s.post("/resume/x", "1", text)
				must.NoError(t, r.err)
				must.Eq(t, eventsUpTo(6), r.body)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			if tc.ups == nil {
				tc.ups = append(tc.ups, respondText("ok"))
			}
			var ups []*upstream
			for _, script := range tc.ups {
				ups = append(ups, newUpstream(t, script))
			}
			s := newTestGate(t, ups...)
			s.Memory.Limit = 16 << 20
			tc.play(t, s)
			s.awaitBodies(0)
			for _, u := range ups {
				u.mu.Lock()
				for _, body := range u.bodies {
					must.True(t, body == text)
				}
				u.mu.Unlock()
			}
		})
	}
}

// Guards against memory that is held while the request can no longer be sent again, or given back while it can.
func TestBodyIsHeldWhileItMayBeSent(t *testing.T) {
	for _, tc := range []struct {
		route string
		want  int64
	}{{"stream", 0}, {"resume", largeBody + 1}} {
		t.Run(tc.route, func(t *testing.T) {
			end := make(chan struct{})
			s := newTestGate(t, newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				writeEvents(r, w, 1, 1, false)
				<-end
				writeChunk(w, "id: 2\ndata: 2\n\n")
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			}))
			c := s.dial("/"+tc.route+"/x", fmt.Sprintf("Content-Length: %d\r\n", largeBody), strings.Repeat("x", largeBody))
			must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			s.awaitBodies(tc.want)
			time.Sleep(20 * time.Millisecond)
			must.Eq(t, tc.want, s.Memory.Used(buffer.Bodies))
			close(end)
			events, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.Eq(t, eventsUpTo(2), string(events))
			s.awaitBodies(0)
		})
	}
}

// Guards against a body that counts as given back while the connection still sends it, or counts for good, because
// its upstream does not read it.
func TestUpstreamDoesNotReadTheBody(t *testing.T) {
	body := strings.Repeat("x", defaultBodyLimit)
	begun, checked := make(chan struct{}), make(chan struct{})
	for _, tc := range []struct {
		name, route string
		answer      func(r *http.Request, w io.Writer)
		whole       bool
	}{
		{"nor answers", "/once/x", func(*http.Request, io.Writer) {}, false},
		{"answers", "/once/x", func(r *http.Request, w io.Writer) { respondText("ok")(0, r, w) }, true},
		{"streams", "/stream/x", func(r *http.Request, w io.Writer) {
			writeEvents(r, w, 1, 1, false)
			close(begun)
			<-checked
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestGate(t, deaf(t, tc.answer))
			s.Memory.Limit = 16 << 20
			if tc.name == "streams" {
				go func() {
					<-begun
					time.Sleep(100 * time.Millisecond)
					must.GreaterEq(t, int64(len(body)), s.Memory.Used(buffer.Bodies))
					close(checked)
				}()
			}
			r := s.post(tc.route, "1", body)
			must.Eq(t, tc.whole, r.err == nil && r.status == http.StatusOK)
			s.awaitBodies(0)
		})
	}
}

// Guards against callers that leave while their bodies wait, and keep their places in the queue or their memory.
func TestCallersLeaveWhileBodiesWait(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	s.setObjective(time.Second)
	held := s.fill(minPiece)
	var conns []net.Conn
	for range 20 {
		conns = append(conns, s.dial("/once/x", fmt.Sprintf("Content-Length: %d\r\n", largeBody), "x"))
	}
	eventually(t, "bodies wait", func() bool { return s.Memory.Waiting() > 0 })
	for _, c := range conns {
		must.NoError(t, c.Close())
	}
	time.Sleep(50 * time.Millisecond)
	s.Memory.Free(buffer.Bodies, held)
	s.awaitBodies(0)
	must.Eq(t, 0, s.Memory.Waiting())
}

// Guards against an entry that does not stop, or leaves callers without an answer, while bodies wait for memory.
func TestEntryStopsWhileBodiesWait(t *testing.T) {
	s := newTestGate(t, newUpstream(t, respondText("ok")))
	s.setObjective(time.Second)
	held := s.fill(minPiece)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	var arrived atomic.Int64
	count := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		s.ServeHTTP(w, r)
	})
	go func() {
		served <- (&httpd.Httpd{Listen: ln, Handler: count, DrainOpen: 50 * time.Millisecond}).Serve(ctx)
	}()
	s.srv.URL = "http://" + ln.Addr().String()
	var wg sync.WaitGroup
	const callers = 10
	for n := range callers {
		wg.Go(func() {
			r := s.post("/once/x", strconv.Itoa(n), strings.Repeat("x", largeBody))
			must.NoError(t, r.err)
			must.Eq(t, http.StatusServiceUnavailable, r.status)
		})
	}
	eventually(t, "callers arrive", func() bool { return arrived.Load() == callers })
	s.Drain(DrainSchedule{RefuseFrom: time.Now(), Deadline: time.Now().Add(time.Second)})
	start := time.Now()
	cancel()
	must.ErrorIs(t, <-served, context.Canceled)
	must.Less(t, 4*time.Second, time.Since(start))
	wg.Wait()
	must.Eq(t, held, s.Memory.Used(buffer.Bodies))
	must.Eq(t, 0, s.Memory.Waiting())
}

// slowReader reads 2 KB a second.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(100 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 205)])
}

// Guards against memory beyond the bound, cut answers, refusals that are not true and broken streams while half of
// the callers read at 2 KB/s and one sends many bodies of 72 KB.
func TestSlowReadersAndLargeBodies(t *testing.T) {
	const callers, limit = 16, 1 << 20
	long := strings.Repeat("sound ", 2<<10)
	script := func(n int, r *http.Request, w io.Writer) bool {
		time.Sleep(100 * time.Millisecond)
		if !strings.HasPrefix(r.URL.Path, "/stream/") {
			return respondText(long)(n, r, w)
		}
		writeEvents(r, w, 1, 3, false)
		time.Sleep(time.Second)
		writeChunk(w, strings.TrimPrefix(eventsUpTo(6), eventsUpTo(3)))
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	ups := []*upstream{newUpstream(t, script), newUpstream(t, script)}
	s := newTestGate(t, ups...)
	s.Memory.Limit = limit
	srv := httptest.NewUnstartedServer(s.Gate)
	srv.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if tcp, ok := c.(*net.TCPConn); ok && state == http.StateNew {
			_ = tcp.SetWriteBuffer(1 << 10) // So that the entry holds what callers don't read.
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(1 << 10)
		}
		return c, err
	}}}
	var ids, whole, refused, streams atomic.Int64
	ask := func(path, body string, slow bool) {
		id := strconv.FormatInt(ids.Add(1), 10)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+path, strings.NewReader(body))
		must.NoError(t, err)
		r.Host, r.Header = "h", http.Header{"Authorization": {"Bearer " + key}, idHeader: {id}}
		resp, err := client.Do(r)
		must.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		from := io.Reader(resp.Body)
		if slow {
			from = slowReader{from}
		}
		got, err := io.ReadAll(from)
		must.NoError(t, err)
		if resp.StatusCode == http.StatusServiceUnavailable {
			must.StrContains(t, string(got), "no-memory")
			must.NotEq(t, "", resp.Header.Get("Retry-After"))
			must.False(t, ups[0].received(id) || ups[1].received(id))
			refused.Add(1)
			return
		}
		must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(string(got)))
		want := long
		if strings.HasPrefix(path, "/stream/") {
			want = eventsUpTo(6)
			streams.Add(1)
		}
		must.True(t, string(got) == want, must.Sprint(path))
		whole.Add(1)
	}
	end := time.Now().Add(2 * time.Second)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for time.Now().Before(end) {
				ask("/again/x", strings.Repeat("x", 4<<10), n < callers/2)
				ask("/stream/x", strings.Repeat("x", 4<<10), n < callers/2)
			}
		})
	}
	for range 30 { // Of one caller.
		wg.Go(func() {
			for time.Now().Before(end) {
				ask("/again/x", strings.Repeat("x", largeBody), false)
			}
		})
	}
	stop, ended := make(chan struct{}), make(chan [3]int64)
	go func() {
		var most [3]int64
		for {
			b, a := s.Memory.Used(buffer.Bodies), s.Memory.Used(buffer.Answers)
			most = [3]int64{max(most[0], b), max(most[1], a), max(most[2], a+b)}
			select {
			case <-stop:
				ended <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	wg.Wait()
	close(stop)
	most := <-ended
	t.Logf("whole %d, of them streams %d; refused %d; most bytes of bodies %d, of answers %d, of both %d", whole.Load(), streams.Load(), refused.Load(), most[0], most[1], most[2])
	must.LessEq(t, limit, most[2])
	must.Positive(t, refused.Load())
	must.GreaterEq(t, 2*callers, whole.Load())
	s.awaitBodies(0)
	must.Eq(t, 0, s.Memory.Used(buffer.Answers))
}

// heldEnd is a body whose end its reader learns late.
type heldEnd struct {
	io.ReadCloser

	hold func()
}

// Read reads from the body.
func (b *heldEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.hold()
	}
	return n, err //nolint:wrapcheck // Readers compare io.EOF.
}

// Guards against whole requests that are closed without an answer, as if their callers had left, because the deadline
// for reading the body passes between the body's end and the end of the deadline.
func TestDeadlineAtTheEndOfABody(t *testing.T) {
	const late = 150 * time.Millisecond
	for _, tt := range []struct {
		name, wait, code string
		hold             func(s *testGate)
	}{
		{"the caller's", "100ms", refuse.Deadline, func(*testGate) { time.Sleep(late) }},
		{"of a drain", "1s", refuse.ShuttingDown, func(s *testGate) {
			s.Drain(DrainSchedule{RefuseFrom: time.Now(), Deadline: time.Now().Add(late)})
			time.Sleep(late / 2)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			up := newUpstream(t, respondText("ok"))
			s := newTestGate(t, up)
			s.srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.Body = &heldEnd{r.Body, func() { tt.hold(s) }}
				s.ServeHTTP(w, r)
			})
			got := s.do(http.MethodPost, "/once/x", "X-Wait", tt.wait)
			must.NoError(t, got.err)
			must.Eq(t, http.StatusServiceUnavailable, got.status)
			must.StrContains(t, got.body, tt.code)
			must.Eq(t, 0, up.count())
		})
	}
}
