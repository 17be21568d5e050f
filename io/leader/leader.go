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

// ErrNone is returned when no control replica gave an answer in time. A
// command may or may not have been applied: only the same id may be sent again.
var ErrNone = errors.New("leader: no control replica answered")

// Fault codes of control replicas.
const (
	NotLeader = "not-leader" // Another replica is to be asked.
	Refused   = "refused"    // Final: the leader will never do it.
)

const (
	tryLimit  = 2 * time.Second       // One replica's time to answer.
	tryPause  = 50 * time.Millisecond // Between two rounds over all replicas.
	callLimit = 5 * time.Second       // All of it, where the caller sets no earlier end.
)

type (
	// Leader remembers which replica answered last and asks it first. Its
	// exported fields are set before use.
	Leader struct {
		Replicas []netip.AddrPort
		Caller   caller

		mu    sync.Mutex
		last  int
		named netip.AddrPort // By a replica, as the leader; invalid for none.
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// Propose hands a command to the leader and returns its result. Commands are
// idempotent by their id or by the claim they name, so a lost answer is asked
// for again at the next replica.
func (l *Leader) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	r, err := l.Ask(ctx, func() *wire.Frame { return &wire.Frame{Body: &wire.Frame_Command{Command: c}} })
	if err != nil {
		return nil, err
	}
	return r.GetResult(), nil
}

// Ask sends the frame that build makes to one replica after the other until
// one answers without a fault.
func (l *Leader) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	last := ErrNone
	for {
		for range l.Replicas {
			r, err := l.try(ctx, build())
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
		case <-time.After(tryPause):
		}
	}
}

func (l *Leader) try(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	l.mu.Lock()
	to := l.named
	if !to.IsValid() {
		to = l.Replicas[l.last]
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	r, err := l.Caller.Call(ctx, to, f)
	if err != nil {
		l.move(to, err)
		return nil, err
	}
	return r, nil
}

// move turns to the leader that the fault names, which need not be one of the
// replicas that this process was told of, or else to the next replica.
func (l *Leader) move(from netip.AddrPort, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from != l.named && (l.named.IsValid() || from != l.Replicas[l.last]) {
		return // Another call moved on already.
	}
	var fault *wire.Fault
	if errors.As(err, &fault) {
		if a, perr := netip.ParseAddrPort(fault.GetLeader()); perr == nil && a != from {
			l.named = a
			return
		}
	}
	l.named = netip.AddrPort{}
	l.last = (l.last + 1) % len(l.Replicas)
}
