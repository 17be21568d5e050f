package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/meta"
	"azurelane/core/wire"
)

const (
	// outliveTimeout bounds the check whether an upstream has outlived its response.
	outliveTimeout = time.Second
	// healthDeadline is the deadline that a health check states. A busy upstream refuses the check then, and that
	// response has to come within outliveTimeout.
	healthDeadline = 600 * time.Millisecond
	// checkAgain is the time between two checks. An upstream at its limit of connections resets new ones.
	checkAgain = 50 * time.Millisecond
)

// errDoubted marks a response that ended with its connection, and whose upstream may have ended before it was whole.
var errDoubted = errors.New("gate: connection ended, and the upstream is not known to have outlived it")

// closedBody is the body of a response that ends with its connection. The kernel ends the connections of a killed
// process in the same way, so its end counts only once the upstream is known to have outlived it. While a stop is
// pending the mover judges the end first: a check would lengthen the pause, and an upstream outlives a stopped run.
type closedBody struct {
	io.ReadCloser

	flight *flight
	mover  *mover
	end    error // Result of the check; nil before.
}

// Read reads from the body.
func (b *closedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.mover.stopPending() {
		err = b.check()
	}
	return n, err //nolint:wrapcheck // Readers compare io.EOF.
}

// check checks whether the upstream has outlived its response, and returns io.EOF if so. A nil body needs no check.
func (b *closedBody) check() error {
	if b == nil {
		return io.EOF
	}
	if b.end == nil {
		b.end = io.EOF
		if err := b.flight.confirmEnd(); err != nil {
			b.end = err
		}
	}
	return b.end
}

// confirmEnd checks that the upstream of the send has outlived its response.
func (f *flight) confirmEnd() error {
	ctx, cancel := context.WithTimeout(f.ctx, outliveTimeout)
	defer cancel()
	stats := f.request.gate.Stats
	for {
		runs, gone := f.checkUpstream(ctx)
		if runs {
			stats.Count("closes-confirmed", 1)
			return nil
		}
		if !gone {
			select {
			case <-ctx.Done():
			case <-time.After(checkAgain):
				continue
			}
		}
		if f.ctx.Err() != nil {
			return fmt.Errorf("gate: check of an ended connection: %w", context.Cause(f.ctx))
		}
		stats.Count("closes-doubted", 1)
		return errDoubted
	}
}

// checkUpstream reports whether the upstream of the send runs, and otherwise whether it is gone.
func (f *flight) checkUpstream(ctx context.Context) (runs, gone bool) {
	q, u := f.request, f.placement.upstream
	r := q.healthCheck(ctx, u)
	if r == nil {
		addr, err := netip.ParseAddrPort(u.GetAddress())
		if err != nil {
			return false, true
		}
		if q.gate.Prober.Runs(ctx, addr) {
			return true, false
		}
		closed, _ := q.gate.Prober.Closed(ctx, addr)
		return false, closed
	}
	resp, _, err := q.gate.Calls.Send(ctx, r)
	if err != nil {
		q.gate.Log.V(1).Info("No answer to a health check.", "upstream", u.GetId(), "err", errText(err))
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = resp.Body.Close()
	id := q.gate.Dialect.Instance(resp)
	runs = !q.gate.Dialect.Other(resp) && (id == "" || id == u.GetId())
	return runs, !runs
}

// healthCheck returns a request that only the instance of an upstream answers otherwise than as misdirected, since
// another one may have its address by now. It returns nil if the pool has no health check.
func (q *request) healthCheck(ctx context.Context, u *wire.Upstream) *http.Request {
	path := q.view.Index.Pool(q.pool).HealthPath
	if path == "" || q.gate.Calls == nil {
		return nil
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.GetAddress()+"/"+strings.TrimPrefix(path, "/"), http.NoBody)
	if err != nil {
		return nil
	}
	q.gate.Dialect.Stamp(r.Header, meta.Hop{Instance: u.GetId(), Left: healthDeadline})
	return r
}
