package gate

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/acct"
	"azurelane/core/digest"
	"azurelane/core/meta"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/tally"
	"azurelane/core/tried"
	"azurelane/core/wire"
	"azurelane/io/httpd"
	"azurelane/io/watch"
)

type (
	// request is one attempt of a caller, with all sends to upstreams that it takes.
	request struct {
		gate          *Gate
		w             http.ResponseWriter
		r             *http.Request
		start         time.Time
		view          *watch.View
		route         *route.Route
		pool          string
		account       string
		accountConfig acct.Account
		meta          meta.Meta
		body          *body         // Nil if it is empty, or no longer needed.
		sinceFirstTry time.Duration // Estimated time from the caller's first attempt to this request.

		tried           tried.Tried // Upstreams that it was sent to.
		charged         bool        // The scheduler has charged it, although this entry places it.
		paid            bool        // Its account has been charged, although it was not sent.
		headerSent      bool        // The header of the response has been written.
		resets          bool        // The end of this process resets the caller's connection.
		passedOn        bool        // So has a part of an answer that is no stream.
		failures        []*held     // Upstreams' error responses that are in memory.
		lastEventID     string      // ID of the last event written to the caller that has one.
		noSeam          bool        // The last event written to the caller has no ID, so nothing can go on after it.
		version         string      // Of the upstream that sent the last event.
		origin          streamOrigin
		events          int64
		firstEventAfter time.Duration // From the arrival of the request until its first event was written.
		gap             time.Duration // Longest pause between two events, over all sends.
		lastEventAt     time.Time     // When the last event was written.
		heardAt         time.Time     // When anything last came from an upstream.
		arrivalVersion  uint64        // Of the configuration when the request arrived.
		cachedDigest    *digest.Digest
		cachedKeys      []digest.Digest // Of the parts of the prompt; nil until they are needed.
		tallied         *tally.Send     // The send in progress; nil if its version does not matter.
		sentBy          *placement      // Of the last send.
		moves           int             // How often its run was stopped to be continued elsewhere.
		moving          bool            // It is a copy that asks for a slot for a run that another upstream began.
		asks            *wire.Move      // What the copy tells the scheduler of a run whose upstream is too slow; nil otherwise.
		banTrial        bool            // The request is banned and may run once as a trial.
	}

	// result describes how one send ended.
	result struct {
		outcome    outcome
		status     int
		notRun     bool   // The response says that the request did not run.
		instance   string // That the response names.
		framing    framing
		failure    *bufferedResponse // Upstream's error response, passed on if no other send does better.
		firstAfter time.Duration     // From the send to the first event, or to the complete response.
		gap        time.Duration     // Longest pause between two events.
		total      time.Duration
		events     int64
		err        error
		next       *flight // Takes the place of the send; nil if there is none.
		kept       bool    // The next send has the slot.
	}

	outcome int
)

// unresponsive reports whether there was no sign of life from the upstream or the network path to
// it: no connection was established, or nothing was received for as long as the send waited.
func (r *result) unresponsive() bool {
	return r.outcome == outcomeNotSent || (r.status == 0 && (errors.Is(r.err, errSilent) || errors.Is(r.err, errDeadline)))
}

// Outcomes of a send.
const (
	outcomeComplete    outcome = iota // The caller has the complete response.
	outcomeNotSent                    // No byte was sent.
	outcomeNotRun                     // The upstream did not run the request.
	outcomeMisdirected                // Another upstream now has the address; nothing ran.
	outcomeFailed                     // The upstream ran the request and returned an error.
	outcomeInterrupted                // The request may have run, and there is no complete response.
	outcomeCallerLeft                 // The caller went away.
	outcomeUnused                     // The request was not sent after all.
	outcomeDropped                    // The request has gone on at another upstream.
	outcomeMoved                      // The run was stopped and continued.
)

// String returns the name of the outcome in logs.
func (e outcome) String() string {
	return [...]string{"whole", "unsent", "busy", "other-upstream", "failed", "broken", "caller-left", "unused", "dropped", "moved"}[e]
}

