package dialer

import (
	"context"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"azurelane/io/tunnel"
)

const (
	// closedTimeout is how long to wait for a sign whether a process has ended. Its VM refuses
	// connections at once.
	closedTimeout = 150 * time.Millisecond
	// checkCount is the number of upstreams that are tried before a refused connection counts as a crash.
	checkCount = 16
)

// Closed reports whether connections to an upstream's address are refused, and whether that is sure to mean
// that no process listens there. While this entry may have no path itself, it asks another one. If that one
// may have none either, it tries other upstreams.
func (d *Dialer) Closed(ctx context.Context, addr netip.AddrPort) (closed, sure bool) {
	var connected, refused bool
	lost := d.Lost()
	if !lost {
		if connected, refused = d.check(ctx, addr); connected || !d.Suspect() {
			return refused, true
		}
	}
	c, err := d.dialThrough(ctx, addr.String())
	switch {
	case err == nil:
		_ = c.Close()
		return false, true
	case errors.Is(err, tunnel.ErrRefused):
		closed, sure = true, true
	default:
		closed = refused || (lost && d.refuses(ctx, addr))
		sure = closed && (d.reliable() || (d.reachesAny(ctx, addr) && d.refuses(ctx, addr)))
	}
	d.logCheck(addr, closed, sure, err)
	return closed, sure
}

// Runs reports whether a process accepts connections at an upstream's address and keeps them open for a moment.
// The kernel may accept one for a process that is ending, and resets it then.
func (d *Dialer) Runs(ctx context.Context, addr netip.AddrPort) bool {
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return staysOpen(c)
}

// check connects directly to an upstream, and reports whether that succeeds or is refused.
func (d *Dialer) check(ctx context.Context, addr netip.AddrPort) (connected, refused bool) {
	c, err := tunnel.Direct(ctx, closedTimeout, d.Source, addr.String())
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return true, false
}

func (d *Dialer) refuses(ctx context.Context, addr netip.AddrPort) bool {
	_, refused := d.check(ctx, addr)
	return refused
}

// reachesAny reports whether an upstream other than the one at an address is reached. Checks that run at
// the same time share one attempt.
func (d *Dialer) reachesAny(ctx context.Context, addr netip.AddrPort) bool {
	var sample []string
	if d.Sample != nil {
		sample = d.Sample(checkCount)
	}
	d.mu.Lock()
	for _, a := range sample {
		d.addTarget(a)
	}
	done := d.trying
	if done == nil {
		done = make(chan struct{})
		d.trying = done
		go d.tryOthers(d.others(addr.String()), done)
	}
	d.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return d.reliable()
}

// others returns up to checkCount upstreams other than the one at an address, those that did not fail
// first. d.mu must be held.
func (d *Dialer) others(addr string) []string {
	var list, failed []string
	known := d.path.Failed(time.Now())
	for a := range d.targets { // In random order.
		switch _, ok := known[a]; {
		case a == addr:
		case ok:
			failed = append(failed, a)
		default:
			list = append(list, a)
		}
	}
	list = append(list, failed...)
	return list[:min(len(list), checkCount)]
}

// tryOthers connects to upstreams until one is reached, and then closes done.
func (d *Dialer) tryOthers(list []string, done chan struct{}) {
	reached := make(chan bool, len(list))
	for _, addr := range list {
		go func() { reached <- d.probe(addr, closedTimeout) }()
	}
	for range list {
		if <-reached {
			break
		}
	}
	d.mu.Lock()
	d.trying = nil
	d.mu.Unlock()
	close(done)
}

// logCheck logs how a check ended for which another entry was asked.
func (d *Dialer) logCheck(addr netip.AddrPort, closed, sure bool, elsewhere error) {
	now := time.Now()
	d.mu.Lock()
	entries, failed, lost, quiet := len(d.entries), d.path.Failed(now), d.path.Lost(), d.path.Quiet(now)
	d.mu.Unlock()
	d.Log.Info("Upstream checked while this entry may have no path.", "address", addr.String(), "closed", closed, "sure", sure,
		"elsewhere", elsewhere.Error(), "known", entries, "lost", lost, "quiet", quiet.String(), "failed", failed)
}
