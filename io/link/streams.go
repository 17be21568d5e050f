package link

import (
	"net"
	"sync"
	"time"
)

type (
	// streams are the open streams of a session. The zero value is ready.
	//
	// A session that ends says so at once, and ends its streams only when the reader of
	// its connection has come back. Meanwhile whoever waits at a stream is woken again
	// and again without a pause: one such reader took a whole processor, and on a VM
	// with a single one it kept that other reader from its turn for 10 ms or for good.
	// With its deadline passed a stream lets go of whoever waits there, so that is set
	// before the session ends, whichever way it does.
	streams struct {
		mu   sync.Mutex
		open map[net.Conn]struct{}
		over bool
	}

	// guarded is a connection that ends the streams above it before the session sees a
	// failure.
	guarded struct {
		net.Conn

		streams *streams
	}
)

// add notes a stream that was opened.
func (s *streams) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		expire(c)
		return
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
}

// until sets one of a stream's deadlines, unless the end has come.
func (s *streams) until(set func(time.Time) error, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	_ = set(end) // A stream takes any.
}

// drop forgets a stream that was closed.
func (s *streams) drop(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// end makes everyone let go of all streams, and of those to come.
func (s *streams) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for c := range s.open {
		expire(c)
	}
}

// expire ends what waits at a stream. What has arrived can still be read.
func expire(c net.Conn) { _ = c.SetDeadline(time.Unix(1, 0)) }

func (g *guarded) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if err != nil {
		g.streams.end()
	}
	return n, err //nolint:wrapcheck // The session tells errors of its connection apart.
}

func (g *guarded) Write(p []byte) (int, error) {
	n, err := g.Conn.Write(p)
	if err != nil {
		g.streams.end()
	}
	return n, err //nolint:wrapcheck // As above.
}
