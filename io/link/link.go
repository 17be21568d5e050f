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

// ErrDown is returned for calls on a closed link. The peer may have received the frame; the
// link never sends it again.
var ErrDown = errors.New("link: down")

// ErrTooLarge is returned for a frame larger than MaxFrame, which is not sent.
var ErrTooLarge = errors.New("link: frame too large")

const (
	// MaxFrame is the maximum size of a frame in bytes.
	MaxFrame = 64 << 20
	// BulkSize is the size in bytes from which a frame gets a stream of its own. On the common
	// stream a snapshot of tens of MB would block all small frames, heartbeats included, until
	// the peer closes the link.
	BulkSize = 32 << 10

	bulkTimeout  = 30 * time.Second // For sending or receiving a bulk frame.
	maxBulkReads = 4                // Bulk frames received concurrently; bounds memory.
	queueLen     = 1024             // Frames to write, and one-way frames to handle.
	bufSize      = 4 << 10          // Bytes. A hub holds a link for each entry, and most frames are shorter.
)

type (
	// handler handles a frame that is not a reply: calls in a goroutine each, one-way frames
	// sequentially and in order, except bulk frames.
	handler = func(context.Context, *wire.Frame) (*wire.Frame, error)

	// callHandler is offered each call first. It reports whether it accepts the call, and then calls
	// reply once, from any goroutine. It must not block, as the peer's next frames wait for it.
	callHandler = func(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool
)

// Link is an open connection, made by Dial or Accept.
type Link struct {
	sess       *yamux.Session
	stream     net.Conn
	open       *streams
	handle     handler
	handleCall callHandler // Nil for none.
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	end        sync.Once // Closes done.
	wg         sync.WaitGroup

	out    *fifo[[]byte]      // Small frames to write.
	oneWay *fifo[*wire.Frame] // One-way frames to handle.
	bulk   chan struct{}      // Semaphore for receiving bulk frames.
	pulse  heartbeat

	mu    sync.Mutex
	calls map[uint64]chan *wire.Frame
	last  uint64

	serving atomic.Int64 // Pending calls of the peer.
	unsent  atomic.Int64 // Small frames not written yet.
}

// Dial connects to a peer. Frames of the peer that are not replies go to handle; calls are
// offered to later first, unless it is nil. With cfg the link uses mutual TLS.
func Dial(ctx context.Context, addr netip.AddrPort, cfg *tls.Config, handle handler, later callHandler) (*Link, error) {
	conn, err := connect(ctx, addr, cfg)
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", err)
	}
	open := &streams{}
	sess, err := yamux.Client(&expiringConn{Conn: conn, streams: open}, config())
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

// Accept serves a connection that a peer opened.
func Accept(conn net.Conn, handle handler, later callHandler) (*Link, error) {
	open := &streams{}
	sess, err := yamux.Server(&expiringConn{Conn: conn, streams: open}, config())
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
	cfg.EnableKeepAlive = false // The link's own heartbeat also shows that the peer's process runs.
	cfg.ConnectionWriteTimeout = SilenceLimit
	cfg.LogOutput = io.Discard
	return cfg
}

func start(sess *yamux.Session, stream net.Conn, open *streams, handle handler, later callHandler) *Link {
	open.register(stream)
	l := &Link{
		sess: sess, stream: stream, open: open, handle: handle, handleCall: later, done: make(chan struct{}), calls: map[uint64]chan *wire.Frame{},
		out: newFifo[[]byte](queueLen), oneWay: newFifo[*wire.Frame](queueLen), bulk: make(chan struct{}, maxBulkReads),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.pulse.start(time.Now())
	for _, part := range []func(){l.read, l.write, l.handleOneWay, l.accept, l.beat} {
		l.wg.Go(part)
	}
	return l
}

// Call sends a frame and waits for the reply. It returns a *wire.Fault of the peer as an error,
// and ErrDown if the link is closed.
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
	if err := l.enqueue(ctx, &wire.Frame{Id: id, Body: f.GetBody()}); err != nil {
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

// Send queues a one-way frame. A nil error does not mean that the frame arrives.
func (l *Link) Send(ctx context.Context, f *wire.Frame) error {
	return l.enqueue(ctx, &wire.Frame{Body: f.GetBody()})
}

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close closes the link. Pending calls return ErrDown.
func (l *Link) Close() error {
	l.cancel()
	l.open.expireAll()
	// Callers must not wait for the link's reader: while the session reads a frame from the
	// connection, it holds the lock of the frame's stream and blocks reads of that stream.
	l.end.Do(func() { close(l.done) })
	if err := l.sess.Close(); err != nil {
		return fmt.Errorf("link: close: %w", err)
	}
	return nil
}

// Idle reports whether no call of the peer is pending and all small frames are written.
func (l *Link) Idle() bool { return l.serving.Load() == 0 && l.unsent.Load() == 0 }

// Wait waits until the link is closed and its goroutines have ended, except handlers of calls,
// whose context is cancelled.
func (l *Link) Wait() { l.wg.Wait() }

// enqueue queues a frame for the writer. Only the writer uses the stream, so a peer that reads
// slowly can't block a caller beyond its deadline.
func (l *Link) enqueue(ctx context.Context, f *wire.Frame) error {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, f); err != nil {
		return fmt.Errorf("link: marshal: %w", err)
	}
	if buf.Len() > MaxFrame {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, buf.Len())
	}
	if f.GetPing() == nil {
		l.pulse.recordSent(time.Now())
		if f.GetProbe() == nil {
			l.pulse.recordUse(time.Now())
		}
	}
	if buf.Len() >= BulkSize {
		return l.writeBulk(ctx, buf.Bytes())
	}
	if l.ctx.Err() != nil {
		return ErrDown
	}
	l.unsent.Add(1)
	for !l.out.offer(buf.Bytes()) {
		select {
		case <-l.out.room:
		case <-l.ctx.Done():
			l.unsent.Add(-1)
			return ErrDown
		case <-ctx.Done():
			l.unsent.Add(-1)
			return fmt.Errorf("link: send: %w", ctx.Err())
		}
	}
	return nil
}

// writeBulk writes a bulk frame to a stream of its own.
func (l *Link) writeBulk(ctx context.Context, data []byte) error {
	s, err := l.sess.OpenStream()
	if err != nil {
		return fmt.Errorf("%w: open stream: %w", ErrDown, err)
	}
	defer func() { _ = s.Close() }()
	defer l.open.remove(s)
	end := time.Now().Add(bulkTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	l.open.register(s)
	l.open.setDeadline(s.SetWriteDeadline, end)
	stop := context.AfterFunc(ctx, func() { _ = s.SetWriteDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := (pieces{s}).Write(data); err != nil {
		if ctx.Err() != nil {
			return fmt.Errorf("link: send: %w", ctx.Err())
		}
		return fmt.Errorf("%w: write: %w", ErrDown, err)
	}
	return nil
}

// write writes queued frames, several at a time if they are queued together. It closes the
// link if the peer accepts no data for SilenceLimit, since all later frames would wait too.
func (l *Link) write() {
	defer func() { _ = l.Close() }()
	w := bufio.NewWriterSize(pieces{l.stream}, bufSize)
	written := int64(0)
	for l.ctx.Err() == nil {
		data, ok := l.out.pop()
		if !ok {
			select {
			case <-l.out.ready:
			case <-l.ctx.Done():
			}
			continue
		}
		l.open.setDeadline(l.stream.SetWriteDeadline, time.Now().Add(SilenceLimit))
		_, err := w.Write(data)
		written++
		if err == nil && l.out.len() == 0 {
			err = w.Flush()
			l.unsent.Add(-written)
			written = 0
		}
		if err != nil {
			return
		}
	}
}
