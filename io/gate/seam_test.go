package gate

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/origin"
)

// Guards against pieces that come twice: a stream breaks off after events without an ID, and is taken up after the
// last one that has an ID, or from its start.
func TestSeamAfterEventsWithoutID(t *testing.T) {
	for _, tc := range []struct {
		name, first string
	}{
		{"none has an ID", "data: 1\n\ndata: 2\n\n"},
		{"the last has none", "id: 1\ndata: 1\n\ndata: 2\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"))
				writeChunk(w, tc.first)
				time.Sleep(50 * time.Millisecond)
				closeConn(w)
				return false
			})
			second := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
				_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Transfer-Encoding: chunked\r\n\r\n"))
				if r.Header.Get("X-Last") == "" {
					writeChunk(w, tc.first)
				} else {
					writeChunk(w, "data: 2\n\n")
				}
				writeChunk(w, "id: 3\ndata: 3\n\n")
				_, _ = io.WriteString(w, "0\r\n\r\n")
				return true
			})
			s := newTestGate(t, first, second)
			r := s.do("POST", "/resume/x")
			for range 3 { // The second upstream may be chosen first.
				if first.count() > 0 {
					break
				}
				r = s.do("POST", "/resume/x")
			}
			must.Eq(t, 1, first.count())
			must.Eq(t, 1, strings.Count(r.body, "data: 2\n"), must.Sprintf("%q, %v", r.body, r.err))
		})
	}
}

// Guards against pieces that come twice: an upstream begins a stream anew that is to go on after an event.
func TestStreamBegunAnewIsNotJoined(t *testing.T) {
	anew := func(_ int, r *http.Request, w io.Writer) bool {
		writeEvents(r, w, 1, 5, true)
		return true
	}
	t.Run("broken off at another upstream", func(t *testing.T) {
		first := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
			writeEvents(r, w, 1, 3, false)
			time.Sleep(50 * time.Millisecond)
			closeConn(w)
			return false
		})
		s := newTestGate(t, first, newUpstream(t, anew))
		r := s.do("POST", "/resume/x")
		for n := 0; first.count() == 0 && n < 3; n++ { // The second upstream may be chosen first.
			r = s.do("POST", "/resume/x")
		}
		must.Error(t, r.err)
		must.Eq(t, eventsUpTo(3), r.body)
	})
	t.Run("taken up by the caller", func(t *testing.T) {
		s := newMixedGate(t, []string{"v1"}, newUpstream(t, anew))
		s.origins.streams.Record(time.Now(), origin.Key("radio", "p", "first"), "v1", time.Minute)
		r := s.do("POST", "/resume/x", "X-Last-Event", "3", "X-Resumes", "first")
		must.Eq(t, http.StatusBadGateway, r.status)
	})
}
