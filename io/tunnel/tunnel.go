// Package tunnel passes connections on to upstreams for entries that don't reach them. A connection
// makes one hop: the entry that passes it on connects to the upstream directly.
//
// Bytes travel in frames of a length of two bytes and the data. A frame without data is the end of the
// stream. A connection that ends without it was broken off, so that an answer that is cut short on the
// way is never taken for a complete one.
package tunnel

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/io/ends"
)

// DialTimeout is how long the connection to the upstream may take to open.
const DialTimeout = 300 * time.Millisecond

const (
	// replyTimeout is how long the other entry may take to connect to the upstream.
	replyTimeout = DialTimeout + 200*time.Millisecond
	headTimeout  = time.Second
	idleCheck    = 20 * time.Millisecond
	frameLimit   = 8 << 10 // Bytes of data in one frame.
	headerSize   = 2       // Bytes.
	maxAddress   = 64      // Bytes.
)

// Replies to a request for a connection.
const (
	replyOpen byte = iota
	replyUnreached
	replyRefused
	replyBusy
	replyUnknown
	replyUnsure
)

var (
	// ErrUnreached is returned if the other entry does not reach the upstream either.
	ErrUnreached = errors.New("tunnel: the upstream was not reached")
	// ErrRefused is returned if nothing listens at the upstream's address.
	ErrRefused = errors.New("tunnel: the upstream refuses connections")
	// ErrBusy is returned if the other entry passes on as many connections as it can.
	ErrBusy = errors.New("tunnel: the entry has no room for another connection")
	// ErrUnknown is returned if the other entry does not know the upstream.
	ErrUnknown = errors.New("tunnel: the upstream is not known there")
	// ErrUnsure is returned if the other entry did not reach the upstream, perhaps by its own fault.
	ErrUnsure = errors.New("tunnel: the upstream was not reached from an entry that may have no path")
)

// Tunnel accepts connections of other entries. Its exported fields are set before Serve is called.
type Tunnel struct {
	Listen net.Listener
	Known  func(upstream string) bool // Reports whether there is an upstream at an address.
	Path   connector                  // Connects to upstreams.
	Limit  int64                      // Connections that are passed on at once.
	Log    logr.Logger

	open     atomic.Int64
	draining atomic.Bool
	wg       sync.WaitGroup
}

// connector opens this entry's own connections to upstreams.
type connector interface {
	// Serve connects to an upstream. If it fails, reliable tells that this is the upstream's fault.
	Serve(ctx context.Context, upstream string) (c net.Conn, reliable bool, err error)
}

// Open returns the number of connections that are passed on.
func (t *Tunnel) Open() int64 { return t.open.Load() }

// Drain makes other entries look for another way. Connections that are open stay.
func (t *Tunnel) Drain() { t.draining.Store(true) }

// AwaitIdle waits until no connection is passed on, or until ctx ends.
func (t *Tunnel) AwaitIdle(ctx context.Context) {
	tick := time.NewTicker(idleCheck)
	defer tick.Stop()
	for t.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Serve accepts connections until ctx ends, and then closes all of them.
func (t *Tunnel) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Listen.Close() })
	defer stop()
	defer t.wg.Wait()
	for {
		in, err := t.Listen.Accept()
		switch {
		case err == nil:
			t.wg.Go(func() { t.serve(ctx, in) })
		case ctx.Err() != nil:
			return ctx.Err()
		default:
			return fmt.Errorf("tunnel: accept: %w", err)
		}
	}
}

func (t *Tunnel) serve(ctx context.Context, in net.Conn) {
	defer func() { _ = in.Close() }()
	stopIn := context.AfterFunc(ctx, func() { abort(in) })
	defer stopIn()
	defer t.open.Add(-1)
	if t.open.Add(1) > t.Limit || t.draining.Load() {
		_, _ = in.Write([]byte{replyBusy})
		return
	}
	upstream, err := readAddress(in)
	if err != nil {
		t.Log.V(1).Info("Connection of another entry not understood.", "from", in.RemoteAddr().String(), "err", err.Error())
		return
	}
	if !t.Known(upstream) {
		_, _ = in.Write([]byte{replyUnknown})
		return
	}
	out, reliable, err := t.Path.Serve(ctx, upstream)
	if err != nil {
		reply := replyUnreached
		switch {
		case !reliable:
			reply = replyUnsure
		case errors.Is(err, syscall.ECONNREFUSED):
			reply = replyRefused
		}
		_, _ = in.Write([]byte{reply})
		return
	}
	defer func() { _ = out.Close() }()
	stopOut := context.AfterFunc(ctx, func() { abort(out) })
	defer stopOut()
	if _, err := in.Write([]byte{replyOpen}); err != nil {
		abort(out)
		return
	}
	done := make(chan struct{})
	up := &ends.Conn{Conn: out}
	go func() {
		defer close(done)
		// The entry that sends never ends its side before it has the whole answer, so whatever ends
		// it calls the run off.
		_, _ = io.Copy(up, &conn{Conn: in})
		abort(out)
	}()
	t.copyAnswer(in, up)
	<-done
}

