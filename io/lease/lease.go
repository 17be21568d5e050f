// Package lease receives announcements of upstreams over HTTP.
package lease

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"azurelane/core/codec"
	"azurelane/core/conf"
	"azurelane/core/wire"
)

// Path is the path for announcements, at any entry.
const Path = "/v1/announce"

const (
	maxBody      = 64 << 10
	defaultLease = 3 * time.Second
	maxLease     = time.Minute
)

type (
	// Lease is the HTTP handler for announcements. Its exported fields are set before use.
	Lease struct {
		Config func() *conf.Config // Nil before the first configuration.
		Take   func(ctx context.Context, a *wire.Announce) error
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

// ServeHTTP handles an announcement.
func (l *Lease) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "lease: expected POST", http.StatusMethodNotAllowed)
		return
	}
	cfg := l.Config()
	if cfg == nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "lease: this entry has no configuration yet", http.StatusServiceUnavailable)
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
	if status, err := a.allowed(cfg, r); err != nil {
		http.Error(w, "lease: "+err.Error(), status)
		return
	}
	if err := l.Take(r.Context(), a.wire()); err != nil {
		http.Error(w, "lease: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// allowed checks whether the sender may announce an upstream for the pools, and returns the status and the error
// otherwise. Without the key of each pool, any client of this port could have callers' requests sent to its own
// server. For a pool without a key the announced address must be the sender's.
func (a *announcement) allowed(cfg *conf.Config, r *http.Request) (int, error) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	for _, name := range a.Pools {
		p, ok := cfg.Pools[name]
		if !ok {
			return http.StatusNotFound, fmt.Errorf("no pool %s", name)
		}
		if p.AnnounceKey == "" {
			from, err := netip.ParseAddrPort(r.RemoteAddr)
			if err != nil || from.Addr().Unmap() != netip.MustParseAddrPort(a.Address).Addr().Unmap() {
				return http.StatusForbidden, fmt.Errorf("pool %s has no key, so the address must be the one that is spoken from", name)
			}
			continue
		}
		want, err := hex.DecodeString(p.AnnounceKey)
		if err != nil || subtle.ConstantTimeCompare(want, sum[:]) != 1 {
			return http.StatusUnauthorized, fmt.Errorf("pool %s: expected Authorization: Bearer with its announce key", name)
		}
	}
	return 0, nil
}

func (a *announcement) check() error {
	if a.Upstream == "" || len(a.Pools) == 0 {
		return fmt.Errorf("expected upstream and pools")
	}
	to, err := netip.ParseAddrPort(a.Address)
	if ip := to.Addr(); err != nil || to.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		return fmt.Errorf("address: expected the IP address of one server, with a port")
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
