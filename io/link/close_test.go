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

// watched is a stream that tells when whoever reads it has let go.
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

// part is a connection that gives as many bytes as it is told to, and nothing more until
// it may come back with an error.
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

// Guards against a reader that is woken again and again, and against callers that wait,
// when a link ends between two frames or in the middle of one.
func TestEndOfALinkBetweenFramesAndInside(t *testing.T) {
	const header = 12 // Bytes of a session's frame before its body.
	for _, tc := range []struct {
		name  string
		more  int  // Bytes that come after the stream was opened.
		fails bool // The link ends by a write that fails.
		free  bool // Whether the session lets go of the stream's reader.
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
			sess, err := yamux.Server(&guarded{c, open}, config())
			must.NoError(t, err)
			stream, err := sess.Accept()
			must.NoError(t, err)
			w := &watched{Conn: stream, gone: make(chan struct{})}
			l := start(sess, w, open, ack, nil)
			if tc.more > 0 {
				c.more <- tc.more
			}
			time.Sleep(50 * time.Millisecond) // The reader of the connection gets to its end.
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
