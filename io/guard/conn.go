package guard

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phases of a connection.
const (
	fresh    phase = iota // Nothing has come yet.
	waiting               // Between two requests.
	header                // A header has begun.
	handling              // A request is handled. Its body and the end of its client are the handler's affair.
)

const (
	// bufferSize is how much net/http reads at once. So many bytes that are counted may belong to a body.
	bufferSize = 4 << 10
	// Once a header was refused, its client may go on sending for lingerTime and lingerBytes: closing a
	// connection with unread bytes resets it, and the client would not see the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// graceTime is how long a read is tried once more after its deadline. A process that was suspended finds
	// deadlines passed although the bytes have come in time.
	graceTime = 10 * time.Millisecond
)

var errRefused = errors.New("guard: header refused")

type (
	phase int

	// conn is a guarded connection.
	conn struct {
		net.Conn

		guard *Guard

		mu      sync.Mutex
		phase   phase
		since   time.Time // Start of the phase.
		size    int       // Bytes of the header so far.
		taken   int64     // Of the guard's room.
		asked   time.Time // Deadline for reads that the server has set; zero for none.
		inForce time.Time // Deadline that the connection has.
		gone    bool
	}
)

// Read counts the bytes of a header, and refuses one that is too large.
func (c *conn) Read(p []byte) (int, error) {
	for last := false; ; {
		n, err := c.Conn.Read(p)
		switch timeout := net.Error(nil); {
		case n > 0:
			if status := c.count(n); status != 0 {
				return 0, c.refuse(status)
			}
			return n, err //nolint:wrapcheck // Of the connection itself.
		case errors.As(err, &timeout) && timeout.Timeout() && c.extended():
		case timeout != nil && timeout.Timeout() && !last && c.grace():
			last = true
		default:
			return n, err //nolint:wrapcheck // Of the connection itself.
		}
	}
}

// count notes that bytes have come. It returns the status of a refusal, or zero.
func (c *conn) count(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return 0
	}
	if c.phase != header {
		c.enter(header)
	}
	c.size += n
	over := int64(c.size - DefaultHeaderBytes - bufferSize)
	switch {
	case c.size > c.guard.bounds().headerBytes+bufferSize:
		return http.StatusRequestHeaderFieldsTooLarge
	case over > c.taken:
		if !c.guard.take(over - c.taken) {
			return http.StatusServiceUnavailable
		}
		c.taken = over
	}
	return 0
}

// refuse answers a request whose header is not read to its end.
func (c *conn) refuse(status int) error {
	if c.guard.Refused != nil {
		c.guard.Refused(status)
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	text := fmt.Sprintf("azurelane: %s\n", http.StatusText(status))
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retry, text)
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	// The server answers errors other than those of reads by itself.
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

// enter starts a phase. c.mu must be held.
func (c *conn) enter(p phase) {
	c.phase, c.since = p, time.Now()
	if p == header {
		c.size = 0
	}
	_ = c.setDeadline()
}

func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(handling)
}

func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	c.enter(waiting)
}

// release gives the room of a header back. c.mu must be held.
func (c *conn) release() {
	c.guard.used.Add(-c.taken)
	c.taken = 0
}

// deadline returns the time by which the next byte has to come; zero for none. c.mu must be held.
func (c *conn) deadline() time.Time {
	var own time.Time
	switch b := c.guard.bounds(); c.phase {
	case fresh:
		own = c.since.Add(max(b.headerTime, defaultHeaderTime))
	case waiting:
		own = c.since.Add(b.idleTime)
	case header:
		own = c.since.Add(b.headerTime)
	case handling:
	}
	if own.IsZero() || (!c.asked.IsZero() && c.asked.Before(own)) {
		return c.asked
	}
	return own
}

// setDeadline applies the deadline, which fails only on a closed connection. c.mu must be held.
func (c *conn) setDeadline() error {
	d := c.deadline()
	if d.Equal(c.inForce) {
		return nil
	}
	c.inForce = d
	return c.Conn.SetReadDeadline(d) //nolint:wrapcheck // Of the connection itself.
}

func (c *conn) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.setDeadline()
}

// extended reports whether the deadline has been moved past the present.
func (c *conn) extended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setDeadline() == nil && (c.inForce.IsZero() || c.inForce.After(time.Now()))
}

// grace moves the deadline on a little, unless the server has set it.
func (c *conn) grace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.asked.IsZero() && !c.asked.After(time.Now()) {
		return false
	}
	c.inForce = time.Now().Add(graceTime)
	return c.Conn.SetReadDeadline(c.inForce) == nil
}

// SetReadDeadline sets the server's own deadline. The earlier one of both is in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = t
	return c.setDeadline()
}

// SetDeadline sets both deadlines of the server.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t) //nolint:wrapcheck // Of the connection itself.
}

// CloseWrite ends the answers, as net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite() //nolint:wrapcheck // Of the connection itself.
	}
	return nil
}

// SetLinger sets whether the connection is reset when it is closed.
func (c *conn) SetLinger(sec int) error {
	if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return t.SetLinger(sec) //nolint:wrapcheck // Of the connection itself.
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.gone {
		c.gone = true
		c.release()
		c.guard.remove(c)
	}
	c.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // Of the connection itself.
}
