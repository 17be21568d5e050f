package main

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/shoenig/test/must"

	"azurelane/io/record"
	"azurelane/io/setup"
)

// A keyed request runs for seconds at one entry, and a second submission comes
// to another: over the link between the processes it joins and gets the same
// answer. A second key's holder is killed in mid-run: the other entry can't
// reach it, so the honest answer is unknown, and the key does not run again.
func TestJoinAcrossProcesses(t *testing.T) {
	c := newCluster(t, 1)
	holder := &setup.Setup{
		Node: "entry-2", DataCentre: "dev", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t),
		Operator: freeAddr(t), Control: c.control, Seeds: []netip.AddrPort{c.entries[0].Peers},
	}
	cmd := c.start("entry", c.settings(holder))
	c.entries = append(c.entries, holder)
	engine := c.upstream("engine-1", "demo", "demo")
	const path, short = "/v1/chat/completions", `{"model":"demo","max_tokens":1,"messages":[]}`
	for i := range c.entries {
		c.until("first answer", func() bool {
			return status(t, "http://"+c.entries[i].Operator.String()+"/ready") == http.StatusOK && c.ask(i, path, "", short).outcome == "whole"
		})
	}
	runs := func(key string) int {
		resp, err := http.Get("http://" + engine.String() + "/journal")
		must.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var list []record.Record
		must.NoError(t, json.UnmarshalRead(resp.Body, &list))
		n := 0
		for _, r := range list {
			if r.Key == key {
				n++
			}
		}
		return n
	}
	const long = `{"model":"demo","max_tokens":1000,"messages":[]}`
	var first answer
	var wg sync.WaitGroup
	wg.Go(func() { first = c.ask(1, path, "one", long) })
	c.until("it runs", func() bool { return runs("one") == 1 })
	second := c.ask(0, path, "one", long)
	wg.Wait()
	must.Eq(t, "whole", first.outcome)
	must.Eq(t, first, second)
	must.Eq(t, 1, runs("one"))

	const longer = `{"model":"demo","max_tokens":10000,"messages":[]}`
	go func() {
		r, _ := http.NewRequest(http.MethodPost, "http://"+holder.Callers.String()+path, strings.NewReader(longer))
		r.Header.Set("Authorization", "Bearer dev-key")
		r.Header.Set("Idempotency-Key", "two")
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	c.until("it runs", func() bool { return runs("two") == 1 })
	must.NoError(t, cmd.Process.Kill())
	lost := c.ask(0, path, "two", longer)
	must.Eq(t, "unknown", lost.outcome)
	must.StrContains(t, lost.body, "holder-lost")
	must.Eq(t, 1, runs("two"))
}
