package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"golang.org/x/sys/unix"

	"azurelane/core/codec"
	"azurelane/io/certs"
	"azurelane/io/setup"
)

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"demo","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`
)

// selfEnv makes the test binary behave as the program itself, so that the
// tests start real processes without a build of their own.
const selfEnv = "AZURELANE_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(selfEnv) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// cluster is a deployment of processes on loopback.
type cluster struct {
	t       testing.TB
	dir     string
	control []netip.AddrPort
	entries []*setup.Setup
	procs   []*proc                       // Of the entries that newCluster or join started.
	files   func(name string) certs.Certs // Of a process; nil without TLS.
}

// start runs one command of the program and ends it with the test.
func (c *cluster) start(args ...string) *exec.Cmd {
	c.t.Helper()
	return newProc(c.t, c.dir, fmt.Sprintf("%s-%d", args[0], time.Now().UnixNano()), args...).cmd
}

// portRange gives out ports, each once a round. Ranges don't overlap, and lie
// below that of the kernel for outgoing connections: a port of that one may be
// taken by any connection before the process that was meant to listen on it.
type portRange struct {
	first, span uint16
	last        atomic.Uint32
}

// testPorts are the ports of the processes that tests start.
var testPorts = portRange{first: 10000, span: 20000}

func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	return freePorts(t, 1)[0]
}

func freeAddrs(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	list := make([]netip.AddrPort, n)
	for i := range list {
		list[i] = freeAddr(t)
	}
	return list
}

// freePorts returns addresses whose ports follow each other. Tests that ask at the same
// time get other ones.
func freePorts(t testing.TB, n uint16) []netip.AddrPort {
	t.Helper()
	return testPorts.take(t, n)
}

func (p *portRange) take(t testing.TB, n uint16) []netip.AddrPort {
	t.Helper()
	span := uint32(p.span)
	p.last.CompareAndSwap(0, uint32(os.Getpid())*97%span+1) //nolint:gosec // Any value will do.
	for range p.span {
		last := p.last.Add(uint32(n)) % span
		if last+1 < uint32(n) {
			continue // The ports go round the end of the range.
		}
		list := make([]netip.AddrPort, n)
		for i := range list {
			list[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.first+uint16(last+1)-n+uint16(i)) //nolint:gosec // A port.
		}
		if !slices.ContainsFunc(list, isTaken) {
			return list
		}
	}
	t.Fatal("no free ports")
	return nil
}

// isTaken reports whether a process listens on a port. It does not listen itself: a child that is being started would
// hold the listener for a moment.
func isTaken(a netip.AddrPort) bool {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return true
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return true
	}
	return unix.Bind(fd, &unix.SockaddrInet4{Addr: a.Addr().As4(), Port: int(a.Port())}) != nil
}

// newCluster starts control and entries, in data centre "dev", and puts the
// example configuration in force.
func newCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	c.controls(1)
	c.join(entries, func(s *setup.Setup) { s.LogLevel, s.DrainLinger = 1, new(time.Duration) })
	c.apply(devConfig)
	for _, e := range c.entries {
		c.untilReady(e)
	}
	return c
}

// controls starts n control replicas, the first of which founds the group.
func (c *cluster) controls(n int) []*proc {
	c.t.Helper()
	c.control = freeAddrs(c.t, n)
	var list []*proc
	for i, addr := range c.control {
		s := &setup.Setup{Node: fmt.Sprintf("control-%d", i+1), DataCentre: "dev", Peers: addr, Operator: freeAddr(c.t), Control: c.control}
		s.DataFolder = filepath.Join(c.dir, s.Node)
		args := []string{"control", c.settings(s)}
		if i == 0 {
			args = append(args, "--bootstrap")
		}
		list = append(list, newProc(c.t, c.dir, s.Node, args...))
	}
	return list
}

// join starts n entries that know each other, with their settings changed.
func (c *cluster) join(n int, change func(*setup.Setup)) {
	c.t.Helper()
	seeds := freeAddrs(c.t, n)
	for i, addr := range seeds {
		s := c.entry(i+1, seeds...)
		s.Peers = addr
		change(s)
		p := newProc(c.t, c.dir, s.Node, "entry", c.settings(s))
		p.addr = s.Callers
		c.entries, c.procs = append(c.entries, s), append(c.procs, p)
	}
}

// entry returns settings for entry number n of data centre "dev".
func (c *cluster) entry(n int, seeds ...netip.AddrPort) *setup.Setup {
	c.t.Helper()
	return &setup.Setup{
		Node: fmt.Sprintf("entry-%d", n), DataCentre: "dev", Callers: freeAddr(c.t), Upstreams: freeAddr(c.t), Peers: freeAddr(c.t),
		Operator: freeAddr(c.t), Control: c.control, Seeds: seeds,
	}
}

// settings writes the settings file of one process.
func (c *cluster) settings(s *setup.Setup) string {
	c.t.Helper()
	if c.files != nil {
		s.TLS = c.files(s.Node)
	}
	data, err := codec.Print(s)
	must.NoError(c.t, err)
	return c.write(s.Node+".json", data)
}

func (c *cluster) write(name string, data []byte) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	must.NoError(c.t, os.WriteFile(path, data, 0o600))
	return path
}

// replicas lists the control replicas as the commands take them.
func (c *cluster) replicas() string {
	var list []string
	for _, a := range c.control {
		list = append(list, a.String())
	}
	return strings.Join(list, ",")
}

// apply puts the first configuration in force.
func (c *cluster) apply(doc []byte) {
	c.t.Helper()
	path := c.write("config.json", doc)
	c.until("configuration accepted", func() bool {
		return c.start("apply", path, "--control", c.replicas(), "--base", "0", "--change", "first").Wait() == nil
	})
}

// upstream starts a stand-in that announces itself to the entries. The flags
// take the place of a step of 1 ms.
func (c *cluster) upstream(name, pool, model string, flags ...string) *proc {
	c.t.Helper()
	addr := freeAddr(c.t)
	args := []string{"standin", "--name", name, "--listen", addr.String(), "--pools", pool}
	if model != "" {
		args = append(args, "--models", model)
	}
	for _, e := range c.entries {
		args = append(args, "--entries", e.Upstreams.String())
	}
	if flags == nil {
		flags = []string{"--step", "1ms"}
	}
	p := newProc(c.t, c.dir, name, append(args, flags...)...)
	p.addr = addr
	return p
}

func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(20*time.Second), wait.Gap(50*time.Millisecond)), must.Sprint(what))
}

func (c *cluster) untilReady(e *setup.Setup) {
	c.t.Helper()
	c.until(e.Node+" ready", func() bool { return status(c.t, "http://"+e.Operator.String()+"/ready") == http.StatusOK })
}

// journal reads what ran at a stand-in.
func (c *cluster) journal(addr netip.AddrPort) []ran {
	c.t.Helper()
	var list []ran
	c.until("journal", func() bool {
		list = nil
		return fetch(c.t.Context(), "http://"+addr.String()+"/journal", &list)
	})
	return list
}

type answer struct {
	status  int
	outcome string
	body    string
}

func (c *cluster) ask(entry int, path, key, body string) answer {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := request(ctx, c.entries[entry].Callers, path, key, body)
	must.NoError(c.t, err)
	resp, err := http.DefaultClient.Do(r)
	must.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	return answer{resp.StatusCode, outcome(resp), string(data)}
}

// request makes a request of the client account "dev"; an empty key is none.
func request(ctx context.Context, entry netip.AddrPort, path, key, body string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer dev-key")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return r, nil
}

// outcome is what an answer says once its body is read: in its trailer, else in
// its header.
func outcome(resp *http.Response) string {
	const name = "Azurelane-Outcome"
	return cmp.Or(resp.Trailer.Get(name), resp.Header.Get(name))
}

func status(t testing.TB, url string) int {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A caller asks two entries, run as processes of their own, for a whole
// answer, a stream and a plain service's answer. Whichever entry owns the
// pool, each caller gets its own whole answer. Then an entry is told to stop
// and ends by itself.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.upstream("engine-1", "demo", "demo")
	c.upstream("notes-1", "notes", "")
	for i := range c.entries {
		c.until("first answer", func() bool { return c.ask(i, chatPath, "", chatBody).outcome == "whole" })
		c.until("service", func() bool { return c.ask(i, "/svc/notes/x", "", "text").outcome == "whole" })
	}
	for i := range c.entries {
		a := c.ask(i, chatPath, "", chatBody)
		must.Eq(t, "whole", a.outcome)
		must.StrContains(t, a.body, "t0 t1 t2 ")
		a = c.ask(i, chatPath, "", strings.Replace(chatBody, "{", `{"stream":true,`, 1))
		must.Eq(t, "whole", a.outcome)
		must.StrContains(t, a.body, "data: [DONE]")
		a = c.ask(i, chatPath, "", `{"model":"none"}`)
		must.Eq(t, answer{http.StatusNotFound, "not-run", a.body}, a)
	}
	set := c.entry(9, c.entries[0].Peers)
	last := c.start("entry", c.settings(set))
	c.untilReady(set)
	must.NoError(t, last.Process.Signal(syscall.SIGTERM))
	must.NoError(t, last.Wait())
}
