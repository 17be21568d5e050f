// Package mesh keeps the links of one process to its peers.
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
	// DialLimit bounds one attempt to connect to a peer.
	DialLimit = 2 * time.Second

	firstBackoff = 25 * time.Millisecond
	// mostBackoff is also how long a peer that has just come back can stay out of
	// reach; ten refused dials a second cost a process nothing.
	mostBackoff = 100 * time.Millisecond
	acceptPause = 50 * time.Millisecond
	// settleLeast is how long calls are still read and refused by a mesh that stops, and
	// settleMost how long those that were made before may take to be answered.
	settleLeast = 50 * time.Millisecond
	settleMost  = 200 * time.Millisecond
	settleStep  = 5 * time.Millisecond
)

var (
	// ErrBackoff is returned without a new attempt shortly after one failed, so
	// that a dead peer costs few dials however many callers want it. Nothing was
	// sent, and the error of that attempt is wrapped beside it.
	ErrBackoff = errors.New("mesh: peer could not be reached a moment ago")
	// ErrClosed is returned after Close.
	ErrClosed = errors.New("mesh: closed")
)

// Mesh dials peers when they are first needed and serves those who dial this
// process. Its exported fields are set before Serve is called.
type Mesh struct {
	Listen net.Listener
	Self   netip.AddrPort // Calls to it stay in the process.
	Handle func(ctx context.Context, f *wire.Frame) (*wire.Frame, error)
	Later  func(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool // Takes calls that need no goroutine; nil for none.
	TLS    *tls.Config                                                            // For both directions; nil for plain TCP. Listen must already ask for certificates.
	Log    logr.Logger

	stops atomic.Bool // Calls of peers are refused.

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peer
	in     map[*link.Link]struct{}
	conns  map[net.Conn]struct{} // Accepted, no link yet.
	wg     sync.WaitGroup
}

// Serve accepts peers until ctx ends. Calls that peers make then are refused, those that
// they made before are answered, and every link is closed.
func (m *Mesh) Serve(ctx context.Context) error {
	m.stops.Store(false)
	m.mu.Lock()
	m.closed = false
	m.mu.Unlock()
	ln := listen.Of(m.Listen)
	stop := context.AfterFunc(ctx, func() {
		m.stops.Store(true)
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
			if !m.hold(conn) { // Here, so that a mesh that stops waits for it from now on.
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
			// Mostly a lack of file descriptors, which passes. Ending here would
			// close the links that work.
			m.Log.Info("Peer not accepted.", "err", err.Error())
			time.Sleep(acceptPause)
		}
	}
}

// take refuses calls once the mesh stops: one that is lost with its link leaves the peer
// in doubt whether it was taken. Links ask it before they hand a call on.
func (m *Mesh) take(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool {
	if m.stops.Load() {
		reply(&wire.Frame{Body: &wire.Frame_Fault{Fault: &wire.Fault{Code: wire.CodeMoved, Text: "mesh: this process stops"}}})
		return true
	}
	return m.Later != nil && m.Later(ctx, f, reply)
}

// settle waits until calls are answered.
func (m *Mesh) settle() {
	start := time.Now()
	for passed := time.Duration(0); passed < settleMost; passed = time.Since(start) {
		if passed >= settleLeast && m.idle() {
			return
		}
		time.Sleep(settleStep)
	}
}

func (m *Mesh) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) > 0 {
		return false // Links answer before they are listed.
	}
	for l := range m.in {
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
	if err := l.Send(ctx, f); err != nil {
		return fmt.Errorf("mesh: send to %s: %w", to, err)
	}
	return nil
}

func (m *Mesh) accept(conn net.Conn) {
	l, err := link.Accept(conn, m.Handle, m.take)
	m.mu.Lock()
	delete(m.conns, conn)
	if err == nil && m.closed {
		_ = l.Close()
	}
	if err == nil {
		m.in[l] = struct{}{}
	}
	m.mu.Unlock()
	if err != nil {
		m.Log.V(1).Info("Peer not accepted.", "peer", conn.RemoteAddr().String(), "err", err.Error())
		return
	}
	l.Wait()
	m.mu.Lock()
	delete(m.in, l)
	m.mu.Unlock()
}

func (m *Mesh) hold(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.in == nil {
		m.in, m.conns = map[*link.Link]struct{}{}, map[net.Conn]struct{}{}
	}
	m.conns[conn] = struct{}{}
	return !m.closed
}

// Close ends every link and waits for what runs on them.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	for c := range m.conns {
		_ = c.Close()
	}
	for l := range m.in {
		_ = l.Close()
	}
	for _, p := range m.peers {
		p.close()
	}
	m.mu.Unlock()
	m.wg.Wait()
}
