// Package front serves callers: it reads a request, waits for a slot,
// dispatches it at most once and passes the whole answer on.
package front

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel"

	"azurelane/core/answer"
	"azurelane/core/budget"
	"azurelane/core/conf"
	"azurelane/core/index"
	"azurelane/core/quota"
	"azurelane/core/wire"
	"azurelane/io/keep"
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
		Peers       peers
		Stats       *stats.Stats
		Log         logr.Logger
		BodyTime    time.Duration // A caller's time to send its body; 0 takes the default.
		TakeTime    time.Duration // A caller's time to take one part of its answer; 0 takes the default.

		last     atomic.Uint64 // Request ids.
		draining atomic.Bool
		stopping atomic.Bool
		lookup   atomic.Pointer[index.Index]
		runs     sync.WaitGroup
		looks    atomic.Int32 // Look-ups of keys under way.
		away     atomic.Int64 // Until when control counts as away, in nanoseconds since 1970.
		keep     keep.Keep

		mu      sync.Mutex
		open    quota.Quota
		ended   bool                               // Requests that wait for a slot are refused.
		waiting map[uint64]context.CancelCauseFunc // By request id.
		budget  budget.Budget                      // Of second placements.
	}

	granter interface {
		Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error)
		Release(r *wire.Release)
	}

	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}

	sender interface {
		Send(ctx context.Context, r *http.Request) (*http.Response, bool, error)
		Closed(ctx context.Context, addr netip.AddrPort) bool
	}

	peers interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}

	// taker is where an answer goes: to the caller, or to a run that several
	// callers follow.
	taker interface {
		Sending() bool // Bytes may leave from now on; false when no caller is left.
		Unsent()       // None has.
		Head(a *answer.Answer) error
		Write(p []byte) (int, error)
		Flush() error
	}
)

// One who sends or takes nothing must not hold an upstream's slot, or a part of
// its account's limits, for ever.
const (
	defaultBodyTime = 30 * time.Second
	defaultTakeTime = 30 * time.Second
)

// refuseTime is how long a stop waits for the refusals of requests that wait for a slot.
const refuseTime = 200 * time.Millisecond

// Request and response headers.
const (
	HeaderKey        = "Idempotency-Key"
	HeaderTier       = "Azurelane-Tier"
	HeaderDeadline   = "Azurelane-Deadline"
	HeaderRepeatable = "Azurelane-Repeatable"
	HeaderOutcome    = "Azurelane-Outcome"
	HeaderRequest    = "Azurelane-Request"
)

// Drain tells callers with each answer from now on to close their connections,
// so that none is left idle when the entry stops.
func (f *Front) Drain() { f.draining.Store(true) }

// Stop refuses new requests and waits until those in flight have their answer
// or ctx ends. Then it refuses those that still wait for a slot: they have not
// run, and their callers could not know that if the process just ended.
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
		return
	case <-ctx.Done():
	}
	f.refuseWaiting()
	select {
	case <-done:
	case <-time.After(refuseTime):
	}
}

func (f *Front) refuseWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for id, cancel := range f.waiting {
		cancel(errStopping)
		delete(f.waiting, id)
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
	q := &request{front: f, r: r, start: time.Now(), id: f.last.Add(1)}
	q.reply = reply{w: w, request: q.name(), stats: f.Stats, takeTime: orDefault(f.TakeTime, defaultTakeTime)}
	defer q.reply.close()
	if f.draining.Load() || f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !f.enter() {
		q.reply.end(q.close(q.stopped()))
		return
	}
	defer f.runs.Done()
	defer func() { f.Stats.Time("request-time-us", time.Since(q.start)) }()
	q.serve()
}

// index is the look-up table of the configuration in force, or nil before the
// first. It is built once for each configuration.
func (f *Front) index() *index.Index {
	cfg := f.Config()
	if cfg == nil {
		return nil
	}
	if x := f.lookup.Load(); x != nil && x.Config() == cfg {
		return x
	}
	x := index.New(cfg)
	f.lookup.Store(x)
	f.keep.Limit(orDefault(cfg.AnswerBytes, conf.DefaultAnswerBytes), orDefault(cfg.AnswerKeep, conf.DefaultAnswerKeep))
	return x
}

func orDefault[T int64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}
