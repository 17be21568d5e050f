package main

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
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
	t.Parallel()
	spans := &receiver{}
	srv := httptest.NewServer(spans)
	t.Cleanup(srv.Close)
	c := newTraced(t, srv.URL+"/v1/traces")
	c.upstream("engine-1", "demo", "demo")
	for i := range c.entries {
		c.until("first answer", func() bool { return c.ask(i, chatPath, "", chatBody).outcome == "whole" })
	}
	const caller = "00f067aa0ba902b7"
	for i := range c.entries {
		r, err := request(t.Context(), c.entries[i].Callers, chatPath, fmt.Sprintf("trace-%d", i), chatBody)
		must.NoError(t, err)
		r.Header.Set("Traceparent", "00-"+traceID(i)+"-"+caller+"-01")
		resp, err := http.DefaultClient.Do(r)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		_ = resp.Body.Close()
	}
	for _, e := range c.entries {
		served := map[string]json.RawMessage{}
		c.until("metrics", func() bool { return fetch(t.Context(), "http://"+e.Operator.String()+"/metrics", &served) })
		must.MapContainsKey(t, served, "request-time-us")
		for name := range served {
			must.True(t, stats.Listed(name), must.Sprintf("metric %s is not in the reference", name))
		}
	}
	for _, p := range c.procs {
		must.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, p := range c.procs {
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

func traceID(i int) string { return fmt.Sprintf("4bf92f3577b34da6a3ce929d0e0e47%02d", i) }

// newTraced starts one control replica and two entries that trace only what
// their callers trace.
func newTraced(t *testing.T, url string) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	c.controls(1)
	c.apply(devConfig)
	c.join(2, func(s *setup.Setup) { s.Trace = trace.Trace{OTLP: url} })
	for _, e := range c.entries {
		c.until(e.Node+" hears the other", func() bool {
			var i struct {
				Members []string `json:"members"`
			}
			return fetch(t.Context(), "http://"+e.Operator.String()+"/v1/info", &i) && len(i.Members) == len(c.entries)
		})
	}
	return c
}
