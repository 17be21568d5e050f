// Package life defines the life cycle of a request at its entry.
package life

import (
	"fmt"
	"slices"

	"github.com/pkg/errors"
)

// State is the state of a request. The zero value is Waiting.
type State int

// The states. Answered, Failed, Refused and Unknown are final.
const (
	Waiting    State = iota // Queued; nothing has run.
	Claimed                 // Its key is reserved; nothing has run yet.
	Sending                 // Bytes may have been sent to an upstream.
	Dispatched              // Bytes have been sent.
	Answered                // The caller has the complete answer.
	Failed                  // It ran and the upstream reported a failure.
	Refused                 // It did not run and never will.
	Unknown                 // It may have run.
)

// ErrStep is returned for a transition that the life cycle does not allow.
var ErrStep = errors.New("life: step not allowed")

// next lists the allowed transitions. None leads from Dispatched back to a state that can send: a request
// whose bytes have been sent is never placed again, so it can't run twice, however the answer was lost.
// Sending goes back only if it is certain that no byte was sent. A claim is kept while its request is placed
// again, so Claimed does not go back to Waiting.
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

// To changes the state or returns ErrStep. Waiting changes to Answered, Failed or Unknown directly only for a
// second submission, which gets the result of the run that it joined.
func (s *State) To(to State) error {
	if !slices.Contains(next[*s], to) {
		return fmt.Errorf("%w: from %s to %s", ErrStep, *s, to)
	}
	*s = to
	return nil
}

// Final reports whether there is no further transition.
func (s State) Final() bool { return len(next[s]) == 0 }

// MayHaveRun reports whether the request may have reached an upstream.
func (s State) MayHaveRun() bool { return s != Waiting && s != Claimed && s != Refused }

// Outcome returns the value of the azurelane-outcome header for a final state. Other states count as unknown.
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

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"waiting", "claimed", "sending", "dispatched", "answered", "failed", "refused", "unknown"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}