// copyAnswer passes an upstream's bytes on. It breaks the connection off if the upstream does.
func (t *Tunnel) copyAnswer(in, out net.Conn) {
	to := &conn{Conn: in}
	buf := make([]byte, frameLimit)
	for {
		n, err := out.Read(buf)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(in)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.end()
			_ = in.Close()
			return
		default:
			abort(in)
			return
		}
	}
}

// Direct connects to an address from a source address, which is invalid for the system's choice.
func Direct(ctx context.Context, timeout time.Duration, source netip.Addr, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("tunnel: dial: %w", err)
	}
	return c, nil
}

// Dial connects to an upstream through another entry.
func Dial(ctx context.Context, entry netip.AddrPort, upstream string) (net.Conn, error) {
	c, err := Direct(ctx, replyTimeout, netip.Addr{}, entry.String())
	if err != nil {
		return nil, err
	}
	if err := request(c, upstream); err != nil {
		_ = c.Close()
		return nil, err
	}
	return &conn{Conn: c}, nil
}

func request(c net.Conn, upstream string) error {
	if err := c.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
		return fmt.Errorf("tunnel: deadline: %w", err)
	}
	head := binary.BigEndian.AppendUint16(nil, uint16(len(upstream))) //nolint:gosec // An address is short.
	if _, err := c.Write(append(head, upstream...)); err != nil {
		return fmt.Errorf("tunnel: request: %w", err)
	}
	var reply [1]byte
	if _, err := io.ReadFull(c, reply[:]); err != nil {
		return fmt.Errorf("tunnel: reply: %w", err)
	}
	switch reply[0] {
	case replyOpen:
	case replyRefused:
		return ErrRefused
	case replyBusy:
		return ErrBusy
	case replyUnknown:
		return ErrUnknown
	case replyUnsure:
		return ErrUnsure
	default:
		return ErrUnreached
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("tunnel: deadline: %w", err)
	}
	return nil
}

func readAddress(c net.Conn) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return "", fmt.Errorf("tunnel: deadline: %w", err)
	}
	var head [headerSize]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return "", fmt.Errorf("tunnel: read: %w", err)
	}
	n := binary.BigEndian.Uint16(head[:])
	if n > maxAddress {
		return "", errors.New("tunnel: address too long")
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(c, text); err != nil {
		return "", fmt.Errorf("tunnel: read: %w", err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return "", fmt.Errorf("tunnel: deadline: %w", err)
	}
	return string(text), nil
}

// conn reads and writes frames.
type conn struct {
	net.Conn
	left  int // Bytes of the current frame that have not been read.
	ended bool
}

// Read reads the data of frames. It returns io.EOF only after the frame that ends the stream.
func (c *conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		var head [headerSize]byte
		if _, err := io.ReadFull(c.Conn, head[:]); err != nil {
			return 0, brokenOff(err)
		}
		c.left = int(binary.BigEndian.Uint16(head[:]))
		if c.left == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		err = brokenOff(err)
	}
	return n, err
}

func brokenOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Write writes data in frames.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > written {
		part := p[written:min(len(p), written+frameLimit)]
		frame := binary.BigEndian.AppendUint16(make([]byte, 0, headerSize+len(part)), uint16(len(part))) //nolint:gosec // At most frameLimit.
		if _, err := c.Conn.Write(append(frame, part...)); err != nil {
			return written, err //nolint:wrapcheck // Callers compare the errors of connections.
		}
		written += len(part)
	}
	return written, nil
}

// end writes the frame that ends the stream.
func (c *conn) end() error {
	_, err := c.Conn.Write(make([]byte, headerSize))
	return err //nolint:wrapcheck // Dropped by the caller.
}

// abort resets a connection, so that its other side does not take what it has for all.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
