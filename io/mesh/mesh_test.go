package mesh

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"azurelane/core/wire"
	"azurelane/io/rig/stall"
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

// Guards against an attempt to connect for each of a thousand requests to a dead peer. They must share
// attempts, and all but the first must get an error without one.
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
	must.Between(t, 1, m.peers[dead].failures, 20)
}

// Guards against callers that wait beyond their deadline for an attempt that does not complete, as in
// a handshake with a silent peer.
func TestCallerNotHeldByDial(t *testing.T) {
	m := serve(t)
	to := netip.MustParseAddrPort("127.0.0.1:9") // Never dialled; an attempt seems to be in progress.
	m.mu.Lock()
	m.peers = map[netip.AddrPort]*peer{to: {dialing: make(chan struct{}), stop: func() {}}}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := m.Call(ctx, to, frame())
	must.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against calls that fail for good after a peer has restarted: the next call must connect again.
func TestDialsAnew(t *testing.T) {
	a, b := serve(t), serve(t)
	_, err := a.Call(t.Context(), b.Self, frame())
	must.NoError(t, err)
	for closed := false; !closed; { // A link handles calls before it is listed.
		b.mu.Lock()
		for l := range b.accepted {
			_ = l.Close()
			closed = true
		}
		b.mu.Unlock()
	}
	a.mu.Lock()
	l := a.peers[b.Self].link
	a.mu.Unlock()
	<-l.Done()
	_, err = a.Call(t.Context(), b.Self, frame())
	must.NoError(t, err)
}

// Guards against goroutines left by a closed mesh, also with half-open connections, and against new
// connections from it. goleak checks after all tests.
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

// Guards against calls whose fate is unknown after a process stops: a call must be handled and get a
// reply, or be refused without being handled.
func TestStopLeavesNoCallInDoubt(t *testing.T) {
	for _, tc := range []struct {
		name  string
		waits bool // The peer's connection is not accepted yet when the process stops.
		code  string
	}{
		{"a call that is being answered", false, ""},
		{"a call on a connection that waits", true, wire.CodeMoved},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			ln := inner
			if tc.waits {
				ln = &stall.Stall{TCPListener: inner.(*net.TCPListener)}
			}
			ctx, cancel := context.WithCancel(context.Background())
			taken := make(chan struct{})
			m := &Mesh{Listen: ln, Self: netip.MustParseAddrPort(inner.Addr().String()), Handle: func(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
				close(taken)
				time.Sleep(20 * time.Millisecond)
				return ack(ctx, f)
			}}
			done := make(chan error, 1)
			go func() { done <- m.Serve(ctx) }()
			peer := serve(t)
			called := make(chan error, 1)
			go func() {
				_, err := peer.Call(t.Context(), m.Self, frame())
				called <- err
			}()
			if tc.waits {
				for linked := false; !linked; time.Sleep(time.Millisecond) {
					peer.mu.Lock()
					linked = peer.peers[m.Self] != nil && peer.peers[m.Self].link != nil
					peer.mu.Unlock()
				}
			} else {
				<-taken
			}
			cancel()
			err = <-called
			must.ErrorIs(t, <-done, context.Canceled)
			if tc.code == "" {
				must.NoError(t, err)
				return
			}
			var fault *wire.Fault
			must.True(t, errors.As(err, &fault), must.Sprint(err))
			must.Eq(t, tc.code, fault.GetCode())
		})
	}
}
