// Package httpd runs one HTTP server as a service that stops cleanly.
package httpd

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurelane/io/guard"
	"azurelane/io/listen"
)

const (
	headerTime = 10 * time.Second // A client's time to send its header.
	idleTime   = 2 * time.Minute  // Of a kept-alive connection between requests.
	maxHeader  = 32 << 10
	stopTime   = 5 * time.Second // For requests in flight, where Drain is not set.
	lastTime   = time.Second     // For the last requests of open connections, where DrainOpen is not set.
	// EndTime is the last part of the wait for requests in flight. Their contexts end when it begins, so that
	// those which have not run are refused, and answered, before their connections are closed.
	EndTime   = 150 * time.Millisecond
	drainStep = 10 * time.Millisecond
	// settleTime is how long no request may run before connections are closed. A request that waits behind
	// an answer on its connection is begun within it.
	settleTime = 200 * time.Millisecond
)

// ErrStopping is the cause with which the contexts of requests end that are in flight when their server has to stop.
var ErrStopping = errors.New("httpd: server stops")

// Httpd is one HTTP server. Its fields are set before Serve is called.
type Httpd struct {
	Listen  net.Listener
	Handler http.Handler
	Drain   time.Duration // Longest wait for requests in flight when it stops; zero takes 5 s.
	// DrainOpen is how long requests are still answered after ctx has ended, as long
	// as connections are open, and once more after nothing new is accepted. Answers
	// ask clients to close their connections then. One that is closed just when its
	// client sends the next request looks to the client like an answer that was cut
	// off. Zero takes nothing before, and 1 s after nothing new is accepted.
	DrainOpen time.Duration
	// Guard bounds the headers of clients and the time that they stay idle; nil for fixed bounds.
	Guard *guard.Guard

	open     atomic.Int64 // Connections.
	running  atomic.Int64 // Requests.
	stopping atomic.Bool
}

// Serve answers requests until ctx ends, then closes the listener and waits for
// those in flight, streams of many minutes among them, for as long as Drain.
func (h *Httpd) Serve(ctx context.Context) error {
	h.stopping.Store(false)
	base, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	srv := &http.Server{
		BaseContext: func(net.Listener) context.Context { return base },
		Handler:     http.HandlerFunc(h.answer), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ConnState: h.count,
	}
	ln := listen.Of(h.Listen)
	if h.Guard != nil {
		ln = h.Guard.Wrap(ln)
		srv.ReadHeaderTimeout, srv.IdleTimeout, srv.MaxHeaderBytes = 0, 0, math.MaxInt32
		srv.ConnContext = h.Guard.Context
		go h.Guard.Serve(base)
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	select {
	case err := <-done:
		return fmt.Errorf("httpd: serve: %w", err)
	case <-ctx.Done():
	}
	h.stopping.Store(true)
	h.drain(h.DrainOpen)
	// From Shutdown on net/http reads a request that is on its way and closes the
	// connection without an answer. So nothing new is accepted first, and what was
	// accepted is answered.
	if err := ln.Drain(); err != nil {
		_ = ln.Close()
	}
	err := <-done
	h.drain(cmp.Or(h.DrainOpen, lastTime))
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(h.Drain, stopTime)-EndTime)
	defer cancel()
	h.settle(sctx)
	if err := srv.Shutdown(sctx); err != nil {
		end(ErrStopping)
		h.drain(EndTime)
		_ = srv.Close()
	}
	if !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("httpd: serve: %w", err)
	}
	return ctx.Err()
}

// answer serves one request.
func (h *Httpd) answer(w http.ResponseWriter, r *http.Request) {
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.Guard != nil {
		h.Guard.Begin(r.Context())
	}
	h.Handler.ServeHTTP(w, r)
}

// drain waits until all connections are closed, for as long as limit.
func (h *Httpd) drain(limit time.Duration) {
	end := time.After(limit)
	tick := time.NewTicker(drainStep)
	defer tick.Stop()
	for h.open.Load() > 0 {
		select {
		case <-end:
			return
		case <-tick.C:
		}
	}
}

// settle waits until no request has run for settleTime, or until ctx ends. An answer that began before the
// stop does not ask its client to close the connection, which may have sent the next request already.
func (h *Httpd) settle(ctx context.Context) {
	tick := time.NewTicker(drainStep)
	defer tick.Stop()
	for quiet := time.Now(); h.open.Load() > 0 && time.Since(quiet) < settleTime; {
		if h.running.Load() > 0 {
			quiet = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Httpd) count(c net.Conn, s http.ConnState) {
	if h.Guard != nil {
		h.Guard.State(c, s)
	}
	switch s {
	case http.StateNew:
		h.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.open.Add(-1)
	default:
	}
}
