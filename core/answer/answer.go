// Package answer is what becomes of a request: an upstream's answer or a
// refusal.
package answer

import (
	"net/http"
	"time"

	"azurelane/core/life"
	"azurelane/core/refuse"
	"azurelane/core/wire"
)

// Answer is one answer, complete or still on its way. The zero value is one
// of which nothing is known yet.
type Answer struct {
	Status   int // Of HTTP; zero before the head of an upstream's answer is known.
	Header   http.Header
	Streamed bool // The body is passed on as it comes.
	Body     []byte
	Outcome  string        // Value of the outcome header; empty while it runs.
	Refusal  *refuse.Error // Why there is no whole answer; nil when there is one.
}

// The range of the statuses of final answers.
const (
	minStatus = 200
	maxStatus = 599
)

// ValidStatus reports whether an upstream's final answer may have a status.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// Ended reports whether nothing more will come.
func (a *Answer) Ended() bool { return a.Outcome != "" }

// Size is roughly the bytes of memory that the answer takes.
func (a *Answer) Size() int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// Wire is the ended answer as one entry sends it to another.
func (a *Answer) Wire() *wire.JoinReply {
	r := &wire.JoinReply{Outcome: a.Outcome}
	if e := a.Refusal; e != nil {
		r.Code, r.Text, r.RetryAfterUs = e.Code, e.Text, e.RetryAfter.Microseconds()
		return r
	}
	r.Status, r.Body, r.Streamed = int32(a.Status), a.Body, a.Streamed //nolint:gosec // Statuses have three digits.
	for name, values := range a.Header {
		r.Headers = append(r.Headers, &wire.Header{Name: name, Values: values})
	}
	return r
}

// FromWire reads an ended answer. One without a status that a caller can get is none; its run may have ended in any way.
func FromWire(r *wire.JoinReply) *Answer {
	a := &Answer{Outcome: r.GetOutcome()}
	if r.GetCode() != "" {
		a.Refusal = refuse.New(r.GetCode(), r.GetText(), time.Duration(r.GetRetryAfterUs())*time.Microsecond)
		// A newer entry may use a code that this one doesn't know. Taken by its
		// code alone it would pass for not run; the holder's outcome goes first.
		if a.Outcome == life.Unknown.Outcome() && !a.Refusal.MayHaveRun() {
			a.Refusal = refuse.New(refuse.UpstreamLost, r.GetCode()+": "+r.GetText(), 0)
		}
		return a
	}
	if !ValidStatus(int(r.GetStatus())) {
		a.Outcome, a.Refusal = life.Unknown.Outcome(), refuse.New(refuse.UpstreamLost, "the entry that ran it has no whole answer", 0)
		return a
	}
	a.Status, a.Body, a.Streamed = int(r.GetStatus()), r.GetBody(), r.GetStreamed()
	a.Header = http.Header{}
	for _, h := range r.GetHeaders() {
		a.Header[h.GetName()] = h.GetValues()
	}
	return a
}
