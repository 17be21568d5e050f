// Package refuse defines the error responses that azurelane sends itself.
package refuse

import (
	"net/http"
	"time"
)

// Error is the final response to a request for which there is no response of an upstream. The code
// is stable, so callers may rely on it.
type Error struct {
	Code       string        // See docs/API.md.
	Text       string        // For people to read.
	RetryAfter time.Duration // When the caller may retry; zero if a retry is of no use.
}

// Codes of requests that did not run.
const (
	BadRequest    = "bad-request"       // The request can't be read.
	BadKey        = "unauthorized"      // No client account has that key.
	Forbidden     = "tier-forbidden"    // The account may not use that tier.
	NotFound      = "not-found"         // No pool serves that model, service or path.
	BodyLate      = "body-late"         // The body did not come in time.
	TooLarge      = "body-too-large"    // The body is over the account's limit.
	HeaderLarge   = "header-too-large"  // The header is over the limit of routes.
	AccountLimit  = "account-limit"     // The account has too much open already.
	Overloaded    = "overloaded"        // The pool is full.
	OverShare     = "over-share"        // The pool is full, and the account uses more than its share.
	EntrySlow     = "entry-slow"        // The entry holds slots for so long that others go first.
	Deadline      = "deadline"          // It can't be done before the deadline.
	NoMemory      = "no-memory"         // The entry has no memory for the body.
	NoUpstream    = "no-upstream"       // No upstream of the pool is live.
	NoControl     = "no-control"        // No quorum to claim the key; nothing ran.
	NotReady      = "not-ready"         // The entry has no configuration yet.
	ShuttingDown  = "shutting-down"     // The entry is stopping.
	KeyMismatch   = "key-mismatch"      // The key was used with another request.
	Unreachable   = "unreachable"       // No upstream could be connected to.
	Crashes       = "crashes-upstreams" // Upstreams crashed under this request before.
	Resting       = "upstreams-resting" // All upstreams of the pool have asked to be sent nothing for a while.
	UnknownStream = "unknown-stream"    // It is not known at which version of the upstreams the stream began.
	VersionGone   = "version-gone"      // No upstream of the stream's version is left.
	CallerGone    = "caller-gone"       // Every caller went away before it was sent.
	Internal      = "internal"          // A fault of azurelane.
)

// Codes of requests that ran or may have run.
const (
	UpstreamLost   = "upstream-lost"      // The upstream broke off.
	UpstreamMute   = "upstream-silent"    // The upstream went silent.
	RunLimit       = "run-limit"          // It ran longer than the pool allows.
	DeadlinePassed = "deadline-passed"    // The deadline came while it ran.
	StillRunning   = "still-running"      // Another submission's run has not ended.
	HolderLost     = "holder-lost"        // The entry that ran it can't be asked.
	AnswerForeign  = "answer-foreign"     // The answer was for another request.
	AnswerLarge    = "answer-too-large"   // The answer is over the pool's limit.
	AnswerGone     = "answer-gone"        // It ran; its answer is no longer kept.
	CallerLeft     = "caller-left"        // Its last caller went away while it ran.
	Earlier        = "earlier-submission" // This one ran nowhere; an earlier one with its key may have.
)

// DefaultRetry is the Retry-After of a refusal for which no other time is known.
const DefaultRetry = time.Second

type rule struct {
	status     int
	retryable  bool // A retry may succeed.
	mayHaveRun bool // The request may have run.
}

// rules holds the codes that differ from the default. All other codes, including those of scheduling
// policies, have status 503, have not run and may be retried.
var rules = map[string]rule{
	BadRequest:    {status: http.StatusBadRequest},
	BadKey:        {status: http.StatusUnauthorized},
	Forbidden:     {status: http.StatusForbidden},
	NotFound:      {status: http.StatusNotFound},
	BodyLate:      {status: http.StatusRequestTimeout, retryable: true},
	TooLarge:      {status: http.StatusRequestEntityTooLarge},
	HeaderLarge:   {status: http.StatusRequestHeaderFieldsTooLarge},
	AccountLimit:  {status: http.StatusTooManyRequests, retryable: true},
	KeyMismatch:   {status: http.StatusUnprocessableEntity},
	Crashes:       {status: http.StatusServiceUnavailable},
	UnknownStream: {status: http.StatusServiceUnavailable},
	VersionGone:   {status: http.StatusServiceUnavailable},
	Internal:      {status: http.StatusInternalServerError, retryable: true},

	UpstreamLost:   {status: http.StatusBadGateway, mayHaveRun: true},
	UpstreamMute:   {status: http.StatusGatewayTimeout, mayHaveRun: true},
	RunLimit:       {status: http.StatusGatewayTimeout, mayHaveRun: true},
	DeadlinePassed: {status: http.StatusGatewayTimeout, mayHaveRun: true},
	StillRunning:   {status: http.StatusGatewayTimeout, retryable: true, mayHaveRun: true},
	HolderLost:     {status: http.StatusBadGateway, mayHaveRun: true},
	AnswerForeign:  {status: http.StatusBadGateway, mayHaveRun: true},
	AnswerLarge:    {status: http.StatusBadGateway, mayHaveRun: true},
	AnswerGone:     {status: http.StatusGone, mayHaveRun: true},
	CallerLeft:     {status: http.StatusBadGateway, mayHaveRun: true},
	Earlier:        {status: http.StatusServiceUnavailable, retryable: true, mayHaveRun: true},
}

func ruleOf(code string) rule {
	if r, ok := rules[code]; ok {
		return r
	}
	return rule{status: http.StatusServiceUnavailable, retryable: true}
}

// New returns an error response. If a retry may succeed and retryAfter is zero, it gets DefaultRetry;
// if no retry can succeed, it gets no retry time.
func New(code, text string, retryAfter time.Duration) *Error {
	switch again := ruleOf(code).retryable; {
	case !again:
		retryAfter = 0
	case retryAfter <= 0:
		retryAfter = DefaultRetry
	}
	return &Error{Code: code, Text: text, RetryAfter: retryAfter}
}

// Error returns the code, followed by the text.
func (e *Error) Error() string {
	if e.Text == "" {
		return e.Code
	}
	return e.Code + ": " + e.Text
}

// Status returns the HTTP status.
func (e *Error) Status() int { return ruleOf(e.Code).status }

// MayHaveRun reports whether the request may have run. Its outcome is then unknown instead of
// not-run.
func (e *Error) MayHaveRun() bool { return ruleOf(e.Code).mayHaveRun }
