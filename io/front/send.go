package front

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"azurelane/core/answer"
	"azurelane/core/life"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/client"
	"azurelane/io/pipe"
)

// call is one request at its upstream.
type call struct {
	*request
	pool  pool.Pool
	grant *wire.Grant
	rel   *wire.Release
	to    taker
	sent  time.Time
	drop  context.CancelCauseFunc // Ends the connection of now.
}

// dispatch sends the request to the upstream, once.
func (q *request) dispatch(ctx context.Context, g *wire.Grant, rel *wire.Release, to taker) (step, error) {
	ctx, span := tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("upstream", g.GetUpstream())))
	defer span.End()
	c := &call{request: q, pool: q.index.Pool(q.ticket.GetPool()), grant: g, rel: rel, to: to}
	ctx, stop := context.WithTimeoutCause(ctx, c.pool.MaxRun, errRunLimit)
	defer stop()
	out, err := q.upstreamRequest(ctx, g)
	if err != nil {
		return done, err
	}
	before := q.state
	if !to.Sending() {
		return done, given(ctx)
	}
	if err := q.state.To(life.Sending); err != nil {
		return done, fmt.Errorf("front: send: %w", err)
	}
	c.sent = time.Now()
	resp, dispatched, err := c.send(ctx, out)
	defer func() { c.drop(nil) }()
	rel.Dispatched = dispatched
	defer func() { rel.TotalUs = time.Since(c.sent).Microseconds() }()
	if !dispatched {
		to.Unsent()
		return q.unsent(ctx, rel, before)
	}
	if serr := q.state.To(life.Dispatched); serr != nil {
		return done, fmt.Errorf("front: send: %w", serr)
	}
	if err == nil {
		err = c.answer(ctx, resp)
		_ = resp.Body.Close()
		answerSpans(ctx, c.sent, rel)
	}
	if err == nil {
		return done, nil
	}
	return done, q.lost(ctx, g, rel, err)
}

// send does one round trip on a connection that drop ends. A stream's head has
// to come within the silence limit. The head of another answer comes when all
// of it is made, so only the run limit bounds it.
func (c *call) send(ctx context.Context, out *http.Request) (*http.Response, bool, error) {
	ctx, c.drop = context.WithCancelCause(ctx)
	if c.stream {
		quiet := time.AfterFunc(c.pool.Silence, func() { c.drop(pipe.ErrSilent) })
		defer quiet.Stop()
	}
	resp, sent, err := c.front.Sender.Send(ctx, out.WithContext(ctx))
	if errors.Is(context.Cause(ctx), pipe.ErrSilent) && err != nil {
		err = fmt.Errorf("%w: %w", pipe.ErrSilent, err)
	}
	if err != nil {
		return nil, sent, fmt.Errorf("front: send: %w", err)
	}
	return resp, sent, nil
}

// unsent takes the request back to where it was: no byte has left, so it may
// be placed again.
func (q *request) unsent(ctx context.Context, rel *wire.Release, before life.State) (step, error) {
	if err := q.state.To(before); err != nil {
		return done, fmt.Errorf("front: send: %w", err)
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errRunLimit) {
		return done, given(ctx)
	}
	rel.Failed = true
	return again, nil
}

func (q *request) upstreamRequest(ctx context.Context, g *wire.Grant) (*http.Request, error) {
	url := "http://" + g.GetAddress() + q.path
	if q.r.URL.RawQuery != "" {
		url += "?" + q.r.URL.RawQuery
	}
	out, err := http.NewRequestWithContext(ctx, q.r.Method, url, bytes.NewReader(q.body))
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "the method or path can't be passed on", 0)
	}
	out.Header = q.header.Clone()
	out.Header.Set(HeaderRequest, q.name())
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(out.Header))
	return out, nil
}

