// Package link is a connection between two azurelane processes: a yamux
// session that carries frames both ways.
package link

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"azurelane/core/wire"
	"azurelane/io/redial"
)

// ErrDown is returned for calls on a link that has ended. The peer may or may
// not have seen the frame; nothing is sent again by the link.
var ErrDown = errors.New("link: down")

// ErrTooLarge is returned for a frame over MaxFrame, which was not sent.
var ErrTooLarge = errors.New("link: frame too large")

const (
	// MaxFrame bounds the bytes of one frame.
	MaxFrame = 64 << 20
	// BulkSize is from where on a frame gets a stream of its own. On the common
	// stream a snapshot of tens of MB would stand before every small frame, the
	// heartbeat included, and the peer would take the link for dead.
	BulkSize = 32 << 10

	bulkLimit  = 30 * time.Second // For one such frame, either way.
	bulkAtOnce = 4                // Of such frames read at a time, for the sake of memory.
	queueLen   = 1024             // Frames that wait to be written, or one-way ones to be handled.
	bufSize    = 4 << 10          // Of reads and writes; a hub holds a link for each entry, and frames are mostly shorter.
)

type (
	// handler handles a frame that a peer sent on its own: calls in a goroutine
	// each, one-way frames one after the other, in order but for bulk frames.
	handler = func(context.Context, *wire.Frame) (*wire.Frame, error)

	// taker is asked first for each call. It reports whether it takes it, and calls
	// reply with the answer then, from any goroutine. It must not wait, as the peer's
	// next frames wait for it.
	taker = func(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool
)

// Link is one open connection. It is made by Dial or Accept.
type Link struct {
	sess   *yamux.Session
	stream net.Conn
	open   *streams
	handle handler
	later  taker // Nil for none.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	end    sync.Once // Closes done.
	wg     sync.WaitGroup

	out    chan []byte      // Small frames to write.
	oneWay chan *wire.Frame // Read, in order.
	bulk   chan struct{}    // Bounds the bulk frames being read.
	pulse  pulse

	mu    sync.Mutex
	calls map[uint64]chan *wire.Frame
	last  uint64

	serving atomic.Int64 // Calls of the peer being answered.
	unsent  atomic.Int64 // Small frames that are not written yet.
}

// Dial connects to a peer. Frames that the peer sends on its own go to handle,
// calls that need no goroutine to later, if it isn't nil.
// With cfg the link is encrypted and both ends have shown their certificates.
func Dial(ctx context.Context, addr netip.AddrPort, cfg *tls.Config, handle handler, later taker) (*Link, error) {
	conn, err := connect(ctx, addr, cfg)
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", err)
	}
	open := &streams{}
	sess, err := yamux.Client(&guarded{conn, open}, config())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("link: open session: %w", err)
	}
	stream, err := sess.Open()
	if err != nil {
		_ = sess.Close()
		return nil, fmt.Errorf("link: open stream: %w", err)
	}
	return start(sess, stream, open, handle, later), nil
}

func connect(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) (net.Conn, error) {
	var d redial.Redial
	conn, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil || cfg == nil {
		return conn, err
	}
	cfg = cfg.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName = addr.Addr().String()
	}
	secure := tls.Client(conn, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return secure, nil
}

// Accept serves a connection that a peer dialled.
func Accept(conn net.Conn, handle handler, later taker) (*Link, error) {
	open := &streams{}
	sess, err := yamux.Server(&guarded{conn, open}, config())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("link: open session: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), SilenceLimit)
	defer cancel()
	stream, err := sess.AcceptStreamWithContext(ctx)
	if err != nil {
		_ = sess.Close()
		return nil, fmt.Errorf("link: accept stream: %w", err)
	}
	return start(sess, stream, open, handle, later), nil
}

func config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // The link's own heartbeat also shows that the process behind it runs.
	cfg.ConnectionWriteTimeout = SilenceLimit
	cfg.LogOutput = io.Discard
	return cfg
}

