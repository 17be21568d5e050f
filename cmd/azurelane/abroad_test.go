package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/setup"
)

// A pool has no upstream in this data centre, and names another that has one.
// Callers here get whole answers from there. When that one leaves too, they get
// an honest refusal that says when to come back.
func TestAbroad(t *testing.T) {
	c := newCluster(t, 1)
	doc := strings.Replace(string(devConfig), `"models": ["demo"]`, `"models": ["demo"], "abroad": ["far"]`, 1)
	doc = strings.Replace(doc, `"dev": {}`, `"dev": {}, "far": {}`, 1)
	path := filepath.Join(c.dir, "second.json")
	must.NoError(t, os.WriteFile(path, []byte(doc), 0o600))
	must.NoError(t, c.start("apply", path, "--control", c.replicas(), "--base", "1", "--change", "second").Wait())
	far := &setup.Setup{
		Node: "far-1", DataCentre: "far", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t), Operator: freeAddr(t),
		Control: c.control, LogLevel: 1, DrainLinger: new(time.Duration),
	}
	c.start("entry", c.settings(far))
	addr := freeAddr(t)
	engine := newProc(t, c.dir, "engine-far", "standin", "--name", "engine-far", "--listen", addr.String(), "--pools", "demo",
		"--models", "demo", "--step", "1ms", "--entries", far.Upstreams.String())
	const chat = `{"model":"demo","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`
	c.until("answer from abroad", func() bool { return c.ask(0, "/v1/chat/completions", "", chat).outcome == "whole" })
	for range 20 { // More than the slots of the engine, so they do come back.
		must.Eq(t, "whole", c.ask(0, "/v1/chat/completions", "", chat).outcome)
	}
	must.NoError(t, engine.cmd.Process.Signal(os.Interrupt))
	must.NoError(t, engine.cmd.Wait())
	a := c.ask(0, "/v1/chat/completions", "", chat)
	must.Eq(t, answer{http.StatusServiceUnavailable, "not-run", a.body}, a)
	must.StrContains(t, a.body, "no-upstream")
}
