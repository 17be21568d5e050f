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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/allow"
	"azurelane/core/conf"
	"azurelane/core/index"
	"azurelane/core/meta"
	"azurelane/core/peers"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/client"
	"azurelane/io/watch"
)

const (
	idHeader   = "X-Id"
	markHeader = "X-Mark"
	key        = "secret"
)

// plain is a dialect of the tests' own.
type plain struct{}

func (plain) Read(h http.Header) (meta.Meta, error) {
	m := meta.Meta{ID: h.Get(idHeader), Prompt: 100, Answer: 100}
	if v := h.Get("X-Wait"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return m, fmt.Errorf("plain: %w", err)
		}
		m.Deadline = d
	}
	return m, nil
}

func (plain) Forward(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	out.Del("Content-Length")
	return out
}

func (plain) Stamp(h http.Header, hop meta.Hop) {
	h.Set("X-Instance", hop.Instance)
	h.Set("X-Account", hop.Account)
	h.Set("X-Last", hop.LastEvent)
	h.Set("X-Left", hop.Left.String())
}

func (plain) NotRun(r *http.Response) bool { return r.Header.Get("X-Not-Run") != "" }
func (plain) Other(r *http.Response) bool  { return r.StatusCode == http.StatusMisdirectedRequest }
func (plain) Load(*http.Response) (peers.Load, bool) {
	return peers.Load{}, false
}
func (plain) Genuine(r *http.Response) bool { return r.Header.Get(markHeader) != "" }
func (plain) Refuse(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// site is a gate over some upstreams.
type site struct {
	*Gate
	t        *testing.T
	mu       sync.Mutex
	view     watch.View
	granter  granter
	replaced []string
	srv      *httptest.Server
}

func (s *site) View() *watch.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

func (s *site) Doubt(context.Context) {}

func (s *site) Replaced(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = append(s.replaced, id)
}

// upstream answers the n-th request that it gets, from 0, as script says; it
// gets the raw connection, so that it can break rules.
type upstream struct {
	net.Listener
	mu   sync.Mutex
	seen []*http.Request
	body []string
	gone chan struct{} // Closed when a caller's connection ended under a request.
	once sync.Once
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

func newUpstream(t *testing.T, script func(n int, r *http.Request, w io.Writer) (keep bool)) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &upstream{Listener: ln, gone: make(chan struct{})}
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
		n := len(u.seen)
		u.seen, u.body = append(u.seen, r), append(u.body, string(body))
		u.mu.Unlock()
		if !script(n, r, c) {
			if _, err := br.ReadByte(); err != nil {
				u.once.Do(func() { close(u.gone) })
			}
			return
		}
	}
}

// head is the header of a genuine answer to r.
func head(r *http.Request, status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: m\r\n%s", status, idHeader, r.Header.Get(idHeader), markHeader, more)
}

func text(body string) func(int, *http.Request, io.Writer) bool {
	return answer(http.StatusOK, body, "")
}

func answer(status int, body, more string) func(int, *http.Request, io.Writer) bool {
	return func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, head(r, status, more)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		return true
	}
}

