package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/meta"
)

const (
	// outliveTimeout bounds the check whether an upstream has outlived its response.
	outliveTimeout = time.Second
	// An upstream at its limit of connections resets new ones, so that a check without an answer is repeated.
	outliveTries = 3
	outliveAgain = 50 * time.Millisecond
)

// errCut marks a response that ended with its connection, and whose upstream may have ended before it was whole.
var errCut = errors.New("gate: connection ended, and the upstream is not known to have outlived it")

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
		if err := b.flight.outlived(); err != nil {
			b.end = err
		}
	}
	return b.end
}

// outlived returns nil if the upstream of the send still runs.
func (f *flight) outlived() error {
	ctx, cancel := context.WithTimeout(f.ctx, outliveTimeout)
	defer cancel()
	stats := f.request.gate.Stats
	for n := 0; ; n++ {
		alive, sure := f.checkUpstream(ctx)
		switch {
		case alive:
			stats.Count("closes-confirmed", 1)
			return nil
		case sure || n+1 == outliveTries || ctx.Err() != nil:
			stats.Count("closes-doubted", 1)
			return errCut
		}
		time.Sleep(outliveAgain)
	}
}

// checkUpstream reports whether the upstream of the send still runs, and whether a report that it does not is sure.
// The health check names the instance, as another one may have its address by now. Any response shows that it runs.
func (f *flight) checkUpstream(ctx context.Context) (alive, sure bool) {
	q, u := f.request, f.placement.upstream
	path := q.view.Index.Pool(q.pool).HealthPath
	if path == "" || q.gate.Calls == nil {
		addr, err := netip.ParseAddrPort(u.GetAddress())
		return err == nil && q.gate.Prober.Runs(ctx, addr), true
	}
	resp, err := q.gate.checkHealth(ctx, u.GetId(), u.GetAddress(), path)
	if err != nil {
		q.gate.Log.V(1).Info("No answer to a health check.", "upstream", u.GetId(), "err", err.Error())
		return false, false
	}
	_ = resp.Body.Close()
	id := q.gate.Dialect.Instance(resp)
	return !q.gate.Dialect.Other(resp) && (id == "" || id == u.GetId()), true
}

// checkHealth sends a health check that only one instance answers.
func (g *Gate) checkHealth(ctx context.Context, id, address, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+strings.TrimPrefix(path, "/"), http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("gate: health check: %w", err)
	}
	g.Dialect.Stamp(r.Header, meta.Hop{Instance: id, Left: outliveTimeout})
	resp, _, err := g.Calls.Send(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("gate: health check: %w", err)
	}
	return resp, nil
}
