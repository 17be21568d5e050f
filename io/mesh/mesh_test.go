package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
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

// A dial to a peer is under way and does not end, as in a handshake with one
// that says nothing. A caller with a short deadline is not held by it.
func TestCallerNotHeldByDial(t *testing.T) {
	m := serve(t)
	to := netip.MustParseAddrPort("127.0.0.1:9") // Never dialled: a dial seems to be under way.
	m.mu.Lock()
	m.peers = map[netip.AddrPort]*peer{to: {dialing: make(chan struct{}), stop: func() {}}}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := m.Call(ctx, to, frame())
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
