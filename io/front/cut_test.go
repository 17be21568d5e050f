package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/io/front"
)

const (
	cutAt      = "X-Cut-At" // Bytes of the response that are sent.
	cutWorkers = 8
)

// cutUpstream answers requests without cutAt whole, and ends its connection inside the others' responses.
type cutUpstream struct {
	net.Listener

	response string
	reset    bool
	ends     bool         // It takes no connections any more.
	requests atomic.Int64 // Of the connection of the last cut response.
}

// newCutUpstream makes an upstream the only one of a site.
func newCutUpstream(t *testing.T, s *site, response string) *cutUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	u := &cutUpstream{Listener: ln, response: response}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn))
		}
	}()
	s.granter.mu.Lock()
	defer s.granter.mu.Unlock()
	s.granter.ups = []string{ln.Addr().String()}
	return u
}

func (u *cutUpstream) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := int64(1); ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(front.HeaderRequest)
		at, err := strconv.Atoi(r.Header.Get(cutAt))
		if err != nil {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", front.HeaderRequest, id)
			continue
		}
		u.requests.Store(n)
		_, _ = io.WriteString(c, strings.ReplaceAll(u.response, "ID", id)[:at+strings.Count(u.response[:at], "ID")*(len(id)-len("ID"))])
		if u.ends {
			_ = u.Close()
		}
		if u.reset {
			time.Sleep(2 * time.Millisecond) // Else the reset may overtake the response.
			_ = c.SetLinger(0)
		}
		return
	}
}

// Guards against answers that are cut short, in the head or the body, and look complete.
func TestCutResponses(t *testing.T) {
	const (
		text   = `{"usage":{}}`
		begin  = "HTTP/1.1 200 OK\r\nAzurelane-Request: ID\r\n"
		events = "data: {}\n\ndata: [DONE]\n\n"
	)
	for _, tc := range []struct {
		name, head, body, want string
		stream, byClose        bool
	}{
		{name: "length", head: begin + "Content-Length: 12\r\n\r\n", body: text, want: text},
		{name: "chunks", head: begin + "Transfer-Encoding: chunked\r\n\r\n", body: "8;n=v\r\n" + text[:8] + "\r\n4\r\n" + text[8:] + "\r\n0\r\nX-End: 1\r\n\r\n", want: text},
		{name: "length, LF only, HTTP/1.0, after an interim one", head: "HTTP/1.1 100 X\n\nHTTP/1.0 200 X\nAzurelane-Request: ID\nX-Long: a\n b\nContent-Length: 12\n\n", body: text, want: text},
		{name: "neither", head: begin + "\r\n", body: text, byClose: true},
		{name: "stream, length", head: begin + "Content-Length: 24\r\n\r\n", body: events, want: events, stream: true},
		{name: "stream, chunks", head: begin + "Transfer-Encoding: chunked\r\n\r\n", body: "a\r\n" + events[:10] + "\r\n4\r\n" + events[10:14] + "\r\na\r\n" + events[14:] + "\r\n0\r\n\r\n", want: events, stream: true},
		{name: "stream, neither", head: begin + "\r\n", body: events, want: events, stream: true, byClose: true},
	} {
		for _, end := range []struct {
			name              string
			reset, ends, kept bool
		}{{name: "FIN"}, {name: "FIN, process ends, kept", ends: true, kept: true}, {name: "reset, kept", reset: true, kept: true}} {
			t.Run(tc.name+"/"+end.name, func(t *testing.T) {
				t.Parallel()
				response := tc.head + tc.body
				check := func(s *site, u *cutUpstream, at int) error {
					if end.kept {
						for range 2 { // The first one shows that the upstream repeats ids.
							must.Eq(t, "whole", s.entries[0].ask(ask{}).outcome)
						}
					} else {
						s.client.Close()
					}
					got := s.entries[0].ask(ask{stream: tc.stream, header: http.Header{cutAt: {strconv.Itoa(at)}}})
					whole := got.err == nil && got.outcome == "whole"
					switch {
					case end.kept != (u.requests.Load() > 1):
						return fmt.Errorf("request %d of its connection", u.requests.Load())
					case whole && (at < len(response) || got.body != tc.want):
						return fmt.Errorf("%q counts as whole", got.body)
					case !whole && got.code != refuse.UpstreamLost && !strings.Contains(got.body, refuse.UpstreamLost):
						return fmt.Errorf("%d %q, %w", got.status, got.body, got.err)
					case !whole && at == len(response) && tc.want != "" && !end.reset:
						return fmt.Errorf("whole, and %q, %w", got.body, got.err)
					}
					return nil
				}
				var next atomic.Int64
				var wg sync.WaitGroup
				for range cutWorkers {
					wg.Go(func() {
						s := newSite(t, 1)
						var u *cutUpstream
						for at := int(next.Add(1)) - 1; at <= len(response); at = int(next.Add(1)) - 1 {
							if u == nil || end.ends {
								u = newCutUpstream(t, s, response)
								u.reset, u.ends = end.reset, end.ends
							}
							if err := check(s, u, at); err != nil {
								t.Errorf("byte %d: %v", at, err)
							}
						}
					})
				}
				wg.Wait()
			})
		}
	}
}

// Guards against a request that runs with a part of its body, because its caller was killed.
func TestCutRequests(t *testing.T) {
	const (
		begin = "POST " + chatPath + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-one\r\nConnection: close\r\n"
		body  = `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"x"}]}   `
	)
	for _, tc := range []struct{ name, request string }{
		{"length", begin + "Content-Length: 74\r\n\r\n" + body},
		{"chunks", begin + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + body[:5] + "\r\n45\r\n" + body[5:] + "\r\n0\r\nX-End: 1\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			for at := range len(tc.request) + 1 {
				whole := at == len(tc.request)
				c, err := net.Dial("tcp", s.entries[0].Listener.Addr().String())
				must.NoError(t, err)
				_, err = io.WriteString(c, tc.request[:at])
				must.NoError(t, err)
				if !whole { // Else it counts as a caller that leaves.
					must.NoError(t, c.(*net.TCPConn).CloseWrite())
				}
				data, err := io.ReadAll(c)
				must.NoError(t, err)
				must.NoError(t, c.Close())
				must.Eq(t, whole, strings.HasPrefix(string(data), "HTTP/1.1 200 "), must.Sprintf("byte %d: %q", at, data))
			}
			must.SliceLen(t, 1, s.engine.Journal())
		})
	}
}