var (
	errDeadline = errors.New("gate: the time is over")
	errSilent   = errors.New("gate: upstream silent")
	errNoStream = errors.New("gate: no stream in the response to a stream that goes on")
	// errRanAnyway marks a response whose status would promise the caller that nothing ran.
	errRanAnyway = errors.New("gate: upstream may have run the request and answered")
)

const (
	// maxSends bounds the sends of one request, including those that reached no upstream.
	maxSends = 6
	// answerMargin is how long before the caller's deadline the final response is due: it takes
	// some milliseconds to reach the caller.
	answerMargin = 15 * time.Millisecond
	// minSendTime is the remaining time below which a send is pointless, and so is less than
	// 1/minSendDivisor of the objective: an upstream could not complete the request in time.
	minSendTime    = 5 * time.Millisecond
	minSendDivisor = 10
	maxErrText     = 512 // Bytes.
)

// serve sends the request until one send yields the final response.
func (q *request) serve() {
	ctx, cancel := context.WithTimeoutCause(q.r.Context(), q.timeLimit(), errDeadline)
	defer cancel()
	defer q.freeFailures()
	q.gate.countFirstSend(q)
	var f *flight // The next send.
	for {
		if f == nil {
			p, err := q.findUpstream(ctx)
			if err != nil {
				q.failPlacement(ctx, err)
				return
			}
			if q.tooLateToSend() {
				p.release(result{outcome: outcomeUnused})
				q.failPlacement(ctx, refuse.New(refuse.Deadline, "too little time is left for a run", defaultRetryAfter))
				return
			}
			f = q.newFlight(ctx, p)
		}
		q.tallied, q.sentBy = f.tallied, f.placement
		res := q.send(ctx, f)
		q.endSend(f, res)
		if !q.prepareRetry(ctx, f.placement, res) {
			if res.next != nil {
				res.next.drop()
			}
			q.releaseBody()
			q.finish(ctx, res)
			return
		}
		f = res.next
		if f != nil {
			q.view, q.origin, q.charged = f.request.view, f.request.origin, f.request.charged
		}
	}
}

// findUpstream finds an upstream for the next send. Upstreams that were given up for their silence are a
// last resort.
func (q *request) findUpstream(ctx context.Context) (*placement, error) {
	ctx, cancel := q.whilePlaced(ctx)
	defer cancel()
	p, err := q.placeUnlessBanned(ctx)
	if err != nil && ctx.Err() == nil && q.tried.GoBack() {
		p, err = q.placeUnlessBanned(ctx)
	}
	if err != nil && errors.Is(context.Cause(ctx), errDraining) {
		return nil, errDraining
	}
	return p, err
}

// callerGone reports whether the caller has left. The request's context ends as well when the server stops.
func (q *request) callerGone() bool {
	return q.r.Context().Err() != nil && !q.serverStops()
}

// serverStops reports whether the request has to end because the server stops.
func (q *request) serverStops() bool {
	return errors.Is(context.Cause(q.r.Context()), httpd.ErrStopping)
}

// freeFailures gives back the memory of upstreams' error responses.
func (q *request) freeFailures() {
	for _, a := range q.failures {
		a.free()
	}
}

// endSend records the result of a send.
func (q *request) endSend(f *flight, res result) {
	if res.failure != nil {
		q.failures = append(q.failures, res.failure.body)
	}
	q.gate.versions.end(f.tallied, res)
	if !res.kept {
		f.placement.release(res)
	}
	q.checkCrash(f.placement, res)
}

// placeUnlessBanned finds an upstream for a request that is not banned. It checks for a ban again
// after the wait for the upstream.
func (q *request) placeUnlessBanned(ctx context.Context) (*placement, error) {
	if q.banTrial {
		return q.place(ctx) // No upstream has run the trial so far.
	}
	if refusal := q.banRefusal(ctx); refusal != nil {
		return nil, refusal
	}
	p, err := q.placeWhileAllowed(ctx)
	if q.banTrial || (err != nil && !errors.Is(err, errPartBanned)) {
		return p, err
	}
	if refusal := q.banRefusal(ctx); refusal != nil {
		if p != nil {
			p.release(result{outcome: outcomeUnused})
		}
		return nil, refusal
	}
	if err == nil {
		return p, nil
	}
	if q.banTrial {
		return q.place(ctx)
	}
	return q.placeUnlessBanned(ctx) // The ban was lifted meanwhile.
}

