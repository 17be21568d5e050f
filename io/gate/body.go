package gate

import (
	"cmp"
	"context"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/buffer"
	"azurelane/core/refuse"
)

const (
	defaultBodyLimit = 4 << 20 // Bytes; applies if the configuration sets no limit.
	// bodyWait is how long a body may wait for memory, and bodyWaitDivisor divides the objective into that time.
	// Memory is freed in bursts as answers are written, which is worth a short wait; a request that waits for
	// longer would miss its objective, and another entry may have memory.
	bodyWait        = 250 * time.Millisecond
	bodyWaitDivisor = 4
	// memoryLogInterval is the least time between two log lines that say that there is no memory.
	memoryLogInterval = time.Second
)

// body is the body of a request. The request, each search for another upstream and each send that is not written yet
// use it.
type body struct {
	held

	users atomic.Int32
	wait  time.Duration // How much longer it may wait for memory.
}

// use adds a user, who must release the body. A nil body is empty.
func (b *body) use() *body {
	if b != nil {
		b.users.Add(1)
	}
	return b
}

// release removes a user, and gives the memory back once none is left.
func (b *body) release() {
	if b != nil && b.users.Add(-1) == 0 {
		b.free()
	}
}

// useWhileSent adds a user for one send. It returns the send's context. An upstream may answer, and its answer be
// passed on, before it has read the body.
func (b *body) useWhileSent(ctx context.Context) context.Context {
	if b == nil {
		return ctx
	}
	release := sync.OnceFunc(b.use().release)
	stop := context.AfterFunc(ctx, release)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			stop()
			release()
		}
	}})
}

// parts returns the body in pieces.
func (b *body) parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// readBody reads the body of the request. A caller has as long as its request may take to send it.
func (q *request) readBody() *refuse.Error {
	limit := cmp.Or(max(q.view.Index.Config().Limits.BodyBytes, 0), defaultBodyLimit)
	length := q.r.ContentLength
	switch {
	case length > limit:
		return refuse.New(refuse.TooLarge, "", 0)
	case length == 0:
		return nil
	}
	w := http.NewResponseController(q.w)
	// Not every ResponseWriter has deadlines; those of a server do.
	_ = w.SetReadDeadline(q.start.Add(q.timeLimit()))
	stop := q.onDrain(func() { _ = w.SetReadDeadline(time.Now()) })
	b := &body{held: held{buffer: &q.gate.Memory, kind: buffer.Bodies}, wait: q.bodyWait()}
	b.await = func(size, by int64) bool { return q.awaitMemory(b, size, by) }
	q.body = b.use()
	err := b.read(http.MaxBytesReader(q.w, q.r.Body, limit), length)
	// Once the body has ended, net/http takes the deadline of a drain for the end of the connection.
	drained := !stop() && q.drainCutsOff()
	if err == nil && !drained {
		_ = w.SetReadDeadline(time.Time{})
		return nil
	}
	q.dropBody()
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return errDraining
	case errors.Is(err, errNoRoom):
		_ = w.SetReadDeadline(time.Now().Add(bodyWait)) // net/http reads on before it sends the refusal.
		return refuse.New(refuse.NoMemory, "", defaultRetryAfter)
	case asError(err, &large):
		return refuse.New(refuse.TooLarge, "", 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && q.drainCutsOff():
		return errDraining
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse.New(refuse.BodyLate, "", 0)
	}
	return refuse.New(refuse.BadRequest, "the body did not come whole", 0)
}

// bodyWait returns how long the request's body may wait for memory.
func (q *request) bodyWait() time.Duration {
	within := cmp.Or(q.route.Objective, q.timeLimit())
	return min(bodyWait, within/bodyWaitDivisor)
}

// awaitMemory waits for memory for a body of a size, and reports whether it was taken. An entry cannot notice that
// a caller leaves whose body it does not read, so only the time bounds the wait.
func (q *request) awaitMemory(b *body, size, by int64) bool {
	q.gate.logMemory(q)
	start := time.Now()
	granted, end := q.gate.Memory.Wait(size, by)
	timer := time.NewTimer(b.wait)
	defer timer.Stop()
	select {
	case <-granted:
	case <-timer.C:
	case <-q.r.Context().Done():
	}
	b.wait -= time.Since(start)
	return end()
}

// logMemory logs that there is no memory for a body.
func (g *Gate) logMemory(q *request) {
	now := time.Now().UnixNano()
	last := g.memoryLoggedAt.Load()
	if (last != 0 && now-last < int64(memoryLogInterval)) || !g.memoryLoggedAt.CompareAndSwap(last, now) {
		return
	}
	g.Log.Info("No memory for a body.", "request", q.meta.ID, "route", q.routeName(), "account", q.account, "bodies", g.Memory.Used(buffer.Bodies),
		"answers", g.Memory.Used(buffer.Answers), "limit", g.Memory.Limit, "waiting", g.Memory.Waiting())
}

// releaseBody gives up the body of a request that is not sent again.
func (q *request) releaseBody() {
	if q.body != nil {
		q.digest()
		q.dropBody()
	}
}

// dropBody gives up the body.
func (q *request) dropBody() {
	q.body.release()
	q.body = nil
}

// sendsNoMore reports whether the request is not sent again once an upstream has begun to answer a send.
func (q *request) sendsNoMore(f *flight, h *hedge, v *mover) bool {
	if h != nil || v != nil {
		return false
	}
	after := q.tried.Beside(f.placement.upstream.GetId())
	return !q.route.Repeatable() || !after.MayRun(q.route.MaxUpstreams())
}
