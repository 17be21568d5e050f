// Package follow keeps an entry's configuration up to date.
package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/core/conf"
	"azurelane/core/sites"
	"azurelane/core/wire"
)

const (
	// BeatInterval is the interval at which an entry asks for a newer configuration.
	// With it a change is in force about a second after it was accepted.
	BeatInterval = time.Second
	// CallTimeout is how long one replica may take. A silent one costs a beat
	// no more than that before the next is asked.
	CallTimeout = 700 * time.Millisecond
	// firstNeighbours are asked by an entry that has nothing in force.
	firstNeighbours = 3
	// firstWait is how long such an entry looks for a replica that is surely up
	// to date, before it takes the best of what others have.
	firstWait = 4 * time.Second
)

// errStale is a replica's word that it may be behind, or the sign of it.
var errStale = errors.New("follow: replica may be behind")

type (
	// Follower beats at one control replica as long as that one is up to date, and
	// else at the next. It installs only higher versions, so that no answer,
	// whoever gives it, can bring an old one back. While no replica is up to date
	// it asks neighbours, so that an entry that is cut off from control, or has
	// just started, still learns what another entry of its data centre has. Its
	// exported fields are set before Serve is called.
	Follower struct {
		DataCentre       string
		NewBeat       func() *wire.Beat
		Replicas   []netip.AddrPort
		Neighbours func() []netip.AddrPort // Peer addresses of other entries; nil for none.
		OnRemoteEntries        func([]*wire.Member)    // Takes the entries of other data centres that control names; nil for none.
		Caller     caller
		Install    func(version uint64, cfg *conf.Config)
		Log        logr.Logger

		now   atomic.Pointer[inForce]
		began time.Time
		next  int // Replica to beat at.
		ask   int // Neighbour to ask.
		lost  bool
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}

	inForce struct {
		version uint64
		doc     []byte
		cfg     *conf.Config
	}
)

// Serve beats until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	// Each entry starts with another replica, so that all carry their part.
	f.next = rand.IntN(max(len(f.Replicas), 1)) //nolint:gosec // It spreads load; no secret.
	f.began = time.Now()
	tick := time.NewTicker(BeatInterval)
	defer tick.Stop()
	for {
		f.once(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Config returns what is in force, or nil before the first version is known.
func (f *Follower) Config() *conf.Config {
	if now := f.now.Load(); now != nil {
		return now.cfg
	}
	return nil
}

// Version returns the version in force, zero before the first.
func (f *Follower) Version() uint64 {
	if now := f.now.Load(); now != nil {
		return now.version
	}
	return 0
}

// Answer tells a neighbour what is in force here, if that is newer.
func (f *Follower) Answer(q *wire.ConfigQuery) *wire.BeatReply {
	r := &wire.BeatReply{Version: f.Version()}
	if now := f.now.Load(); now != nil && now.version > q.GetVersion() {
		r.Document = now.doc
	}
	return r
}

// once beats at one replica after the other until one is up to date. What those
// offer that may be behind is taken only when none is: an entry that has just
// started would else serve an old version for a moment, and its site would have
// gone back to it.
func (f *Follower) once(ctx context.Context) {
	var err error
	var best *wire.BeatReply
	for range f.Replicas {
		var r *wire.BeatReply
		if r, err = f.beat(ctx, f.Replicas[f.next]); err == nil {
			f.note(f.take(r))
			return
		}
		best = newer(best, r)
		f.next = (f.next + 1) % len(f.Replicas)
		if ctx.Err() != nil {
			return
		}
	}
	f.note(err)
	best = newer(best, f.askNeighbours(ctx))
	if f.Version() == 0 && time.Since(f.began) < firstWait {
		return // A leader may be about to be elected.
	}
	if err := f.take(best); err != nil {
		f.Log.Info("Configuration not taken.", "err", err.Error())
	}
}

// newer returns the answer with the higher version; either may be nil.
func newer(a, b *wire.BeatReply) *wire.BeatReply {
	if b.GetVersion() > a.GetVersion() {
		return b
	}
	return a
}

// beat returns errStale with the answer of a replica that may be behind.
func (f *Follower) beat(ctx context.Context, to netip.AddrPort) (*wire.BeatReply, error) {
	b := f.NewBeat()
	b.Version = f.Version()
	r, err := f.call(ctx, to, &wire.Frame{Body: &wire.Frame_Beat{Beat: b}})
	if err != nil {
		return nil, err
	}
	if f.OnRemoteEntries != nil {
		f.OnRemoteEntries(r.GetNeighbours())
	}
	if r.GetStale() || r.GetVersion() < b.GetVersion() {
		return r, fmt.Errorf("%w: %s", errStale, to)
	}
	return r, nil
}

// askNeighbours asks one neighbour a beat, in turn, and a few at once as long as
// nothing is in force here. It returns the newest answer, or nil.
func (f *Follower) askNeighbours(ctx context.Context) *wire.BeatReply {
	if f.Neighbours == nil {
		return nil
	}
	list := f.Neighbours()
	n := min(len(list), 1)
	if f.Version() == 0 {
		n = min(len(list), firstNeighbours)
	}
	var best *wire.BeatReply
	for range n {
		f.ask++
		q := &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: f.Version()}}}
		r, err := f.call(ctx, list[f.ask%len(list)], q)
		if err != nil {
			f.Log.V(1).Info("No answer from a neighbour.", "err", err.Error())
			continue
		}
		best = newer(best, r)
	}
	return best
}

// call asks a peer for a newer document.
func (f *Follower) call(ctx context.Context, to netip.AddrPort, q *wire.Frame) (*wire.BeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r, err := f.Caller.Call(ctx, to, q)
	if err != nil {
		return nil, fmt.Errorf("follow: ask %s: %w", to, err)
	}
	return r.GetBeatReply(), nil
}

// note logs when control is lost and found again, and not each beat.
func (f *Follower) note(err error) {
	if lost := err != nil; lost != f.lost {
		f.lost = lost
		if lost {
			f.Log.Info("No control replica is up to date; the configuration stays.", "version", f.Version(), "err", err.Error())
		} else {
			f.Log.Info("A control replica is up to date.", "version", f.Version())
		}
	}
}

func (f *Follower) take(r *wire.BeatReply) error {
	if r.GetVersion() <= f.Version() || len(r.GetDocument()) == 0 {
		return nil
	}
	set, err := sites.Parse(r.GetDocument())
	if err != nil {
		return fmt.Errorf("follow: version %d: %w", r.GetVersion(), err)
	}
	cfg, err := set.For(f.DataCentre)
	if err != nil {
		return fmt.Errorf("follow: version %d: %w", r.GetVersion(), err)
	}
	f.now.Store(&inForce{r.GetVersion(), r.GetDocument(), cfg})
	f.Install(r.GetVersion(), cfg)
	f.Log.Info("Configuration in force.", "version", r.GetVersion())
	return nil
}
