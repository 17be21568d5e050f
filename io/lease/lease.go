// Package lease takes the announcements of upstreams over HTTP.
package lease

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"azurelane/core/codec"
	"azurelane/core/wire"
)

// Path is where upstreams announce themselves, at any entry.
const Path = "/v1/announce"

const (
	maxBody      = 64 << 10
	defaultLease = 3 * time.Second
	maxLease     = time.Minute
)

type (
	// Lease is the HTTP handler. Its exported fields are set before use.
	Lease struct {
		Take func(ctx context.Context, a *wire.Announce) error
	}

	// announcement is the JSON form of wire.Announce.
	announcement struct {
		Upstream       string        `json:"upstream"`
		Address        string        `json:"address"`
		Incarnation    string        `json:"incarnation"`
		Seq            uint64        `json:"seq"`
		Pools          []string      `json:"pools"`
		Models         []string      `json:"models,omitempty"`
		MaxRunning     int64         `json:"max-running,omitzero"`
		MaxTokens      int64         `json:"max-tokens,omitzero"`
		Hardware       string        `json:"hardware,omitzero"`
		ChecksFence    bool          `json:"checks-fence,omitzero"`
		CanResume      bool          `json:"can-resume,omitzero"`
		Leaving        bool          `json:"leaving,omitzero"`
		Lease          time.Duration `json:"lease,omitzero"`
		Running        int64         `json:"running,omitzero"`
		Queued         int64         `json:"queued,omitzero"`
		CachedPrefixes []uint64      `json:"cached-prefixes,omitempty"`
	}
)

// ServeHTTP takes one announcement.
func (l *Lease) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "lease: expected POST", http.StatusMethodNotAllowed)
		return
	}
	var a announcement
	err := codec.ReadLoose(http.MaxBytesReader(w, r.Body, maxBody), &a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		http.Error(w, "lease: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := l.Take(r.Context(), a.wire()); err != nil {
		http.Error(w, "lease: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *announcement) check() error {
	if a.Upstream == "" || len(a.Pools) == 0 {
		return fmt.Errorf("expected upstream and pools")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: expected an IP address with a port: %w", err)
	}
	if a.Lease == 0 {
		a.Lease = defaultLease
	}
	if a.Lease < 0 || a.Lease > maxLease {
		return fmt.Errorf("lease: expected up to %s", maxLease)
	}
	return nil
}

func (a *announcement) wire() *wire.Announce {
	return &wire.Announce{
		Upstream: a.Upstream, Address: a.Address, Incarnation: a.Incarnation, Seq: a.Seq, Pools: a.Pools, Models: a.Models,
		MaxRunning: a.MaxRunning, MaxTokens: a.MaxTokens, Hardware: a.Hardware, ChecksFence: a.ChecksFence,
		CanResume: a.CanResume, Leaving: a.Leaving, LeaseUs: a.Lease.Microseconds(), Running: a.Running,
		Queued: a.Queued, CachedPrefixes: a.CachedPrefixes,
	}
}
