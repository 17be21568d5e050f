package front_test

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/client"
	"azurelane/io/front"
	"azurelane/io/rig/engine"
	"azurelane/io/rig/fault"
	"azurelane/io/rig/stand"
	"azurelane/io/stats"
)

const (
	nothingLost loss = iota
	commandLost
	resultLost
	noAnswer // Until the caller gives up.
)

// Property tests draw the same cases in each run.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	os.Exit(m.Run())
}

var errDown = errors.New("fake: down")

type (
	// control applies commands to one state machine. A hook may lose a command
	// before or its result after it was applied.
	control struct {
		mu    sync.Mutex
		state state.State
		hook  func(c *wire.Command) loss
	}

	// loss is what becomes of one command.
	loss int

	// granter gives slots on one upstream after the other and counts those that
	// are out.
	granter struct {
		mu        sync.Mutex
		ups       []string // Addresses.
		next      int
		out       int
		asked     int
		expires   time.Duration
		canResume bool
		before    func(ctx context.Context, t *wire.Ticket) error
		last      *wire.Release
	}

	// mesh reaches the entries that live.
	mesh struct {
		mu      sync.Mutex
		entries map[netip.AddrPort]*front.Front
	}

	// site is a few entries before one stand-in upstream.
	site struct {
		t       testing.TB
		cfg     *conf.Config
		control *control
		granter *granter
		mesh    *mesh
		client  *client.Client
		engine  *stand.Stand
		up      *httptest.Server
		entries []*entry
	}

	entry struct {
		*front.Front
		*httptest.Server
	}

	reply struct {
		status  int
		outcome string
		code    string
		retry   string
		body    string
		header  http.Header
		err     error  // The answer broke off.
		key     string // That was asked with.
		began   time.Time
	}
)

func (c *control) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	var l loss
	if hook != nil {
		l = hook(cmd)
	}
	switch l {
	case nothingLost, resultLost:
	case commandLost:
		return nil, errDown
	case noAnswer:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := cmd.GetClaim(); k != nil {
		k.NowUs = 1
	}
	r := c.state.Apply(cmd)
	if l == resultLost {
		return nil, errDown
	}
	return r, ctx.Err()
}

// Ask answers the look-up of a key. The hook gets no command then.
func (c *control) Ask(_ context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hook != nil && c.hook(nil) != nothingLost {
		return nil, errDown
	}
	q := build().GetClaimQuery()
	return &wire.Frame{Body: &wire.Frame_Result{Result: c.state.ClaimHolder(q.GetAccount(), q.GetKey())}}, nil
}

func (c *control) setHook(hook func(*wire.Command) loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = hook
}

// outcome is what is on record for a key of account "one".
func (c *control) outcome(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, _ := c.state.Save()
	var img wire.Image
	_ = proto.Unmarshal(data, &img)
	for _, k := range img.GetClaims() {
		if k.GetAccount() == "one" && k.GetKey() == key {
			return k.GetOutcome()
		}
	}
	return ""
}

func (g *granter) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	g.mu.Lock()
	before := g.before
	g.asked++
	g.mu.Unlock()
	if before != nil {
		if err := before(ctx, t); err != nil {
			return nil, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.out++
	up := g.ups[g.next%len(g.ups)]
	g.next++
	return &wire.Grant{Slot: uint64(g.next), Upstream: up, Address: up, ExpiresUs: g.expires.Microseconds(), CanResume: g.canResume}, nil
}

func (g *granter) Release(r *wire.Release) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.out--
	g.last = r
}

func (m *mesh) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	m.mu.Lock()
	e := m.entries[to]
	m.mu.Unlock()
	if e == nil {
		return nil, errDown
	}
	r := e.Join(ctx, f.GetJoinQuery())
	return &wire.Frame{Body: &wire.Frame_JoinReply{JoinReply: r}}, nil
}

func (m *mesh) set(n int, f *front.Front) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries[peer(n)] = f
}

func peer(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n+1))
}

func account(key string) acct.Account {
	sum := sha256.Sum256([]byte(key))
	return acct.Account{KeySHA256: hex.EncodeToString(sum[:])}
}

