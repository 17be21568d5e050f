package gate

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"

	"azurelane/core/buffer"
)

const (
	endlessCallers = 16
	endlessMemory  = 16 << 20 // Bytes of all bodies and answers that are in memory.
)

// endless are bytes without end: what begins them, and what is repeated until the connection ends.
type endless struct {
	name   string
	begin  func(r *http.Request) string
	repeat string
	stream bool // On routes of streams.
	whole  bool // A whole answer goes before.
}

func endlessKinds() []endless {
	head := func(status int, more string) func(*http.Request) string {
		return func(r *http.Request) string { return responseHead(r, status, more) }
	}
	text := func(s string) func(*http.Request) string { return func(*http.Request) string { return s } }
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 100)
	return []endless{
		{name: "lines of a head", begin: head(http.StatusOK, ""), repeat: "X-" + line + ": y\r\n"},
		{name: "a value in a head", begin: head(http.StatusOK, "X-Long: "), repeat: line},
		{name: "a status line", begin: text("HTTP/1.1 200 "), repeat: line},
		{name: "no protocol", begin: text(""), repeat: line},
		{name: "interim answers", begin: text(""), repeat: "HTTP/1.1 103 X\r\n\r\n"},
		{name: "continues", begin: text(""), repeat: "HTTP/1.1 100 X\r\n\r\n"},
		{name: "a chunk size", begin: head(http.StatusOK, chunked), repeat: "0000000000"},
		{name: "a chunk extension", begin: head(http.StatusOK, chunked+"1;"), repeat: line},
		{name: "chunks", begin: head(http.StatusOK, chunked), repeat: "64\r\n" + line + "\r\n"},
		{name: "trailers", begin: head(http.StatusOK, chunked+"0\r\n"), repeat: "X-" + line + ": y\r\n"},
		{name: "a body", begin: head(http.StatusOK, "\r\n"), repeat: line},
		{name: "a body of a failure", begin: head(http.StatusInternalServerError, "\r\n"), repeat: line},
		{name: "chunks of a failure", begin: head(http.StatusInternalServerError, chunked), repeat: "64\r\n" + line + "\r\n"},
		{name: "after an answer", begin: head(http.StatusOK, "Content-Length: 5\r\n\r\nwhole"), repeat: line, whole: true},
		{name: "an event", begin: head(http.StatusOK, "Content-Type: text/event-stream\r\n"+chunked), repeat: "64\r\n" + line + "\r\n", stream: true},
		{name: "an event without chunks", begin: head(http.StatusOK, "Content-Type: text/event-stream\r\n\r\ndata: "), repeat: line, stream: true},
		{name: "a field of an event", begin: head(http.StatusOK, "Content-Type: text/event-stream\r\n\r\n"), repeat: "id: 1\n", stream: true},
	}
}

// upstream sends the bytes until its connection ends, and counts the connections that are open.
func (k endless) upstream(t *testing.T, fast bool, open *atomic.Int64) *upstream {
	t.Helper()
	return newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		open.Add(1)
		defer open.Add(-1)
		defer closeConn(w)
		piece := k.repeat
		if fast {
			piece = strings.Repeat(piece, 200)
		}
		_, err := io.WriteString(w, k.begin(r))
		for err == nil {
			if !fast {
				time.Sleep(50 * time.Millisecond)
			}
			if c, ok := w.(net.Conn); ok {
				_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
			}
			_, err = io.WriteString(w, piece)
		}
		return false
	})
}

// discard sends a request and keeps only the beginning of the answer.
func (s *testGate) discard(path string) reply {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.srv.URL+path, strings.NewReader("text"))
	must.NoError(s.t, err)
	r.Host = "h"
	r.Header = http.Header{"Authorization": {"Bearer " + key}, idHeader: {"1"}, "X-Wait": {"1s"}}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	begin, err := io.ReadAll(io.LimitReader(resp.Body, 100))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return reply{resp.StatusCode, resp.Header, string(begin), err}
}

// logged counts the bytes that are logged.
func (s *testGate) logged() *atomic.Int64 {
	var n atomic.Int64
	s.Log = funcr.New(func(prefix, args string) { n.Add(int64(len(prefix) + len(args))) }, funcr.Options{})
	return &n
}

// Guards against an entry that runs out of memory, keeps a connection for longer than its request, takes for an
// answer what is none, or logs without bound while upstreams send bytes without end.
func TestBytesWithoutEnd(t *testing.T) {
	for _, k := range endlessKinds() {
		t.Run(k.name, func(t *testing.T) { k.play(t, true) })
	}
}

