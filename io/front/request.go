package front

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/life"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/pipe"
)

var errStopping = refuse.New(refuse.ShuttingDown, "ask another entry", time.Second)

// maxPlaces bounds how often a request is placed again after its upstream
// could not be connected to.
const maxPlaces = 3

// request is one request on its way.
type request struct {
	front *Front
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	id    uint64
	state life.State

	cfg      *conf.Config
	account  string
	limits   acct.Account
	taken    bool
	key      string
	deadline time.Time // Zero for none.
	path     string
	stream   bool
	body     []byte
	ticket   wire.Ticket
}

// name is the request's id towards callers, upstreams and operators.
func (q *request) name() string { return q.front.Incarnation + "-" + strconv.FormatUint(q.id, 10) }

func (q *request) serve() {
	ctx := otel.GetTextMapPropagator().Extract(q.r.Context(), propagation.HeaderCarrier(q.r.Header))
	ctx, span := tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	err := q.read()
	defer func() {
		if q.taken {
			q.front.give(q.account, int64(len(q.body)))
		}
	}()
	if err == nil {
		span.SetAttributes(attribute.String("account", q.account), attribute.String("pool", q.ticket.GetPool()))
		err = q.run(ctx)
	}
	if err != nil {
		q.refuse(err)
	}
	span.SetAttributes(attribute.String("outcome", q.state.Outcome()))
	q.front.Stats.Count("outcome-"+q.state.Outcome(), 1)
}

// run places the request until it was dispatched or refused.
func (q *request) run(ctx context.Context) error {
	if !q.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, q.deadline)
		defer cancel()
	}
	q.ticket.Id, q.ticket.Entry, q.ticket.Incarnation = q.id, q.front.Node, q.front.Incarnation
	q.ticket.Account = q.account
	for range maxPlaces {
		g, err := q.wait(ctx)
		if err != nil {
			return err
		}
		again, err := q.use(ctx, g)
		if !again {
			return err
		}
		q.ticket.Avoid = append(q.ticket.Avoid, g.GetUpstream())
	}
	return refuse.New(refuse.Unreachable, "no upstream could be connected to", time.Second)
}

// wait gets a grant.
func (q *request) wait(ctx context.Context) (*wire.Grant, error) {
	ctx, span := tracer.Start(ctx, "queue")
	defer span.End()
	if !q.deadline.IsZero() {
		q.ticket.DeadlineUs = max(time.Until(q.deadline).Microseconds(), 1)
	}
	start := time.Now()
	g, err := q.front.Granter.Grant(ctx, &q.ticket)
	q.front.Stats.Time("queue-time-us", time.Since(start))
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, refuse.New(refuse.Deadline, "no slot before the deadline", time.Second)
	}
	if err != nil {
		return nil, err
	}
	return g, nil
}

// use dispatches under a grant. It reports true when nothing was dispatched
// and the request may be placed again.
func (q *request) use(ctx context.Context, g *wire.Grant) (bool, error) {
	rel := &wire.Release{
		Ticket: q.id, Entry: q.front.Node, Incarnation: q.front.Incarnation, Pool: q.ticket.GetPool(),
		Upstream: g.GetUpstream(), Slot: g.GetSlot(), Owner: g.GetOwner(), Account: q.account,
		PromptTokens: q.ticket.GetPromptTokens(),
	}
	defer func() { q.front.Granter.Release(rel) }()
	expires := time.Now().Add(time.Duration(g.GetExpiresUs()) * time.Microsecond)
	if q.key != "" {
		if err := q.claim(ctx); err != nil {
			return false, err
		}
	}
	if time.Now().After(expires) {
		// The owner may have given the slot to another by now.
		q.finish("not-run")
		return true, nil
	}
	again, err := q.dispatch(ctx, g, rel)
	if q.key != "" {
		if q.state.Final() {
			q.finish(q.state.Outcome())
		} else {
			q.finish("not-run")
		}
	}
	return again, err
}

