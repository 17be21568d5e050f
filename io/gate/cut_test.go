package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
	"azurelane/io/client"
)

const cutWorkers = 8

// cutResponse is a response of which a part is sent.
type cutResponse struct {
	name, head, body string
	want             string // What the caller gets of the whole response.
	byClose          bool   // It has neither a length nor chunks.
	stream           bool
}

func cutResponses() []cutResponse {
	const (
		text   = "the whole answer"
		begin  = "HTTP/1.1 200 X\r\nX-Id: 1\r\nX-Mark: m\r\n"
		old    = "HTTP/1.0 200 X\r\nX-Id: 1\r\nX-Mark: m\r\n"
		events = "Content-Type: text/event-stream\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
	)
	two := eventsUpTo(2)
	crlf := strings.ReplaceAll(two, "\n", "\r\n")
	return []cutResponse{
		{name: "length", head: begin + "Content-Length: 16\r\n\r\n", body: text, want: text},
		{name: "length twice, LF only, folded, after an interim one", head: "HTTP/1.1 100 X\n\nHTTP/1.1 200 X\nX-Id: 1\nX-Mark: m\nX-Long: a\n b\n \nContent-Length: 16\nContent-Length: 16\n\n", body: text, want: text},
		{name: "chunks", head: begin + chunks, body: "8;n=v\r\nthe whol\r\n8\r\ne answer\r\n0;e\r\nX-End: 1\r\n\r\n", want: text},
		{name: "neither", head: begin + "\r\n", body: text, want: text, byClose: true},
		{name: "neither, HTTP/1.0, LF only", head: strings.ReplaceAll(old, "\r", "") + "\n", body: text, want: text, byClose: true},
		{name: "stream, length", head: begin + events + "Content-Length: 30\r\n\r\n", body: two, want: two, stream: true},
		{name: "stream, chunks, after an interim one", head: "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + begin + chunks, body: "f\r\n" + two[:15] + "\r\n5;n=v\r\n" + two[15:20] + "\r\na\r\n" + two[20:] + "\r\n0\r\nX-End: 1\r\n\r\n", want: two, stream: true},
		{name: "stream, neither", head: begin + events + "\r\n", body: two, want: two, byClose: true, stream: true},
		{name: "stream, neither, HTTP/1.0, CRLF", head: old + events + "\r\n", body: crlf, want: crlf, byClose: true, stream: true},
	}
}

// cutEnd is how an upstream ends a response.
type cutEnd struct {
	name  string
	reset bool
	ends  bool // The upstream takes no connections any more.
	kept  bool // The connection has served another request.
	moves bool // The request may run again at a second upstream.
}

// cutSite is a gate before upstreams that cut one response.
type cutSite struct {
	*testGate

	ups    []*upstream
	cut    atomic.Value // Of the response.
	before atomic.Value // Of the last other request.
}

// cutConn is a connection and the path of a request on it.
type cutConn struct {
	io.Writer
	path string
}

// cutProber opens no connections, of which there would be thousands.
type cutProber struct {
	testProber
	closed bool
}

func (p *cutProber) Closed(context.Context, netip.AddrPort) (closed, sure bool) {
	return p.closed, true
}

// Guards against answers that are cut short, in the head or the body, and look complete.
func TestCutResponses(t *testing.T) {
	for _, e := range []cutEnd{
		{name: "FIN"},
		{name: "FIN, kept", kept: true},
		{name: "FIN, process ends, kept", ends: true, kept: true},
		{name: "reset", reset: true},
		{name: "reset, kept", reset: true, kept: true},
		{name: "FIN, moves", moves: true},
		{name: "FIN, process ends, moves", ends: true, moves: true},
		{name: "reset, moves", reset: true, moves: true},
	} {
		for _, c := range cutResponses() {
			if e.ends && !c.byClose && c.name != "length" {
				continue // The end of the process changes nothing, and each needs its own port.
			}
			t.Run(e.name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				var next atomic.Int64
				var wg sync.WaitGroup
				for range cutWorkers {
					wg.Go(func() {
						s := newCutSite(t, e, c)
						defer s.close()
						for at := int(next.Add(1)); at <= len(c.head+c.body)+1; at = int(next.Add(1)) {
							s.check(e, c, at-1)
						}
					})
				}
				wg.Wait()
			})
		}
	}
}

func (e cutEnd) path(c cutResponse) string {
	switch {
	case c.stream && e.moves:
		return "/resume/x"
	case c.stream:
		return "/stream/x"
	case e.moves:
		return "/again/x"
	}
	return "/once/x"
}

// passed returns what a caller may get as whole, and whether it may get anything as whole.
func (e cutEnd) passed(c cutResponse, at int) (body string, ok bool) {
	if at == len(c.head+c.body) && (!c.byClose || !e.reset && !e.ends) {
		return c.want, true
	}
	if !c.byClose || e.reset || e.ends || at < len(c.head) {
		return "", false
	}
	body = c.body[:at-len(c.head)] // Nobody can tell.
	return body, !c.stream || body == "" || strings.HasSuffix(body, "\n\n") || strings.HasSuffix(body, "\r\n\r\n")
}

