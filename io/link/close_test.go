package link

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// held is a connection whose reader comes back late after its end, as on a VM that is
// busy, and whose writes can fail.
type held struct {
	net.Conn
	let  chan struct{} // Closed when the reader may come back.
	fail atomic.Bool
}

func (h *held) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	if err != nil {
		<-h.let
	}
	return n, err //nolint:wrapcheck // The connection's own.
}

func (h *held) Write(p []byte) (int, error) {
	if h.fail.Load() {
		return 0, errors.New("no way out")
	}
	return h.Conn.Write(p) //nolint:wrapcheck // The connection's own.
}

// Callers of a process find it without processor time for as long as one of its links
// takes to end. The session says that it is over first, and ends its streams only when
// the reader of the connection has come back; until then whoever reads a stream is woken
// at once, each time that it waits. On a VM with one processor the reader then does not
// get its turn. The link's own reader is gone before that.
func TestNobodyReadsAStreamOfALinkThatEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(*Link, *held)
	}{
		{"closed here", func(l *Link, _ *held) { go func() { _ = l.Close() }() }},
		{"a write fails", func(l *Link, h *held) {
			h.fail.Store(true)
			_ = l.Send(context.Background(), &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = ln.Close() }()
			dialled := make(chan *Link, 1)
			go func() {
				l, err := Dial(context.Background(), netip.MustParseAddrPort(ln.Addr().String()), nil, nil, nil)
				if err == nil {
					_ = l.Send(context.Background(), &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}})
				}
				dialled <- l
			}()
			conn, err := ln.Accept()
			must.NoError(t, err)
			h := &held{Conn: conn, let: make(chan struct{})}
			l, err := Accept(h, ack, nil)
			must.NoError(t, err)
			peer := <-dialled
			must.NotNil(t, peer)
			defer func() { _ = peer.Close() }()

			tc.end(l, h)
			select {
			case <-l.Done():
			case <-time.After(2 * time.Second):
				t.Error("a stream is still read while its session waits for the connection's reader")
			}
			close(h.let)
			l.Wait()
		})
	}
}
