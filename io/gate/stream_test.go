package gate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
)

// The first upstream dies in the middle of an event. Another one resumes after the last complete
// event. The caller sees one stream under the first upstream's header, without missing or repeated
// events.
func TestStreamResumes(t *testing.T) {
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, false)
		writeChunk(w, "id: 4\nda")
		closeConn(w)
		return false
	})
	second := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 4, 6, true)
		return true
	})
	s := newTestGate(t, first, second)
	r := s.do("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(6), r.body)
	must.Eq(t, "3", second.requests[0].Header.Get("X-Last"))
}

// Guards against another answer inside a stream, which then ends as complete: the upstream that is to go on
// with the stream answers with an error.
func TestStreamGoesOnWithEventsOnly(t *testing.T) {
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, false)
		closeConn(w)
		return false
	})
	for _, status := range []int{http.StatusNotFound, http.StatusFound, http.StatusNoContent} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			other := newUpstream(t, respond(status, "", ""))
			r := newTestGate(t, first, other).do("POST", "/resume/x")
			must.Error(t, r.err)
			must.Eq(t, eventsUpTo(3), r.body)
		})
	}
}

// A stream that cannot resume elsewhere breaks off. The caller must notice: the body ends without
// the closing chunk, and no second upstream receives the request.
func TestStreamTruncationIsVisible(t *testing.T) {
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, false)
		closeConn(w)
		return false
	})
	second := newUpstream(t, respondText("no"))
	r := newTestGate(t, first, second).do("POST", "/stream/x")
	must.Error(t, r.err)
	must.Eq(t, eventsUpTo(3), r.body)
	must.Eq(t, 0, second.count())
}

// Guards against an answer in HTTP/1.0 that is cut short and looks complete: its end is that of the
// connection.
func TestTruncationIsVisibleInHTTP10(t *testing.T) {
	up := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 3, false)
		time.Sleep(50 * time.Millisecond) // The caller has the events.
		closeConn(w)
		return false
	})
	s := newTestGate(t, up)
	c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprintf(c, "POST /stream/x HTTP/1.0\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", key, idHeader)
	must.NoError(t, err)
	data, err := io.ReadAll(c)
	must.StrContains(t, string(data), eventsUpTo(3))
	must.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a caller that reads slowly and makes its upstream seem silent: the stream would be
// sent to a second upstream, and the first one would count as failed.
func TestSlowCallerKeepsItsUpstream(t *testing.T) {
	const events, size = 64, 512 << 10
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 1, false)
		for i := 2; i <= events; i++ {
			writeChunk(w, fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size)))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	})
	second := newUpstream(t, respondText("no"))
	s := newTestGate(t, first, second)
	s.view.Index.Route("h", "/resume/x").Timeout = time.Minute // The transfer takes seconds under the race detector.
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.srv.URL+"/resume/x", strings.NewReader("text"))
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(idHeader, "1")
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(minEventWait + 300*time.Millisecond)
	n, err := io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
	must.Greater(t, int64(events-1)*size, n)
	must.Eq(t, 0, second.count())
}

// Guards against a log line that blames a silent upstream when the request's time is over. The wait
// for the next event and the request's time end at the same moment.
func TestStreamDeadlineCause(t *testing.T) {
	s := newTestGate(t, newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 1, false)
		return true // The stream stays open, without another event in this time.
	}))
	var mu sync.Mutex
	var ends []string
	s.Log = funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.Contains(line, "without a whole answer") {
			ends = append(ends, line)
		}
	}, funcr.Options{})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			r := s.do("POST", "/stream/x", "X-Wait", "300ms")
			must.Error(t, r.err)
			must.Eq(t, eventsUpTo(1), r.body)
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	must.Len(t, 50, ends)
	for _, line := range ends {
		must.StrContains(t, line, errDeadline.Error())
		must.StrNotContains(t, line, errSilent.Error())
	}
}