func start(sess *yamux.Session, stream net.Conn, open *streams, handle handler, later taker) *Link {
	open.add(stream)
	l := &Link{
		sess: sess, stream: stream, open: open, handle: handle, later: later, done: make(chan struct{}), calls: map[uint64]chan *wire.Frame{},
		out: make(chan []byte, queueLen), oneWay: make(chan *wire.Frame, queueLen), bulk: make(chan struct{}, bulkAtOnce),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.pulse.start(time.Now())
	for _, part := range []func(){l.read, l.write, l.work, l.accept, l.beat} {
		l.wg.Go(part)
	}
	return l
}

// Call sends a frame and waits for the reply. A fault of the peer comes back
// as *wire.Fault, a lost link as ErrDown.
func (l *Link) Call(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	ch := make(chan *wire.Frame, 1)
	l.mu.Lock()
	l.last++
	id := l.last
	l.calls[id] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, id)
		l.mu.Unlock()
	}()
	if err := l.put(ctx, &wire.Frame{Id: id, Body: f.GetBody()}); err != nil {
		return nil, err
	}
	select {
	case r := <-ch:
		if fault := r.GetFault(); fault != nil {
			return nil, fmt.Errorf("link: peer: %w", fault)
		}
		return r, nil
	case <-l.done:
		return nil, ErrDown
	case <-ctx.Done():
		return nil, fmt.Errorf("link: call: %w", ctx.Err())
	}
}

// Send sends a one-way frame. It returns once the frame is queued, so nil says
// nothing about its arrival.
func (l *Link) Send(ctx context.Context, f *wire.Frame) error {
	return l.put(ctx, &wire.Frame{Body: f.GetBody()})
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link. Calls that wait return ErrDown.
func (l *Link) Close() error {
	l.cancel()
	l.open.end()
	// Callers must not wait for the link's reader. While the session reads a frame from
	// the connection it holds the lock of the frame's stream, and so whoever reads there.
	l.end.Do(func() { close(l.done) })
	if err := l.sess.Close(); err != nil {
		return fmt.Errorf("link: close: %w", err)
	}
	return nil
}

// Idle reports whether all calls of the peer are answered.
func (l *Link) Idle() bool { return l.serving.Load() == 0 && l.unsent.Load() == 0 }

// Wait returns when the link has ended and its goroutines too, but for handlers
// of calls, whose context has ended.
func (l *Link) Wait() { l.wg.Wait() }

// put queues a frame for the writer. The writer alone touches the stream, so a
// peer that reads slowly can't hold a caller past its own deadline.
func (l *Link) put(ctx context.Context, f *wire.Frame) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, f); err != nil {
		return fmt.Errorf("link: marshal: %w", err)
	}
	if buf.Len() > MaxFrame {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, buf.Len())
	}
	if f.GetPing() == nil && f.GetProbe() == nil {
		l.pulse.busy(time.Now())
	}
	if buf.Len() >= BulkSize {
		return l.putBulk(ctx, buf.Bytes())
	}
	l.unsent.Add(1)
	select {
	case l.out <- buf.Bytes():
		return nil
	case <-l.ctx.Done():
		l.unsent.Add(-1)
		return ErrDown
	case <-ctx.Done():
		l.unsent.Add(-1)
		return fmt.Errorf("link: send: %w", ctx.Err())
	}
}

// putBulk writes a large frame on a stream of its own.
func (l *Link) putBulk(ctx context.Context, data []byte) error {
	s, err := l.sess.OpenStream()
	if err != nil {
		return fmt.Errorf("%w: open stream: %w", ErrDown, err)
	}
	defer func() { _ = s.Close() }()
	defer l.open.drop(s)
	end := time.Now().Add(bulkLimit)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	l.open.add(s)
	l.open.until(s.SetWriteDeadline, end)
	stop := context.AfterFunc(ctx, func() { _ = s.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := s.Write(data); err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("link: send: %w", ctx.Err())
		}
		return fmt.Errorf("%w: write: %w", ErrDown, err)
	}
	return nil
}

// write empties the queue. Frames that wait together go out together. A peer
// that takes nothing for SilenceLimit ends the link, else its window stays full
// and every later frame waits behind the one that doesn't move.
func (l *Link) write() {
	defer func() { _ = l.Close() }()
	w := bufio.NewWriterSize(l.stream, bufSize)
	written := int64(0)
	for {
		select {
		case data := <-l.out:
			l.open.until(l.stream.SetWriteDeadline, time.Now().Add(SilenceLimit))
			_, err := w.Write(data)
			written++
			if err == nil && len(l.out) == 0 {
				err = w.Flush()
				l.unsent.Add(-written)
				written = 0
			}
			if err != nil {
				return
			}
		case <-l.ctx.Done():
			return
		}
	}
}
