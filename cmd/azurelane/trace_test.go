package main

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"azurelane/io/setup"
	"azurelane/io/stats"
	"azurelane/io/trace"
)

// receiver is a collector that keeps the spans it is sent.
type receiver struct {
	mu    sync.Mutex
	spans []heardSpan
}

type heardSpan struct{ name, node, trace, id, parent string }

func (c *receiver) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var req collector.ExportTraceServiceRequest
	body, err := io.ReadAll(r.Body)
	if err != nil || proto.Unmarshal(body, &req) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rs := range req.GetResourceSpans() {
		node := ""
		for _, a := range rs.GetResource().GetAttributes() {
			if a.GetKey() == "service.instance.id" {
				node = a.GetValue().GetStringValue()
			}
		}
		for _, ss := range rs.GetScopeSpans() {
			for _, s := range ss.GetSpans() {
				c.spans = append(c.spans, heardSpan{
					s.GetName(), node, hex.EncodeToString(s.GetTraceId()), hex.EncodeToString(s.GetSpanId()), hex.EncodeToString(s.GetParentSpanId()),
				})
			}
		}
	}
}

// of returns the spans of one trace by name.
func (c *receiver) of(id string) map[string]heardSpan {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := map[string]heardSpan{}
	for _, s := range c.spans {
		if s.trace == id {
			byName[s.name] = s
		}
	}
	return byName
}

// A caller that takes part in a trace asks two entries, one of which owns the
// pool. Each of its requests becomes one trace with a span for each hop, the
// owner's decision on the other entry among them, below the caller's own span.
// Every metric that the processes then serve stands in the reference.
func TestTrace(t *testing.T) {
	spans := &receiver{}
	srv := httptest.NewServer(spans)
	t.Cleanup(srv.Close)
	c, procs := newTraced(t, srv.URL+"/v1/traces")
	c.upstream("engine-1", "demo", "demo")
	for i := range c.entries {
		c.until("first answer", func() bool { return c.ask(i, "/v1/chat/completions", "", chatBody).outcome == "whole" })
	}
	const caller = "00f067aa0ba902b7"
	for i := range c.entries {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+c.entries[i].Callers.String()+"/v1/chat/completions", strings.NewReader(chatBody))
		must.NoError(t, err)
		r.Header.Set("Authorization", "Bearer dev-key")
		r.Header.Set("Idempotency-Key", fmt.Sprintf("trace-%d", i))
		r.Header.Set("Traceparent", "00-"+traceID(i)+"-"+caller+"-01")
		resp, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		_ = resp.Body.Close()
	}
	for _, addr := range []netip.AddrPort{c.entries[0].Operator, c.entries[1].Operator} {
		served := map[string]json.RawMessage{}
		must.True(t, fetch(t.Context(), "http://"+addr.String()+"/metrics", &served))
		must.MapContainsKey(t, served, "request-time-us")
		for name := range served {
			must.True(t, stats.Listed(name), must.Sprintf("metric %s is not in the reference", name))
		}
	}
	for _, p := range procs {
		must.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		_ = p.cmd.Wait() // Flushes the spans.
	}
	abroad := 0
	for i := range c.entries {
		got := spans.of(traceID(i))
		for name, parent := range map[string]string{
			"queue": "request", "decision": "queue", "claim": "request", "dispatch": "request", "first-byte": "dispatch", "answer": "dispatch",
		} {
			must.MapContainsKey(t, got, name)
			must.Eq(t, got[parent].id, got[name].parent, must.Sprintf("parent of %s", name))
		}
		must.Eq(t, caller, got["request"].parent)
		if got["decision"].node != got["request"].node {
			abroad++
		}
	}
	must.Eq(t, 1, abroad, must.Sprint("decisions made at the other entry"))
}

const chatBody = `{"model":"demo","max_tokens":3,"messages":[{"role":"user","content":"Hello"}]}`

func traceID(i int) string { return fmt.Sprintf("4bf92f3577b34da6a3ce929d0e0e47%02d", i) }

// newTraced starts one control replica and two entries that trace only what
// their callers trace.
func newTraced(t *testing.T, url string) (*cluster, []*proc) {
	c := &cluster{t: t, dir: t.TempDir(), control: []netip.AddrPort{freeAddr(t)}}
	newProc(t, c.dir, "control-1", "control", "--bootstrap", c.settings(&setup.Setup{
		Node: "control-1", DataCentre: "dev", Peers: c.control[0], Operator: freeAddr(t), Control: c.control, DataFolder: filepath.Join(c.dir, "control-1"),
	}))
	c.apply(0)
	seeds := []netip.AddrPort{freeAddr(t), freeAddr(t)}
	var procs []*proc
	for i, addr := range seeds {
		s := &setup.Setup{
			Node: fmt.Sprintf("entry-%d", i+1), DataCentre: "dev", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: addr,
			Operator: freeAddr(t), Control: c.control, Seeds: seeds, Trace: trace.Trace{OTLP: url},
		}
		c.entries = append(c.entries, s)
		procs = append(procs, newProc(t, c.dir, s.Node, "entry", c.settings(s)))
	}
	for _, e := range c.entries {
		c.until(e.Node+" hears the other", func() bool {
			var i struct {
				Members []string `json:"members"`
			}
			return fetch(t.Context(), "http://"+e.Operator.String()+"/v1/info", &i) && len(i.Members) == len(seeds)
		})
	}
	return c, procs
}
