// Package dialer opens an entry's connections to upstreams: directly, or through other entries while
// this one reaches no upstream.
package dialer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/core/path"
	"azurelane/io/tunnel"
)

const (
	dialTimeout = 500 * time.Millisecond
	// slowDial is how long a connection may take to open before the path counts as failed for it.
	// Upstreams are some milliseconds away; the attempt goes on.
	slowDial = 150 * time.Millisecond
	// closedTimeout is how long to wait for a sign whether a process has ended. Its VM refuses
	// connections at once.
	closedTimeout = 150 * time.Millisecond
	// quietLimit is how long nothing may come from any upstream after a request was sent. Requests on
	// open connections would otherwise hide for long that the path is lost.
	quietLimit = 300 * time.Millisecond
	// probeListen is how long a probe's connection must stay open.
	probeListen = 100 * time.Millisecond
	// entryRetry is how long an entry that could not pass a connection on is left alone.
	entryRetry = time.Second
)

// ErrNoPath is returned while this entry reaches no upstream, and none of the other entries that it
// knows does. Nothing was sent.
var ErrNoPath = errors.New("dialer: no path to any upstream")

// errSlow is recorded for an attempt that takes longer than slowDial.
var errSlow = errors.New("dialer: no answer in time")

// Dialer opens connections to upstreams. Its exported fields are set before use.
type Dialer struct {
	Source netip.Addr // Of connections to upstreams; invalid for the system's choice.
	OnLost func()     // Called when the path is lost or found again. May be nil.
	Log    logr.Logger

	once  sync.Once
	alarm chan struct{}

	mu      sync.Mutex
	path    path.Path
	changed chan struct{} // Closed when the path is lost.
	entries []netip.AddrPort
	next    int
	// lastAddr is the upstream of the last connection.
	lastAddr string
	askedAt  time.Time                    // When the first request was sent since bytes last came from an upstream; zero if none was.
	triedAt  time.Time                    // Last probe for quietLimit.
	failed   map[netip.AddrPort]time.Time // Entries that could not pass a connection on.
}

// Alarm returns a channel that gets a value when a connection has failed.
func (d *Dialer) Alarm() <-chan struct{} {
	d.once.Do(func() { d.alarm = make(chan struct{}, 1) })
	return d.alarm
}

// Suspect reports whether recent failures may be the path's and not the upstreams'.
func (d *Dialer) Suspect() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Suspect(time.Now())
}

// Lost reports whether this entry reaches no upstream by itself.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Lost()
}

// Blocked reports whether this entry reaches no upstream at all.
func (d *Dialer) Blocked() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Lost() && len(d.entries) == 0
}

// SetEntries sets the entries that may pass connections on, in order of preference.
func (d *Dialer) SetEntries(list []netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = list
}

// DialContext opens a connection to an upstream.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	d.lastAddr = addr
	direct := d.path.Direct(time.Now())
	d.mu.Unlock()
	d.Probe()
	if !direct {
		// While the path is being taken up again, a connection may also be direct.
		if c, err := d.dialThrough(ctx, addr); err == nil || d.Lost() {
			return c, err
		}
	}
	c, err := d.dialDirect(ctx, network, addr)
	if err == nil || ctx.Err() != nil || !d.Suspect() {
		return c, err
	}
	if through, terr := d.dialThrough(ctx, addr); terr == nil {
		return through, nil
	}
	return nil, err
}

// Probe tries a lost path again, if it is time. Connections that are kept open through other entries
// need no new ones, so it must be called from time to time while Suspect is true.
func (d *Dialer) Probe() {
	d.mu.Lock()
	addr, due := d.lastAddr, d.path.ProbeDue(time.Now())
	d.mu.Unlock()
	if due && addr != "" {
		go d.probe(addr)
	}
}

// Closed reports whether no process listens at an upstream's address. While this entry may have no path
// itself, it asks another one.
func (d *Dialer) Closed(ctx context.Context, addr netip.AddrPort) bool {
	if !d.Suspect() {
		c, err := tunnel.Direct(ctx, closedTimeout, d.Source, addr.String())
		if err == nil {
			_ = c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c, err := d.dialThrough(ctx, addr.String())
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, tunnel.ErrRefused)
}

// dialDirect connects directly. It gives up as soon as the path is lost.
func (d *Dialer) dialDirect(ctx context.Context, _, addr string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		c   net.Conn
		err error
	}
	done := make(chan result)
	go func() {
		c, err := tunnel.Direct(ctx, dialTimeout, d.Source, addr)
		select {
		case done <- result{c, err}:
		case <-ctx.Done():
			if err == nil {
				_ = c.Close()
			}
		}
	}()
	slow := time.NewTimer(slowDial)
	defer slow.Stop()
	lost := d.lostSignal()
	for {
		select {
		case r := <-done:
			if r.err == nil {
				return &conn{Conn: r.c, dialer: d, addr: addr}, nil
			}
			if ctx.Err() == nil {
				d.recordFailure(addr, r.err)
			}
			return nil, fmt.Errorf("dialer: %w", r.err)
		case <-slow.C:
			d.recordFailure(addr, errSlow)
		case <-lost:
			return nil, fmt.Errorf("%w: lost during the attempt", ErrNoPath)
		case <-ctx.Done():
			return nil, fmt.Errorf("dialer: %w", ctx.Err())
		}
	}
}

