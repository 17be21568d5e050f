// Package result describes the result of a request of a load test, as seen by its caller.
package result

import (
	"time"

	"azurelane/io/call"
)

// Result is the result of one request. Times count from its planned arrival, so that delays of the sender are
// included.
type Result struct {
	call.Call
	Request string        // ID assigned by the entry.
	Sent    time.Time     // Time of sending.
	First   time.Duration // Time to the first byte of the body.
	Total   time.Duration // Time to the end of the body.
	Outcome string        // whole, not-run, unknown, failed, broken; none without an answer.
	Code    string        // Code of a refusal.
}

// Good reports whether the caller got the complete answer in time.
func (r *Result) Good() bool { return r.Outcome == "whole" && r.Total <= r.Deadline }
