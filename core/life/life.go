// Package life is the life cycle of one request at its entry.
package life

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// State is a step of a request's life. The zero value is Waiting.
type State int

// The states. Answered, Failed, Refused and Unknown are final.
const (
	Waiting    State = iota // Queued; nothing has run anywhere.
	Claimed                 // Its key is reserved; nothing has run yet.
	Sending                 // Bytes may be leaving for an upstream.
	Dispatched              // Bytes have left.
	Answered                // The caller has the whole answer.
	Failed                  // It ran and the upstream said no.
	Refused                 // It did not run and never will.
	Unknown                 // It may have run; no one can say.
)

// ErrStep marks a step that the life cycle does not allow.
var ErrStep = errors.New("life: step not allowed")

// next lists the allowed steps. No row leads from Dispatched back to a state
// that can send: a request whose bytes may have left is never placed again, so
// it can't run twice however the answer was lost. Sending goes back only when
// the sender proves that no byte left. A claim is kept while its request is
// placed again, so Claimed has no way back to Waiting.
var next = [...][]State{
	Waiting:    {Claimed, Sending, Refused, Unknown, Answered, Failed},
	Claimed:    {Sending, Refused},
	Sending:    {Waiting, Claimed, Dispatched, Unknown},
	Dispatched: {Answered, Failed, Unknown},
	Unknown:    {},
	Refused:    {},
	Failed:     {},
	Answered:   {},
}

// To moves to the next state or returns ErrStep. Waiting goes straight to
// Answered, Failed or Unknown only for a second submission, which takes the
// result of the run that it joined.
func (s *State) To(to State) error {
	if !slices.Contains(next[*s], to) {
		return fmt.Errorf("%w: from %s to %s", ErrStep, *s, to)
	}
	*s = to
	return nil
}

// Final reports whether no further step exists.
func (s State) Final() bool { return len(next[s]) == 0 }

// MayHaveRun reports whether the request may have reached an upstream.
func (s State) MayHaveRun() bool { return s != Waiting && s != Claimed && s != Refused }

// Outcome is the value of the azurelane-outcome header for a final state. A
// state that is not final counts as unknown.
func (s State) Outcome() string {
	switch s {
	case Answered:
		return "whole"
	case Failed:
		return "failed"
	case Refused:
		return "not-run"
	default:
		return "unknown"
	}
}

// String names the state.
func (s State) String() string {
	names := [...]string{"waiting", "claimed", "sending", "dispatched", "answered", "failed", "refused", "unknown"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}