// dialThrough connects through one of the other entries.
func (d *Dialer) dialThrough(ctx context.Context, addr string) (net.Conn, error) {
	err := ErrNoPath
	for _, entry := range d.candidates() {
		c, derr := tunnel.Dial(ctx, entry, addr)
		if derr == nil {
			return c, nil
		}
		err = fmt.Errorf("%w: %s: %w", ErrNoPath, entry, derr)
		if errors.Is(derr, tunnel.ErrUnreached) || errors.Is(derr, tunnel.ErrRefused) || errors.Is(derr, tunnel.ErrUnknown) {
			break // The upstream's fault: another entry would not reach it either.
		}
		d.mu.Lock()
		if d.failed == nil {
			d.failed = map[netip.AddrPort]time.Time{}
		}
		d.failed[entry] = time.Now()
		d.mu.Unlock()
	}
	return nil, err
}

// candidates returns the entries to ask, another one first each time.
func (d *Dialer) candidates() []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []netip.AddrPort
	for i := range d.entries {
		e := d.entries[(d.next+i)%len(d.entries)]
		if time.Since(d.failed[e]) >= entryRetry {
			list = append(list, e)
		}
	}
	d.next++
	return list
}

// probe tries the lost path with one connection to an upstream.
func (d *Dialer) probe(addr string) {
	c, err := tunnel.Direct(context.Background(), dialTimeout, d.Source, addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	// What cuts the path may accept connections and reset them.
	if err := c.SetReadDeadline(time.Now().Add(probeListen)); err != nil {
		return
	}
	var b [1]byte
	if _, err := c.Read(b[:]); err != nil && !isTimeout(err) {
		return
	}
	d.recordSuccess()
}

// recordSent records that a request was sent on a direct connection, and probes the path if upstreams
// have been quiet for too long.
func (d *Dialer) recordSent(addr string) {
	now := time.Now()
	d.mu.Lock()
	if d.askedAt.IsZero() {
		d.askedAt = now
	}
	quiet := !d.path.Lost() && now.Sub(d.askedAt) > quietLimit && now.Sub(d.triedAt) > quietLimit
	if quiet {
		d.triedAt = now
	}
	d.mu.Unlock()
	if !quiet {
		return
	}
	go func() {
		c, err := tunnel.Direct(context.Background(), slowDial, d.Source, addr)
		if err != nil {
			d.recordFailure(addr, err)
			return
		}
		_ = c.Close()
	}()
}

// recordHeard records that bytes came on a direct connection.
func (d *Dialer) recordHeard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.askedAt = time.Time{}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

func (d *Dialer) lostSignal() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

func (d *Dialer) recordFailure(addr string, cause error) {
	d.mu.Lock()
	lost := d.path.RecordFailure(time.Now(), addr)
	if lost && d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
	entries, failed := len(d.entries), d.path.Failed(time.Now())
	d.mu.Unlock()
	d.Alarm()
	select {
	case d.alarm <- struct{}{}:
	default: // A signal is pending already.
	}
	if !lost {
		return
	}
	d.Log.Info("No upstream is reached from here; connections go through other entries.", "known", entries, "failed", failed, "last", cause.Error())
	if d.OnLost != nil {
		d.OnLost()
	}
}

func (d *Dialer) recordSuccess() {
	d.mu.Lock()
	restored := d.path.RecordSuccess(time.Now())
	d.mu.Unlock()
	if !restored {
		return
	}
	d.Log.Info("Upstreams are reached from here again.")
	if d.OnLost != nil {
		d.OnLost()
	}
}

// conn is a direct connection, which shows by the first bytes whether the path is intact.
type conn struct {
	net.Conn
	dialer *Dialer
	addr   string
	judged bool // Used by the reader alone.
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.dialer.recordHeard()
	}
	if c.judged {
		return n, err //nolint:wrapcheck // Callers compare the errors of connections.
	}
	c.judged = true
	switch {
	case n > 0:
		c.dialer.recordSuccess()
	case err != nil && !errors.Is(err, net.ErrClosed) && !isTimeout(err):
		c.dialer.recordFailure(c.addr, err)
	}
	return n, err //nolint:wrapcheck // Callers compare the errors of connections.
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.dialer.recordSent(c.addr)
	return c.Conn.Write(p) //nolint:wrapcheck // Callers compare the errors of connections.
}
