package front

import (
	"context"
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"azurelane/core/answer"
	"azurelane/core/life"
	"azurelane/core/refuse"
	"azurelane/core/state"
	"azurelane/core/wire"
)

const (
	notHeld = "not-held" // Code of a holder's reply that no caller sees.

	// awayFor is how long keyed requests are refused before they take a slot,
	// once a claim had no answer.
	awayFor = time.Second

	joinTries   = 3                      // Calls of a holder that can't be reached.
	joinPause   = 100 * time.Millisecond // Between them.
	joinWait    = 10 * time.Second       // Of one call for the run's end.
	recordFor   = time.Minute            // An outcome is recorded again and again for so long.
	recordPause = 50 * time.Millisecond  // At first; doubled up to recordMax.
	recordMax   = 5 * time.Second
)

var errAway = refuse.New(refuse.NoControl, "the key can't be claimed now", awayFor)

// claim reserves the key's one run. It returns the holder's claim when another
// submission has it. It waits no longer than the grant lasts: without control
// each claim would hold a slot that others could use.
func (q *request) claim(ctx context.Context, expires time.Time) (*wire.Result, error) {
	ctx, span := tracer.Start(ctx, "claim")
	defer span.End()
	start := time.Now()
	digest := q.digest()
	q.asked = true
	cctx, cancel := context.WithDeadline(ctx, expires)
	defer cancel()
	r, err := q.front.Proposer.Propose(cctx, &wire.Command{
		Id: q.name(),
		Kind: &wire.Command_Claim{Claim: &wire.Claim{
			// Eight bytes of a SHA-256 are enough here: see docs/design/life.md.
			Account: q.account, Key: q.key, BodyHash: binary.BigEndian.Uint64(digest[:]), Holder: q.front.Incarnation,
			Address: q.front.Address, KeepUs: q.claimKeep().Microseconds(), Request: q.id,
		}},
	})
	q.front.Stats.Time("claim-time-us", time.Since(start))
	if ctx.Err() != nil {
		return nil, given(ctx)
	}
	if err != nil {
		q.front.Log.V(1).Info("Key not claimed.", "request", q.name(), "err", err.Error())
		q.front.away.Store(time.Now().Add(awayFor).UnixNano())
		return nil, errAway
	}
	switch r.GetCode() {
	case state.OK:
		return nil, q.state.To(life.Claimed)
	case state.Running, state.Finished:
		q.asked = false
		return r, nil
	case state.Mismatch:
		q.asked = false
		return nil, refuse.New(refuse.KeyMismatch, "the key was used with another request", 0)
	}
	return nil, refuse.New(refuse.NoControl, "the key can't be claimed: "+r.GetText(), time.Second)
}

// claimKeep is how long a claim lasts. It must be longer than any run, or a
// second submission could claim the key of one that still runs.
func (q *request) claimKeep() time.Duration {
	return max(q.cfg.ClaimKeep, 2*q.index.Pool(q.ticket.GetPool()).MaxRun)
}

// record puts a run's outcome on record, however long control is away, and
// then lets the kept answer go when its time comes. The callers don't wait for
// it. The outcome not-run frees the key.
func (q *request) record(outcome string, a *answer.Answer) {
	defer q.front.runs.Done()
	ctx, cancel := context.WithTimeout(context.Background(), recordFor)
	defer cancel()
	if err := q.recordFinish(ctx, q.front.Incarnation, q.id, outcome); err != nil {
		q.front.Stats.Count("finish-not-recorded", 1)
		q.front.Log.Info("Finish not recorded.", "request", q.name(), "err", err.Error())
		return
	}
	if a != nil {
		q.front.keep.Keep(q.account, q.key, a)
	}
}

func (q *request) recordFinish(ctx context.Context, holder string, request uint64, outcome string) error {
	for pause := recordPause; ; pause = min(2*pause, recordMax) {
		_, err := q.front.Proposer.Propose(ctx, &wire.Command{
			Id: fmt.Sprintf("%s-%d-%s", holder, request, outcome),
			Kind: &wire.Command_Finish{Finish: &wire.Finish{
				Account: q.account, Key: q.key, Holder: holder, Request: request, Outcome: outcome,
			}},
		})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("front: record: %w", err)
		case <-time.After(pause):
		}
	}
}

