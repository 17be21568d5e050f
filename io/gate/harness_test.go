package gate

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/digest"
	"azurelane/core/index"
	"azurelane/core/meta"
	"azurelane/core/peers"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/client"
	"azurelane/io/dialer"
	"azurelane/io/watch"
)

const (
	idHeader      = "X-Id"
	genuineHeader = "X-Mark"
	key           = "secret"
	otherKey      = "other secret" // Of another client account.
)

// testDialect is the dialect of these tests.
type testDialect struct{}

func (testDialect) Read(h http.Header) (meta.Meta, error) {
	m := meta.Meta{ID: h.Get(idHeader), Prompt: 100, Answer: 100, LastEvent: h.Get("X-Last-Event"), Resumes: h.Get("X-Resumes")}
	if v := h.Get("X-Parts"); v != "" {
		for name := range strings.SplitSeq(v, ",") {
			m.Parts = append(m.Parts, meta.Part{Name: name})
		}
	}
	if v := h.Get("X-Wait"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return m, fmt.Errorf("testDialect: %w", err)
		}
		m.Deadline = d
	}
	return m, nil
}

func (testDialect) Forward(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Del("Content-Length")
	return out
}

func (testDialect) Stamp(h http.Header, hop meta.Hop) {
	h.Set("X-Instance", hop.Instance)
	h.Set("X-Account", hop.Account)
	h.Set("X-Last", hop.LastEvent)
	h.Set("X-Left", hop.Left.String())
}

func (testDialect) NotRun(r *http.Response) bool { return r.Header.Get("X-Not-Run") != "" }

func (testDialect) Other(r *http.Response) bool { return r.StatusCode == http.StatusMisdirectedRequest }

func (testDialect) Load(r *http.Response) (peers.Load, bool) {
	pace, err := strconv.ParseFloat(r.Header.Get("X-Pace"), 64)
	return peers.Load{Pace: pace}, err == nil
}

func (testDialect) Limit(r *http.Response) (float64, bool) {
	rate, err := strconv.ParseFloat(r.Header.Get("X-Limit"), 64)
	return rate, err == nil
}

func (testDialect) Brittle(r *http.Response) (int64, bool) {
	n, err := strconv.ParseInt(r.Header.Get("X-Brittle"), 10, 64)
	return n, err == nil
}

func (testDialect) Rest(r *http.Response) time.Duration {
	if r.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	d, _ := time.ParseDuration(r.Header.Get("X-Rest"))
	return d
}
func (testDialect) Leaving(r *http.Response) bool { return r.Header.Get("X-Leaving") == "1" }

func (testDialect) Return(h http.Header) { h.Del("X-Leaving") }

func (testDialect) Instance(r *http.Response) string { return r.Header.Get("X-Instance") }

func (testDialect) Genuine(r *http.Response) bool { return r.Header.Get(genuineHeader) != "" }

func (testDialect) Refuse(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// testGate is a Gate in front of test upstreams.
type testGate struct {
	*Gate
	t        testing.TB
	mu       sync.Mutex
	view     watch.View
	granter  granter
	replaced []string

	refuseCharge bool
	chargedUnits int64
	noPath       bool

	schedulerKnows string // Version at which each stream began, as the scheduler says; empty for unknown.

	configured chan struct{}
	srv        *httptest.Server
}

func (s *testGate) View() *watch.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

func (s *testGate) Configured() <-chan struct{} { return s.configured }

// Charge counts the usage that the scheduler is asked for, and allows it unless refuseCharge is set.
func (s *testGate) Charge(_ context.Context, u *wire.Usage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuseCharge {
		return refuse.New(refuse.AccountLimit, "", time.Second)
	}
	for _, a := range u.GetAccounts() {
		s.chargedUnits += a.GetUnits()
	}
	return nil
}

// Excuses reports whether noPath is set.
func (s *testGate) Excuses(string) bool { return s.Blocked() }

// Blocked reports whether noPath is set.
func (s *testGate) Blocked() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.noPath
}

func (s *testGate) Doubt(context.Context) {}

// testProber is sure of what it sees unless it has no path.
type testProber struct {
	client.Client
	noPath bool
}

func (p *testProber) Closed(ctx context.Context, addr netip.AddrPort) (closed, sure bool) {
	return p.Client.Closed(ctx, addr), !p.noPath
}

// Runs reports whether a connection is accepted and stays open.
func (*testProber) Runs(ctx context.Context, addr netip.AddrPort) bool {
	return (&dialer.Dialer{}).Runs(ctx, addr)
}

// FindOrigin returns schedulerKnows if it is set.
func (s *testGate) FindOrigin(context.Context, string, digest.Digest, time.Duration) (version string, known bool, err error) {
	return s.schedulerKnows, s.schedulerKnows != "", nil
}

// Replaced records an upstream unless it has another address by now.
func (s *testGate) Replaced(former *wire.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.view.Upstreams["p"] {
		if u.GetId() == former.GetId() && u.GetAddress() == former.GetAddress() {
			s.replaced = append(s.replaced, former.GetId())
		}
	}
}