// claim reserves the key's one run.
func (q *request) claim(ctx context.Context) error {
	if q.state == life.Claimed {
		return nil
	}
	ctx, span := tracer.Start(ctx, "claim")
	defer span.End()
	start := time.Now()
	r, err := q.front.Proposer.Propose(ctx, &wire.Command{
		Id: q.name(),
		Kind: &wire.Command_Claim{Claim: &wire.Claim{
			Account: q.account, Key: q.key, BodyHash: xxhash.Sum64(q.body), Holder: q.front.Incarnation,
			Address: q.front.Address, KeepUs: q.cfg.ClaimKeep.Microseconds(), Request: q.id,
		}},
	})
	q.front.Stats.Time("claim-time-us", time.Since(start))
	if err != nil {
		return refuse.New(refuse.NoControl, "the key can't be claimed now", time.Second)
	}
	switch r.GetCode() {
	case state.OK:
		return q.state.To(life.Claimed)
	case state.Mismatch:
		return refuse.New(refuse.KeyMismatch, r.GetText(), 0)
	case state.Finished:
		return refuse.New(refuse.AnswerGone, "the key's run ended: "+r.GetOutcome(), 0)
	}
	return refuse.New(refuse.HolderLost, "the key's run is held by "+r.GetHolder(), 0)
}

// finish records how the key's run ended.
func (q *request) finish(outcome string) {
	if q.key == "" {
		return
	}
	_, err := q.front.Proposer.Propose(context.Background(), &wire.Command{
		Id:   q.name() + "-finish",
		Kind: &wire.Command_Finish{Finish: &wire.Finish{Account: q.account, Key: q.key, Holder: q.front.Incarnation, Outcome: outcome, Request: q.id}},
	})
	if err != nil {
		q.front.Log.Info("Finish not recorded.", "request", q.name(), "err", err.Error())
	}
	if q.state == life.Claimed {
		_ = q.state.To(life.Waiting)
	}
}

// dispatch sends the request to the upstream, once.
func (q *request) dispatch(ctx context.Context, g *wire.Grant, rel *wire.Release) (bool, error) {
	ctx, span := tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("upstream", g.GetUpstream())))
	defer span.End()
	p := q.cfg.Pools[q.ticket.GetPool()].WithDefaults()
	ctx, cancel := context.WithTimeout(ctx, p.MaxRun)
	defer cancel()
	out, err := q.upstreamRequest(ctx, g)
	if err != nil {
		return false, refuse.New(refuse.BadRequest, err.Error(), 0)
	}
	sent := time.Now()
	quiet := time.AfterFunc(p.Silence, cancel)
	defer quiet.Stop()
	resp, dispatched, err := q.front.Sender.Send(ctx, out)
	rel.Dispatched = dispatched
	defer func() { rel.TotalUs = time.Since(sent).Microseconds() }()
	if !dispatched {
		rel.Failed = true
		if ctx.Err() != nil {
			return false, refuse.New(refuse.Deadline, "not connected before the deadline", time.Second)
		}
		return true, nil
	}
	if serr := q.state.To(life.Dispatched); serr != nil {
		return false, serr
	}
	if err != nil {
		rel.Failed = true
		return false, q.lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return false, q.answer(ctx, resp, rel, sent, quiet, p)
}

