package front

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/refuse"
	"azurelane/core/state"
	"azurelane/core/wire"
)

const (
	lookLimit = 500 * time.Millisecond // Of one look-up of a key.
	lookMost  = 64                     // At once. An overload's refusals must not flood control.
)

var errLooks = errors.New("front: too many look-ups")

// earlier makes the refusal of a keyed submission true of its key. This one has
// run nowhere, but an earlier one may have: its caller lost the answer, sends
// again, hears "not-run" and does the work by other means, twice in all. So the
// key is looked up first. A key that is held is joined where to is given; when
// the look-up fails, the outcome is unknown.
func (q *request) earlier(ctx context.Context, err error, to taker) error {
	var re *refuse.Error
	// A refusal without Retry-After is about the request itself, and one whose
	// callers are gone is heard by no one.
	if q.key == "" || q.account == "" || !errors.As(err, &re) || re.RetryAfter == 0 || re.MayHaveRun() || re.Code == refuse.CallerGone {
		return err
	}
	held, lerr := q.look(ctx)
	switch {
	case lerr == nil && held == nil:
		return err
	case lerr != nil || to == nil:
		return refuse.New(refuse.Earlier, "refused ("+re.Code+"); an earlier submission of the key may have run", re.RetryAfter)
	}
	q.asked = false // The claim is another's.
	next, jerr := q.join(ctx, held, to)
	if next == again {
		return err // Its holder had not sent it.
	}
	return jerr
}

// look returns the claim of another submission, or nil when the key is free.
func (q *request) look(ctx context.Context) (*wire.Result, error) {
	if q.front.looks.Add(1) > lookMost {
		q.front.looks.Add(-1)
		return nil, errLooks
	}
	defer q.front.looks.Add(-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookLimit)
	defer cancel()
	f, err := q.front.Proposer.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_ClaimQuery{ClaimQuery: &wire.ClaimQuery{Account: q.account, Key: q.key}}}
	})
	if err != nil {
		return nil, fmt.Errorf("front: look up key: %w", err)
	}
	r := f.GetResult()
	switch {
	case r.GetCode() == state.OK, r.GetHolder() == q.front.Incarnation && r.GetRequest() == q.id:
		return nil, nil //nolint:nilnil // No claim is no error.
	case r.GetCode() == state.Running, r.GetCode() == state.Finished:
		return r, nil
	}
	return nil, fmt.Errorf("front: look up key: %s", r.GetCode())
}

// stopped is the refusal of a request to an entry that stops.
func (q *request) stopped() error {
	if q.index = q.front.index(); q.index == nil || q.authenticate() != nil {
		return errStopping
	}
	return q.earlier(q.r.Context(), errStopping, nil)
}
