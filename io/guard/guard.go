// Package guard bounds what clients of an HTTP server may send before a request is handled, and how long
// they may take or stay idle. The bounds may change while connections are open, which those of net/http
// can't.
package guard

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"azurelane/io/listen"
)

const (
	// DefaultHeaderBytes is the largest header where no bound is set.
	DefaultHeaderBytes = 32 << 10

	defaultHeaderTime = 10 * time.Second
	defaultIdleTime   = 2 * time.Minute
	// checkInterval is how often open connections are checked for a change of the bounds.
	checkInterval = 500 * time.Millisecond
)

type (
	// Guard watches the connections of one server. Its exported fields are set before use.
	Guard struct {
		// Bounds returns the bounds in force: bytes of a header, the time from its first byte to its
		// last, and the time that a connection may be idle between two requests. Zero is the default.
		Bounds func() (headerBytes int, headerTime, idleTime time.Duration)
		// Room is how many bytes headers may take together beyond DefaultHeaderBytes each. Zero is no
		// bound.
		Room int64
		// Refused is called with the status of each refusal; nil for nothing.
		Refused func(status int)

		used atomic.Int64 // Of Room.

		mu    sync.Mutex
		conns map[*conn]struct{}
	}

	// bounds is what Bounds returns, with the defaults filled in.
	bounds struct {
		headerBytes          int
		headerTime, idleTime time.Duration
	}

	listener struct {
		listen.Listen

		guard *Guard
	}

	connKey struct{}
)

// Wrap returns a listener whose connections are guarded.
func (g *Guard) Wrap(ln listen.Listen) listen.Listen { return &listener{ln, g} }

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listen.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // Of the listener itself.
	}
	c := &conn{Conn: inner, guard: l.guard, since: time.Now()}
	l.guard.add(c)
	c.refresh()
	return c, nil
}

// Context returns the context of a connection's requests, for http.Server.ConnContext.
func (*Guard) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Begin tells that the header of a request is whole and the request is handled from now on.
func (*Guard) Begin(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.begin()
	}
}

// Linger sets how the connection of a request ends, as net.TCPConn.SetLinger does.
func Linger(ctx context.Context, sec int) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		_ = c.SetLinger(sec) // Fails only on a closed connection.
	}
}

// State follows the states of connections, for http.Server.ConnState.
func (*Guard) State(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.idle()
	}
}

// Serve applies changes of the bounds to open connections until ctx ends.
func (g *Guard) Serve(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for last := g.bounds(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := g.bounds()
		if now == last {
			continue
		}
		last = now
		for _, c := range g.open() {
			c.refresh()
		}
	}
}

func (g *Guard) bounds() bounds {
	size, header, idle := g.Bounds()
	return bounds{cmp.Or(max(size, 0), DefaultHeaderBytes), cmp.Or(max(header, 0), defaultHeaderTime), cmp.Or(max(idle, 0), defaultIdleTime)}
}

func (g *Guard) add(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[*conn]struct{}{}
	}
	g.conns[c] = struct{}{}
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *Guard) open() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		list = append(list, c)
	}
	return list
}

// take takes room for a header and reports whether there was any.
func (g *Guard) take(n int64) bool {
	if used := g.used.Add(n); g.Room > 0 && used > g.Room {
		g.used.Add(-n)
		return false
	}
	return true
}
