package gate

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

// startResetting starts an upstream that answers before it has read the body, with a part of an answer without a
// length, and ends the connection while the body is being written.
func startResetting(t *testing.T, part string, closes bool, runs *atomic.Int64) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		_ = c.SetReadBuffer(32 << 10)
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			respondText("")(0, r, c)
			return
		}
		runs.Add(1)
		_, _ = io.WriteString(c, responseHead(r, http.StatusOK, "\r\n")+part)
		_, _ = io.CopyN(io.Discard, c, 32<<10)
		time.Sleep(2 * time.Millisecond) // The gate waits for room.
		if !closes {
			_ = c.SetLinger(0)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return &upstream{Listener: ln}
}

// Guards against a part of an answer without a length that a caller gets as whole, because its upstream reset the
// connection while the body was being written.
func TestResetDuringBody(t *testing.T) {
	const (
		sends = 10
		size  = 300 << 10
	)
	for _, tc := range []struct {
		name, path string
		part, want string // Of the answer; empty if no answer may look whole.
		closes     bool
	}{
		{name: "once", path: "/once/x", part: "a part"},
		{name: "once, closes", path: "/once/x", part: "a part", closes: true},
		{name: "again", path: "/again/x", part: "a part", want: "whole"},
		{name: "again, closes", path: "/again/x", part: "a part", want: "whole", closes: true},
		{name: "stream", path: "/stream/x", part: eventsUpTo(2)},
		{name: "resumable stream", path: "/resume/x", part: eventsUpTo(2), want: eventsUpTo(5)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			ups := []*upstream{startResetting(t, tc.part, tc.closes, &runs)}
			if tc.want != "" {
				ups = append(ups, newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
					if strings.HasPrefix(r.URL.Path, "/resume/") {
						from, _ := strconv.Atoi(r.Header.Get("X-Last"))
						writeEvents(r, w, from+1, 5, true)
						return true
					}
					return respondText(tc.want)(n, r, w)
				}))
			}
			parts := 0
			for range sends {
				s := newTestGate(t, ups...) // It has seen no failure.
				s.checkHealthAt("/health")
				s.view.Index.Route("h", tc.path).Timeout = 20 * time.Second // Many run at once.
				s.Sender = &client.Client{Echo: idHeader, Dial: dialSmall}
				r := s.upload(tc.path, size)
				whole := r.err == nil && r.status == http.StatusOK
				if whole && r.body == tc.part {
					parts++
				}
				if tc.want != "" {
					must.True(t, whole, must.Sprint(r.status, r.err))
					must.True(t, r.body == tc.want || r.body == tc.part, must.Sprint(r.body))
				}
				s.srv.Close()
				s.Sender.(*client.Client).Close()
				s.Calls.(*client.Client).Close()
			}
			must.Positive(t, runs.Load())
			must.Eq(t, 0, parts, must.Sprintf("of %d answers", runs.Load()))
		})
	}
}

// dialSmall opens a connection that holds little of what its other side has not read.
func dialSmall(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(16 << 10)
}

// upload sends a request with a long body.
func (s *testGate) upload(path string, size int) reply {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.srv.URL+path, bytes.NewReader(make([]byte, size)))
	must.NoError(s.t, err)
	return s.send(r)
}