// timeLimit returns the time from the request's arrival until its final response is due.
func (q *request) timeLimit() time.Duration {
	d := q.route.Timeout
	if q.meta.Deadline > 0 && q.meta.Deadline < d {
		d = q.meta.Deadline
	}
	return max(d-answerMargin, minSendTime)
}

// remaining returns the time left until the final response is due.
func (q *request) remaining() time.Duration { return q.timeLimit() - time.Since(q.start) }

// tooLateToSend reports whether an upstream could hardly complete the request in the time left.
func (q *request) tooLateToSend() bool {
	return q.remaining() < max(minSendTime, q.route.Objective/minSendDivisor)
}

// expired reports whether the request's time is over. It also checks the clock, because the timer
// for a silent upstream may fire at the same moment as the deadline and end the send first.
func (q *request) expired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDeadline) || q.remaining() < minSendTime
}

// prepareRetry records a send that has ended and reports whether the request may be sent again, or was
// sent again already. The retry counts against the budget unless the ended send sent nothing.
func (q *request) prepareRetry(ctx context.Context, p *placement, res result) bool {
	if res.outcome == outcomeComplete || res.outcome == outcomeCallerLeft {
		return false
	}
	if res.outcome == outcomeMoved {
		q.recordMove(p, res)
		return true
	}
	ran := res.outcome == outcomeFailed || res.outcome == outcomeInterrupted
	q.banTrial = q.banTrial && !ran
	if id := p.upstream.GetId(); errors.Is(res.err, errSilent) {
		q.tried.GiveUp(id)
	} else {
		q.tried.Fail(id, ran)
	}
	switch {
	case res.next != nil:
		return true
	case q.passedOn, q.noSeam,
		ran && (!q.route.Repeatable() || !q.tried.MayRun(q.route.MaxUpstreams())),
		q.tried.Sends() >= maxSends, ctx.Err() != nil, q.tooLateToSend():
		return false
	case res.outcome == outcomeNotSent, res.outcome == outcomeUnused:
		return true // No upstream received the request, so a retry adds no load.
	}
	return q.gate.takeRetry(q.pool)
}

// excluded returns the upstreams that may not get the request.
func (q *request) excluded() []string {
	if q.tried.Sends() == 0 {
		return nil
	}
	var all []string
	for _, u := range q.view.Upstreams[q.pool] {
		all = append(all, u.GetId())
	}
	most := q.route.MaxUpstreams()
	if q.moving {
		most = math.MaxInt // It is the same run at another upstream.
	}
	return q.tried.Excludes(most, all)
}

// failPlacement ends a request for which no upstream was found.
func (q *request) failPlacement(ctx context.Context, err error) {
	var refusal *refuse.Error
	switch {
	case q.callerGone():
		q.abort(callerLeft, err)
	case q.headerSent:
		q.abort(noUpstreamToResume, err)
	case q.tried.Ran() > 0:
		q.refuse(refuse.New(refuse.UpstreamLost, "no upstream for another send", 0))
	case q.serverStops():
		q.refuse(errDraining)
	case errors.As(err, &refusal) && refusal.Code == refuse.NoUpstream && q.tried.Sends() > 0:
		q.refuse(refuse.New(refuse.Unreachable, "each upstream was tried", refusal.RetryAfter))
	case errors.As(err, &refusal):
		q.refuse(refusal)
	case q.expired(ctx):
		q.refuse(refuse.New(refuse.Deadline, "", defaultRetryAfter))
	default:
		q.refuse(refuse.New(refuse.NoUpstream, err.Error(), defaultRetryAfter))
	}
}

