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
	// Every is the interval between announcements. A lease does not end if two of them are lost.
	Every = time.Second
	// DefaultLinger exceeds the default time for which a grant can be used.
	DefaultLinger = 1500 * time.Millisecond
	// tryLimit is the timeout of one entry. Two entries that do not reply leave time for a third one
	// within the lease.
	tryLimit = 900 * time.Millisecond
)

type (
	// Hello announces an upstream until its context ends, and then that it leaves. Its exported fields
	// are set before use.
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
		ChecksFence bool // It refuses requests with an outdated fencing number.
		Entries     []netip.AddrPort
		Key         string                                        // Bearer key of its pools; empty for pools without a key.
		Linger      time.Duration                                 // Time between "leaving" and the return of Serve; zero for the default.
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

// Serve announces the upstream until ctx ends. Then it announces repeatedly that the upstream leaves, and returns
// after Linger: earlier grants have been used by then, so the server can be shut down.
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

// Announce sends an announcement to one entry, or to the next one if that fails.
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
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("hello: entry %s answered %s", to, resp.Status)
	}
	return nil
}
