// Package result describes how one request of a load ended, as its caller saw it.
package result

import (
	"time"

	"azurelane/io/call"
)

// Result is one ended request. Times count from its planned arrival, so that
// a slow sender can't hide any waiting.
type Result struct {
	call.Call
	Request string        // Id that the entry gave it.
	Sent    time.Time     // When it left.
	First   time.Duration // To the first byte of the answer's body.
	Total   time.Duration // To its end.
	Outcome string        // whole, not-run, unknown, failed, broken; none without any answer.
	Code    string        // Of a refusal.
}

// Good reports whether the caller got its whole answer in time.
func (r *Result) Good() bool { return r.Outcome == "whole" && r.Total <= r.Deadline }
