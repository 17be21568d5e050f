package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/grant"
	"azurelane/io/httpd"
)

// slowScheduler grants a slot after some time.
type slowScheduler struct {
	fakeScheduler
	after   time.Duration
	address string
}

func (g *slowScheduler) Grant(ctx context.Context, _ *wire.Ticket) (*wire.Grant, error) {
	select {
	case <-time.After(g.after):
		return &wire.Grant{Upstream: "up-0", Address: g.address}, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("grant: %w", ctx.Err())
	}
}

// Guards against callers that get no answer when their entry has to stop: what has not run is refused,
// and of what may have run nothing is promised. No upstream may be blamed for it.
func TestEndOfServerIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		name   string
		grant  time.Duration
		status int
		code   string
	}{
		{"waits for a slot", time.Minute, http.StatusServiceUnavailable, refuse.ShuttingDown},
		{"runs", time.Millisecond, http.StatusBadGateway, refuse.UpstreamLost},
	} {
		t.Run(tt.name, func(t *testing.T) {
			hang := make(chan struct{})
			defer close(hang)
			u := newUpstream(t, func(int, *http.Request, io.Writer) bool {
				<-hang
				return false
			})
			s := newTestGate(t, u)
			s.withScheduler(nil)
			g := &slowScheduler{after: tt.grant, address: u.Addr().String()}
			s.granter = g
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			srv := &httpd.Httpd{Listen: ln, Handler: s.Gate, Drain: 400 * time.Millisecond, DrainOpen: 10 * time.Millisecond}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- srv.Serve(ctx) }()
			time.AfterFunc(200*time.Millisecond, cancel)
			s.srv.URL = "http://" + ln.Addr().String()
			got := s.do(http.MethodPost, "/once/x")
			must.NoError(t, got.err)
			must.Eq(t, tt.status, got.status)
			must.StrContains(t, got.body, tt.code)
			<-done
			g.mu.Lock()
			defer g.mu.Unlock()
			for _, rel := range g.released {
				must.False(t, rel.GetFailed(), must.Sprint("the upstream is blamed for the stop"))
			}
		})
	}
}

// Guards against requests that a stop cuts while they wait for an upstream or for the rest of their
// body, neither served nor refused: callers can't know that they never ran.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	const (
		refuseFrom = 100 * time.Millisecond
		deadline   = time.Second
	)
	for _, tt := range []struct {
		name    string
		grant   time.Duration // Until the scheduler grants a slot; zero if no upstream is known.
		wait    time.Duration // How long the caller waits.
		body    string        // Of 4 bytes.
		refused bool
	}{
		{"at the scheduler", 10 * time.Second, 0, "text", true},
		{"for a scheduler", 0, 0, "text", true},
		{"for its body", time.Millisecond, 0, "te", true},
		{"until a slot is free, with less time than the entry", 300 * time.Millisecond, 800 * time.Millisecond, "text", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, respondText("done"))
			s := newTestGate(t, u)
			s.withScheduler(nil)
			s.granter = &slowScheduler{after: tt.grant, address: u.Addr().String()}
			if tt.grant == 0 {
				s.granter = &fakeScheduler{grant: func(*wire.Ticket) (*wire.Grant, error) { return nil, grant.ErrNoOwner }}
				s.view.Owner, s.view.Upstreams = nil, nil
				s.view.Index.Route("h", "/once/x").Objective = 10 * time.Second
			}
			c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = c.Close() }()
			must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n", key)
			must.NoError(t, err)
			if tt.wait > 0 {
				_, err = fmt.Fprintf(c, "X-Wait: %s\r\n", tt.wait)
				must.NoError(t, err)
			}
			_, err = io.WriteString(c, "\r\n"+tt.body)
			must.NoError(t, err)
			time.Sleep(refuseFrom / 2)
			start := time.Now()
			s.Drain(DrainSchedule{RefuseFrom: start.Add(refuseFrom), Deadline: start.Add(deadline)})
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			must.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			text, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			if !tt.refused {
				must.Eq(t, "done", string(text))
				return
			}
			must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
			must.StrContains(t, string(text), refuse.ShuttingDown)
			must.Eq(t, drainRetryAfter.String(), resp.Header.Get("Retry-After"))
			must.Between(t, refuseFrom, time.Since(start), deadline/2)
			must.Eq(t, 0, u.count())
		})
	}
}
