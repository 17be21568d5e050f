package gate

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
)

// The first upstream dies in the middle of an event. Another one goes on after
// the last whole event; the caller sees one stream, none missing, none twice,
// under the first one's header.
func TestStreamGoesOn(t *testing.T) {
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		events(r, w, 1, 3, false)
		chunk(w, "id: 4\nda")
		closeConn(w)
		return false
	})
	second := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		events(r, w, 4, 6, true)
		return true
	})
	s := newSite(t, first, second)
	r := s.ask("POST", "/resume/x")
	must.NoError(t, r.err)
	must.Eq(t, streamTo(6), r.body)
	must.Eq(t, "3", second.seen[0].Header.Get("X-Last"))
}

// A stream that may not go on elsewhere breaks. The caller must see that: its
// body ends without the closing chunk, and no second upstream gets the request.
func TestStreamBreaksVisibly(t *testing.T) {
	first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		events(r, w, 1, 3, false)
		closeConn(w)
		return false
	})
	second := newUpstream(t, text("no"))
	r := newSite(t, first, second).ask("POST", "/stream/x")
	must.Error(t, r.err)
	must.Eq(t, streamTo(3), r.body)
	must.Eq(t, 0, second.count())
}

// A stream is still on its way when its time is over. What the wait for the next
// event and the time itself end in the same moment is told by its cause, the
// time: who reads the log would else look for an upstream that fell silent.
func TestStreamOverItsTime(t *testing.T) {
	s := newSite(t, newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		events(r, w, 1, 1, false)
		return true // It goes on, without another event in this time.
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
			r := s.ask("POST", "/stream/x", "X-Wait", "300ms")
			must.Error(t, r.err)
			must.Eq(t, streamTo(1), r.body)
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	must.Len(t, 50, ends)
	for _, line := range ends {
		must.StrContains(t, line, errDeadline.Error())
		must.StrNotContains(t, line, errQuiet.Error())
	}
}

// A stream without a length ends with its connection. It is whole.
func TestUnframedStream(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, head(r, http.StatusOK, "Content-Type: text/event-stream\r\n\r\n")+streamTo(3))
		closeConn(w)
		return false
	})
	r := newSite(t, u).ask("POST", "/stream/x")
	must.NoError(t, r.err)
	must.Eq(t, streamTo(3), r.body)
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
