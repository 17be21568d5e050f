package gate

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// Guards against a ban of a sound request: upstreams that leave close their listeners first, as servers that shut
// down in order do, and finish what they have. Their answers are whole, and no process has crashed.
func TestLeavingUpstreamHasNotCrashed(t *testing.T) {
	const whole = "the whole answer"
	s := newTestGate(t)
	for n := range 4 {
		var u *upstream
		listening := make(chan struct{})
		u = newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
			<-listening
			_ = u.Close()
			_, _ = io.WriteString(w, responseHead(r, http.StatusOK, leavingHeader)+"\r\n"+whole)
			closeConn(w)
			return false
		})
		close(listening)
		s.mu.Lock()
		s.view.Upstreams["p"] = []*wire.Upstream{{Id: "up-" + strconv.Itoa(n), Address: u.Addr().String(), Slots: 1}}
		s.mu.Unlock()
		s.do("POST", "/once/x")
		time.Sleep(50 * time.Millisecond) // A crash is recorded in the background.
		must.Eq(t, 1, u.count(), must.Sprintf("send %d: the request is banned", n+1))
	}
	must.Eq(t, 0, s.crashCount())
}

// Guards against whole answers that count as cut because their upstream is busy: a health check waits for a slot like
// any other request, and is refused at the deadline that it states.
func TestCheckOfABusyUpstream(t *testing.T) {
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if r.URL.Path == "/health" {
			left, err := time.ParseDuration(r.Header.Get("X-Left"))
			must.NoError(t, err)
			time.Sleep(left)
			_, _ = io.WriteString(w, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "")+"\r\n"+eventsUpTo(2))
		closeConn(w)
		return false
	})
	s := newTestGate(t, u)
	s.checkHealthAt("/health")
	r := s.do("POST", "/stream/x")
	must.Eq(t, eventsUpTo(2), r.body)
	must.NoError(t, r.err)
}

// Guards against whole answers that count as cut because their upstream is at its limit of connections for longer
// than a moment: the check has a second.
func TestCheckWhileConnectionsAreReset(t *testing.T) {
	var fullUntil atomic.Pointer[time.Time]
	u := newUpstream(t, func(_ int, r *http.Request, w io.Writer) bool {
		if r.URL.Path == "/health" {
			if time.Now().Before(*fullUntil.Load()) {
				if c, ok := w.(*net.TCPConn); ok {
					_ = c.SetLinger(0)
				}
				closeConn(w)
				return false
			}
			_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		end := time.Now().Add(400 * time.Millisecond)
		fullUntil.Store(&end)
		_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "")+"\r\n"+eventsUpTo(2))
		closeConn(w)
		return false
	})
	s := newTestGate(t, u)
	s.checkHealthAt("/health")
	r := s.do("POST", "/stream/x")
	must.Eq(t, eventsUpTo(2), r.body)
	must.NoError(t, r.err)
}