// finish gives the caller the final response after the last send.
func (q *request) finish(ctx context.Context, res result) {
	switch {
	case res.outcome == outcomeComplete:
		q.endWell()
		if promisesNoRun(res.status) {
			q.gate.Stats.Count("answers-not-run", 1)
			q.logResult("Upstream's refusal passed on.", res)
		}
		q.recordCompletion(res)
	case q.serverStops() && q.headerSent:
		q.abort(streamBroken, res.err)
	case q.serverStops() && res.outcome == outcomeCallerLeft:
		q.refuse(refuse.New(refuse.UpstreamLost, "the entry stops", 0)) // It may have run.
	case res.outcome == outcomeCallerLeft, q.callerGone():
		q.abort(callerLeft, res.err)
	case q.headerSent:
		q.abort(streamBroken, res.err)
	case res.failure != nil:
		q.logResult("Upstream's failure passed on.", res)
		if err := res.failure.write(q); err != nil {
			q.abort(callerLeft, err)
		}
		q.gate.Stats.Count("answers-failed", 1)
	case q.tried.Ran() > 0 && q.expired(ctx):
		q.refuse(refuse.New(refuse.DeadlinePassed, "", 0))
	case q.tried.Ran() > 0:
		q.refuse(refuse.New(refuse.UpstreamLost, "no whole answer came", 0)) // The error may quote what came.
	case q.serverStops():
		q.refuse(errDraining)
	default:
		q.refuse(refuse.New(refuse.Unreachable, "no upstream took the request", defaultRetryAfter))
	}
}

// refuse responds with an error of azurelane itself.
func (q *request) refuse(e *refuse.Error) {
	q.gate.Stats.Count("refused-"+e.Code, 1)
	q.gate.recordRefusedUnits(q, e)
	q.gate.Log.Info("Request refused.", "request", q.meta.ID, "code", e.Code, "why", e.Text, "status", e.Status(),
		"retry-after", e.RetryAfter.String(), "route", q.routeName(), "account", q.account, "pool", q.pool,
		"version", q.view.Version, "current-for", q.view.CurrentFor(time.Now()).String(), "news-term", q.view.Term, "sends", q.tried.Sends(), "ran", q.tried.Ran(), "took", time.Since(q.start).String())
	if e.RetryAfter > 0 {
		q.gate.Dialect.Refuse(q.w.Header(), e.RetryAfter)
	}
	http.Error(q.w, "azurelane: "+e.Error(), e.Status())
}

// silentFor returns for how long nothing has come from the request's upstream; zero if nothing ever has.
func (q *request) silentFor() time.Duration {
	if q.heardAt.IsZero() {
		return 0
	}
	return time.Since(q.heardAt)
}

// abortReason says why a request ends without an answer or a refusal. It is also a part of a counter's name.
type abortReason string

// Reasons of aborts.
const (
	callerLeft         abortReason = "caller-left"
	noUpstreamToResume abortReason = "no-upstream-to-resume"
	streamBroken       abortReason = "stream-broken"
)

// text returns the reason in logs.
func (r abortReason) text() string { return strings.ReplaceAll(string(r), "-", " ") }