// answer passes the upstream's answer on. It returns nil only when all of it
// was there.
func (c *call) answer(ctx context.Context, resp *http.Response) error {
	final := life.Answered
	if resp.StatusCode >= http.StatusBadRequest {
		final = life.Failed
	}
	c.rel.Failed = resp.StatusCode >= http.StatusInternalServerError
	head := &answer.Answer{Status: resp.StatusCode, Header: passOn(resp.Header), Streamed: c.stream && final == life.Answered}
	out := pipe.Pipe{
		W: c.to, Flush: c.to.Flush, Stream: head.Streamed, Silence: c.pool.Silence, Silent: func() { c.drop(pipe.ErrSilent) },
	}
	defer func() {
		if !out.First.IsZero() {
			c.rel.FirstTokenUs = out.First.Sub(c.sent).Microseconds()
		}
	}()
	var err error
	if head.Streamed {
		err = c.pass(ctx, resp, head, &out)
	} else {
		err = c.whole(resp, head, &out)
	}
	if err != nil {
		return err
	}
	return c.state.To(final)
}

// whole reads an answer to its end before it passes any of it on.
func (c *call) whole(resp *http.Response, head *answer.Answer, out *pipe.Pipe) error {
	if c.r.Method == http.MethodHead {
		head.Header["Content-Length"] = resp.Header["Content-Length"]
	} else if !bounded(resp) {
		return pipe.ErrCut
	}
	data, err := out.ReadAll(resp.Body, resp.ContentLength, c.pool.MaxAnswer)
	if err != nil {
		return fmt.Errorf("front: answer: %w", err)
	}
	if c.path == chatPath {
		c.used(data)
	}
	if err := c.to.Head(head); err != nil {
		return fmt.Errorf("%w: %w", pipe.ErrCaller, err)
	}
	if _, err := c.to.Write(data); err != nil {
		return fmt.Errorf("front: answer: %w", err)
	}
	return nil
}

// used reports to the scheduler how many tokens the run took. It had only an
// estimate of the prompt and the caller's limit for the answer; without the
// real figures an account that asks for much and gets little would be charged
// for what it asked. An answer that doesn't say leaves the estimate, and so does
// a stream: engines put one token into an event, or several.
func (c *call) used(data []byte) {
	var doc struct {
		Usage struct {
			Prompt int64 `json:"prompt_tokens"`
			Answer int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return
	}
	c.rel.AnswerTokens = doc.Usage.Answer
	if doc.Usage.Prompt > 0 {
		c.rel.PromptTokens = doc.Usage.Prompt
	}
}

// bounded reports whether the end of an answer can be told from a cut: it
// names its length or comes in chunks. One that ends with its connection looks
// the same whole and cut.
func bounded(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// lost is the end of a request that was sent and has no whole answer.
func (q *request) lost(ctx context.Context, g *wire.Grant, rel *wire.Release, err error) error {
	q.front.Log.V(1).Info("No whole answer.", "request", q.name(), "upstream", rel.GetUpstream(), "err", err.Error())
	q.front.Stats.Count("wasted-prefill-tokens", q.ticket.GetPromptTokens())
	cause := context.Cause(ctx)
	rel.Failed = true
	switch {
	case errors.Is(err, client.ErrForeign):
		return refuse.New(refuse.AnswerForeign, "the upstream answered another request", 0)
	case errors.Is(err, pipe.ErrLarge):
		rel.Failed = false
		return refuse.New(refuse.AnswerLarge, "the answer is over the pool's limit", 0)
	case errors.Is(err, pipe.ErrSilent):
		return refuse.New(refuse.UpstreamMute, "the upstream went silent", 0)
	case errors.Is(cause, errRunLimit):
		return refuse.New(refuse.RunLimit, "it ran longer than the pool allows", 0)
	case errors.Is(cause, errDeadline):
		rel.Failed = false
		return refuse.New(refuse.DeadlinePassed, "the deadline passed while it ran", 0)
	case errors.Is(err, pipe.ErrCaller), cause != nil:
		rel.Failed = false
		return refuse.New(refuse.CallerLeft, "", 0)
	}
	if addr, perr := netip.ParseAddrPort(g.GetAddress()); perr == nil {
		rel.Crashed = q.front.Sender.Closed(ctx, addr)
	}
	return refuse.New(refuse.UpstreamLost, "the upstream broke off", 0)
}
