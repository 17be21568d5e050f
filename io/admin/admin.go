// Package admin is the operators' HTTP server of one process.
package admin

import (
	"net/http"

	"github.com/go-json-experiment/json"

	"azurelane/io/stats"
)

// Admin serves metrics, health and draining. Its fields are set before use.
type Admin struct {
	Stats *stats.Stats
	Ready func() bool
	Info  func() any // What stands under /v1/info.
	Drain func()     // Called once by POST /v1/drain; nil where draining makes no sense.
	Token string     // Hex SHA-256 of the operators' token; empty for none.
}

// Handler returns the routes. Metrics and readiness are open to all who reach
// the port; the rest is for operators.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.Stats)
	mux.HandleFunc("GET /metrics/text", a.Stats.Text)
	mux.HandleFunc("GET /ready", a.ready)
	mux.Handle("GET /v1/info", a.guard(a.info))
	mux.Handle("POST /v1/drain", a.guard(a.drain))
	// A page in a browser on this VM must not be able to drain it.
	return http.NewCrossOriginProtection().Handler(mux)
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	if a.Ready != nil && !a.Ready() {
		http.Error(w, "admin: not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Admin) info(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if a.Info != nil {
		_ = json.MarshalWrite(w, a.Info())
	}
}

func (a *Admin) drain(w http.ResponseWriter, _ *http.Request) {
	if a.Drain == nil {
		http.Error(w, "admin: this process can't be drained", http.StatusNotImplemented)
		return
	}
	a.Drain()
	w.WriteHeader(http.StatusAccepted)
}
