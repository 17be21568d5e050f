package link

import (
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

type (
	// streams holds the open streams of a session. The zero value is ready for use.
	//
	// A session reports its end at once, but ends its streams only when the reader of its
	// connection returns. Until then a goroutine that reads a stream is woken in a busy loop.
	// Such a loop used a whole processor, and on a VM with a single one it kept the reader of
	// the connection from running for 10 ms or for good. A passed deadline ends all reads and
	// writes of a stream, so deadlines are set before the session ends for any reason.
	streams struct {
		mu      sync.Mutex
		open    map[net.Conn]struct{}
		expired bool
	}

	// expiringConn is a connection that expires the session's streams before the session sees an
	// error, and writes each frame of the session with one system call.
	expiringConn struct {
		net.Conn

		streams *streams
		frame   []byte // Header of a data frame whose body is written next, and scratch space.
	}
)

// pieces writes large data in pieces.
type pieces struct{ io.Writer }

const maxPiece = 8 << 10 // Bytes.

// Header of a frame of a session: version, type, flags, stream and length.
const (
	headerSize   = 12
	headerType   = 1
	headerLength = 8
	typeData     = 0
)

// register registers an open stream.
func (s *streams) register(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		expire(c)
		return
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[c] = struct{}{}
}

// setDeadline sets a deadline of a stream, unless all streams have expired.
func (s *streams) setDeadline(set func(time.Time) error, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		return
	}
	_ = set(end) // A stream accepts any deadline.
}

// remove removes a closed stream.
func (s *streams) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// expireAll expires all streams, and those that are added later.
func (s *streams) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	for c := range s.open {
		expire(c)
	}
}

// expire ends pending reads and writes of a stream. Data that has arrived can still be read.
func expire(c net.Conn) { _ = c.SetDeadline(time.Unix(1, 0)) }

func (g *expiringConn) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	if err != nil {
		g.streams.expireAll()
	}
	return n, err //nolint:wrapcheck // The session distinguishes errors of its connection.
}

// Write is called by the session's sender alone, for a data frame once with the header and once with
// the body.
func (g *expiringConn) Write(p []byte) (int, error) {
	if len(g.frame) == 0 && len(p) == headerSize && p[headerType] == typeData && binary.BigEndian.Uint32(p[headerLength:]) > 0 {
		g.frame = append(g.frame, p...)
		return len(p), nil
	}
	out, held := p, len(g.frame)
	if held > 0 {
		out = append(g.frame, p...)
		g.frame = out[:0]
	}
	n, err := g.Conn.Write(out)
	if err != nil {
		g.streams.expireAll()
	}
	return max(n-held, 0), err //nolint:wrapcheck // As above.
}

// Write writes in pieces of maxPiece, as a session keeps a buffer of the largest piece that it sent.
func (p pieces) Write(data []byte) (int, error) {
	written := 0
	for piece := range slices.Chunk(data, maxPiece) {
		n, err := p.Writer.Write(piece)
		written += n
		if err != nil {
			return written, err //nolint:wrapcheck // The stream's own.
		}
	}
	return written, nil
}
