// Package hello announces an upstream to the entries.
package hello

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/codec"
)

const (
	// Every is the interval between two announcements; a lease outlives two lost ones.
	Every = time.Second
	// DefaultLinger is longer than a grant of a pool may be used by default.
	DefaultLinger = 1500 * time.Millisecond
	// tryLimit is one entry's time to answer. Two that don't still leave time
	// for a third within the lease.
	tryLimit = 900 * time.Millisecond
)

type (
	// Hello announces one upstream until its context ends, and then that it is
	// leaving. Its exported fields are set before use.
	Hello struct {
		Upstream    string
		Address     netip.AddrPort
		Incarnation string
		Pools       []string
		Models      []string
		MaxRunning  int
		MaxTokens   int
		Hardware    string
		CanResume   bool
		ChecksFence bool // It refuses an order with an old number.
		Entries     []netip.AddrPort
		Key         string                                        // Bearer key of its pools; empty for pools without one.
		Linger      time.Duration                                 // From "leaving" to the return of Serve; zero takes the default.
		Load        func() (running, queued int, cached []uint64) // Nil for none.
		Log         logr.Logger

		seq  uint64
		next int
	}

	announcement struct {
		Upstream       string         `json:"upstream"`
		Address        netip.AddrPort `json:"address"`
		Incarnation    string         `json:"incarnation"`
		Seq            uint64         `json:"seq"`
		Pools          []string       `json:"pools"`
		Models         []string       `json:"models,omitempty"`
		MaxRunning     int            `json:"max-running,omitzero"`
		MaxTokens      int            `json:"max-tokens,omitzero"`
		Hardware       string         `json:"hardware,omitzero"`
		CanResume      bool           `json:"can-resume,omitzero"`
		ChecksFence    bool           `json:"checks-fence,omitzero"`
		Leaving        bool           `json:"leaving,omitzero"`
		Lease          time.Duration  `json:"lease"`
		Running        int            `json:"running,omitzero"`
		Queued         int            `json:"queued,omitzero"`
		CachedPrefixes []uint64       `json:"cached-prefixes,omitempty"`
	}
)

// Serve announces until ctx ends. It then says that the upstream leaves, again
// and again until the linger is over, and returns: grants given before are used
// by then, so the server may be shut down without cutting one off.
func (h *Hello) Serve(ctx context.Context) error {
	h.repeat(ctx, false)
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(h.Linger, DefaultLinger))
	defer cancel()
	h.repeat(lctx, true)
	return ctx.Err()
}

func (h *Hello) repeat(ctx context.Context, leaving bool) {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for {
		if err := h.Announce(ctx, leaving); err != nil && ctx.Err() == nil {
			h.Log.V(1).Info("Not announced.", "err", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Announce tells one entry, and the next one when that fails.
func (h *Hello) Announce(ctx context.Context, leaving bool) error {
	h.seq++
	a := announcement{
		Upstream: h.Upstream, Address: h.Address, Incarnation: h.Incarnation, Seq: h.seq, Pools: h.Pools, Models: h.Models,
		MaxRunning: h.MaxRunning, MaxTokens: h.MaxTokens, Hardware: h.Hardware, CanResume: h.CanResume, ChecksFence: h.ChecksFence,
		Leaving: leaving, Lease: 3 * Every,
	}
	if h.Load != nil {
		a.Running, a.Queued, a.CachedPrefixes = h.Load()
	}
	body, err := codec.Write(a)
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	for range h.Entries {
		if err = h.post(ctx, h.Entries[h.next%len(h.Entries)], body); err == nil {
			return nil
		}
		h.next++
	}
	return err
}

func (h *Hello) post(ctx context.Context, to netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	if h.Key != "" {
		r.Header.Set("Authorization", "Bearer "+h.Key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("hello: entry %s answered %s", to, resp.Status)
	}
	return nil
}