// events writes some events in chunks; whole ends the stream.
func events(r *http.Request, w io.Writer, from, to int, whole bool) {
	_, _ = io.WriteString(w, head(r, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
	for i := from; i <= to; i++ {
		chunk(w, fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))
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

func chunk(w io.Writer, s string) { _, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }

func streamTo(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i, i)
	}
	return b.String()
}

func newSite(t *testing.T, ups ...*upstream) *site {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	cfg := &conf.Config{
		Accounts: map[string]acct.Account{"radio": {KeySHA256: hex.EncodeToString(sum[:])}},
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
	s := &site{t: t}
	s.view = watch.View{Version: 1, Index: index.New(cfg), Entries: 1, Upstreams: map[string][]*wire.Upstream{}}
	for i, u := range ups {
		s.view.Upstreams["p"] = append(s.view.Upstreams["p"], &wire.Upstream{
			Id: fmt.Sprintf("up-%d", i), Address: u.Addr().String(), Slots: int64(1), DataCentre: fmt.Sprintf("z%d", min(i, 1)),
		})
	}
	s.Gate = &Gate{
		Node: "e", Incarnation: "i", Centre: "z0", News: s, Granter: s, Sender: &client.Client{Echo: idHeader}, Dialect: plain{},
		Ratio: 1, Slack: 100, Log: logr.Discard(),
	}
	s.srv = httptest.NewServer(s.Gate)
	t.Cleanup(s.srv.Close)
	return s
}

func (s *site) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	return s.granter.Grant(ctx, t)
}

func (s *site) Release(r *wire.Release) { s.granter.Release(r) }

type reply struct {
	status int
	header http.Header
	body   string
	err    error // Of reading the body.
}

func (s *site) ask(method, path string, header ...string) reply {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, s.srv.URL+path, strings.NewReader("text"))
	must.NoError(s.t, err)
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

func TestRefusedHere(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	for _, tc := range []struct {
		name, path, key string
		want            int
	}{
		{"no route", "/none/x", key, http.StatusNotFound},
		{"unknown key", "/once/x", "other", http.StatusUnauthorized},
		{"public", "/public/x", "other", http.StatusOK},
		{"allowed", "/once/x", key, http.StatusOK},
	} {
		must.Eq(t, tc.want, s.ask("POST", tc.path, "Authorization", "Bearer "+tc.key).status, must.Sprint(tc.name))
	}
	must.Eq(t, 2, u.count())
	s.view.Index.Config().Limits = conf.Limits{HeaderBytes: 1000, BodyBytes: 3}
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, s.ask("POST", "/once/x", "X-Large", strings.Repeat("x", 1000)).status)
	must.Eq(t, http.StatusRequestEntityTooLarge, s.ask("POST", "/once/x").status)
	must.Eq(t, 2, u.count())
	s.view.Index = nil
	r := s.ask("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.False(t, s.Ready())
}

// The upstream gets method, path, query and body as the caller sent them, the
// account's name, and not the key; the caller gets the upstream's answer.
func TestPassedOnUnchanged(t *testing.T) {
	u := newUpstream(t, answer(http.StatusCreated, "body", "X-Own: 1\r\n"))
	s := newSite(t, u)
	r := s.ask("PUT", "/once/a%2Fb//c?x=%20&y")
	must.Eq(t, http.StatusCreated, r.status)
	must.Eq(t, "body", r.body)
	must.Eq(t, "1", r.header.Get("X-Own"))
	must.Eq(t, "m", r.header.Get(markHeader))
	got := u.seen[0]
	must.Eq(t, "PUT", got.Method)
	must.Eq(t, "/once/a%2Fb//c?x=%20&y", got.RequestURI)
	must.Eq(t, "h", got.Host)
	must.Eq(t, "text", u.body[0])
	must.Eq(t, "radio", got.Header.Get("X-Account"))
	must.Eq(t, "up-0", got.Header.Get("X-Instance"))
	must.Eq(t, "", got.Header.Get("Authorization"))
}

// The first upstream ends a request in every way that there is. Only when it
// says that nothing ran, or when the request may be repeated, does the second
// one get it; else the caller learns that it may have run.
func TestSecondUpstream(t *testing.T) {
	closes := func(_ int, _ *http.Request, w io.Writer) bool {
		closeConn(w)
		return false
	}
	cut := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, head(r, http.StatusOK, "Content-Length: 100\r\n\r\nhalf"))
		closeConn(w)
		return false
	}
	foreign := func(_ int, _ *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": 77\r\n"+markHeader+": m\r\nContent-Length: 2\r\n\r\nno")
		return false
	}
	unmarked := func(_ int, r *http.Request, w io.Writer) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n"+idHeader+": "+r.Header.Get(idHeader)+"\r\nContent-Length: 2\r\n\r\nno")
		return true
	}
	for _, tc := range []struct {
		name        string
		script      func(int, *http.Request, io.Writer) bool
		once, again int  // Status on a route that may run once, and on one that may be repeated.
		second      bool // The second upstream gets the request that may run once.
	}{
		{"says that it did not run", answer(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n"), 200, 200, true},
		{"is another one", answer(http.StatusMisdirectedRequest, "", ""), 200, 200, true},
		{"fails", answer(http.StatusInternalServerError, "bad", ""), 500, 200, false},
		{"says not found", answer(http.StatusNotFound, "", ""), 404, 404, false},
		{"closes", closes, 502, 200, false},
		{"cuts its answer", cut, 502, 200, false},
		{"answers another request", foreign, 502, 200, false},
		{"answers without its mark", unmarked, 502, 200, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, way := range []struct {
				path string
				want int
			}{{"/once/x", tc.once}, {"/again/x", tc.again}} {
				first, second := newUpstream(t, tc.script), newUpstream(t, text("ok"))
				r := newSite(t, first, second).ask("POST", way.path, "X-Wait", "500ms")
				must.Eq(t, way.want, r.status)
				must.Eq(t, 1, first.count())
				if way.path == "/once/x" {
					must.Eq(t, tc.second, second.count() == 1)
				}
				if way.want == http.StatusInternalServerError {
					must.Eq(t, "bad", r.body)
					must.Eq(t, "m", r.header.Get(markHeader))
				}
			}
		})
	}
}

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

