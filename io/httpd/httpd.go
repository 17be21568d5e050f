// Package httpd runs one HTTP server as a service that stops cleanly.
package httpd

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTime   = 10 * time.Second // A client's time to send its header.
	idleTime     = 2 * time.Minute  // Of a kept-alive connection between requests.
	maxHeader    = 32 << 10
	stopTime     = 5 * time.Second // For requests in flight, where Drain is not set.
	farewellStep = 10 * time.Millisecond
)

// Httpd is one HTTP server. Its fields are set before Serve is called.
type Httpd struct {
	Listen  net.Listener
	Handler http.Handler
	Drain   time.Duration // Longest wait for requests in flight when it stops; zero takes 5 s.
	// Farewell is how long the handler still answers after ctx has ended, as
	// long as connections are open, and once more after nothing new is accepted. A kept-alive connection that is closed in
	// the moment in which its client sends the next request looks to the client
	// like an answer that was cut off. A handler that refuses with "Connection:
	// close" in this time leaves no connection on which that could happen.
	Farewell time.Duration

	open atomic.Int64
}

// Serve answers requests until ctx ends, then closes the listener and waits for
// those in flight, streams of many minutes among them, for as long as Drain.
func (h *Httpd) Serve(ctx context.Context) error {
	srv := &http.Server{
		Handler: h.Handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ConnState: h.count,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(h.Listen) }()
	select {
	case err := <-done:
		return fmt.Errorf("httpd: serve: %w", err)
	case <-ctx.Done():
	}
	h.farewell()
	// From Shutdown on net/http reads a request that is on its way and closes the
	// connection without an answer. So nothing new is accepted first, and what was
	// accepted is answered; a client would see an end of file else, and could not
	// tell whether its request ran.
	_ = h.Listen.Close()
	err := <-done
	h.farewell()
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(h.Drain, stopTime))
	defer cancel()
	if err := srv.Shutdown(sctx); err != nil {
		_ = srv.Close()
	}
	if !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("httpd: serve: %w", err)
	}
	return ctx.Err()
}

// farewell waits until all connections are closed or its time is over.
func (h *Httpd) farewell() {
	end := time.After(h.Farewell)
	tick := time.NewTicker(farewellStep)
	defer tick.Stop()
	for h.open.Load() > 0 {
		select {
		case <-end:
			return
		case <-tick.C:
		}
	}
}

func (h *Httpd) count(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		h.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		h.open.Add(-1)
	default:
	}
}
