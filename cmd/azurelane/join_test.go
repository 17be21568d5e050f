package main

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// A keyed request runs for seconds at one entry, and a second submission comes
// to another: over the link between the processes it joins and gets the same
// answer. A second key's holder is killed in mid-run: the other entry can't
// reach it, so the honest answer is unknown, and the key does not run again.
func TestJoinAcrossProcesses(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	holder := c.entry(2, c.entries[0].Peers)
	cmd := c.start("entry", c.settings(holder))
	c.entries = append(c.entries, holder)
	engine := c.upstream("engine-1", "demo", "demo")
	for i, e := range c.entries {
		c.untilReady(e)
		c.until("first answer", func() bool { return c.ask(i, chatPath, "", chatBody).outcome == "whole" })
	}
	runs := func(key string) int {
		n := 0
		for _, r := range c.journal(engine.addr) {
			if r.Key == key {
				n++
			}
		}
		return n
	}
	const long = `{"model":"demo","max_tokens":1000,"messages":[]}`
	var first answer
	var wg sync.WaitGroup
	wg.Go(func() { first = c.ask(1, chatPath, "one", long) })
	c.until("it runs", func() bool { return runs("one") == 1 })
	second := c.ask(0, chatPath, "one", long)
	wg.Wait()
	must.Eq(t, "whole", first.outcome)
	must.Eq(t, first, second)
	must.Eq(t, 1, runs("one"))

	const longer = `{"model":"demo","max_tokens":10000,"messages":[]}`
	go func() {
		r, _ := request(context.Background(), holder.Callers, chatPath, "two", longer)
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	c.until("it runs", func() bool { return runs("two") == 1 })
	must.NoError(t, cmd.Process.Kill())
	lost := c.ask(0, chatPath, "two", longer)
	must.Eq(t, "unknown", lost.outcome)
	must.StrContains(t, lost.body, "holder-lost")
	must.Eq(t, 1, runs("two"))
}