// upstream responds to each request by a script. The script gets the request's number, from 0, and
// the raw connection, so that it can violate the protocol.
type upstream struct {
	net.Listener
	mu         sync.Mutex
	requests   []*http.Request
	bodies     []string
	callerGone chan struct{} // Closed when a connection ended while its request was running.
	once       sync.Once
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// received reports whether a request with the given ID has arrived.
func (u *upstream) received(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.requests, func(r *http.Request) bool { return r.Header.Get(idHeader) == id })
}

func newUpstream(t testing.TB, script func(n int, r *http.Request, w io.Writer) (keep bool)) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{Listener: ln, callerGone: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c, script)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, script func(n int, r *http.Request, w io.Writer) bool) {
	defer func() { _ = c.Close() }()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		u.mu.Lock()
		n := len(u.requests)
		u.requests, u.bodies = append(u.requests, r), append(u.bodies, string(body))
		u.mu.Unlock()
		if !script(n, r, c) {
			if _, err := br.ReadByte(); err != nil {
				u.once.Do(func() { close(u.callerGone) })
			}
			return
		}
	}
}

// responseHead returns the header of a genuine response to r.
func responseHead(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: m\r\n%s", status, idHeader, r.Header.Get(idHeader), genuineHeader, more)
}

func respondText(body string) func(int, *http.Request, io.Writer) bool {
	return respond(http.StatusOK, body, "")
}

func respond(status int, body, more string) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, responseHead(r, status, more)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		return true
	}
}

// writeEvents writes the events with the IDs from first to last, each as a chunk. If whole is set,
// it ends the stream.
func writeEvents(r *http.Request, w io.Writer, first, last int, whole bool) {
	_, _ = io.WriteString(w, responseHead(r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for i := first; i <= last; i++ {
		writeChunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
	}
	if whole {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

func closeConn(w io.Writer) {
	if c, ok := w.(net.Conn); ok {
		_ = c.Close()
	}
}

func writeChunk(w io.Writer, s string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

func eventsUpTo(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func newTestGate(t testing.TB, ups ...*upstream) *testGate {
	t.Helper()
	sum, otherSum := sha256.Sum256([]byte(key)), sha256.Sum256([]byte(otherKey))
	cfg := &conf.Config{
		Accounts: map[string]acct.Account{"radio": {KeySHA256: hex.EncodeToString(sum[:])}, "other": {KeySHA256: hex.EncodeToString(otherSum[:])}},
		Pools:    map[string]pool.Pool{"p": {ByRoute: true}},
	}
	for _, r := range []route.Route{
		{Name: "once", Prefix: "/once/"},
		{Name: "again", Prefix: "/again/", Idempotent: true, Upstreams: 2},
		{Name: "stream", Prefix: "/stream/", Stream: true, Upstreams: 1},
		{Name: "resume", Prefix: "/resume/", Stream: true, Resumable: true, Upstreams: 3},
		{Name: "public", Prefix: "/public/", Public: true},
	} {
		r.Host, r.Split, r.Timeout, r.Objective = "h", []route.Share{{Pool: "p", Weight: 1}}, 2*time.Second, 100*time.Millisecond
		cfg.Routes = append(cfg.Routes, r)
	}
	s := &testGate{t: t}
	s.view = watch.View{Version: 1, Index: index.New(cfg), Entries: 1, Upstreams: map[string][]*wire.Upstream{}}
	for i, u := range ups {
		s.view.Upstreams["p"] = append(s.view.Upstreams["p"], &wire.Upstream{
			Id: fmt.Sprintf("up-%d", i), Address: u.Addr().String(), Slots: int64(1), DataCentre: fmt.Sprintf("z%d", min(i, 1)),
		})
	}
	s.Gate = &Gate{
		Charger: s, Path: s, Origins: s,
		Node: "e", Incarnation: "i", DataCentre: "z0", Cluster: s, Granter: s, Sender: &client.Client{Echo: idHeader}, Prober: &testProber{}, Dialect: testDialect{},
		RetryRatio: 1, RetrySlack: 100, Log: logr.Discard(),
	}
	s.srv = httptest.NewServer(s.Gate)
	t.Cleanup(s.srv.Close)
	return s
}

func (s *testGate) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	return s.granter.Grant(ctx, t)
}

func (s *testGate) Release(r *wire.Release) { s.granter.Release(r) }

type reply struct {
	status int
	header http.Header
	body   string
	err    error // From reading the body.
}

func (s *testGate) do(method, path string, header ...string) reply {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, s.srv.URL+path, strings.NewReader("text"))
	must.NoError(s.t, err)
	return s.send(r, header...)
}

func (s *testGate) send(r *http.Request, header ...string) reply {
	s.t.Helper()
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(idHeader, "1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

// fakeScheduler answers tickets with a function of the test.
type fakeScheduler struct {
	mu       sync.Mutex
	grant    func(t *wire.Ticket) (*wire.Grant, error)
	released []*wire.Release
}

func (g *fakeScheduler) Grant(_ context.Context, t *wire.Ticket) (*wire.Grant, error) {
	return g.grant(t)
}

func (g *fakeScheduler) Release(r *wire.Release) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = append(g.released, r)
}

func (s *testGate) withScheduler(grant func(t *wire.Ticket) (*wire.Grant, error)) *fakeScheduler {
	cfg := *s.view.Index.Config()
	cfg.Pools = map[string]pool.Pool{"p": {ByRoute: true, Slots: 4}}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	g := &fakeScheduler{grant: grant}
	s.granter = g
	return g
}
