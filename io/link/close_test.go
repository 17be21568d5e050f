package link

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// held is a connection whose reads return late after its end, as on a busy VM, and whose writes
// can fail.
type held struct {
	net.Conn
	let  chan struct{} // Closed to let failed reads return.
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

// Guards against a busy loop while a link closes. The session reports its end first, and ends its
// streams only when the reader of the connection has returned; until then each read of a stream
// returns at once, and on a VM with one processor the reader of the connection does not run. The
// link's own reader must have ended before.
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

// watched is a stream that reports when its read has returned an error.
type watched struct {
	net.Conn
	gone chan struct{}
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if err != nil {
		close(w.gone)
	}
	return n, err //nolint:wrapcheck // The stream's own.
}

// part is a connection that returns the given number of bytes, and then blocks until it may
// return an error.
type part struct {
	net.Conn
	more chan int
	left int
	let  chan struct{}
	fail atomic.Bool
}

func (c *part) Write(p []byte) (int, error) {
	if c.fail.Load() {
		return 0, errors.New("no way out")
	}
	return c.Conn.Write(p) //nolint:wrapcheck // The connection's own.
}

func (c *part) Read(p []byte) (int, error) {
	if c.left == 0 {
		select {
		case c.left = <-c.more:
		case <-c.let:
			return 0, net.ErrClosed
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err //nolint:wrapcheck // The connection's own.
}

// Guards against a busy loop in the reader, and against callers that hang, when a link is closed
// between two frames or within one.
func TestEndOfALinkBetweenFramesAndInside(t *testing.T) {
	const header = headerSize // Bytes of a session's frame before its body.
	for _, tc := range []struct {
		name  string
		more  int  // Bytes that arrive after the stream was opened.
		fails bool // The link is closed by a failed write.
		free  bool // Whether the session ends the stream's read.
	}{
		{"between frames", 0, false, true},
		{"between frames, by a write", 0, true, true},
		{"inside a frame", header, false, false},
		{"inside a frame, by a write", header, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			here, there := net.Pipe()
			defer func() { _ = there.Close() }()
			go func() {
				sess, err := yamux.Client(there, config())
				if err != nil {
					return
				}
				if s, err := sess.Open(); err == nil {
					_, _ = s.Write([]byte("0123456789"))
				}
			}()
			c := &part{Conn: here, more: make(chan int, 1), left: header, let: make(chan struct{})}
			open := &streams{}
			sess, err := yamux.Server(&expiringConn{Conn: c, streams: open}, config())
			must.NoError(t, err)
			stream, err := sess.Accept()
			must.NoError(t, err)
			w := &watched{Conn: stream, gone: make(chan struct{})}
			l := start(sess, w, open, ack, nil)
			if tc.more > 0 {
				c.more <- tc.more
			}
			time.Sleep(50 * time.Millisecond) // The reader of the connection blocks at the end of the data.
			if tc.fails {
				c.fail.Store(true)
				must.NoError(t, l.Send(context.Background(), &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}))
			} else {
				go func() { _ = l.Close() }()
			}
			waits := []<-chan struct{}{l.Done()}
			if tc.free {
				waits = append(waits, w.gone)
			}
			for _, ch := range waits {
				select {
				case <-ch:
				case <-time.After(2 * time.Second):
					t.Error("someone waits for the connection's reader")
				}
			}
			close(c.let)
			l.Wait()
		})
	}
}