func newCutSite(t *testing.T, e cutEnd, c cutResponse) *cutSite {
	t.Helper()
	s := &cutSite{testGate: newTestGate(t)}
	s.RetrySlack, s.Prober = 1e6, &cutProber{closed: e.ends}
	s.checkHealthAt("/health")
	s.view.Index.Route("h", e.path(c)).Timeout = 20 * time.Second // Many run at once.
	return s
}

// close ends connections, which hold memory that other tests measure.
func (s *cutSite) close() {
	s.srv.Close()
	s.Sender.(*client.Client).Close()
	s.Calls.(*client.Client).Close()
	for _, u := range s.ups {
		_ = u.Close()
	}
}

// refresh puts an upstream in front of the gate that has failed no request, or two if the request moves.
func (s *cutSite) refresh(e cutEnd, c cutResponse, at int) {
	s.t.Helper()
	if s.ups == nil || e.ends {
		s.Sender.(*client.Client).Close()
		s.ups = nil
		for range 1 + map[bool]int{true: 1}[e.moves] {
			s.ups = append(s.ups, newUpstream(s.t, func(_ int, r *http.Request, w io.Writer) bool { return s.respond(e, c, r, w) }))
		}
	}
	var roster []*wire.Upstream
	for n, u := range s.ups {
		roster = append(roster, &wire.Upstream{Id: fmt.Sprintf("up-%d-%d", at, n), Address: u.Addr().String(), Slots: 1, DataCentre: fmt.Sprintf("z%d", n)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Upstreams = map[string][]*wire.Upstream{"p": roster}
}

func (s *cutSite) respond(e cutEnd, c cutResponse, r *http.Request, w io.Writer) bool {
	conn := cutConn{w, r.URL.Path}
	at, err := strconv.Atoi(r.Header.Get("X-Cut"))
	last, _ := s.cut.Load().(cutConn)
	switch {
	case r.URL.Path == "/health":
		_, _ = io.WriteString(w, "HTTP/1.1 200 X\r\nX-Instance: "+r.Header.Get("X-Instance")+"\r\nContent-Length: 0\r\n\r\n")
		return false
	case err != nil:
		s.before.Store(conn)
	case last.path != conn.path && s.cut.CompareAndSwap(s.cut.Load(), conn):
		s.end(e, w.(*net.TCPConn), (c.head + c.body)[:at])
		return false
	}
	if c.stream {
		from, _ := strconv.Atoi(r.Header.Get("X-Last"))
		writeEvents(r, w, from+1, 2, true)
		return true
	}
	return respondText(c.want)(0, r, w)
}

// end sends a part of a response and ends its connection.
func (s *cutSite) end(e cutEnd, w *net.TCPConn, part string) {
	_, _ = io.WriteString(w, part)
	for _, u := range s.ups {
		if e.ends && u.Addr().String() == w.LocalAddr().String() {
			_ = u.Close()
		}
	}
	if e.reset {
		time.Sleep(2 * time.Millisecond) // Else the reset may overtake the response.
		_ = w.SetLinger(0)
	}
	_ = w.Close()
}

// check cuts one response.
func (s *cutSite) check(e cutEnd, c cutResponse, at int) {
	s.t.Helper()
	s.refresh(e, c, at)
	path := e.path(c) + strconv.Itoa(at) // Each request has its own digest.
	if e.kept {
		for range 2 { // The first one shows that the upstream repeats ids.
			must.NoError(s.t, s.do("POST", path).err)
		}
	} else {
		s.Sender.(*client.Client).Close()
	}
	r := s.do("POST", path, "X-Cut", strconv.Itoa(at))
	if e.kept && s.cut.Load() != s.before.Load() {
		s.t.Errorf("byte %d: on a new connection", at)
	}
	if err := e.judge(c, at, r); err != nil {
		s.t.Errorf("byte %d: %v: %d %q, %v", at, err, r.status, r.body, r.err)
	}
	if e.ends {
		for _, u := range s.ups {
			_ = u.Close()
		}
	}
}

// judge returns an error if a caller gets what it must not.
func (e cutEnd) judge(c cutResponse, at int, r reply) error {
	body, ok := e.passed(c, at)
	whole := r.err == nil && r.status == http.StatusOK
	switch {
	case whole && ok && r.body == body:
	case whole && e.moves && strings.ReplaceAll(r.body, "\r", "") == strings.ReplaceAll(c.want, "\r", ""):
	case whole:
		return fmt.Errorf("counts as whole: want %q, %t", body, ok)
	case ok && !e.reset, e.moves:
		return errors.New("no answer")
	case r.status != http.StatusBadGateway && (r.err == nil || !strings.HasPrefix(c.want, r.body)):
		return errors.New("no answer")
	}
	return nil
}
