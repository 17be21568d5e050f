package gate

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/acct"
	"azurelane/core/digest"
	"azurelane/core/meta"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/watch"
)

type (
	// request is one attempt of a caller.
	request struct {
		gate    *Gate
		w       http.ResponseWriter
		r       *http.Request
		start   time.Time
		view    *watch.View
		route   *route.Route
		pool    string
		account string
		limits  acct.Account
		meta    meta.Meta
		body    []byte
		before  time.Duration // How long ago the caller first tried.

		avoid  []string // Upstreams that failed it.
		sends  int
		ran    int    // Upstreams that may have run it.
		begun  bool   // The answer's header has left.
		last   string // Last event that has left.
		events int64
		began  time.Duration // From the arrival to the first event.
		gap    time.Duration // Longest pause between two events, over all sends.
		left   time.Time     // When the last event left.
		hash   *digest.Digest
		trying bool // It is banned, and may be sent once.
	}

	// result is how one send ended.
	result struct {
		end    ending
		status int
		keep   *kept         // An upstream's failure to pass on if no other send does better.
		first  time.Duration // From the send to the first event, or to the whole answer.
		gap    time.Duration // Longest pause between two events.
		total  time.Duration
		events int64
		err    error
	}

	ending int
)

// missed reports whether the upstream, or the way to it, gave no sign of life: no
// connection came about, or nothing was heard for as long as the send waited.
func (r *result) missed() bool {
	return r.end == unsent || (r.status == 0 && (errors.Is(r.err, errQuiet) || errors.Is(r.err, errDeadline)))
}

// How a send can end.
const (
	whole  ending = iota // The caller has the whole answer.
	unsent               // No byte has left.
	busy                 // The upstream did not run it.
	other                // Another upstream has the address; nothing ran.
	failed               // The upstream ran it and answered with a failure.
	broken               // It may have run, and there is no whole answer.
	left                 // The caller went away.
	unused               // It was not sent after all.
)

// String names an ending in logs.
func (e ending) String() string {
	return [...]string{"whole", "unsent", "busy", "other-upstream", "failed", "broken", "caller-left", "unused"}[e]
}

var (
	errDeadline = errors.New("gate: the time is over")
	errQuiet    = errors.New("gate: upstream silent")
)

const (
	// maxSends bounds the sends of one request, those that reached nobody among
	// them.
	maxSends = 6
	// answerMargin is how long before the caller's deadline it gets its final
	// answer: the way to it takes some milliseconds.
	answerMargin = 15 * time.Millisecond
	// leastTime is the time below which a send is no use.
	leastTime = 5 * time.Millisecond
)

// serve sends the request until one send ends it.
func (q *request) serve() {
	ctx, cancel := context.WithTimeoutCause(q.r.Context(), q.limit(), errDeadline)
	defer cancel()
	q.gate.first(q)
	for {
		p, err := q.placed(ctx)
		if err != nil {
			q.unplaced(ctx, err)
			return
		}
		res := q.send(ctx, p)
		p.done(res)
		q.suspect(p, res)
		if !q.again(ctx, p, res) {
			q.end(ctx, res)
			return
		}
	}
}

// placed finds an upstream for a request that is not banned, also not since it began to
// wait.
func (q *request) placed(ctx context.Context) (*place, error) {
	q.trying = false
	if no := q.refusedAs(ctx); no != nil {
		return nil, no
	}
	p, err := q.place(ctx)
	if err != nil || q.trying {
		return p, err
	}
	if no := q.refusedAs(ctx); no != nil {
		p.done(result{end: unused})
		return nil, no
	}
	return p, nil
}

// limit is the time until the final answer.
func (q *request) limit() time.Duration {
	d := q.route.Timeout
	if q.meta.Deadline > 0 && q.meta.Deadline < d {
		d = q.meta.Deadline
	}
	return max(d-answerMargin, leastTime)
}

