// Package dialer opens an entry's connections to upstreams: directly, or through other entries while
// this one reaches no upstream.
package dialer

import (
	"context"
	"fmt"
	"io"
	"maps"
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
	// quietLimit is how long nothing may come from any upstream after a request was sent. Requests on
	// open connections would otherwise hide for long that the path is lost.
	quietLimit = 300 * time.Millisecond
	// probeListen is how long a connection that tests a path must stay open.
	probeListen = 100 * time.Millisecond
	// compareInterval is the time between two questions to another entry about the same upstream.
	compareInterval = 300 * time.Millisecond
	// While the path is lost, up to probeCount upstreams are tried at a time, of the latest maxTargets.
	probeCount = 8
	maxTargets = 128
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
	Source netip.Addr           // Of connections to upstreams; invalid for the system's choice.
	OnLost func()               // Called when the path is lost or found again. May be nil.
	Sample func(n int) []string // Returns up to n upstreams. May be nil.
	Log    logr.Logger

	once  sync.Once
	alarm chan struct{}

	mu       sync.Mutex
	path     path.Path
	changed  chan struct{} // Closed when the path is lost.
	entries  []netip.AddrPort
	next     int
	targets  map[string]struct{}          // Upstreams that were connected to, for probes.
	compared map[string]time.Time         // When another entry was last asked about an upstream.
	askedAt  time.Time                    // When the first request was sent since bytes last came from an upstream; zero if none was.
	triedAt  time.Time                    // Last probe for quietLimit.
	failed   map[netip.AddrPort]time.Time // Entries that could not pass a connection on.
	trying   chan struct{}                // Closed when the attempt to reach any upstream that is under way ends; nil for none.
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

// Excuses reports whether a failure at an upstream is the path's fault as far as known.
func (d *Dialer) Excuses(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Excuses(time.Now(), addr)
}

// Lost reports whether this entry reaches no upstream by itself.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Lost()
}

// Blocked reports whether requests should be refused at once: the path is lost, no other entry is known,
// and nothing has come from any upstream lately.
func (d *Dialer) Blocked() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries) == 0 && d.path.CutOff(time.Now())
}

// cutOff reports whether direct connections are of no use.
func (d *Dialer) cutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.CutOff(time.Now())
}

// reliable reports whether a connection that fails here shows the state of its upstream.
func (d *Dialer) reliable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Reliable(time.Now())
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
	d.addTarget(addr)
	direct := d.path.Direct(time.Now())
	d.mu.Unlock()
	d.Probe()
	if !direct {
		// While the path is being taken up again, a connection may also be direct.
		if c, err := d.dialThrough(ctx, addr); err == nil || d.cutOff() {
			return c, err
		}
	}
	c, err := d.dialDirect(ctx, network, addr)
	if err == nil || ctx.Err() != nil || !d.Suspect() {
		return c, err
	}
	through, terr := d.dialThrough(ctx, addr)
	d.recordElsewhere(addr, terr, err)
	if terr == nil {
		return through, nil
	}
	return nil, err
}

// addTarget remembers an upstream for probes. d.mu must be held.
func (d *Dialer) addTarget(addr string) {
	if _, ok := d.targets[addr]; ok {
		return
	}
	if d.targets == nil {
		d.targets = map[string]struct{}{}
	}
	for old := range d.targets {
		if len(d.targets) < maxTargets {
			break
		}
		delete(d.targets, old)
	}
	d.targets[addr] = struct{}{}
}

// Probe tries a lost path again, if it is time. Connections that are kept open through other entries
// need no new ones, so it must be called from time to time while Suspect is true.
func (d *Dialer) Probe() {
	d.mu.Lock()
	var list []string
	if d.path.ProbeDue(time.Now()) {
		for addr := range d.targets { // In random order.
			list = append(list, addr)
			if len(list) == probeCount {
				break
			}
		}
	}
	d.mu.Unlock()
	for _, addr := range list {
		go d.probe(addr, dialTimeout)
	}
}

// Serve connects to an upstream for another entry, and reports with an error whether the failure shows
// the state of the upstream.
func (d *Dialer) Serve(ctx context.Context, addr string) (c net.Conn, reliable bool, err error) {
	c, err = tunnel.Direct(ctx, tunnel.DialTimeout, d.Source, addr)
	if err == nil || ctx.Err() != nil {
		return c, false, err
	}
	// Read before the failure is recorded: the other entry asks because it failed there.
	reliable = d.reliable()
	d.recordFailure(addr, err)
	return nil, reliable, err
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
			d.compare(errSlow)
		case <-lost:
			return nil, fmt.Errorf("%w: lost during the attempt", ErrNoPath)
		case <-ctx.Done():
			return nil, fmt.Errorf("dialer: %w", ctx.Err())
		}
	}
}

