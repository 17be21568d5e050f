// Package httpd runs one HTTP server as a service that stops cleanly.
package httpd

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTime = 10 * time.Second // A client's time to send its header.
	idleTime   = 2 * time.Minute  // Of a kept-alive connection between requests.
	maxHeader  = 32 << 10
	stopTime   = 5 * time.Second // For requests in flight, where Drain is not set.
)

// Httpd is one HTTP server. Its fields are set before Serve is called.
type Httpd struct {
	Listen  net.Listener
	Handler http.Handler
	Drain   time.Duration // Longest wait for requests in flight when it stops; zero takes 5 s.
}

// Serve answers requests until ctx ends, then closes the listener and waits for
// those in flight, streams of many minutes among them, for as long as Drain.
func (h *Httpd) Serve(ctx context.Context) error {
	srv := &http.Server{
		Handler: h.Handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(h.Listen) }()
	select {
	case err := <-done:
		return fmt.Errorf("httpd: serve: %w", err)
	case <-ctx.Done():
	}
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cmp.Or(h.Drain, stopTime))
	defer cancel()
	if err := srv.Shutdown(sctx); err != nil {
		_ = srv.Close()
	}
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("httpd: serve: %w", err)
	}
	return ctx.Err()
}
