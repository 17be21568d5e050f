package front

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/answer"
	"azurelane/core/life"
	"azurelane/core/refuse"
	"azurelane/io/flight"
)

// partLimit bounds the wait for the end of a run that was cancelled.
const partLimit = 5 * time.Second

// share serves a request with a key: as the run of that key, or as a follower
// of the run that this entry has already. Followers take no slot.
func (q *request) share(ctx context.Context) {
	digest := q.digest()
	for {
		runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		p := q.index.Pool(q.ticket.GetPool())
		run, first := q.front.keep.Begin(q.account, q.key, &flight.Flight{
			Digest: digest, Limit: p.MaxAnswer, RunOn: p.RunsOn(), Cancel: cancel,
		})
		if run.Digest != digest {
			cancel(nil)
			q.reply.end(q.close(refuse.New(refuse.KeyMismatch, "the key was used with another request", 0)))
			return
		}
		followed := run.Join()
		if first {
			q.holds.Add(1)
			q.front.runs.Add(1)
			go q.lead(runCtx, cancel, run)
		} else {
			cancel(nil)
		}
		if followed {
			q.follow(ctx, run)
			return
		}
		// The run was abandoned a moment ago; its key is free as soon as it ends.
		if _, err := run.Wait(ctx); err != nil {
			return
		}
	}
}

// lead brings the run of a key to its end.
func (q *request) lead(ctx context.Context, cancel context.CancelCauseFunc, run *flight.Flight) {
	defer q.front.runs.Done()
	defer q.letGo()
	defer cancel(nil)
	waitCtx, stop := q.untilDeadline(ctx)
	defer stop()
	err := q.place(waitCtx, ctx, run)
	if err != nil && q.state == life.Waiting {
		err = q.earlier(waitCtx, err, run)
	}
	ran := q.asked && q.state.MayHaveRun() // Under a claim of this entry, not as a joiner.
	outcome, refusal := q.close(err)
	if !ran {
		q.front.keep.Drop(q.account, q.key)
	}
	run.End(outcome, refusal)
	if !q.asked {
		return
	}
	q.front.runs.Add(1)
	if !ran {
		go q.record(life.Refused.Outcome(), nil)
		return
	}
	a, _ := run.Wait(context.Background()) // It has ended.
	go q.record(outcome, &a)
}

// follow passes a run's answer on to this caller.
func (q *request) follow(ctx context.Context, run *flight.Flight) {
	ctx, cancel := q.untilDeadline(ctx)
	defer cancel()
	seen := 0
	for {
		a, err := run.Next(ctx, seen)
		if err != nil {
			q.part(ctx, run, seen)
			return
		}
		err = q.pass(a)
		seen += len(a.Body)
		switch {
		case a.Ended():
			run.Leave(nil)
			q.reply.end(a.Outcome, a.Refusal)
			return
		case err != nil:
			run.Leave(errCaller)
			q.reply.end(life.Unknown.Outcome(), refuse.New(refuse.CallerLeft, "", 0))
			return
		}
	}
}

// pass gives the caller what has come of a run's answer.
func (q *request) pass(a answer.Answer) error {
	if q.reply.head == nil && a.Status != 0 && a.Refusal == nil {
		if err := q.reply.Head(&answer.Answer{Status: a.Status, Header: a.Header, Streamed: a.Streamed}); err != nil {
			return err
		}
	}
	if len(a.Body) > 0 && q.reply.head != nil {
		if _, err := q.reply.Write(a.Body); err != nil {
			return err
		}
	}
	return q.reply.Flush()
}

// part ends a caller's wait before the run's end, after so many bytes of its answer: its
// deadline has passed, or it went away. The run goes on for its other followers, or by the
// pool's setting; then the outcome is not known yet.
func (q *request) part(ctx context.Context, run *flight.Flight, seen int) {
	cause := context.Cause(ctx)
	if run.Leave(cause) && q.finish(ctx, run, seen) {
		return
	}
	if !errors.Is(cause, errDeadline) {
		q.reply.end(life.Unknown.Outcome(), refuse.New(refuse.CallerLeft, "", 0))
		return
	}
	q.reply.end(life.Unknown.Outcome(), refuse.New(refuse.StillRunning, "send again with the same key to join its run", 0))
}

// finish passes on the rest of a run that has ended or is about to, and reports whether its
// end came.
func (q *request) finish(ctx context.Context, run *flight.Flight, seen int) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), partLimit)
	defer cancel()
	for {
		a, err := run.Next(ctx, seen)
		if err != nil {
			return false
		}
		err = q.pass(a)
		seen += len(a.Body)
		if a.Ended() {
			q.reply.end(a.Outcome, a.Refusal)
			return true
		}
		if err != nil {
			return false
		}
	}
}
