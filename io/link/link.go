// Package link is a connection between two azurelane processes: a yamux
// session that carries frames both ways.
package link

import (
	"bufio"
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
)

// ErrDown is returned for calls on a link that has ended. The peer may or may
// not have seen the frame.
var ErrDown = errors.New("link: down")

const (
	// PingEvery is the interval of the heartbeat that both ends send.
	PingEvery = 500 * time.Millisecond
	// SilenceLimit ends a link that brought nothing for so long. TCP may hold a
	// connection open for many minutes after a middlebox has lost track of it;
	// the symptom is calls that never return. Both ends send a heartbeat, so a
	// link silent for six intervals is dead whatever TCP thinks.
	SilenceLimit = 3 * time.Second
	// MaxFrame bounds the bytes of one frame.
	MaxFrame = 64 << 20
)

// Link is one open connection. It is made by Dial or Accept.
type Link struct {
	sess   *yamux.Session
	stream net.Conn
	handle func(context.Context, *wire.Frame) (*wire.Frame, error)
	heard  atomic.Int64 // Time of the last frame, in nanoseconds.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	wmu sync.Mutex
	w   *bufio.Writer

	mu    sync.Mutex
	calls map[uint64]chan *wire.Frame
	last  uint64
}

// Dial connects to a peer. Frames that the peer sends on its own go to handle:
// calls in a goroutine each, one-way frames in order. With cfg the link is
// encrypted and both ends have shown their certificates.
func Dial(ctx context.Context, addr netip.AddrPort, cfg *tls.Config, handle func(context.Context, *wire.Frame) (*wire.Frame, error)) (*Link, error) {
	conn, err := connect(ctx, addr, cfg)
	if err != nil {
		return nil, fmt.Errorf("link: dial: %w", err)
	}
	sess, err := yamux.Client(conn, config())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("link: open session: %w", err)
	}
	stream, err := sess.Open()
	if err != nil {
		_ = sess.Close()
		return nil, fmt.Errorf("link: open stream: %w", err)
	}
	return start(sess, stream, handle), nil
}

func connect(ctx context.Context, addr netip.AddrPort, cfg *tls.Config) (net.Conn, error) {
	if cfg != nil {
		d := tls.Dialer{Config: cfg}
		return d.DialContext(ctx, "tcp", addr.String())
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Accept serves a connection that a peer dialled.
func Accept(conn net.Conn, handle func(context.Context, *wire.Frame) (*wire.Frame, error)) (*Link, error) {
	sess, err := yamux.Server(conn, config())
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
	return start(sess, stream, handle), nil
}

func config() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // The link's own heartbeat also shows that the process behind it runs.
	cfg.ConnectionWriteTimeout = SilenceLimit
	cfg.LogOutput = io.Discard
	return cfg
}

func start(sess *yamux.Session, stream net.Conn, handle func(context.Context, *wire.Frame) (*wire.Frame, error)) *Link {
	l := &Link{
		sess: sess, stream: stream, handle: handle, w: bufio.NewWriter(stream),
		done: make(chan struct{}), calls: map[uint64]chan *wire.Frame{},
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.heard.Store(time.Now().UnixNano())
	go l.read()
	go l.beat()
	return l
}

// Call sends a frame and waits for the reply. A fault of the peer comes back
// as *wire.Fault, a lost link as ErrDown.
func (l *Link) Call(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	ch := make(chan *wire.Frame, 1)
	l.mu.Lock()
	l.last++
	f.Id = l.last
	l.calls[f.GetId()] = ch
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, f.GetId())
		l.mu.Unlock()
	}()
	if err := l.write(f); err != nil {
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

// Send sends a one-way frame.
func (l *Link) Send(f *wire.Frame) error {
	f.Id = 0
	return l.write(f)
}

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// Close ends the link. Calls that wait return ErrDown.
func (l *Link) Close() error {
	l.cancel()
	if err := l.sess.Close(); err != nil {
		return fmt.Errorf("link: close: %w", err)
	}
	return nil
}

func (l *Link) write(f *wire.Frame) error {
	l.wmu.Lock()
	defer l.wmu.Unlock()
	_, err := protodelim.MarshalTo(l.w, f)
	if err == nil {
		err = l.w.Flush()
	}
	if err != nil {
		_ = l.Close()
		return fmt.Errorf("%w: write: %w", ErrDown, err)
	}
	return nil
}

func (l *Link) read() {
	defer close(l.done)
	defer func() { _ = l.Close() }()
	r := bufio.NewReader(l.stream)
	for {
		f := &wire.Frame{}
		if err := (protodelim.UnmarshalOptions{MaxSize: MaxFrame}).UnmarshalFrom(r, f); err != nil {
			return
		}
		l.heard.Store(time.Now().UnixNano())
		l.take(f)
	}
}

func (l *Link) take(f *wire.Frame) {
	switch {
	case f.GetPing() != nil:
	case f.GetReply():
		l.mu.Lock()
		ch := l.calls[f.GetId()]
		l.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	case f.GetId() == 0:
		_, _ = l.handle(l.ctx, f)
	default:
		go l.answer(f)
	}
}

func (l *Link) answer(f *wire.Frame) {
	r, err := l.handle(l.ctx, f)
	if err != nil {
		var fault *wire.Fault
		if !errors.As(err, &fault) {
			fault = &wire.Fault{Code: "error", Text: err.Error()}
		}
		r = &wire.Frame{Body: &wire.Frame_Fault{Fault: fault}}
	}
	if r == nil {
		r = &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}
	}
	r.Id, r.Reply = f.GetId(), true
	_ = l.write(r)
}

func (l *Link) beat() {
	tick := time.NewTicker(PingEvery)
	defer tick.Stop()
	for seq := uint64(0); ; seq++ {
		select {
		case <-l.done:
			return
		case <-tick.C:
		}
		if time.Since(time.Unix(0, l.heard.Load())) > SilenceLimit {
			_ = l.Close()
			return
		}
		if l.Send(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{Seq: seq}}}) != nil {
			return
		}
	}
}