// The same for bytes that come one piece each 50 ms, all kinds at once.
func TestSlowBytesWithoutEnd(t *testing.T) {
	stop := watchHeap()
	t.Run("all", func(t *testing.T) {
		for _, k := range endlessKinds() {
			t.Run(k.name, func(t *testing.T) {
				t.Parallel()
				k.play(t, false)
			})
		}
	})
	must.Less(t, 6*endlessMemory, stop(), must.Sprint("bytes of heap"))
}

// play has callers ask an upstream that sends the bytes.
func (k endless) play(t *testing.T, fast bool) {
	t.Helper()
	var open, answered atomic.Int64
	s := newTestGate(t, k.upstream(t, fast, &open))
	s.Memory.Limit = endlessMemory
	logged := s.logged()
	route := "/once/x"
	if k.stream {
		route = "/stream/x"
	}
	stop := func() int64 { return 0 }
	if fast {
		stop = watchHeap()
	}
	var wg sync.WaitGroup
	for range endlessCallers {
		wg.Go(func() {
			start := time.Now()
			r := s.discard(route)
			must.Less(t, 1500*time.Millisecond, time.Since(start))
			ended := r.err == nil && r.status < http.StatusInternalServerError
			must.True(t, !ended || (k.whole && r.body == "whole"), must.Sprint(r.status, " ", len(r.body)))
			if ended {
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	must.Less(t, 6*endlessMemory, stop(), must.Sprint("bytes of heap"))
	must.Less(t, endlessCallers*4096, logged.Load(), must.Sprint("bytes of log"))
	must.Eq(t, 0, s.Memory.Used(buffer.Answers))
	if k.whole { // The others were sent on a connection of which the bytes came later.
		must.GreaterEq(t, endlessCallers/2, answered.Load())
	}
	end := time.Now().Add(time.Second)
	for open.Load() > 0 && time.Now().Before(end) {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 0, open.Load(), must.Sprint("connections are open"))
}

// Guards against requests that could run elsewhere and fail, or answers that are passed on broken, as one of two
// upstreams sends bytes without end, and against one that keeps getting its share of the work.
func TestBytesWithoutEndElsewhere(t *testing.T) {
	for _, k := range endlessKinds() {
		if k.whole {
			continue
		}
		t.Run(k.name, func(t *testing.T) {
			var open atomic.Int64
			want, route := "good", "/again/x"
			good := newUpstream(t, respondText(want))
			if k.stream {
				want, route = eventsUpTo(3), "/resume/x"
				good = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
					writeEvents(r, w, 1, 3, true)
					return true
				})
			}
			s := newTestGate(t, k.upstream(t, true, &open), good)
			s.Memory.Limit = endlessMemory
			stop := watchHeap()
			served := 0
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range endlessCallers {
				wg.Go(func() {
					for range 4 {
						r := s.do("POST", route)
						if r.err == nil && r.status == http.StatusOK {
							must.Eq(t, want, r.body)
							mu.Lock()
							served++
							mu.Unlock()
						}
					}
				})
			}
			wg.Wait()
			must.Less(t, 6*endlessMemory, stop(), must.Sprint("bytes of heap"))
			must.GreaterEq(t, endlessCallers*4*95/100, served)
		})
	}
}

// watchHeap measures the memory in use until stop is called, which returns the most, in bytes beyond that at the
// beginning.
func watchHeap() (stop func() int64) {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var most atomic.Int64
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			runtime.ReadMemStats(&now)
			most.Store(max(most.Load(), int64(now.HeapInuse)-int64(before.HeapInuse))) //nolint:gosec // Far below the limit.
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return func() int64 {
		close(end)
		<-ended
		return most.Load()
	}
}

// Guards against sound answers that are cut, or fail, because there is no room in memory for all of them.
func TestLongAnswersWithoutRoom(t *testing.T) {
	long := strings.Repeat("sound ", 500_000)
	chunks := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"))
		for rest := long; rest != ""; {
			n := min(len(rest), 10_000)
			writeChunk(w, rest[:n])
			rest = rest[n:]
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	for _, tc := range []struct {
		name, path string
		script     func(int, *http.Request, io.Writer) bool
	}{
		{"of a stated length", "/again/x", respondText(long)},
		{"of a stated length, once", "/once/x", respondText(long)},
		{"in chunks, once", "/once/x", chunks},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestGate(t, newUpstream(t, tc.script), newUpstream(t, tc.script))
			s.Memory.Limit = 1 << 20
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					r := s.do("POST", tc.path)
					must.NoError(t, r.err)
					must.Eq(t, http.StatusOK, r.status)
					must.True(t, r.body == long)
				})
			}
			wg.Wait()
			must.Eq(t, 0, s.Memory.Used(buffer.Answers))
		})
	}
}
