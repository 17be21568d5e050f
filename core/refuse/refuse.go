// Package refuse holds the final answers that azurelane gives by itself.
package refuse

import (
	"net/http"
	"time"
)

// Error is a final answer to a request that has no upstream's answer. The code
// is stable; callers may switch on it.
type Error struct {
	Code       string        // See docs/API.md.
	Text       string        // For people.
	RetryAfter time.Duration // When to come back; zero when sending again is no use.
}

// Codes of refusals. All but the Unknown group mean that nothing ran.
const (
	BadRequest    = "bad-request"     // The request can't be read.
	BadKey        = "unauthorized"    // No client account has that key.
	Forbidden     = "tier-forbidden"  // The account may not use that tier.
	NotFound      = "not-found"       // No pool serves that model, service or path.
	TooLarge      = "body-too-large"  // The body is over the account's limit.
	AccountLimit  = "account-limit"   // The account has too much open already.
	Overloaded    = "overloaded"      // The pool is full.
	Deadline      = "deadline"        // It can't be done before the deadline.
	NoUpstream    = "no-upstream"     // No upstream of the pool is live.
	NoControl     = "no-control"      // No quorum to claim the key; nothing ran.
	NotReady      = "not-ready"       // The entry has no configuration yet.
	ShuttingDown  = "shutting-down"   // The entry is stopping.
	KeyMismatch   = "key-mismatch"    // The key was used with another body.
	Unreachable   = "unreachable"     // No upstream could be connected to.
	UpstreamLost  = "upstream-lost"   // Unknown: the upstream broke off.
	UpstreamMute  = "upstream-silent" // Unknown: the upstream went silent.
	HolderLost    = "holder-lost"     // Unknown: the entry that ran it died.
	AnswerForeign = "answer-foreign"  // Unknown: the answer was for another request.
	AnswerGone    = "answer-gone"     // It ran; its answer is no longer kept.
)

var statuses = map[string]int{
	BadRequest: http.StatusBadRequest, BadKey: http.StatusUnauthorized, Forbidden: http.StatusForbidden,
	NotFound: http.StatusNotFound, TooLarge: http.StatusRequestEntityTooLarge,
	AccountLimit: http.StatusTooManyRequests, Overloaded: http.StatusServiceUnavailable,
	Deadline: http.StatusServiceUnavailable, NoUpstream: http.StatusServiceUnavailable,
	NoControl: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	ShuttingDown: http.StatusServiceUnavailable, KeyMismatch: http.StatusUnprocessableEntity,
	Unreachable: http.StatusServiceUnavailable, UpstreamLost: http.StatusBadGateway,
	UpstreamMute: http.StatusGatewayTimeout, HolderLost: http.StatusBadGateway,
	AnswerForeign: http.StatusBadGateway, AnswerGone: http.StatusGone,
}

// New returns a refusal.
func New(code, text string, retryAfter time.Duration) *Error {
	return &Error{Code: code, Text: text, RetryAfter: retryAfter}
}

// Error begins with the code.
func (e *Error) Error() string {
	if e.Text == "" {
		return e.Code
	}
	return e.Code + ": " + e.Text
}

// Status is the HTTP status of the refusal.
func (e *Error) Status() int {
	if s, ok := statuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// MayHaveRun reports whether the request may have run: only then is the
// outcome unknown instead of not-run.
func (e *Error) MayHaveRun() bool {
	switch e.Code {
	case UpstreamLost, UpstreamMute, HolderLost, AnswerForeign, AnswerGone:
		return true
	}
	return false
}