// remains is the time until the final answer.
func (q *request) remains() time.Duration { return q.limit() - time.Since(q.start) }

// over reports whether the request's time is over. The wait for a silent
// upstream may end in the same moment and be the first to end the send.
func (q *request) over(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errDeadline) || q.remains() < leastTime
}

// again reports whether the request may be sent once more after a send that
// ended so.
func (q *request) again(ctx context.Context, p *place, res result) bool {
	switch res.end {
	case whole, left:
		return false
	case failed, broken:
		q.ran++
		if !q.route.Repeatable() || q.ran >= q.route.Most() {
			return false
		}
	case unsent, busy, other, unused:
	}
	q.avoid = append(q.avoid, p.up.GetId())
	q.sends++
	if q.sends >= maxSends || ctx.Err() != nil || q.remains() < leastTime {
		return false
	}
	if res.end == unsent {
		return true // It is no second arrival anywhere.
	}
	return q.gate.spend(q.pool)
}

// unplaced answers a request for which there is no place.
func (q *request) unplaced(ctx context.Context, err error) {
	var no *refuse.Error
	switch {
	case q.r.Context().Err() != nil:
		q.abort("caller left", err)
	case q.begun:
		q.abort("no upstream to go on at", err)
	case q.ran > 0:
		q.refuse(refuse.New(refuse.UpstreamLost, "no upstream for another send", 0))
	case errors.As(err, &no) && no.Code == refuse.NoUpstream && q.sends > 0:
		q.refuse(refuse.New(refuse.Unreachable, "each upstream was tried", no.RetryAfter))
	case errors.As(err, &no):
		q.refuse(no)
	case q.over(ctx):
		q.refuse(refuse.New(refuse.Deadline, "", notReadyRetry))
	default:
		q.refuse(refuse.New(refuse.NoUpstream, err.Error(), notReadyRetry))
	}
}

// end gives the final answer after the last send.
func (q *request) end(ctx context.Context, res result) {
	switch {
	case res.end == whole:
		q.served(res)
	case res.end == left, q.r.Context().Err() != nil:
		q.abort("caller left", res.err)
	case q.begun:
		q.abort("stream broken", res.err)
	case res.keep != nil:
		q.gate.Stats.Count("answers-failed", 1)
		q.note("Upstream's failure passed on.", res)
		res.keep.write(q.w)
	case q.ran > 0 && q.over(ctx):
		q.refuse(refuse.New(refuse.DeadlinePassed, "", 0))
	case q.ran > 0:
		q.refuse(refuse.New(refuse.UpstreamLost, errText(res.err), 0))
	default:
		q.refuse(refuse.New(refuse.Unreachable, errText(res.err), notReadyRetry))
	}
}

// refuse gives an answer of this system's own.
func (q *request) refuse(e *refuse.Error) {
	q.gate.Stats.Count("refused-"+e.Code, 1)
	q.gate.Log.Info("Request refused.", "request", q.meta.ID, "code", e.Code, "why", e.Text, "status", e.Status(),
		"retry-after", e.RetryAfter.String(), "route", q.name(), "account", q.account, "pool", q.pool,
		"version", q.view.Version, "sends", q.sends, "ran", q.ran, "took", time.Since(q.start).String())
	if e.RetryAfter > 0 {
		q.gate.Dialect.Refuse(q.w.Header(), e.RetryAfter)
	}
	http.Error(q.w, "azurelane: "+e.Error(), e.Status())
}

// abort ends the answer so that the caller sees that it is not whole.
func (q *request) abort(why string, err error) {
	q.gate.Stats.Count("aborted", 1)
	q.gate.Log.Info("Request ends without a whole answer.", "request", q.meta.ID, "why", why, "err", errText(err),
		"route", q.name(), "account", q.account, "pool", q.pool, "sends", q.sends, "ran", q.ran,
		"prompt", q.meta.Prompt, "answer", q.meta.Answer, "expect", q.meta.Expect, "events", q.events,
		"took", time.Since(q.start).String())
	panic(http.ErrAbortHandler)
}