// abort breaks off the response, so that the caller sees that it is incomplete.
func (q *request) abort(reason abortReason, err error) {
	q.gate.Stats.Count("aborted", 1)
	q.gate.Stats.Count("aborted-"+string(reason), 1)
	q.gate.Log.Info("Request ends without a whole answer.", "request", q.meta.ID, "why", reason.text(), "err", errText(err),
		"silent-for", q.silentFor().String(), "left", q.remaining().String(), "configuration-at-arrival", q.arrivalVersion, "configuration", q.view.Version,
		"route", q.routeName(), "account", q.account, "pool", q.pool, "sends", q.tried.Sends(), "ran", q.tried.Ran(),
		"prompt", q.meta.Prompt, "answer", q.meta.Answer, "expect", q.meta.Expect, "events", q.events, "version", q.version,
		"took", time.Since(q.start).String())
	if !q.r.ProtoAtLeast(1, 1) {
		q.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// recordCompletion counts and logs a complete response. A late response is logged at info level,
// any other at debug level. The line shows the cause of a delay: the wait for an upstream, the
// upstream's first event, or a pause between two events.
func (q *request) recordCompletion(res result) {
	took := time.Since(q.start)
	first := took
	if q.headerSent {
		first = q.firstEventAfter
	}
	now := time.Now()
	q.gate.markAnswered(now, q.digest())
	q.markBegun(now.Add(-res.total))
	q.gate.Stats.Count("answers-whole", 1)
	q.gate.Stats.Time("first-"+q.routeName(), first)
	q.gate.Stats.Time("total-"+q.routeName(), took)
	lateFirst := q.route.Objective > 0 && first > q.route.Objective
	lateGap := q.route.Gap > 0 && q.gap > q.route.Gap
	log := q.gate.Log.V(1)
	if lateFirst || lateGap {
		q.gate.Stats.Count("answers-late", 1)
		log = q.gate.Log
	}
	log.Info("Response complete.", "request", q.meta.ID, "route", q.routeName(), "upstream", q.sentBy.upstream.GetId(), "framing", res.framing, "sends", q.tried.Sends(), "late-first", lateFirst,
		"late-gap", lateGap, "first", first.String(), "upstream-first", res.firstAfter.String(), "gap", q.gap.String(),
		"took", took.String(), "prompt", q.meta.Prompt, "answer", q.meta.Answer, "expect", q.meta.Expect, "events", q.events)
}

// logSend logs and counts a send that brought no complete response.
func (q *request) logSend(f *flight, res result) {
	q.gate.Stats.Count("sends-"+res.outcome.String(), 1)
	u := f.placement.upstream
	q.gate.Log.Info("Send ended.", "request", q.meta.ID, "upstream", u.GetId(), "address", u.GetAddress(), "version", u.GetVersion(),
		"digest", q.digest().String(), "ending", res.outcome.String(), "status", res.status, "not-run", res.notRun, "answered-by", res.instance,
		"framing", res.framing, "err", errText(res.err), "events", res.events, "took", res.total.String())
}

func (q *request) logResult(msg string, res result) {
	q.gate.Log.Info(msg, "request", q.meta.ID, "route", q.routeName(), "account", q.account, "pool", q.pool,
		"status", res.status, "err", errText(res.err), "sends", q.tried.Sends(), "ran", q.tried.Ran(), "took", time.Since(q.start).String())
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// ticket describes the request to the scheduler.
func (q *request) ticket() *wire.Ticket {
	account := 0
	if q.accountConfig.Priority != nil {
		account = *q.accountConfig.Priority
	}
	t := &wire.Ticket{
		Id: q.gate.lastTicket.Add(1), Entry: q.gate.Node, Incarnation: q.gate.Incarnation, Account: q.account, Pool: q.pool, DataCentre: q.gate.DataCentre,
		Model: "", DeadlineUs: q.remaining().Microseconds(), PromptTokens: q.meta.Prompt, AnswerTokens: q.meta.Tokens(),
		Repeatable: q.route.Repeatable(), Avoid: q.avoided(), Route: q.route.Name,
		Priority: wirePriority(q.route.Priority), AccountPriority: wirePriority(account), Returned: q.tried.Sends() > 0, Request: q.meta.ID, Move: q.asks,
	}
	for _, p := range q.meta.Parts {
		t.Parts = append(t.Parts, &wire.PromptPart{Hash: p.Hash, Tokens: p.Tokens})
	}
	if q.tried.Sends() == 0 && !q.paid {
		t.Units = q.units()
	}
	t.GapUs = q.route.Gap.Microseconds()
	if q.route.Objective > 0 && !q.headerSent {
		t.ObjectiveUs = (q.route.Objective - q.sinceFirstTry - time.Since(q.start)).Microseconds()
	}
	return t
}

// wirePriority limits a priority to the range that tickets use, 0 to 100.
func wirePriority(priority int) int32 {
	const maxPriority = 100
	return int32(min(max(priority, 0), maxPriority)) //nolint:gosec // Bounded.
}

// digest identifies the request by its content.
func (q *request) digest() digest.Digest {
	if q.cachedDigest == nil {
		d := digest.Of(q.account, q.r.Host, q.r.RequestURI, q.body.parts()...)
		q.cachedDigest = &d
	}
	return *q.cachedDigest
}

// units returns the units that the request is charged to its account; see the package comment.
func (q *request) units() int64 { return q.accountConfig.Units(q.meta.Prompt + q.meta.Answer) }

// errText returns the text of an error for the log. It is cut, as the error may quote what an upstream sent.
func errText(err error) string {
	if err == nil {
		return ""
	}
	s := err.Error()
	if len(s) > maxErrText {
		s = strings.ToValidUTF8(s[:maxErrText], "") + "..."
	}
	return s
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }
