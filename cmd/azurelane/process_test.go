package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"azurelane/core/codec"
	"azurelane/io/setup"
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
	procs   map[string]*exec.Cmd // Entries by node.
}

// start runs one command of the program and ends it with the test.
func (c *cluster) start(args ...string) *exec.Cmd {
	c.t.Helper()
	exe, err := os.Executable()
	must.NoError(c.t, err)
	cmd := exec.Command(exe, args...)
	cmd.Env = append(os.Environ(), selfEnv+"=1")
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", args[0], time.Now().UnixNano())))
	must.NoError(c.t, err)
	cmd.Stderr = log
	must.NoError(c.t, cmd.Start())
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if c.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			c.t.Logf("%v:\n%s", args, data)
		}
		_ = log.Close()
	})
	return cmd
}

// lastPort is the port that freeAddr gave out last. Ports below the range that
// the kernel takes for outgoing connections are used: one of that range may be
// taken by any connection before the process that was meant to listen on it.
var lastPort atomic.Uint32

const (
	firstPort = 10000
	portSpan  = 20000
)

func freeAddr(t testing.TB) netip.AddrPort {
	t.Helper()
	lastPort.CompareAndSwap(0, uint32(os.Getpid()*97%portSpan)+1)
	for range portSpan {
		port := firstPort + lastPort.Add(1)%portSpan
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		must.NoError(t, ln.Close())
		return netip.MustParseAddrPort(ln.Addr().String())
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// newCluster starts control and entries, in data centre "dev", and puts the
// example configuration in force.
func newCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	c := &cluster{t: t, procs: map[string]*exec.Cmd{}, dir: t.TempDir(), control: []netip.AddrPort{freeAddr(t)}}
	c.start("control", "--bootstrap", c.settings(&setup.Setup{
		Node: "control-1", DataCentre: "dev", Peers: c.control[0], Operator: freeAddr(t), Control: c.control,
		DataFolder: filepath.Join(c.dir, "data"),
	}))
	var seeds []netip.AddrPort
	for i := range entries {
		s := &setup.Setup{
			Node: fmt.Sprintf("entry-%d", i+1), DataCentre: "dev", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t),
			Operator: freeAddr(t), Control: c.control, Seeds: seeds, LogLevel: 1, DrainLinger: new(time.Duration),
		}
		seeds = append(seeds, s.Peers)
		c.entries = append(c.entries, s)
		c.procs[s.Node] = c.start("entry", c.settings(s))
	}
	c.apply(0)
	for _, e := range c.entries {
		c.until("entry ready", func() bool { return status(t, "http://"+e.Operator.String()+"/ready") == http.StatusOK })
	}
	return c
}

func (c *cluster) settings(s *setup.Setup) string {
	c.t.Helper()
	data, err := codec.Print(s)
	must.NoError(c.t, err)
	path := filepath.Join(c.dir, s.Node+".json")
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

func (c *cluster) apply(base int) {
	c.t.Helper()
	path := filepath.Join(c.dir, "config.json")
	must.NoError(c.t, os.WriteFile(path, devConfig, 0o600))
	c.until("configuration accepted", func() bool {
		return c.start("apply", path, "--control", c.replicas(), "--base", strconv.Itoa(base), "--change", "first").Wait() == nil
	})
}

// upstream starts a stand-in and waits until each entry reaches it.
func (c *cluster) upstream(name, pool, model string) netip.AddrPort {
	c.t.Helper()
	addr := freeAddr(c.t)
	args := []string{"standin", "--name", name, "--listen", addr.String(), "--pools", pool, "--step", "1ms"}
	if model != "" {
		args = append(args, "--models", model)
	}
	for _, e := range c.entries {
		args = append(args, "--entries", e.Upstreams.String())
	}
	c.start(args...)
	return addr
}

func (c *cluster) until(what string, ok func() bool) {
	c.t.Helper()
	must.Wait(c.t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(20*time.Second), wait.Gap(50*time.Millisecond)), must.Sprint(what))
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
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[entry].Callers.String()+path, strings.NewReader(body))
	must.NoError(c.t, err)
	r.Header.Set("Authorization", "Bearer dev-key")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	must.NoError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	must.NoError(c.t, err)
	outcome := resp.Header.Get("Azurelane-Outcome")
	if t := resp.Trailer.Get("Azurelane-Outcome"); t != "" {
		outcome = t
	}
	return answer{resp.StatusCode, outcome, string(data)}
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
	c := newCluster(t, 2)
	c.upstream("engine-1", "demo", "demo")
	c.upstream("notes-1", "notes", "")
	const chat = `{"model":"demo","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`
	for i := range c.entries {
		c.until("first answer", func() bool { return c.ask(i, "/v1/chat/completions", "", chat).outcome == "whole" })
		c.until("service", func() bool { return c.ask(i, "/svc/notes/x", "", "text").outcome == "whole" })
	}
	for i := range c.entries {
		a := c.ask(i, "/v1/chat/completions", "", chat)
		must.Eq(t, "whole", a.outcome)
		must.StrContains(t, a.body, "t0 t1 t2 ")
		a = c.ask(i, "/v1/chat/completions", "", strings.Replace(chat, "{", `{"stream":true,`, 1))
		must.Eq(t, "whole", a.outcome)
		must.StrContains(t, a.body, "data: [DONE]")
		a = c.ask(i, "/v1/chat/completions", "", `{"model":"none"}`)
		must.Eq(t, answer{http.StatusNotFound, "not-run", a.body}, a)
	}
	set := &setup.Setup{
		Node: "entry-9", DataCentre: "dev", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t),
		Operator: freeAddr(t), Control: c.control, Seeds: []netip.AddrPort{c.entries[0].Peers},
	}
	last := c.start("entry", c.settings(set))
	c.until("last entry ready", func() bool { return status(t, "http://"+set.Operator.String()+"/ready") == http.StatusOK })
	must.NoError(t, last.Process.Signal(syscall.SIGTERM))
	must.NoError(t, last.Wait())
}