// served counts a whole answer. A late one gets a line with what made it late:
// the wait for a place, the upstream's first event, or a pause between two.
func (q *request) served(res result) {
	took := time.Since(q.start)
	first := took
	if q.begun {
		first = q.began
	}
	q.gate.answered(time.Now(), q.digest())
	q.gate.Stats.Count("answers-whole", 1)
	q.gate.Stats.Time("first-"+q.name(), first)
	q.gate.Stats.Time("total-"+q.name(), took)
	lateFirst := q.route.Objective > 0 && first > q.route.Objective
	lateGap := q.route.Gap > 0 && q.gap > q.route.Gap
	log := q.gate.Log.V(1)
	if lateFirst || lateGap {
		q.gate.Stats.Count("answers-late", 1)
		log = q.gate.Log
	}
	log.Info("Answer whole.", "request", q.meta.ID, "route", q.name(), "sends", q.sends, "late-first", lateFirst,
		"late-gap", lateGap, "first", first.String(), "upstream-first", res.first.String(), "gap", q.gap.String(),
		"took", took.String(), "prompt", q.meta.Prompt, "answer", q.meta.Answer, "expect", q.meta.Expect, "events", q.events)
}

func (q *request) note(what string, res result) {
	q.gate.Log.Info(what, "request", q.meta.ID, "route", q.name(), "account", q.account, "pool", q.pool,
		"status", res.status, "err", errText(res.err), "sends", q.sends, "ran", q.ran, "took", time.Since(q.start).String())
}

func (q *request) name() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// ticket describes the request to the scheduler.
func (q *request) ticket() *wire.Ticket {
	account := 0
	if q.limits.Priority != nil {
		account = *q.limits.Priority
	}
	t := &wire.Ticket{
		Id: q.gate.last.Add(1), Entry: q.gate.Node, Incarnation: q.gate.Incarnation, Account: q.account, Pool: q.pool,
		Model: "", DeadlineUs: q.remains().Microseconds(), PromptTokens: q.meta.Prompt, AnswerTokens: q.meta.Tokens(),
		Repeatable: q.route.Repeatable(), Avoid: q.avoid, Route: q.route.Name,
		Priority: rank(q.route.Priority), AccountPriority: rank(account), Returned: q.sends > 0, Request: q.meta.ID,
	}
	for _, p := range q.meta.Parts {
		t.Parts = append(t.Parts, &wire.PromptPart{Hash: p.Hash, Tokens: p.Tokens})
	}
	if q.sends == 0 {
		t.Units = q.units()
	}
	t.GapUs = q.route.Gap.Microseconds()
	if q.route.Objective > 0 && !q.begun {
		t.ObjectiveUs = (q.route.Objective - q.before - time.Since(q.start)).Microseconds()
	}
	return t
}

// rank is a priority as tickets tell it.
func rank(priority int) int32 {
	const last = 100
	return int32(min(max(priority, 0), last)) //nolint:gosec // Bounded.
}

// digest identifies the request's content.
func (q *request) digest() digest.Digest {
	if q.hash == nil {
		d := digest.Of(q.account, q.r.Host, q.r.RequestURI, q.body)
		q.hash = &d
	}
	return *q.hash
}

// units is what the request counts against its account's rate.
func (q *request) units() int64 { return q.limits.Units(q.meta.Prompt + q.meta.Answer) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

// readAll reads a body whose length is known, or -1.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size == 0 {
		return nil, nil
	}
	var buf bytes.Buffer
	if size > 0 {
		buf.Grow(int(size) + bytes.MinRead)
	}
	if _, err := buf.ReadFrom(r); err != nil {
		return nil, fmt.Errorf("gate: read: %w", err)
	}
	return buf.Bytes(), nil
}
