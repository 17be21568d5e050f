// Package mesh keeps the links of one process to its peers.
package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/wire"
	"azurelane/io/link"
)

// DialLimit bounds one attempt to connect to a peer.
const DialLimit = 2 * time.Second

type (
	// Mesh dials peers when they are first needed and serves those who dial
	// this process. Its fields are set before Serve is called.
	Mesh struct {
		Listen net.Listener
		Self   netip.AddrPort // Calls to it stay in the process.
		Handle func(ctx context.Context, f *wire.Frame) (*wire.Frame, error)
		TLS    *tls.Config // For both directions; nil for plain TCP. Listen must already ask for certificates.
		Log    logr.Logger

		mu    sync.Mutex
		peers map[netip.AddrPort]*peer
		in    map[*link.Link]struct{}
	}

	// peer serialises the dialling of one address.
	peer struct {
		mu   sync.Mutex
		link *link.Link
	}
)

// Serve accepts peers until ctx ends, then closes every link.
func (m *Mesh) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.Listen.Close() })
	defer stop()
	defer m.Close()
	for {
		conn, err := m.Listen.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("mesh: accept: %w", err)
		}
		go m.accept(conn)
	}
}

// Call sends a frame to a peer and waits for its reply.
func (m *Mesh) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	if to == m.Self {
		return m.Handle(ctx, f)
	}
	l, err := m.to(ctx, to)
	if err != nil {
		return nil, err
	}
	r, err := l.Call(ctx, f)
	if err != nil {
		return nil, fmt.Errorf("mesh: call %s: %w", to, err)
	}
	return r, nil
}

// Send sends a one-way frame to a peer.
func (m *Mesh) Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error {
	if to == m.Self {
		_, err := m.Handle(ctx, f)
		return err
	}
	l, err := m.to(ctx, to)
	if err != nil {
		return err
	}
	if err := l.Send(f); err != nil {
		return fmt.Errorf("mesh: send to %s: %w", to, err)
	}
	return nil
}

func (m *Mesh) to(ctx context.Context, addr netip.AddrPort) (*link.Link, error) {
	m.mu.Lock()
	if m.peers == nil {
		m.peers = map[netip.AddrPort]*peer{}
	}
	p := m.peers[addr]
	if p == nil {
		p = &peer{}
		m.peers[addr] = p
	}
	m.mu.Unlock()

	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		select {
		case <-p.link.Done():
		default:
			return p.link, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, DialLimit)
	defer cancel()
	l, err := link.Dial(ctx, addr, m.TLS, m.Handle)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	p.link = l
	return l, nil
}

func (m *Mesh) accept(conn net.Conn) {
	l, err := link.Accept(conn, m.Handle)
	if err != nil {
		m.Log.V(1).Info("Peer not accepted.", "peer", conn.RemoteAddr().String(), "err", err.Error())
		return
	}
	m.mu.Lock()
	if m.in == nil {
		m.in = map[*link.Link]struct{}{}
	}
	m.in[l] = struct{}{}
	m.mu.Unlock()
	<-l.Done()
	m.mu.Lock()
	delete(m.in, l)
	m.mu.Unlock()
}

// Close ends every link.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.in {
		_ = l.Close()
	}
	for _, p := range m.peers {
		if p.mu.TryLock() {
			if p.link != nil {
				_ = p.link.Close()
			}
			p.mu.Unlock()
		}
	}
}
