package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"azurelane/core/answer"
	"azurelane/core/refuse"
	"azurelane/io/stats"
)

type (
	// reply writes one caller's answer.
	reply struct {
		w        http.ResponseWriter
		request  string // Id, as callers see it.
		stats    *stats.Stats
		takeTime time.Duration // For one part of the answer.
		head     *answer.Answer
		body     []byte // Of an answer that is not streamed.
		dead     bool   // The caller takes no more.
	}

	// direct is the reply of a request that no one else follows.
	direct struct {
		*reply
		ctx context.Context
	}

	errorDoc struct {
		Error errorPart `json:"error"`
	}

	errorPart struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Request string `json:"request"`
	}
)

// Sending reports whether the caller is still there.
func (d direct) Sending() bool { return d.ctx.Err() == nil }

// Unsent has nothing to take back.
func (direct) Unsent() {}

// Head takes the head of the answer. A stream's goes out at once, that of
// another answer when the body is known to be whole.
func (p *reply) Head(a *answer.Answer) error {
	p.head = a
	if !a.Streamed {
		return nil
	}
	p.copyHeader()
	p.w.Header().Set("Trailer", HeaderOutcome)
	p.w.WriteHeader(a.Status)
	return p.Flush()
}

// Write passes a part of a stream on.
func (p *reply) Write(data []byte) (int, error) {
	if !p.head.Streamed {
		p.body = data // All of it comes at once.
		return len(data), nil
	}
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(p.takeTime))
	n, err := p.w.Write(data)
	if err != nil {
		p.dead = true
		return n, fmt.Errorf("front: write to caller: %w", err)
	}
	return n, nil
}

// Flush sends what was written.
func (p *reply) Flush() error {
	if p.head == nil || !p.head.Streamed {
		return nil
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		p.dead = true
		return fmt.Errorf("front: flush to caller: %w", err)
	}
	return nil
}

// end closes the answer: whole with its outcome, or refused. A stream that
// began and can't be finished is broken off so that no caller can take it for
// whole: an error event, and no terminating chunk.
func (p *reply) end(outcome string, refusal *refuse.Error) {
	p.stats.Count("outcome-"+outcome, 1)
	streamed := p.head != nil && p.head.Streamed
	switch {
	case refusal == nil && streamed:
		p.w.Header().Set(HeaderOutcome, outcome)
	case refusal == nil:
		p.whole(outcome)
	case streamed:
		p.stats.Count("refused-"+refusal.Code, 1)
		if !p.dead {
			_, _ = fmt.Fprintf(p.w, "event: error\ndata: %s\n\n", errorBody(refusal, outcome, p.request))
			_ = p.Flush()
		}
		panic(http.ErrAbortHandler)
	default:
		p.refuse(outcome, refusal)
	}
}

func (p *reply) whole(outcome string) {
	p.copyHeader()
	h := p.w.Header()
	h.Set(HeaderOutcome, outcome)
	if h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.Itoa(len(p.body)))
	}
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(p.takeTime))
	p.w.WriteHeader(p.head.Status)
	_, _ = p.w.Write(p.body)
}

func (p *reply) copyHeader() {
	h := p.w.Header()
	for name, values := range p.head.Header {
		h[name] = values
	}
	h.Set(HeaderRequest, p.request)
}

// refuse gives a final answer that no upstream gave.
func (p *reply) refuse(outcome string, e *refuse.Error) {
	p.stats.Count("refused-"+e.Code, 1)
	h := p.w.Header()
	h.Set(HeaderRequest, p.request)
	h.Set(HeaderOutcome, outcome)
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((e.RetryAfter+time.Second-1)/time.Second)))
	}
	_ = http.NewResponseController(p.w).SetWriteDeadline(time.Now().Add(p.takeTime))
	p.w.WriteHeader(e.Status())
	_, _ = p.w.Write(errorBody(e, outcome, p.request))
}

// close takes the time limits off, for the connection's next request.
func (p *reply) close() { _ = http.NewResponseController(p.w).SetWriteDeadline(time.Time{}) }

func errorBody(e *refuse.Error, outcome, id string) []byte {
	data, err := json.Marshal(errorDoc{errorPart{e.Code, e.Text, outcome, id}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}
