// Package recent remembers which requests were recently answered completely.
package recent

import (
	"time"

	"azurelane/core/digest"
)

// maxAnswers is the number of requests that are remembered.
const maxAnswers = 1024

// Recent holds the times of the latest complete answers, by request. The zero value is empty and
// ready to use.
type Recent struct {
	at   map[digest.Digest]time.Time
	ring [maxAnswers]digest.Digest
	next int
}

// Add records a complete answer to a request.
func (r *Recent) Add(now time.Time, d digest.Digest) {
	if r.at == nil {
		r.at = make(map[digest.Digest]time.Time, maxAnswers)
	}
	if _, ok := r.at[d]; !ok {
		delete(r.at, r.ring[r.next])
		r.ring[r.next] = d
		r.next = (r.next + 1) % maxAnswers
	}
	r.at[d] = now
}

// Answered reports whether an answer to the request is remembered.
func (r *Recent) Answered(d digest.Digest) bool { return !r.at[d].IsZero() }

// AnsweredAfter reports whether the request was answered completely after the given time.
func (r *Recent) AnsweredAfter(moment time.Time, d digest.Digest) bool { return r.at[d].After(moment) }
