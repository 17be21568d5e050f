package gate

import (
	"cmp"
	"fmt"
	"net/http"
	"time"
)

const (
	// callerTimeout is how long a caller may take to read callerChunk bytes. A caller behind a cut
	// reads nothing, and what is held for it would stay in memory until the kernel gives up.
	callerTimeout = 30 * time.Second
	callerChunk   = 16 << 10
)

// write writes a part of the response to the caller.
func (q *request) write(data []byte) error {
	w := http.NewResponseController(q.w)
	for len(data) > 0 {
		n := min(len(data), callerChunk)
		// Not every ResponseWriter has deadlines; those of a server do.
		_ = w.SetWriteDeadline(time.Now().Add(cmp.Or(q.gate.CallerTimeout, callerTimeout)))
		if _, err := q.w.Write(data[:n]); err != nil {
			return fmt.Errorf("gate: write: %w", err)
		}
		data = data[n:]
	}
	return nil
}

// endWrites removes the deadline of the last write, which would hold for the next request of the
// connection.
func (q *request) endWrites() {
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Time{})
}

// resetAtEnd has the kernel reset the caller's connection if this process ends before the response does. Without it
// the end looks like that of a response in HTTP/1.0 without a length.
func (q *request) resetAtEnd() {
	if q.gate.Linger != nil && !q.r.ProtoAtLeast(1, 1) && q.w.Header().Get("Content-Length") == "" {
		q.resets = true
		q.gate.Linger(q.r.Context(), 0)
	}
}

// endWell ends what resetAtEnd has begun, once the whole response is with the kernel.
func (q *request) endWell() {
	if q.resets && http.NewResponseController(q.w).Flush() == nil {
		q.gate.Linger(q.r.Context(), -1)
	}
}

// resetCaller resets the caller's connection. In HTTP/1.0 the end of the connection is the end of a
// response without a length, so only a reset shows that the response is incomplete.
func (q *request) resetCaller() {
	c, _, err := http.NewResponseController(q.w).Hijack()
	if err != nil {
		q.gate.Log.Info("Connection of a caller not reset.", "request", q.meta.ID, "err", err.Error())
		return
	}
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0) // Fails only on a closed connection.
	}
	_ = c.Close()
}
