package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"azurelane/io/link"
)

// peer is what is known of one address. The mesh's lock guards it.
type peer struct {
	link    *link.Link
	dialing chan struct{} // Closed when the dial under way has ended; nil without one.
	stop    context.CancelFunc
	err     error // Of the last dial.
	fails   int
	until   time.Time // No dial before.
}

// to returns the link to a peer. Callers share one dial, and each waits for it
// no longer than its own context allows.
func (m *Mesh) to(ctx context.Context, addr netip.AddrPort) (*link.Link, error) {
	for {
		l, wait, err := m.have(addr)
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

// have returns the live link, or a channel that closes when the dial has
// ended, or the error of a dial that failed a moment ago.
func (m *Mesh) have(addr netip.AddrPort) (*link.Link, <-chan struct{}, error) {
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
	if time.Now().Before(p.until) {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrBackoff, addr, p.err)
	}
	p.dialing = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), DialLimit)
	p.stop = cancel
	m.wg.Go(func() { m.dial(ctx, addr, p) })
	return nil, p.dialing, nil
}

func (m *Mesh) dial(ctx context.Context, addr netip.AddrPort, p *peer) {
	l, err := link.Dial(ctx, addr, m.TLS, m.Handle, m.take)
	m.mu.Lock()
	defer m.mu.Unlock()
	p.stop()
	close(p.dialing)
	p.dialing = nil
	if err != nil {
		p.err = err
		p.until = time.Now().Add(min(firstBackoff<<min(p.fails, 10), mostBackoff))
		p.fails++
		return
	}
	p.link, p.fails, p.until = l, 0, time.Time{}
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