// dialThrough connects through one of the other entries.
func (d *Dialer) dialThrough(ctx context.Context, addr string) (net.Conn, error) {
	var down error // An entry that has a path did not reach the upstream.
	err := ErrNoPath
	start := time.Now()
	for _, entry := range d.candidates() {
		if time.Since(start) > slowDial {
			break // The caller waits.
		}
		c, derr := tunnel.Dial(ctx, entry, addr)
		if derr == nil {
			return c, nil
		}
		if upstreamDown(derr) {
			down = fmt.Errorf("%w: %s: %w", ErrNoPath, entry, derr)
			continue // That entry may have lost its path at this moment.
		}
		err = fmt.Errorf("%w: %s: %w", ErrNoPath, entry, derr)
		if errors.Is(derr, tunnel.ErrUnsure) || errors.Is(derr, tunnel.ErrUnknown) {
			continue // It may carry connections to other upstreams.
		}
		d.mu.Lock()
		if d.failed == nil {
			d.failed = map[netip.AddrPort]time.Time{}
		}
		d.failed[entry] = time.Now()
		d.mu.Unlock()
	}
	if down != nil {
		return nil, down
	}
	return nil, err
}

// upstreamDown reports whether another entry's attempt shows that the upstream is down.
func upstreamDown(err error) bool {
	return errors.Is(err, tunnel.ErrRefused) || errors.Is(err, tunnel.ErrUnreached)
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

// probe connects directly to an upstream, and reports whether that succeeds and shows an intact path.
func (d *Dialer) probe(addr string, timeout time.Duration) bool {
	c, err := tunnel.Direct(context.Background(), timeout, d.Source, addr)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if !staysOpen(c) {
		return false
	}
	d.recordSuccess()
	return true
}

// staysOpen reports whether a connection is still open after a moment. What cuts a path, or stands before
// an upstream that has ended, may accept connections and reset them.
func staysOpen(c net.Conn) bool {
	if err := c.SetReadDeadline(time.Now().Add(probeListen)); err != nil {
		return false
	}
	var b [1]byte
	_, err := c.Read(b[:])
	return err == nil || isTimeout(err)
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
			d.compare(err)
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
	d.path.RecordHeard(time.Now())
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

// recordFailure records a connection that failed or ended without an answer.
func (d *Dialer) recordFailure(addr string, cause error) {
	d.mu.Lock()
	d.path.RecordFailure(time.Now(), addr, isAnswer(cause))
	d.mu.Unlock()
	d.Alarm()
	select {
	case d.alarm <- struct{}{}:
	default: // A signal is pending already.
	}
}

// isAnswer reports whether an error is the answer of a host, or of what stands before it.
func isAnswer(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

// compare asks other entries whether they reach the upstreams that fail here.
func (d *Dialer) compare(cause error) {
	now := time.Now()
	d.mu.Lock()
	var list []string
	if d.path.Suspect(now) && !d.path.Lost() {
		maps.DeleteFunc(d.compared, func(_ string, at time.Time) bool { return now.Sub(at) > compareInterval })
		for addr := range d.path.Failed(now) {
			if _, ok := d.compared[addr]; !ok {
				list = append(list, addr)
			}
		}
	}
	for _, addr := range list {
		if d.compared == nil {
			d.compared = map[string]time.Time{}
		}
		d.compared[addr] = now
	}
	d.mu.Unlock()
	for _, addr := range list {
		go d.compareHost(addr, cause)
	}
}

// compareHost asks other entries whether they reach an upstream that failed here. It may be back since,
// which says nothing about the path.
func (d *Dialer) compareHost(addr string, cause error) {
	c, err := d.dialThrough(context.Background(), addr)
	if err == nil {
		if !staysOpen(c) { // The other entry may have lost its path, too.
			err = tunnel.ErrUnsure
		}
		_ = c.Close()
	}
	if err == nil && d.probe(addr, slowDial) {
		return
	}
	d.recordElsewhere(addr, err, cause)
}

// recordElsewhere records how another entry's attempt to connect to an upstream ended. The cause is why
// it was asked.
func (d *Dialer) recordElsewhere(addr string, err, cause error) {
	verdict := path.Unknown
	switch {
	case err == nil:
		verdict = path.Reached
	case upstreamDown(err):
		verdict = path.Down
	}
	d.mu.Lock()
	lost := d.path.RecordElsewhere(time.Now(), addr, verdict)
	d.mu.Unlock()
	if lost {
		d.announceLoss(cause)
	}
}

// announceLoss ends attempts that are under way and logs that the path is lost.
func (d *Dialer) announceLoss(cause error) {
	d.mu.Lock()
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
	entries, failed := len(d.entries), d.path.Failed(time.Now())
	d.mu.Unlock()
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
		c.dialer.compare(err)
	}
	return n, err //nolint:wrapcheck // Callers compare the errors of connections.
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.dialer.recordSent(c.addr)
	return c.Conn.Write(p) //nolint:wrapcheck // Callers compare the errors of connections.
}
