// Package leader sends frames to the control replica that can answer them.
package leader

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/wire"
)

// ErrNone is returned when no control replica replied in time. A command may have been applied, so
// only one with the same ID may be sent again.
var ErrNone = errors.New("leader: no control replica answered")

// Fault codes of control replicas.
const (
	NotLeader = "not-leader" // Ask another replica.
	Refused   = "refused"    // Final; a retry fails too.
)

const (
	attemptTimeout = 2 * time.Second       // Timeout of one attempt.
	roundPause     = 50 * time.Millisecond // Pause after all replicas were tried.
	callTimeout    = 5 * time.Second       // Timeout of all attempts, unless the caller's is shorter.
)

type (
	// Leader is a client of the leader. It asks the replica that replied last first. Its exported
	// fields are set before use.
	Leader struct {
		Replicas []netip.AddrPort
		Caller   caller

		mu          sync.Mutex
		last        int
		namedLeader netip.AddrPort // The leader that a replica has named; invalid for none.
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// Propose sends a command to the leader and returns its result. Commands are idempotent by their ID
// or by their claim, so the command is sent to the next replica if a reply is lost.
func (l *Leader) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	r, err := l.Ask(ctx, func() *wire.Frame { return &wire.Frame{Body: &wire.Frame_Command{Command: c}} })
	if err != nil {
		return nil, err
	}
	return r.GetResult(), nil
}

// Ask sends the frame returned by build to one replica after another until one replies without a
// fault.
func (l *Leader) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	last := ErrNone
	for {
		for range l.Replicas {
			r, err := l.attempt(ctx, build())
			if err == nil {
				return r, nil
			}
			if ctx.Err() != nil {
				return nil, fmt.Errorf("%w: %w", ErrNone, err)
			}
			var fault *wire.Fault
			if errors.As(err, &fault) && fault.GetCode() == Refused {
				return nil, fault
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNone, last)
		case <-time.After(roundPause):
		}
	}
}

func (l *Leader) attempt(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	l.mu.Lock()
	to := l.namedLeader
	if !to.IsValid() {
		to = l.Replicas[l.last]
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := l.Caller.Call(ctx, to, f)
	if err != nil {
		l.selectNext(to, err)
		return nil, err
	}
	return r, nil
}

// selectNext selects the replica for the next attempt: the leader that the fault names, which may be
// missing in Replicas, or else the next replica.
func (l *Leader) selectNext(from netip.AddrPort, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != l.namedLeader && (l.namedLeader.IsValid() || from != l.Replicas[l.last]) {
		return // Another call has moved on already.
	}
	var fault *wire.Fault
	if errors.As(err, &fault) {
		if a, perr := netip.ParseAddrPort(fault.GetLeader()); perr == nil && a != from {
			l.namedLeader = a
			return
		}
	}
	l.namedLeader = netip.AddrPort{}
	l.last = (l.last + 1) % len(l.Replicas)
}