// newSite starts n entries with two client accounts, a pool of engines and one
// of plain services, all served by one stand-in.
func newSite(t testing.TB, n int) *site {
	s := &site{
		t: t, control: &control{}, mesh: &mesh{entries: map[netip.AddrPort]*front.Front{}}, client: &client.Client{},
		cfg: &conf.Config{
			Accounts:  map[string]acct.Account{"one": account("key-one"), "two": account("key-two")},
			Pools:     map[string]pool.Pool{"engines": {Models: []string{"m"}}, "notes": {Service: "notes"}},
			ClaimKeep: time.Hour,
		},
		engine: &stand.Stand{Engine: &engine.Engine{Name: "standin", Slots: 10000, CacheLimit: 8}},
	}
	s.up = httptest.NewServer(&fault.Fault{Handler: s.engine})
	s.granter = &granter{ups: []string{s.up.Listener.Addr().String()}, expires: time.Minute}
	for i := range n {
		s.start(i)
	}
	t.Cleanup(func() {
		for _, e := range s.entries {
			e.CloseClientConnections()
			e.Close()
		}
		s.client.Close()
		s.up.CloseClientConnections()
		s.up.Close()
	})
	return s
}

// start adds an entry, or puts a new incarnation in the place of a dead one.
func (s *site) start(i int) *entry {
	f := &front.Front{
		Node: fmt.Sprintf("entry-%d", i), Incarnation: fmt.Sprintf("inc-%d-%d", i, len(s.entries)), Address: peer(i).String(),
		Config: func() *conf.Config { return s.cfg }, Granter: s.granter, Proposer: s.control, Sender: s.client,
		Peers: s.mesh, Stats: stats.New(), Log: logr.Discard(),
	}
	s.mesh.set(i, f)
	e := &entry{f, httptest.NewServer(f)}
	s.entries = append(s.entries, e)
	return e
}

type ask struct {
	path, account, key, fault, body, deadline string
	stream                                    bool
	header                                    http.Header
}

const chatPath = "/v1/chat/completions"

func (a ask) request(ctx context.Context, url string) *http.Request {
	if a.path == "" {
		a.path = chatPath
	}
	if a.body == "" && a.path == chatPath {
		a.body = fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":3,"messages":[{"role":"user","content":"x"}]}`, a.stream)
	}
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+a.path, strings.NewReader(a.body))
	for name, values := range a.header {
		r.Header[name] = values
	}
	for name, v := range map[string]string{
		"Authorization": "Bearer key-" + cmp.Or(a.account, "one"), front.HeaderKey: a.key, fault.Header: a.fault, front.HeaderDeadline: a.deadline,
	} {
		if v != "" && r.Header.Get(name) == "" {
			r.Header.Set(name, v)
		}
	}
	return r
}

// limit puts other limits of the engines' pool in force.
func (s *site) limit(p pool.Pool) {
	cfg := *s.cfg
	cfg.Pools = maps.Clone(cfg.Pools)
	p.Models = []string{"m"}
	cfg.Pools["engines"] = p
	s.cfg = &cfg
}

func (e *entry) ask(a ask) reply { return e.askCtx(context.Background(), a) }

func (e *entry) askCtx(ctx context.Context, a ask) reply {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	resp, err := http.DefaultClient.Do(a.request(ctx, e.URL))
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	out := reply{
		status: resp.StatusCode, outcome: resp.Header.Get(front.HeaderOutcome), retry: resp.Header.Get("Retry-After"),
		body: string(data), header: resp.Header, err: err,
	}
	if t := resp.Trailer.Get(front.HeaderOutcome); t != "" {
		out.outcome = t
	}
	var doc struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &doc) == nil {
		out.code = doc.Error.Code
	}
	return out
}

// refused checks a final answer that no upstream gave.
func (r reply) refused(t must.T, code, outcome, retry string, notes ...must.Setting) {
	t.Helper()
	must.Eq(t, [3]string{code, outcome, retry}, [3]string{r.code, r.outcome, r.retry}, notes...)
}

// asked waits until that many grants were asked for.
func (s *site) asked(n int) {
	s.t.Helper()
	s.eventually("grants asked for", func() bool {
		s.granter.mu.Lock()
		defer s.granter.mu.Unlock()
		return s.granter.asked == n
	})
}

// account changes the limits of account "one".
func (s *site) account(set func(a *acct.Account)) {
	a := s.cfg.Accounts["one"]
	set(&a)
	s.cfg.Accounts["one"] = a
}

// dial sends a chat request of account "one" on a connection of its own, as far
// as the body goes.
func (e *entry) dial(t testing.TB, header string, length int, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	must.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, header, length, body)
	must.NoError(t, err)
	return c
}

// free checks that every slot was given back.
func (s *site) free() {
	s.t.Helper()
	s.eventually("slots given back", func() bool {
		s.granter.mu.Lock()
		defer s.granter.mu.Unlock()
		return s.granter.out == 0
	})
}

func (s *site) eventually(what string, ok func() bool) {
	s.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("not within 10 s: %s", what)
}

// runs counts the runs of a key at the stand-in.
func (s *site) runs(key string) int {
	n := 0
	for _, e := range s.engine.Journal() {
		if e.Key == key {
			n++
		}
	}
	return n
}

func deadAddress(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}
