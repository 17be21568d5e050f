package stats

import (
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/keys"
)

func TestServe(t *testing.T) {
	s := New()
	s.Count("outcome-whole", 2)
	s.Gauge("config-version", 3)
	s.Pull("claims", func() int64 { return 4 })
	s.Time("queue-time-us", 5*time.Millisecond)
	s.Runtime()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	var got map[string]map[string]float64
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	for _, tc := range []struct {
		name, field string
		want        float64
	}{
		{"outcome-whole", "count", 2},
		{"config-version", "value", 3},
		{"claims", "value", 4},
		{"queue-time-us", "99%", 5000},
	} {
		must.Eq(t, tc.want, got[tc.name][tc.field], must.Sprint(tc.name))
	}
	must.Positive(t, got["memory-total-bytes"]["value"])
	for name := range got {
		must.True(t, Listed(name), must.Sprint(name))
	}
}

// A process without metrics drops what it is given.
func TestZero(t *testing.T) {
	var s *Stats
	s.Count("a", 1)
	s.Gauge("a", 1)
	s.Time("a", 1)
	s.Runtime()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	must.Eq(t, "{}\n", w.Body.String())
}

var update = flag.Bool("update", false, "write the reference of metrics into docs/OPERATIONS.md")

func TestReference(t *testing.T) {
	const page = "../../docs/OPERATIONS.md"
	data, err := os.ReadFile(page)
	must.NoError(t, err)
	text, before, err := keys.Embed(string(data), "metrics", Table())
	must.NoError(t, err)
	if *update {
		must.NoError(t, os.WriteFile(page, []byte(text), 0o600))
		return
	}
	must.Eq(t, Table(), before)
}

func BenchmarkCount(b *testing.B) {
	s := New()
	for b.Loop() {
		s.Count("outcome-whole", 1)
	}
}

func BenchmarkTime(b *testing.B) {
	s := New()
	for b.Loop() {
		s.Time("request-time-us", time.Millisecond)
	}
}
