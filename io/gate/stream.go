package gate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// stream passes the events of one send on, whole events only. What another
// upstream may go on with must not begin in the middle of an event.
type stream struct {
	*request
	resp  *http.Response
	quiet *time.Timer // Ends the send when the upstream is silent.
	start time.Time
	last  time.Time // When events of this send last left.
	buf   []byte    // The beginning of an event that has not come whole.
}

const (
	readSize = 8 << 10
	maxEvent = 1 << 20 // Bytes of one event.
)

var (
	eventEnd    = []byte("\n\n")
	eventEndCR  = []byte("\r\n\r\n")
	idField     = []byte("id:")
	errPartial  = errors.New("gate: stream ended inside an event")
	errOversize = errors.New("gate: event too large")
)

func (s *stream) pass(ctx context.Context, res *result) {
	rd := make([]byte, readSize)
	for {
		n, err := s.resp.Body.Read(rd)
		if n > 0 {
			s.wait()
			s.buf = append(s.buf, rd[:n]...)
			if werr := s.forward(res); werr != nil {
				res.end, res.err = left, werr
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.buf) > 0:
			res.end, res.err = broken, errPartial
			return
		case errors.Is(err, io.EOF):
			s.begin() // It may be whole without any event.
			res.end = whole
			return
		case err != nil:
			res.end, res.err = broken, cause(ctx, err)
			return
		case len(s.buf) > maxEvent:
			res.end, res.err = broken, errOversize
			return
		}
	}
}

// wait sets how long the upstream may be silent from now on.
func (s *stream) wait() {
	if !s.route.Repeatable() || s.ran+1 >= s.route.Most() {
		return // It runs to its end: the timer was set to that.
	}
	s.quiet.Reset(min(max(gapTry*s.route.Gap, leastWait), s.remains()))
}

// forward passes on the whole events that have come.
func (s *stream) forward(res *result) error {
	end := 0
	for {
		n := eventLen(s.buf[end:])
		if n == 0 {
			break
		}
		s.note(s.buf[end : end+n])
		res.events++
		end += n
	}
	if end == 0 {
		return nil
	}
	s.time(res)
	s.begin()
	if _, err := s.w.Write(s.buf[:end]); err != nil {
		return fmt.Errorf("gate: write: %w", err)
	}
	s.buf = append(s.buf[:0], s.buf[end:]...)
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("gate: flush: %w", err)
	}
	return nil
}

// time notes when events leave.
func (s *stream) time(res *result) {
	now := time.Now()
	if res.first == 0 {
		res.first = now.Sub(s.start)
	} else {
		res.gap = max(res.gap, now.Sub(s.last))
	}
	if !s.begun {
		s.began = now.Sub(s.request.start)
	} else if !s.left.IsZero() {
		s.gap = max(s.gap, now.Sub(s.left))
	}
	s.last, s.left = now, now
}

// begin writes the header of the answer, once: that of the first upstream
// stays when another one goes on.
func (s *stream) begin() {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.w.Header(), s.resp.Header)
	s.w.WriteHeader(s.resp.StatusCode)
}

// note remembers the id of an event that is about to leave.
func (s *stream) note(event []byte) {
	s.events++
	for line := range bytes.Lines(event) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			s.request.last = string(bytes.TrimSpace(id))
		}
	}
}

// eventLen is the length of the first whole event, zero when there is none.
func eventLen(b []byte) int {
	n := bytes.Index(b, eventEnd)
	m := bytes.Index(b, eventEndCR)
	switch {
	case m >= 0 && (n < 0 || m < n):
		return m + len(eventEndCR)
	case n >= 0:
		return n + len(eventEnd)
	}
	return 0
}
