package gate

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
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

// A stream without a length ends when its connection closes. It is complete.
func TestUnframedStream(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream\r\n\r\n")+eventsUpTo(3))
		closeConn(w)
		return false
	})
	r := newTestGate(t, u).do("POST", "/stream/x")
	must.NoError(t, r.err)
	must.Eq(t, eventsUpTo(3), r.body)
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