func (q *request) upstreamRequest(ctx context.Context, g *wire.Grant) (*http.Request, error) {
	url := "http://" + g.GetAddress() + q.path
	if q.r.URL.RawQuery != "" {
		url += "?" + q.r.URL.RawQuery
	}
	out, err := http.NewRequestWithContext(ctx, q.r.Method, url, bytes.NewReader(q.body))
	if err != nil {
		return nil, fmt.Errorf("front: build request: %w", err)
	}
	for _, h := range []string{"Content-Type", "Accept", "Accept-Language", HeaderKey} {
		if v := q.r.Header.Get(h); v != "" {
			out.Header.Set(h, v)
		}
	}
	out.Header.Set(HeaderRequest, q.name())
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

// answer passes the upstream's answer on, if it is this request's own.
func (q *request) answer(ctx context.Context, resp *http.Response, rel *wire.Release, sent time.Time, quiet *time.Timer, p pool.Pool) error {
	if id := resp.Header.Get(HeaderRequest); id != "" && id != q.name() {
		rel.Failed = true
		return q.unknown(refuse.AnswerForeign, "the upstream answered another request")
	}
	final := life.Answered
	if resp.StatusCode >= http.StatusBadRequest {
		final = life.Failed
	}
	rel.Failed = resp.StatusCode >= http.StatusInternalServerError
	h := q.w.Header()
	h.Set("Content-Type", resp.Header.Get("Content-Type"))
	streamed := q.stream && final == life.Answered
	out := pipe.Pipe{W: q.w, Stream: streamed, Touch: func() { quiet.Reset(p.Silence) }}
	defer func() {
		if !out.First.IsZero() {
			rel.FirstTokenUs = out.First.Sub(sent).Microseconds()
		}
	}()
	if streamed {
		h.Set("Trailer", HeaderOutcome)
		q.w.WriteHeader(resp.StatusCode)
		if err := out.Copy(resp.Body); err != nil {
			q.breakOff(ctx, rel, err)
			return nil
		}
		h.Set(HeaderOutcome, final.Outcome())
		return q.state.To(final)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		rel.Failed = true
		return q.lost(ctx, err)
	}
	if err := q.state.To(final); err != nil {
		return err
	}
	out.First = time.Now()
	h.Set(HeaderOutcome, final.Outcome())
	h.Set("Content-Length", strconv.Itoa(len(data)))
	q.w.WriteHeader(resp.StatusCode)
	_, _ = q.w.Write(data)
	return nil
}

// breakOff ends a stream that can't be finished so that no caller can take it
// for a whole answer: an error event, and then the connection breaks without
// the terminating chunk.
func (q *request) breakOff(ctx context.Context, rel *wire.Release, cause error) {
	rel.Failed = !errors.Is(cause, pipe.ErrCaller)
	e := q.lost(ctx, cause)
	var re *refuse.Error
	if errors.As(e, &re) {
		_, _ = fmt.Fprintf(q.w, "event: error\ndata: %s\n\n", errorBody(re, q.state.Outcome(), q.name()))
		_ = http.NewResponseController(q.w).Flush()
	}
	q.front.Stats.Count("outcome-unknown", 1)
	panic(http.ErrAbortHandler)
}

// lost is the end of a dispatched request without an answer.
func (q *request) lost(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		return q.unknown(refuse.UpstreamMute, "no answer in time")
	}
	return q.unknown(refuse.UpstreamLost, cause.Error())
}

func (q *request) unknown(code, text string) error {
	if err := q.state.To(life.Unknown); err != nil {
		return err
	}
	return refuse.New(code, text, 0)
}

// refuse gives the final answer at once.
func (q *request) refuse(err error) {
	var re *refuse.Error
	if !errors.As(err, &re) {
		re = refuse.New("internal", err.Error(), 0)
		if q.r.Context().Err() != nil {
			re = refuse.New("caller-gone", "", 0)
		}
	}
	if !q.state.Final() {
		to := life.Refused
		if re.MayHaveRun() || q.state == life.Dispatched {
			to = life.Unknown
		}
		_ = q.state.To(to)
	}
	h := q.w.Header()
	h.Set(HeaderOutcome, q.state.Outcome())
	h.Set("Content-Type", "application/json")
	if re.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((re.RetryAfter+time.Second-1)/time.Second)))
	}
	q.front.Stats.Count("refused-"+re.Code, 1)
	q.w.WriteHeader(re.Status())
	_, _ = q.w.Write(errorBody(re, q.state.Outcome(), q.name()))
}

type (
	errorDoc struct {
		Error errorPart `json:"error"`
	}

	errorPart struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Request string `json:"request"`
	}
)

func errorBody(e *refuse.Error, outcome, id string) []byte {
	data, err := json.Marshal(errorDoc{errorPart{e.Code, e.Text, outcome, id}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}
