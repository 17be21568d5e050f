// Package orderd takes orders for a stand-in upstream: to load a model or an
// adapter, or to change role.
package orderd

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"azurelane/core/codec"
)

// Path is where an upstream takes orders.
const Path = "/v1/orders"

const maxBody = 64 << 10

type (
	// Orderd is the HTTP handler. Its exported fields are set before use. The
	// zero value ignores fences and takes no time.
	Orderd struct {
		ChecksFence bool
		Takes       time.Duration // Time that an order takes.
		Sleep       func(ctx context.Context, d time.Duration) error

		mu      sync.Mutex
		fence   uint64
		running int
		most    int
		done    []string
	}

	doc struct {
		ID      string `json:"id"`
		Kind    string `json:"kind"`
		Target  string `json:"target"`
		Version string `json:"version,omitzero"`
		Fence   uint64 `json:"fence"`
	}
)

// ServeHTTP runs one order. An order with an old fence is refused with 409 by
// an upstream that checks it.
func (o *Orderd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var d doc
	if err := codec.ReadLoose(http.MaxBytesReader(w, r.Body, maxBody), &d); err != nil {
		http.Error(w, "orderd: "+err.Error(), http.StatusBadRequest)
		return
	}
	if !o.enter(d.Fence) {
		http.Error(w, "orderd: old fence", http.StatusConflict)
		return
	}
	err := o.sleep(r.Context())
	o.leave(d, err)
	if err != nil {
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Done lists the ids of the orders that ran to their end.
func (o *Orderd) Done() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.done)
}

// Most is the largest number of orders that ran at once.
func (o *Orderd) Most() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.most
}

func (o *Orderd) enter(fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ChecksFence && fence < o.fence {
		return false
	}
	o.fence = max(o.fence, fence)
	o.running++
	o.most = max(o.most, o.running)
	return true
}

func (o *Orderd) leave(d doc, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running--
	if err == nil && (!o.ChecksFence || d.Fence == o.fence) {
		o.done = append(o.done, d.ID)
	}
}

func (o *Orderd) sleep(ctx context.Context) error {
	if o.Sleep != nil {
		return o.Sleep(ctx, o.Takes)
	}
	t := time.NewTimer(o.Takes)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
