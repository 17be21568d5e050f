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

// Codes of refusals that mean that nothing ran.
const (
	BadRequest   = "bad-request"       // The request can't be read.
	BadKey       = "unauthorized"      // No client account has that key.
	Forbidden    = "tier-forbidden"    // The account may not use that tier.
	NotFound     = "not-found"         // No pool serves that model, service or path.
	BodyLate     = "body-late"         // The body did not come in time.
	TooLarge     = "body-too-large"    // The body is over the account's limit.
	HeaderLarge  = "header-too-large"  // The header is over the limit of routes.
	AccountLimit = "account-limit"     // The account has too much open already.
	Overloaded   = "overloaded"        // The pool is full.
	Deadline     = "deadline"          // It can't be done before the deadline.
	NoUpstream   = "no-upstream"       // No upstream of the pool is live.
	NoControl    = "no-control"        // No quorum to claim the key; nothing ran.
	NotReady     = "not-ready"         // The entry has no configuration yet.
	ShuttingDown = "shutting-down"     // The entry is stopping.
	KeyMismatch  = "key-mismatch"      // The key was used with another request.
	Unreachable  = "unreachable"       // No upstream could be connected to.
	Crashes      = "crashes-upstreams" // Upstreams crashed under this request before.
	CallerGone   = "caller-gone"       // Every caller went away before it was sent.
	Internal     = "internal"          // A fault of azurelane.
)

// Codes of final answers to a request that ran or may have run.
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

// DefaultRetry is the Retry-After of refusals whose cause names no time of its
// own.
const DefaultRetry = time.Second

type rule struct {
	status int
	again  bool // Sending again may help.
	ran    bool // It may have run.
}

// rules has a line for each code that differs from all others, schedulers' own
// included: those come with status 503, never ran and may be sent again.
var rules = map[string]rule{
	BadRequest:   {status: http.StatusBadRequest},
	BadKey:       {status: http.StatusUnauthorized},
	Forbidden:    {status: http.StatusForbidden},
	NotFound:     {status: http.StatusNotFound},
	BodyLate:     {status: http.StatusRequestTimeout, again: true},
	TooLarge:     {status: http.StatusRequestEntityTooLarge},
	HeaderLarge:  {status: http.StatusRequestHeaderFieldsTooLarge},
	AccountLimit: {status: http.StatusTooManyRequests, again: true},
	KeyMismatch:  {status: http.StatusUnprocessableEntity},
	Crashes:      {status: http.StatusServiceUnavailable},
	Internal:     {status: http.StatusInternalServerError, again: true},

	UpstreamLost:   {status: http.StatusBadGateway, ran: true},
	UpstreamMute:   {status: http.StatusGatewayTimeout, ran: true},
	RunLimit:       {status: http.StatusGatewayTimeout, ran: true},
	DeadlinePassed: {status: http.StatusGatewayTimeout, ran: true},
	StillRunning:   {status: http.StatusGatewayTimeout, again: true, ran: true},
	HolderLost:     {status: http.StatusBadGateway, ran: true},
	AnswerForeign:  {status: http.StatusBadGateway, ran: true},
	AnswerLarge:    {status: http.StatusBadGateway, ran: true},
	AnswerGone:     {status: http.StatusGone, ran: true},
	CallerLeft:     {status: http.StatusBadGateway, ran: true},
	Earlier:        {status: http.StatusServiceUnavailable, again: true, ran: true},
}

func ruleOf(code string) rule {
	if r, ok := rules[code]; ok {
		return r
	}
	return rule{status: http.StatusServiceUnavailable, again: true}
}

// New returns a refusal. A code that may be sent again gets DefaultRetry when
// no time is named; the others get none.
func New(code, text string, retryAfter time.Duration) *Error {
	switch again := ruleOf(code).again; {
	case !again:
		retryAfter = 0
	case retryAfter <= 0:
		retryAfter = DefaultRetry
	}
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
func (e *Error) Status() int { return ruleOf(e.Code).status }

// MayHaveRun reports whether the request may have run: only then is the
// outcome unknown instead of not-run.
func (e *Error) MayHaveRun() bool { return ruleOf(e.Code).ran }
