// Package front serves callers: it reads a request, waits for a slot,
// dispatches it at most once and passes the whole answer on.
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel"

	"azurelane/core/conf"
	"azurelane/core/wire"
	"azurelane/io/stats"
)

var tracer = otel.Tracer("azurelane/io/front")

type (
	// Front is the HTTP handler for callers. Its exported fields are set before use.
	Front struct {
		Node        string
		Incarnation string
		Address     string // Where peers can join a run that this entry holds.
		Config      func() *conf.Config
		Granter     granter
		Proposer    proposer
		Sender      sender
		Stats       *stats.Stats
		Log         logr.Logger

		last     atomic.Uint64 // Request ids.
		stopping atomic.Bool
		mu       sync.Mutex
		open     map[string]*usage // By client account.
		runs     sync.WaitGroup
	}

	granter interface {
		Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error)
		Release(r *wire.Release)
	}

	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
	}

	sender interface {
		Send(ctx context.Context, r *http.Request) (*http.Response, bool, error)
	}
)

// Request and response headers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTier       = "Azurelane-Tier"
	HeaderDeadline   = "Azurelane-Deadline"
	HeaderRepeatable = "Azurelane-Repeatable"
	HeaderOutcome    = "Azurelane-Outcome"
	HeaderRequest    = "Azurelane-Request"
)

// Stop refuses new requests and waits until those in flight have their answer
// or ctx ends.
func (f *Front) Stop(ctx context.Context) {
	f.mu.Lock()
	f.stopping.Store(true)
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.runs.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// enter counts a request in, unless the entry is stopping. Both happen under
// one lock, so that Stop can't miss a request that has just been let in.
func (f *Front) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping.Load() {
		return false
	}
	f.runs.Add(1)
	return true
}

// ServeHTTP handles one request from its arrival to its final answer.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	q := &request{front: f, w: w, r: r, start: start}
	q.id = f.last.Add(1)
	w.Header().Set(HeaderRequest, q.name())
	if !f.enter() {
		q.refuse(errStopping)
		return
	}
	defer f.runs.Done()
	q.serve()
	f.Stats.Time("request-time-us", time.Since(start))
}
