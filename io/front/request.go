package front

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/digest"
	"azurelane/core/index"
	"azurelane/core/life"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	tracing "azurelane/io/trace"
)

var errStopping = refuse.New(refuse.ShuttingDown, "ask another entry", time.Second)

// Why a request's context ended.
var (
	errRunLimit = errors.New("front: run limit")
	errDeadline = errors.New("front: deadline")
	errCaller   = errors.New("front: caller gone")
	errShed     = errors.New("front: shed for more urgent work of the account")
)

// maxPlaces bounds how often one request is placed, when grants run out or
// upstreams can't be connected to.
const maxPlaces = 3

type (
	// request is one request on its way.
	request struct {
		front *Front
		reply reply
		r     *http.Request
		start time.Time
		id    uint64
		state life.State

		cfg      *conf.Config
		index    *index.Index
		account  string
		limits   acct.Account
		holds    atomic.Int32 // Who still needs what is counted against the account.
		room     int64        // Bytes counted against the account.
		key      string
		deadline time.Time // Zero for none.
		path     string
		header   http.Header // For the upstream.
		stream   bool
		body     []byte
		ticket   wire.Ticket
		asked    bool // A claim was proposed, so it may stand.
	}

	// step is what follows a grant.
	step int
)

const (
	done  step = iota // The answer is given, or refused.
	again             // Nothing was sent; it may be placed again.
	join              // Another submission holds the key.
)

// name is the request's id towards callers, upstreams and operators.
func (q *request) name() string { return q.front.Incarnation + "-" + strconv.FormatUint(q.id, 10) }

func (q *request) serve() {
	ctx := otel.GetTextMapPropagator().Extract(q.r.Context(), propagation.HeaderCarrier(q.r.Header))
	ctx, span := tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	err := q.read()
	defer q.letGo()
	if err != nil {
		q.reply.end(q.close(q.earlier(ctx, err, nil)))
		return
	}
	span.SetAttributes(attribute.String("account", q.account), attribute.String("pool", q.ticket.GetPool()))
	if q.key != "" {
		q.share(ctx)
		return
	}
	ctx, cancel := q.untilDeadline(ctx)
	defer cancel()
	outcome, refusal := q.close(q.place(ctx, ctx, direct{&q.reply, ctx}))
	span.SetAttributes(attribute.String("outcome", outcome))
	q.reply.end(outcome, refusal)
}

// untilDeadline ends a context at the request's deadline, if it has one.
func (q *request) untilDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadlineCause(ctx, q.deadline, errDeadline)
}

// letGo takes back what was counted against the account when no one needs the
// request any more: its caller and, with a key, its run.
func (q *request) letGo() {
	if q.account != "" && q.holds.Add(-1) == 0 {
		q.front.give(q)
	}
}

// close brings the life cycle to its end and returns the outcome. A request
// counts as not run only in a state in which no byte can have left.
func (q *request) close(err error) (string, *refuse.Error) {
	if err == nil {
		return q.state.Outcome(), nil
	}
	var re *refuse.Error
	if !errors.As(err, &re) {
		q.front.Log.Info("Request failed.", "request", q.name(), "err", err.Error())
		re = refuse.New(refuse.Internal, "", 0)
	}
	if q.state.MayHaveRun() && !re.MayHaveRun() {
		q.front.Log.Info("Refused after it was sent.", "request", q.name(), "code", re.Code)
		re = refuse.New(refuse.UpstreamLost, "", 0)
	}
	if !q.state.Final() {
		to := life.Refused
		if re.MayHaveRun() {
			to = life.Unknown
		}
		if err := q.state.To(to); err != nil {
			q.front.Log.Error(err, "Life cycle broken.", "request", q.name())
			q.state = life.Unknown
		}
	}
	return q.state.Outcome(), re
}

