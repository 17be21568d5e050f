// Package mesh manages the links of a process to its peers.
package mesh

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/core/wire"
	"azurelane/io/link"
	"azurelane/io/listen"
)

const (
	// DialLimit is the timeout of one attempt to connect to a peer.
	DialLimit = 2 * time.Second

	firstBackoff = 25 * time.Millisecond
	// maxBackoff also bounds how long a peer that has just restarted is not reached. Ten refused
	// connections a second cost nothing.
	maxBackoff  = 100 * time.Millisecond
	acceptPause = 50 * time.Millisecond
	// minSettleTime is the time for which a stopping mesh still reads and refuses calls, and
	// maxSettleTime the time that earlier calls may take to complete.
	minSettleTime  = 50 * time.Millisecond
	maxSettleTime  = 200 * time.Millisecond
	settleInterval = 5 * time.Millisecond
)

var (
	// ErrBackoff is returned without an attempt to connect if one has just failed, so that the
	// attempts at a dead peer do not grow with the callers. Nothing was sent. The error of the
	// failed attempt is wrapped as well.
	ErrBackoff = errors.New("mesh: peer could not be reached a moment ago")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("mesh: closed")
)

// Mesh connects to peers on demand and accepts connections of peers. Its exported fields are set
// before Serve is called.
type Mesh struct {
	Listen net.Listener
	Self   netip.AddrPort // Own address; calls to it stay in the process.
	Handle func(ctx context.Context, f *wire.Frame) (*wire.Frame, error)
	Later  func(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool // Handles calls that need no goroutine; see package link. May be nil.
	TLS    *tls.Config                                                            // For both directions; nil for plain TCP. Listen must request certificates.
	Log    logr.Logger

	stopping atomic.Bool // The mesh stops, and refuses calls of peers.

	mu       sync.Mutex
	closed   bool
	peers    map[netip.AddrPort]*peer
	accepted map[*link.Link]struct{}
	conns    map[net.Conn]struct{} // Accepted connections without a link yet.
	wg       sync.WaitGroup
}

// Serve accepts connections of peers until ctx ends. Then it refuses further calls, waits for the
// replies to earlier ones and closes all links.
func (m *Mesh) Serve(ctx context.Context) error {
	m.stopping.Store(false)
	m.mu.Lock()
	m.closed = false
	m.mu.Unlock()
	ln := listen.Of(m.Listen)
	stop := context.AfterFunc(ctx, func() {
		m.stopping.Store(true)
		if err := ln.Drain(); err != nil {
			_ = ln.Close()
		}
	})
	defer stop()
	defer m.Close()
	for {
		conn, err := ln.Accept()
		switch {
		case err == nil:
			if !m.hold(conn) { // Before the goroutine starts, so that a stopping mesh waits for it.
				_ = conn.Close()
				continue
			}
			m.wg.Go(func() { m.accept(conn) })
		case ctx.Err() != nil:
			_ = ln.Close()
			m.settle()
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("mesh: accept: %w", err)
		default:
			// Usually a temporary lack of file descriptors. Returning would close all links.
			m.Log.Info("Peer not accepted.", "err", err.Error())
			time.Sleep(acceptPause)
		}
	}
}

// handleOrRefuse refuses calls of a stopping mesh, and offers the others to Later. A call that is lost with its link
// would leave the peer in doubt whether it was handled.
func (m *Mesh) handleOrRefuse(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool {
	if m.stopping.Load() {
		reply(&wire.Frame{Body: &wire.Frame_Fault{Fault: &wire.Fault{Code: wire.CodeMoved, Text: "mesh: this process stops"}}})
		return true
	}
	return m.Later != nil && m.Later(ctx, f, reply)
}

// settle waits until no call is pending.
func (m *Mesh) settle() {
	start := time.Now()
	for passed := time.Duration(0); passed < maxSettleTime; passed = time.Since(start) {
		if passed >= minSettleTime && m.idle() {
			return
		}
		time.Sleep(settleInterval)
	}
}

func (m *Mesh) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) > 0 {
		return false // A link handles calls before it is listed.
	}
	for l := range m.accepted {
		if !l.Idle() {
			return false
		}
	}
	for _, p := range m.peers {
		if p.alive() && !p.link.Idle() {
			return false
		}
	}
	return true
}

// Call sends a frame to a peer and waits for its reply.
func (m *Mesh) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	if to == m.Self {
		return m.Handle(ctx, f)
	}
	l, err := m.linkTo(ctx, to)
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
	l, err := m.linkTo(ctx, to)
	if err != nil {
		return err
	}
	if err := l.Send(ctx, f); err != nil {
		return fmt.Errorf("mesh: send to %s: %w", to, err)
	}
	return nil
}

func (m *Mesh) accept(conn net.Conn) {
	l, err := link.Accept(conn, m.Handle, m.handleOrRefuse)
	m.mu.Lock()
	delete(m.conns, conn)
	if err == nil && m.closed {
		_ = l.Close()
	}
	if err == nil {
		m.accepted[l] = struct{}{}
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.V(1).Info("Peer not accepted.", "peer", conn.RemoteAddr().String(), "err", err.Error())
		return
	}
	l.Wait()
	m.mu.Lock()
	delete(m.accepted, l)
	m.mu.Unlock()
}

func (m *Mesh) hold(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted == nil {
		m.accepted, m.conns = map[*link.Link]struct{}{}, map[net.Conn]struct{}{}
	}
	m.conns[conn] = struct{}{}
	return !m.closed
}

// Close closes all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for c := range m.conns {
		_ = c.Close()
	}
	for l := range m.accepted {
		_ = l.Close()
	}
	for _, p := range m.peers {
		p.close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}
