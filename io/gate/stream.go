package gate

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// stream relays the events of one send. It passes on complete events only, so that another upstream
// can resume the stream at an event boundary.
type stream struct {
	*request
	resp        *http.Response
	hedge       *hedge
	mover       *mover
	last        bool // The request is not sent again.
	sentAt      time.Time
	lastWriteAt time.Time // When events of this send were last written to the caller.
	joined      bool      // An event with an ID has come.
	buf         []byte    // Start of an event that has not arrived completely.
}

const (
	readSize = 8 << 10
	maxEvent = 1 << 20 // Bytes of one event.
)

var (
	eventEnd    = []byte("\n\n")
	eventEndCR  = []byte("\r\n\r\n")
	idField     = []byte("id:")
	dataField   = []byte("data:")
	errPartial  = errors.New("gate: stream ended inside an event")
	errOversize = errors.New("gate: event too large")
	errSeam     = errors.New("gate: stream does not go on after the last event")
)

// relay passes the stream on to its end, or until its run has moved to another upstream.
func (s *stream) relay(ctx context.Context, res *result) {
	s.mover.start(s.hedge)
	s.read(ctx, res)
	s.mover.finish(res)
}

func (s *stream) read(ctx context.Context, res *result) {
	rd := make([]byte, readSize)
	for {
		n, err := s.resp.Body.Read(rd)
		if n > 0 {
			s.hedge.touch(s.request)
			s.buf = append(s.buf, rd[:n]...)
			if werr := s.writeEvents(res); werr != nil {
				res.outcome, res.err = outcomeCallerLeft, werr
				if errors.Is(werr, errSilent) || errors.Is(werr, errSeam) {
					res.outcome = outcomeInterrupted
				}
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(s.buf) > 0:
			res.outcome, res.err = outcomeInterrupted, errPartial
			return
		case errors.Is(err, io.EOF) && !s.hedge.claim():
			res.outcome, res.err = outcomeInterrupted, errSilent
			return
		case errors.Is(err, io.EOF):
			s.writeHeader() // A stream without events is complete too.
			res.outcome = outcomeComplete
			return
		case err != nil:
			res.outcome, res.err = outcomeInterrupted, withCause(ctx, err)
			return
		case len(s.buf) > maxEvent:
			res.outcome, res.err = outcomeInterrupted, errOversize
			return
		}
	}
}

// writeEvents passes the complete events in the buffer on to the caller.
func (s *stream) writeEvents(res *result) error {
	n := eventLen(s.buf)
	if n == 0 {
		return nil
	}
	if !s.goesOn() {
		return errSeam
	}
	if !s.hedge.claim() {
		return errSilent
	}
	defer func() { s.hedge.listen(max(eventGapFactor*s.route.Gap, minEventWait)) }()
	end, before := 0, res.events
	for ; n > 0; n = eventLen(s.buf[end:]) {
		s.recordEvent(s.buf[end : end+n])
		res.events++
		end += n
	}
	if before < begunEvents && res.events >= begunEvents {
		s.markBegun(s.sentAt)
	}
	s.recordTiming(res)
	s.mover.note(res.events)
	if s.last {
		s.releaseBody()
	}
	s.writeHeader()
	if err := s.write(s.buf[:end]); err != nil {
		return err
	}
	s.buf = append(s.buf[:0], s.buf[end:]...)
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("gate: flush: %w", err)
	}
	return nil
}

// recordTiming records when events are written.
func (s *stream) recordTiming(res *result) {
	now := time.Now()
	if res.firstAfter == 0 {
		res.firstAfter = now.Sub(s.sentAt)
		s.recordOrigin()
		s.gate.versions.started(s.tallied, res.firstAfter)
	} else {
		res.gap = max(res.gap, now.Sub(s.lastWriteAt))
	}
	if !s.headerSent {
		s.firstEventAfter = now.Sub(s.request.start)
	} else if !s.lastEventAt.IsZero() {
		s.gap = max(s.gap, now.Sub(s.lastEventAt))
	}
	s.lastWriteAt, s.lastEventAt = now, now
}

// recordOrigin logs and counts a stream that goes on: one that the caller takes up, or one that moves
// to another upstream within an answer.
func (s *stream) recordOrigin() {
	to := s.sentBy.upstream
	switch {
	case s.headerSent && s.version != to.GetVersion():
		s.gate.Stats.Count("streams-mixed", 1)
		fallthrough
	case s.headerSent:
		s.gate.Stats.Count("streams-moved", 1)
		s.gate.Log.Info("Stream goes on at another upstream.", "request", s.meta.ID, "from-version", s.version, "upstream", to.GetId(), "version", to.GetVersion(), "events", s.events)
	case s.meta.LastEvent != "":
		s.gate.Stats.Count("streams-resumed", 1)
		s.gate.Log.Info("Stream resumed.", "request", s.meta.ID, "resumes", s.meta.Resumes, "last-event", s.meta.LastEvent, "upstream", to.GetId(), "version", to.GetVersion())
	}
	s.request.version = to.GetVersion()
	s.gate.recordOrigin(time.Now(), s.request, s.sentBy)
}

// writeHeader writes the header of the response once. If another upstream resumes the stream, the
// header of the first one stays.
func (s *stream) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	copyEndToEndHeaders(s.w.Header(), s.resp.Header)
	s.resetAtEnd()
	s.w.WriteHeader(s.resp.StatusCode)
}

// recordEvent counts an event and remembers its ID, after which another upstream can resume.
func (s *stream) recordEvent(event []byte) {
	s.events++
	id, data := eventID(event)
	if id != "" {
		s.request.lastEventID = id
	}
	if id != "" || data {
		s.noSeam = id == ""
	}
}

// goesOn reports whether the events in the buffer go on after the last one that the caller has from another send or
// another response: the first ID, if both are numbers, has to be higher.
func (s *stream) goesOn() bool {
	for end := 0; !s.joined && s.route.Resumable; {
		n := eventLen(s.buf[end:])
		if n == 0 {
			break
		}
		id, _ := eventID(s.buf[end : end+n])
		s.joined, end = id != "", end+n
		first, err := strconv.ParseUint(id, 10, 64)
		last, lastErr := strconv.ParseUint(cmp.Or(s.request.lastEventID, s.meta.LastEvent), 10, 64)
		if err == nil && lastErr == nil && first <= last {
			return false
		}
	}
	return true
}

// eventID returns the ID of an event, and whether it has data. One without is a comment.
func eventID(event []byte) (id string, data bool) {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(v))
		}
		data = data || bytes.HasPrefix(line, dataField)
	}
	return id, data
}

// eventLen returns the length of the first complete event, or 0 if there is none.
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