// Guards against answers without a length or chunks that are cut short and look complete, that are taken
// for broken off although they came whole, and against another request on their connection.
func TestAnswerEndsWithItsConnection(t *testing.T) {
	const whole = "the whole answer"
	for _, tc := range []struct {
		name   string
		path   string
		answer string // Sent by the first upstream after the header.
		status string // Status line; empty for HTTP/1.1.
		reset  bool   // The connection is reset at the end.
		want   string
		broken bool // The caller sees that the answer is incomplete, or gets an error instead.
		moves  bool // A second upstream goes on.
	}{
		{name: "plain", path: "/once/x", answer: whole, want: whole},
		{name: "plain, HTTP/1.0", path: "/once/x", answer: whole, status: "HTTP/1.0 200 OK", want: whole},
		{name: "plain, empty", path: "/once/x"},
		{name: "plain, reset", path: "/once/x", answer: whole, reset: true, broken: true},
		{name: "plain, reset, may run twice", path: "/again/x", answer: whole, reset: true, want: whole + " of the second", moves: true},
		{name: "stream", path: "/stream/x", answer: eventsUpTo(3), want: eventsUpTo(3)},
		{name: "stream, HTTP/1.0", path: "/stream/x", answer: eventsUpTo(3), status: "HTTP/1.0 200 OK", want: eventsUpTo(3)},
		{name: "stream without events", path: "/stream/x"},
		{name: "stream ends inside an event", path: "/stream/x", answer: eventsUpTo(2) + "id: 3\ndata: 3\n", want: eventsUpTo(2), broken: true},
		{name: "stream ends inside its first event", path: "/stream/x", answer: "id: 1\nda", broken: true},
		{name: "stream, reset after an event", path: "/stream/x", answer: eventsUpTo(2), reset: true, want: eventsUpTo(2), broken: true},
		{name: "resumable, ends inside an event", path: "/resume/x", answer: eventsUpTo(2) + "id: 3\ndata", want: eventsUpTo(5), moves: true},
		{name: "resumable, reset after an event", path: "/resume/x", answer: eventsUpTo(2), reset: true, want: eventsUpTo(5), moves: true},
		{name: "resumable, ends after an event", path: "/resume/x", answer: eventsUpTo(2), want: eventsUpTo(2)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				head := responseHead(r, http.StatusOK, "")
				if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/") {
					head += "Content-Type: text/event-stream\r\n"
				}
				if tc.status != "" {
					_, after, _ := strings.Cut(head, "\r\n")
					head = tc.status + "\r\n" + after
				}
				_, _ = io.WriteString(w, head+"\r\n"+tc.answer)
				if c, ok := w.(*net.TCPConn); ok && tc.reset {
					time.Sleep(50 * time.Millisecond) // Else the reset may overtake the answer.
					_ = c.SetLinger(0)
				}
				closeConn(w)
				return false
			})
			ups := []*upstream{first}
			if tc.moves {
				ups = append(ups, newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
					if strings.HasPrefix(r.URL.Path, "/resume/") {
						from, _ := strconv.Atoi(r.Header.Get("X-Last"))
						writeEvents(r, w, from+1, 5, true)
						return true
					}
					return respondText(whole+" of the second")(n, r, w)
				}))
			}
			s := newTestGate(t, ups...)
			r := s.do("POST", tc.path)
			for range 2 { // The first one to choose may be the second upstream.
				if first.count() > 0 {
					break
				}
				r = s.do("POST", tc.path)
			}
			must.Eq(t, 1, first.count())
			if tc.broken && r.status != http.StatusOK {
				must.Eq(t, http.StatusBadGateway, r.status)
				return
			}
			must.Eq(t, tc.broken, r.err != nil)
			must.Eq(t, http.StatusOK, r.status)
			must.Eq(t, tc.want, r.body)
		})
	}
}

func TestEventLen(t *testing.T) {
	for _, tc := range []struct {
		in   string
		want int
	}{
		{"", 0},
		{"id: 1\ndata: x\n", 0},
		{"id: 1\n\nid", 7},
		{"id: 1\r\n\r\nid", 9},
		{"id: 1\r\n\r\nid: 2\n\n", 9},
	} {
		must.Eq(t, tc.want, eventLen([]byte(tc.in)), must.Sprintf("%q", tc.in))
	}
}

// Guards against memory and upstreams that are held for callers who take nothing any more, such as
// those behind a cut, and against a limit that ends the answer of one who only reads slowly.
func TestCallerThatTakesNothing(t *testing.T) {
	const size, chunks = 1 << 20, 64
	for _, tc := range []struct {
		name  string
		path  string
		reads bool
	}{
		{"stream", "/stream/x", false},
		{"whole answer", "/once/x", false},
		{"slow reader", "/once/x", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := strings.Repeat("x", size)
			u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				if tc.path == "/once/x" {
					return respondText(strings.Repeat(body, 15))(0, r, w)
				}
				writeEvents(r, w, 1, 1, false)
				for i := 2; i <= chunks; i++ {
					writeChunk(w, fmt.Sprintf("id: %d\ndata: %s\n\n", i, body[:size/2]))
				}
				return true
			})
			s := newTestGate(t, u)
			s.CallerTimeout = 300 * time.Millisecond
			done := make(chan struct{})
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(done)
				s.ServeHTTP(w, r)
			}))
			t.Cleanup(front.Close)
			c, err := net.Dial("tcp", front.Listener.Addr().String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: 1\r\nContent-Length: 4\r\n\r\ntext", tc.path, key, idHeader)
			must.NoError(t, err)
			if tc.reads {
				buf, total := make([]byte, 256<<10), 0
				for total < 15*size {
					n, err := c.Read(buf)
					must.NoError(t, err)
					total += n
					time.Sleep(20 * time.Millisecond)
				}
			}
			select {
			case <-done:
			case <-time.After(5 * time.Second):
				t.Fatal("the request does not end")
			}
		})
	}
}
