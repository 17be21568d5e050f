package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/buffer"
)

// newAnswer returns an answer of which nothing has come.
func (g *Gate) newAnswer() *held {
	return &held{buffer: &g.Memory, kind: buffer.Answers, limit: maxBufferedAnswer}
}

// writeAll writes an answer to the caller.
func (q *request) writeAll(pieces [][]byte) error {
	for _, p := range pieces {
		if err := q.write(p); err != nil {
			return err
		}
	}
	return nil
}

// mayPassOn reports whether an answer that there is no room for may be passed on before it is complete. One
// that may never end is sought at another upstream instead, if the request may be sent there.
func (q *request) mayPassOn(f *flight) bool {
	switch status := f.resp.StatusCode; {
	case status >= http.StatusInternalServerError, !q.route.Repeatable() && promisesNoRun(status):
		return false
	case f.resp.ContentLength >= 0:
		return true
	}
	return !q.mayMove(f.placement) || !q.gate.hasRetry(q.pool)
}

// passOn passes on what has come of an answer, and then the rest as it comes.
func (q *request) passOn(f *flight, a *held, rest io.Reader, res *result) {
	res.firstAfter, q.firstEventAfter = time.Since(f.sentAt), time.Since(q.start)
	q.headerSent, q.passedOn = true, true
	q.releaseBody()
	q.gate.Stats.Count("answers-passed-on-early", 1)
	copyEndToEndHeaders(q.w.Header(), f.resp.Header)
	if f.resp.ContentLength >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(f.resp.ContentLength, 10))
	}
	q.resetAtEnd()
	q.w.WriteHeader(f.resp.StatusCode)
	size := a.size
	if err := q.writeAll(a.pieces); err != nil {
		res.outcome, res.err = outcomeCallerLeft, err
		return
	}
	a.free()
	buf := make([]byte, readSize)
	for {
		n, err := rest.Read(buf)
		if size += int64(n); err == nil && size > maxBufferedAnswer {
			n, err = 0, errAnswerLarge
		}
		if werr := q.write(buf[:n]); werr != nil {
			res.outcome, res.err = outcomeCallerLeft, werr
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			res.outcome = outcomeComplete
			return
		case err != nil:
			res.outcome, res.err = outcomeInterrupted, withCause(f.ctx, err)
			return
		}
	}
}
