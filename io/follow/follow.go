// Package follow keeps an entry's configuration up to date. The entry sends heartbeats to the
// control replicas, whose answers carry a newer configuration, and falls back to neighbouring
// entries while no replica is up to date.
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
	// BeatInterval is the interval between two heartbeats, each of which asks for a newer
	// configuration. A change is in force about a second after control has accepted it.
	BeatInterval = time.Second
	// CallTimeout is the timeout of a call to one replica or neighbour, and so the longest delay
	// that an unresponsive replica causes before the entry tries the next.
	CallTimeout = 700 * time.Millisecond
	// startupNeighbours is the number of neighbours that an entry without a configuration asks in
	// each interval.
	startupNeighbours = 3
	// startupGrace is how long an entry without a configuration looks for a replica that is up to
	// date, before it installs the newest configuration of those that may be behind.
	startupGrace = 4 * time.Second
)

// errStale is returned if a replica reports that it may be behind, or answers with an older
// version than this entry has.
var errStale = errors.New("follow: replica may be behind")

type (
	// Follower sends heartbeats to one control replica for as long as that replica is up to date,
	// and then moves on to the next. It installs only higher versions, so that no answer can
	// bring back an old one. While no replica is up to date, it asks neighbours, so that an entry
	// that is cut off from control or has just started gets the newest configuration of its data
	// centre. Its exported fields are set before Serve is called.
	Follower struct {
		DataCentre string
		NewBeat    func() *wire.Beat // Builds a heartbeat; its version is filled in later.
		Replicas   []netip.AddrPort
		Neighbours func() []netip.AddrPort // Peer addresses of entries here; may be nil.
		// OnRemoteEntries is called with the entries of other data centres that an answer lists,
		// which may be none. It may be nil.
		OnRemoteEntries func([]*wire.Member)
		Caller          caller
		Install         func(version uint64, cfg *conf.Config) // Called with each new configuration.
		Log             logr.Logger

		current       atomic.Pointer[activeConfig]
		startedAt     time.Time
		nextReplica   int // Index of the replica for the next heartbeat.
		nextNeighbour int // Index of the neighbour that was asked last.
		controlLost   bool
	}

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}

	activeConfig struct {
		version  uint64
		document []byte
		cfg      *conf.Config
	}
)

// Serve sends heartbeats until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	// A random first replica spreads the entries over all replicas.
	f.nextReplica = rand.IntN(max(len(f.Replicas), 1)) //nolint:gosec // Only spreads load.
	f.startedAt = time.Now()
	tick := time.NewTicker(BeatInterval)
	defer tick.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Config returns the configuration in force, or nil before the first one.
func (f *Follower) Config() *conf.Config {
	if now := f.current.Load(); now != nil {
		return now.cfg
	}
	return nil
}

// Version returns the version in force, or zero before the first one.
func (f *Follower) Version() uint64 {
	if now := f.current.Load(); now != nil {
		return now.version
	}
	return 0
}

// Answer answers a neighbour's query with the version in force, and with its document if that is
// newer than the neighbour's.
func (f *Follower) Answer(q *wire.ConfigQuery) *wire.BeatReply {
	r := &wire.BeatReply{Version: f.Version()}
	if now := f.current.Load(); now != nil && now.version > q.GetVersion() {
		r.Document = now.document
	}
	return r
}

// refresh sends a heartbeat to one replica after the other until one is up to date. It applies
// answers of replicas that may be behind only if none is up to date. Otherwise an entry that has
// just started would serve an old version for a moment, and its data centre would go back to it.
func (f *Follower) refresh(ctx context.Context) {
	var err error
	var best *wire.BeatReply
	for range f.Replicas {
		var r *wire.BeatReply
		if r, err = f.sendBeat(ctx, f.Replicas[f.nextReplica]); err == nil {
			f.logControlState(f.apply(r))
			return
		}
		best = newer(best, r)
		f.nextReplica = (f.nextReplica + 1) % len(f.Replicas)
		if ctx.Err() != nil {
			return
		}
	}
	f.logControlState(err)
	best = newer(best, f.askNeighbours(ctx))
	if f.Version() == 0 && time.Since(f.startedAt) < startupGrace {
		return // An election may be under way.
	}
	if err := f.apply(best); err != nil {
		f.Log.Info("Configuration not installed.", "err", err.Error())
	}
}

// newer returns the answer with the higher version. Either one may be nil.
func newer(a, b *wire.BeatReply) *wire.BeatReply {
	if b.GetVersion() > a.GetVersion() {
		return b
	}
	return a
}

// sendBeat sends a heartbeat to one replica. If the replica may be behind, sendBeat returns
// errStale along with its answer.
func (f *Follower) sendBeat(ctx context.Context, to netip.AddrPort) (*wire.BeatReply, error) {
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

// askNeighbours asks the next neighbour in turn, or up to startupNeighbours of them while this
// entry has no configuration. It returns the newest answer, or nil.
func (f *Follower) askNeighbours(ctx context.Context) *wire.BeatReply {
	if f.Neighbours == nil {
		return nil
	}
	list := f.Neighbours()
	n := min(len(list), 1)
	if f.Version() == 0 {
		n = min(len(list), startupNeighbours)
	}
	var best *wire.BeatReply
	for range n {
		f.nextNeighbour++
		q := &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: f.Version()}}}
		r, err := f.call(ctx, list[f.nextNeighbour%len(list)], q)
		if err != nil {
			f.Log.V(1).Info("Query to a neighbour failed.", "err", err.Error())
			continue
		}
		best = newer(best, r)
	}
	return best
}

// call sends a heartbeat or a query to a peer and returns its answer.
func (f *Follower) call(ctx context.Context, to netip.AddrPort, q *wire.Frame) (*wire.BeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	r, err := f.Caller.Call(ctx, to, q)
	if err != nil {
		return nil, fmt.Errorf("follow: ask %s: %w", to, err)
	}
	return r.GetBeatReply(), nil
}

// logControlState logs when control becomes unavailable and when it is available again, rather than
// at each heartbeat.
func (f *Follower) logControlState(err error) {
	if lost := err != nil; lost != f.controlLost {
		f.controlLost = lost
		if lost {
			f.Log.Info("No control replica is up to date; keeping the current configuration.", "version", f.Version(), "err", err.Error())
		} else {
			f.Log.Info("A control replica is up to date again.", "version", f.Version())
		}
	}
}

// apply installs the configuration in an answer if it is newer than the one in force.
func (f *Follower) apply(r *wire.BeatReply) error {
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
	f.current.Store(&activeConfig{r.GetVersion(), r.GetDocument(), cfg})
	f.Install(r.GetVersion(), cfg)
	f.Log.Info("Configuration in force.", "version", r.GetVersion())
	return nil
}