// The caller goes away while its request runs. The upstream must see its
// connection end soon, or it works on for nobody.
func TestCallerLeaves(t *testing.T) {
	u := newUpstream(t, func(int, *http.Request, io.Writer) bool { return false })
	s := newSite(t, u)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for u.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.srv.URL+"/once/x", strings.NewReader("text"))
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // There is none.
	must.ErrorIs(t, err, context.Canceled)
	select {
	case <-u.gone:
	case <-time.After(400 * time.Millisecond):
		t.Fatal("the upstream still works")
	}
}

// An upstream is silent. A request that may be repeated goes on at another one
// while there is time; one that may not gets its final answer at the deadline.
func TestSilentUpstream(t *testing.T) {
	mute := func(int, *http.Request, io.Writer) bool { return false }
	first, second := newUpstream(t, mute), newUpstream(t, text("ok"))
	must.Eq(t, http.StatusOK, newSite(t, first, second).ask("POST", "/again/x", "X-Wait", "1s").status)
	s := newSite(t, newUpstream(t, mute))
	var wg sync.WaitGroup
	for range 50 { // At once: the wait for the upstream ends in the same moment as the time.
		wg.Go(func() {
			start := time.Now()
			r := s.ask("POST", "/once/x", "X-Wait", "300ms")
			must.Eq(t, http.StatusGatewayTimeout, r.status)
			must.Between(t, 250*time.Millisecond, time.Since(start), 600*time.Millisecond)
		})
	}
	wg.Wait()
}

// granterFunc is a scheduler that answers as told.
type granterFunc struct {
	mu       sync.Mutex
	grant    func(t *wire.Ticket) (*wire.Grant, error)
	released []*wire.Release
}

func (g *granterFunc) Grant(_ context.Context, t *wire.Ticket) (*wire.Grant, error) {
	return g.grant(t)
}

func (g *granterFunc) Release(r *wire.Release) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = append(g.released, r)
}

func (s *site) scheduled(grant func(t *wire.Ticket) (*wire.Grant, error)) *granterFunc {
	cfg := *s.view.Index.Config()
	cfg.Pools = map[string]pool.Pool{"p": {ByRoute: true, Slots: 4}}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	g := &granterFunc{grant: grant}
	s.granter = g
	return g
}

// The scheduler refuses: the caller gets it at once, with the time to come back,
// and no upstream is asked.
func TestRefusedByScheduler(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	s.scheduled(func(*wire.Ticket) (*wire.Grant, error) {
		return nil, refuse.New(refuse.Overloaded, "", 1500*time.Millisecond)
	})
	r := s.ask("POST", "/once/x")
	must.Eq(t, http.StatusServiceUnavailable, r.status)
	must.Eq(t, "1.5s", r.header.Get("Retry-After"))
	must.Eq(t, 0, u.count())
}

// A place is given back with what the run was like, whatever became of it.
func TestPlacesAreGivenBack(t *testing.T) {
	u := newUpstream(t, func(n int, r *http.Request, w io.Writer) bool {
		if n == 0 {
			return answer(http.StatusServiceUnavailable, "", "X-Not-Run: 1\r\n")(n, r, w)
		}
		events(r, w, 1, 5, true)
		return true
	})
	s := newSite(t, u)
	var tickets []*wire.Ticket
	g := s.scheduled(func(t *wire.Ticket) (*wire.Grant, error) {
		tickets = append(tickets, t)
		return &wire.Grant{Slot: uint64(len(tickets)), Owner: "owner", Upstream: "up-0", Address: u.Addr().String()}, nil
	})
	must.Eq(t, streamTo(5), s.ask("POST", "/stream/x").body)
	must.Len(t, 2, tickets)
	must.Eq(t, []string{"up-0"}, tickets[1].GetAvoid())
	must.Eq(t, 200, tickets[0].GetUnits())
	must.Eq(t, 0, tickets[1].GetUnits(), must.Sprint("charged once"))
	must.Len(t, 2, g.released)
	must.True(t, g.released[0].GetBusy())
	must.Eq(t, 5, g.released[1].GetPieces())
	must.Greater(t, 0, g.released[1].GetFirstTokenUs())
}