// place asks for slots until the request was sent, joined or refused. The
// first context ends with the deadline, the second only with the run.
func (q *request) place(ctx, runCtx context.Context, to taker) error {
	q.ticket.Id, q.ticket.Entry, q.ticket.Incarnation = q.id, q.front.Node, q.front.Incarnation
	q.ticket.Account = q.account
	content := digest.Of(q.account, q.r.Method, q.r.URL.RequestURI(), q.body)
	q.ticket.Digest = content[:]
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	for n := range maxPlaces {
		if !q.front.mayPlace(n) {
			break
		}
		if q.key != "" && q.state == life.Waiting && time.Now().UnixNano() < q.front.away.Load() {
			return errAway
		}
		q.front.waits(q, cancel)
		g, err := q.wait(ctx)
		if err != nil {
			return err
		}
		next, held, err := q.use(ctx, runCtx, g, to)
		if next == join {
			// The slot is free again: waiting for another's run takes none.
			if !q.front.keeps(q) {
				return given(ctx)
			}
			next, err = q.join(ctx, held, to)
		}
		if next == done {
			return err
		}
	}
	return refuse.New(refuse.Unreachable, "no upstream could be reached in time", time.Second)
}

// mayPlace bounds second placements to a part of all requests, so that a pool
// in trouble isn't sent several times its load.
func (f *Front) mayPlace(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n == 0 {
		f.budget.AddFirstAttempt()
		return true
	}
	f.Stats.Count("placed-again", 1)
	return f.budget.TakeRetry()
}

// wait gets a grant.
func (q *request) wait(ctx context.Context) (*wire.Grant, error) {
	if ctx.Err() != nil {
		return nil, given(ctx)
	}
	sctx, span := tracer.Start(ctx, "queue")
	defer span.End()
	if !q.deadline.IsZero() {
		q.ticket.DeadlineUs = max(time.Until(q.deadline).Microseconds(), 1)
	}
	q.ticket.Traceparent = tracing.Parent(sctx)
	start := time.Now()
	g, err := q.front.Granter.Grant(sctx, &q.ticket)
	q.front.Stats.Time("queue-time-us", time.Since(start))
	if ctx.Err() != nil && err != nil {
		return nil, given(ctx)
	}
	if err != nil {
		return nil, fmt.Errorf("front: grant: %w", err)
	}
	if g == nil {
		return nil, refuse.New(refuse.NoUpstream, "", time.Second)
	}
	return g, nil
}

// given is the refusal of a request that was given up before it was sent.
func given(ctx context.Context) *refuse.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errDeadline):
		return refuse.New(refuse.Deadline, "no slot before the deadline", time.Second)
	case errors.Is(cause, errShed):
		return refuse.New(refuse.AccountLimit, "its place went to more urgent work of the account", time.Second)
	case errors.Is(cause, errStopping):
		return errStopping
	}
	return refuse.New(refuse.CallerGone, "", 0)
}

// use sends the request under a grant, after it has claimed its key.
func (q *request) use(ctx, runCtx context.Context, g *wire.Grant, to taker) (step, *wire.Result, error) {
	expires := time.Now().Add(time.Duration(g.GetExpiresUs()) * time.Microsecond)
	rel := &wire.Release{
		Ticket: q.id, Entry: q.front.Node, Incarnation: q.front.Incarnation, Pool: q.ticket.GetPool(),
		Upstream: g.GetUpstream(), Slot: g.GetSlot(), Owner: g.GetOwner(), Account: q.account,
		PromptTokens: q.ticket.GetPromptTokens(), Digest: q.ticket.GetDigest(),
	}
	defer func() { q.front.Granter.Release(rel) }()
	if time.Now().After(expires) {
		return again, nil, nil
	}
	if q.key != "" && q.state == life.Waiting {
		held, err := q.claim(ctx, expires)
		if err != nil {
			return done, nil, err
		}
		if held != nil {
			return join, held, nil
		}
	}
	// The owner may have given the slot to another by now, for instance when
	// the claim took long or this process was frozen.
	if time.Now().After(expires) {
		return again, nil, nil
	}
	if !q.front.keeps(q) {
		return done, nil, given(ctx)
	}
	next, err := q.dispatch(runCtx, g, rel, to)
	if next == again {
		q.ticket.Avoid = append(q.ticket.Avoid, g.GetUpstream())
	}
	return next, nil, err
}

// digest tells this request from another one with the same key. Method, path
// and query belong to it as much as the body.
func (q *request) digest() [32]byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(q.r.Method), []byte(q.r.URL.EscapedPath()), []byte(q.r.URL.RawQuery), q.body} {
		_ = binary.Write(h, binary.BigEndian, int64(len(part)))
		_, _ = h.Write(part)
	}
	return [32]byte(h.Sum(nil))
}