// join takes the answer of the run that holds the key. It never sends the
// request: when the answer can't be had, the honest outcome is unknown.
func (q *request) join(ctx context.Context, held *wire.Result, to taker) (step, error) {
	ctx, span := tracer.Start(ctx, "join")
	defer span.End()
	gone := refuse.New(refuse.HolderLost, "the entry that holds the key can't be asked; it may have run", 0)
	if held.GetCode() == state.Finished {
		gone = refuse.New(refuse.AnswerGone, "the key's run ended ("+held.GetOutcome()+") and its answer is no longer kept", 0)
	}
	r, err := q.ask(ctx, held)
	switch {
	case ctx.Err() != nil:
		return done, refuse.New(refuse.StillRunning, "send again with the same key to join its run", 0)
	case err != nil:
		q.front.Log.V(1).Info("Holder not reached.", "request", q.name(), "holder", held.GetHolder(), "err", err.Error())
		return done, gone
	case r.GetCode() == refuse.HolderLost:
		return done, gone
	case r.GetCode() == notHeld && held.GetCode() == state.Finished:
		return done, gone
	case r.GetCode() == notHeld:
		return q.free(ctx, held)
	}
	return done, q.takeOver(answer.FromWire(r), to)
}

// free lets a key go whose holder says that it holds no run of it. A holder
// keeps a run until its outcome is on record, so nothing was sent under this
// claim and nothing will be; the state machine refuses to free a claim whose
// outcome came on record in between.
func (q *request) free(ctx context.Context, held *wire.Result) (step, error) {
	if err := q.recordFinish(ctx, held.GetHolder(), held.GetRequest(), life.Refused.Outcome()); err != nil {
		return done, refuse.New(refuse.NoControl, "the key can't be freed now", time.Second)
	}
	q.front.Stats.Count("claims-freed", 1)
	return again, nil
}

// ask waits for the end of the run at its holder.
func (q *request) ask(ctx context.Context, held *wire.Result) (*wire.JoinReply, error) {
	if held.GetHolder() == q.front.Incarnation {
		// Had this entry a run of the key, the request would follow it already.
		return &wire.JoinReply{Code: notHeld}, nil
	}
	addr, err := netip.ParseAddrPort(held.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("front: join: %w", err)
	}
	for try := 1; ; {
		r, err := q.front.Peers.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_JoinQuery{JoinQuery: &wire.JoinQuery{
			Account: q.account, Key: q.key, Holder: held.GetHolder(), WaitUs: joinWait.Microseconds(),
		}}})
		switch {
		case ctx.Err() != nil:
			return nil, fmt.Errorf("front: join: %w", ctx.Err())
		case err == nil && r.GetJoinReply().GetCode() != refuse.StillRunning:
			return r.GetJoinReply(), nil
		case err == nil:
			try = 1
			continue
		case try == joinTries:
			return nil, fmt.Errorf("front: join: %w", err)
		}
		try++
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
}

// takeOver ends the request with the answer of the run that it joined.
func (q *request) takeOver(a *answer.Answer, to taker) error {
	if a.Refusal != nil {
		return a.Refusal
	}
	final := life.Answered
	if a.Outcome == life.Failed.Outcome() {
		final = life.Failed
	}
	if err := to.Head(a); err != nil {
		return fmt.Errorf("front: join: %w", err)
	}
	if _, err := to.Write(a.Body); err != nil {
		return fmt.Errorf("front: join: %w", err)
	}
	return q.state.To(final)
}

// Join answers a peer whose caller submitted a key that this entry holds.
func (f *Front) Join(ctx context.Context, j *wire.JoinQuery) *wire.JoinReply {
	if j.GetHolder() != f.Incarnation {
		return &wire.JoinReply{Code: refuse.HolderLost}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(j.GetWaitUs())*time.Microsecond)
	defer cancel()
	for {
		run := f.keep.Find(j.GetAccount(), j.GetKey())
		if run == nil {
			return &wire.JoinReply{Code: notHeld}
		}
		followed := run.Join()
		a, err := run.Wait(ctx)
		if followed {
			run.Leave(errCaller)
		}
		if err != nil {
			return &wire.JoinReply{Code: refuse.StillRunning}
		}
		if followed {
			return a.Wire()
		}
	}
}