// An entry that stops still serves what may end in time, and refuses a request
// that would be cut off. All answers ask to close the connection.
func TestStopping(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	s.Drain(Stop{Refuse: time.Now(), End: time.Now().Add(time.Second)})
	must.False(t, s.Ready())
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x", "X-Wait", "200ms").status)
	must.Eq(t, http.StatusServiceUnavailable, s.ask("POST", "/once/x", "X-Wait", "1500ms").status)
	must.Eq(t, 1, u.count())
}

// Upstreams fail all the time. Second sends stay within the budget of all
// entries, so that a pool in trouble is not sent twice its load.
func TestBudget(t *testing.T) {
	bad := answer(http.StatusInternalServerError, "", "")
	first, second := newUpstream(t, bad), newUpstream(t, bad)
	s := newSite(t, first, second)
	s.Ratio, s.Slack = 0.2, 10
	for range 100 {
		s.ask("POST", "/again/x")
	}
	must.LessEq(t, 100+20+10, first.count()+second.count())
	must.Greater(t, 105, first.count()+second.count())
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

// While no scheduler answers, an entry keeps an account to its share.
func TestAloneWithinTheShare(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 2000, 2000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Entries = index.New(&cfg), 2
	var status []int
	for range 20 {
		status = append(status, s.ask("POST", "/once/x").status)
	}
	must.SliceContains(t, status, http.StatusTooManyRequests)
	must.Eq(t, http.StatusOK, status[0])
	must.Between(t, 1, u.count(), 8)
	s.view.Owner = &wire.Member{Incarnation: "owner"}
	must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	must.Eq(t, 200, s.Usage().GetAccounts()[0].GetUnits())
	must.Nil(t, s.Usage())
}

// An account uses up its rate while a scheduler answers. The scheduler is lost:
// each entry would give the account a burst of its own, and together they would
// pass its rate by far.
func TestNoBurstWhenTheSchedulerIsLost(t *testing.T) {
	u := newUpstream(t, text("ok"))
	s := newSite(t, u)
	cfg := *s.view.Index.Config()
	a := cfg.Accounts["radio"]
	a.Rate, a.Burst = 200, 10000
	cfg.Accounts = map[string]acct.Account{"radio": a}
	s.view.Index, s.view.Owner = index.New(&cfg), &wire.Member{Incarnation: "owner"}
	for range 60 {
		must.Eq(t, http.StatusOK, s.ask("POST", "/once/x").status)
	}
	s.view.Owner = nil
	must.Eq(t, http.StatusTooManyRequests, s.ask("POST", "/once/x").status)
}

// A cut leaves two of six entries alone for three seconds, and an account asks
// for all that it may have on both sides. What the two let pass, beside a whole
// burst and the whole rate on the other side, stays within what the account may
// pass in eight seconds.
func TestCutEntriesKeepTheRate(t *testing.T) {
	const rate, entries, cut, span = 1000.0, 6, 2, 3 * time.Second
	passed := 0.0
	for range cut {
		var own allow.Allow
		now := time.Unix(1000, 0)
		own.Set(now, map[string]acct.Account{"radio": {Rate: rate, Burst: rate}}, aloneRate/entries)
		own.Charge(now, "radio", -int64(rate)) // Full: the account asked for little before.
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			if _, ok := own.Take(now, "radio", 1); ok {
				passed++
			}
		}
	}
	const over, scheduler = 1.1, 0.25 // Allowed beyond the rate, and the part of that which the scheduler uses.
	other := (8*rate + rate) * (1 + (over-1)*scheduler)
	must.LessEq(t, (8*rate+rate)*over, other+passed)
}
