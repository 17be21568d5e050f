package main

import (
	"net/http"
	"os"
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
	t.Parallel()
	c := newCluster(t, 1)
	doc := strings.Replace(string(devConfig), `"models": ["demo"]`, `"models": ["demo"], "abroad": ["far"]`, 1)
	doc = strings.Replace(doc, `"dev": {}`, `"dev": {}, "far": {}`, 1)
	path := c.write("second.json", []byte(doc))
	must.NoError(t, c.start("apply", path, "--control", c.replicas(), "--base", "1", "--change", "second").Wait())
	far := c.entry(1)
	far.Node, far.DataCentre, far.LogLevel, far.DrainLinger = "far-1", "far", 1, new(time.Duration)
	c.start("entry", c.settings(far))
	engine := (&cluster{t: t, dir: c.dir, entries: []*setup.Setup{far}}).upstream("engine-far", "demo", "demo")
	c.until("answer from abroad", func() bool { return c.ask(0, chatPath, "", chatBody).outcome == "whole" })
	for range 20 { // More than the slots of the engine, so they do come back.
		must.Eq(t, "whole", c.ask(0, chatPath, "", chatBody).outcome)
	}
	must.NoError(t, engine.cmd.Process.Signal(os.Interrupt))
	must.NoError(t, engine.cmd.Wait())
	a := c.ask(0, chatPath, "", chatBody)
	must.Eq(t, answer{http.StatusServiceUnavailable, "not-run", a.body}, a)
	must.StrContains(t, a.body, "no-upstream")
}
