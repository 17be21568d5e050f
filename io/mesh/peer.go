package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"azurelane/io/link"
)

// peer is the state of the connection to one address. The mesh's mutex guards it.
type peer struct {
	link         *link.Link
	dialing      chan struct{} // Closed when the attempt in progress completes; nil for none.
	stop         context.CancelFunc
	err          error // Error of the last attempt.
	failures     int
	backoffUntil time.Time // End of the backoff.
}

// linkTo returns the link to a peer, and connects first if needed. Callers share an attempt, and each
// waits for it until its own context ends.
func (m *Mesh) linkTo(ctx context.Context, addr netip.AddrPort) (*link.Link, error) {
	for {
		l, wait, err := m.openOrDial(addr)
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("mesh: dial %s: %w", addr, ctx.Err())
		}
	}
}

// openOrDial returns the open link, or else a channel that is closed when the attempt in progress
// completes, or else the error of an attempt that has just failed.
func (m *Mesh) openOrDial(addr netip.AddrPort) (*link.Link, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, nil, ErrClosed
	}
	p := m.peers[addr]
	if p == nil {
		if m.peers == nil {
			m.peers = map[netip.AddrPort]*peer{}
		}
		p = &peer{}
		m.peers[addr] = p
	}
	if p.alive() {
		return p.link, nil, nil
	}
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if time.Now().Before(p.backoffUntil) {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrBackoff, addr, p.err)
	}
	p.dialing = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), DialLimit)
	p.stop = cancel
	m.wg.Go(func() { m.dial(ctx, addr, p) })
	return nil, p.dialing, nil
}

func (m *Mesh) dial(ctx context.Context, addr netip.AddrPort, p *peer) {
	l, err := link.Dial(ctx, addr, m.TLS, m.Handle, m.handleOrRefuse)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.stop()
	close(p.dialing)
	p.dialing = nil
	if err != nil {
		p.err = err
		p.backoffUntil = time.Now().Add(min(firstBackoff<<min(p.failures, 10), maxBackoff))
		p.failures++
		return
	}
	p.link, p.failures, p.backoffUntil = l, 0, time.Time{}
	if m.closed {
		_ = l.Close()
	}
	m.wg.Go(l.Wait)
}

func (p *peer) alive() bool {
	if p.link == nil {
		return false
	}
	select {
	case <-p.link.Done():
		p.link = nil
		return false
	default:
		return true
	}
}

func (p *peer) close() {
	if p.dialing != nil {
		p.stop()
	}
	if p.link != nil {
		_ = p.link.Close()
	}
}
