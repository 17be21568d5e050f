package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"azurelane/core/answer"
	"azurelane/io/pipe"
)

// HeaderResume of a request without a body asks an upstream that can for the
// rest of the stream of the request id that it repeats, from that byte on.
const HeaderResume = "Azurelane-Resume-From"

// maxResumes bounds how often one stream is continued.
const maxResumes = 3

// pass passes a stream on. When it breaks and the upstream said that it can
// continue, the rest is asked for on a new connection: connections can go
// silent for good while new ones work.
func (c *call) pass(ctx context.Context, resp *http.Response, head *answer.Answer, out *pipe.Pipe) error {
	if err := c.to.Head(head); err != nil {
		return fmt.Errorf("%w: %w", pipe.ErrCaller, err)
	}
	for n := 0; ; n++ {
		out.ByClose = !bounded(resp)
		err := out.Copy(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			return nil
		}
		c.drop(nil)
		if n == maxResumes || !c.grant.GetCanResume() || ctx.Err() != nil || errors.Is(err, pipe.ErrCaller) || errors.Is(err, pipe.ErrLarge) {
			return fmt.Errorf("front: stream: %w", err)
		}
		c.front.Log.V(1).Info("Stream broke.", "request", c.name(), "bytes", out.Bytes, "err", err.Error())
		next, rerr := c.resume(ctx, out.Bytes)
		if rerr != nil {
			return fmt.Errorf("front: stream: %w; resume: %w", err, rerr)
		}
		c.front.Stats.Count("streams-resumed", 1)
		resp = next
	}
}

// resume asks for the rest of the stream. It is no second run: the request has
// no body, so that an upstream that doesn't know the header has nothing to run,
// and only an answer that repeats both id and offset is taken.
func (c *call) resume(ctx context.Context, from int64) (*http.Response, error) {
	out, err := c.upstreamRequest(ctx, c.grant)
	if err != nil {
		return nil, err
	}
	out.Body, out.ContentLength = http.NoBody, 0
	offset := strconv.FormatInt(from, 10)
	out.Header.Set(HeaderResume, offset)
	resp, _, err := c.send(ctx, out)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderResume) != offset || resp.Header.Get(HeaderRequest) != c.name() {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("front: resume: answered %s", resp.Status)
	}
	return resp, nil
}
