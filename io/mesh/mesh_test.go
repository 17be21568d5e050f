package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func ack(context.Context, *wire.Frame) (*wire.Frame, error) {
	return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}, nil
}

func frame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: 1}}}
}

// counted is a listener that counts and takes no connection further.
type counted struct {
	net.Listener
	n    atomic.Int64
	drop bool
	mu   sync.Mutex
	open []net.Conn
}

func newCounted(t *testing.T, drop bool) *counted {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	c := &counted{Listener: ln, drop: drop}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.n.Add(1)
			if drop {
				_ = conn.Close()
				continue
			}
			c.mu.Lock()
			c.open = append(c.open, conn)
			c.mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-done
		for _, conn := range c.open {
			_ = conn.Close()
		}
	})
	return c
}

func (c *counted) to() netip.AddrPort { return netip.MustParseAddrPort(c.Addr().String()) }

// serve runs a mesh until the test ends.
func serve(t *testing.T) *Mesh {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	m := &Mesh{Listen: ln, Self: netip.MustParseAddrPort(ln.Addr().String()), Handle: ack}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

// A peer is dead and a thousand requests want it within a moment. They share
// the dials, and all but the first get their error without one.
func TestNoDialStorm(t *testing.T) {
	m := serve(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	dead := netip.MustParseAddrPort(ln.Addr().String())
	must.NoError(t, ln.Close())
	var wg sync.WaitGroup
	for range 1000 {
		wg.Go(func() {
			_, err := m.Call(t.Context(), dead, frame())
			must.Error(t, err)
		})
	}
	wg.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	must.Between(t, 1, m.peers[dead].fails, 20)
}

// A peer takes the connection and then says nothing, so that the dial hangs in
// the handshake. A caller with a short deadline is not held by it.
func TestCallerNotHeldByDial(t *testing.T) {
	c := newCounted(t, false)
	m := serve(t)
	m.mu.Lock()
	p := &peer{dialing: make(chan struct{}), stop: func() {}}
	m.peers = map[netip.AddrPort]*peer{c.to(): p} // A dial that never ends.
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := m.Call(ctx, c.to(), frame())
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// A peer is restarted: its links break, and the next call dials anew.
func TestDialsAnew(t *testing.T) {
	a, b := serve(t), serve(t)
	_, err := a.Call(t.Context(), b.Self, frame())
	must.NoError(t, err)
	b.mu.Lock()
	for l := range b.in {
		_ = l.Close()
	}
	b.mu.Unlock()
	a.mu.Lock()
	l := a.peers[b.Self].link
	a.mu.Unlock()
	<-l.Done()
	_, err = a.Call(t.Context(), b.Self, frame())
	must.NoError(t, err)
}

// A mesh that was closed leaves no goroutine, also with peers that are half
// connected, and dials no more. goleak looks at the end of all tests.
func TestCloseLeavesNothing(t *testing.T) {
	a, b := serve(t), serve(t)
	_, err := a.Call(t.Context(), b.Self, frame())
	must.NoError(t, err)
	half, err := net.Dial("tcp", b.Self.String())
	must.NoError(t, err)
	defer func() { _ = half.Close() }()
	a.Close()
	_, err = a.Call(t.Context(), b.Self, frame())
	must.ErrorIs(t, err, ErrClosed)
}
