// Package ctrl implements a control replica. It runs the replicated log on a disk, applies
// committed entries and replies to the beats of entries, the processes that serve callers.
package ctrl

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/disk"
)

const (
	// CompactAfter is the minimum number of log entries that a snapshot replaces. It bounds the
	// entries read at a restart. With more claims than that, it is the number of claims, so that
	// the cost of snapshots per entry does not grow with the claims.
	CompactAfter = 1000
	// CompactSize is the growth of the log file in bytes after which it is compacted as well, or
	// the size of the snapshot, if that is more. It bounds the disk, the memory for the log and
	// what is read at a restart, as each change holds a document of up to some megabytes.
	CompactSize = 8 << 20
	// StaleAfter is the time without a leader after which a replica tells entries to ask another.
	StaleAfter = 3 * time.Second

	tickEvery = 20 * time.Millisecond
	batchMax  = 256 // Maximum number of messages and proposals for one sync.
	queueMax  = 1024
)

type (
	// Ctrl is a control replica. Its exported fields are set before Open is called, and Sender
	// before Serve.
	Ctrl struct {
		Name      string // Node name.
		Address   netip.AddrPort
		Control   []netip.AddrPort // Peer addresses of all replicas, or of the founders of the group.
		Centre    string           // Data centre, in groups that form by themselves.
		Bootstrap bool             // Found a group if all other replicas are empty too.
		After     uint64           // With Bootstrap: the last configuration version of an earlier group.
		Election  time.Duration    // Election timeout, the same at all replicas; zero for raft.DefaultElectionTimeout.
		Leaseless bool             // All reads go through the log, at all replicas of the group.
		// LeaveTimeout is the maximum time that Leave waits for the next leader and its release;
		// zero for raft.DefaultLeaveTimeout.
		LeaveTimeout time.Duration
		Sender       sender
		// Beside sends over other connections than Sender, for messages that must not wait behind
		// lost packets. Nil discards these messages.
		Beside sender
		Log    logr.Logger

		store    store
		id       string
		raft     *raft.Raft
		state    state.State
		snapped  uint64    // Index of the newest snapshot.
		retry    time.Time // Earliest time of the next compaction, after one failed.
		snapSize int64     // Size of the newest snapshot's data in bytes.
		size     int64     // Size of the log in bytes after the last write.
		// replacedSize is the size of the log in bytes after it was last replaced by this
		// process; zero before.
		replacedSize int64
		saving       chan saved // Receives the snapshot being written; nil for none.
		applied      uint64
		unsynced     unsynced
		waiting      map[uint64]*proposal // By log index.
		clock        clock
		expire       time.Time // Time of the next check for expired claims.

		in    chan *wire.Raft
		props chan *proposal
		calls chan func(now time.Time) raft.Effects
		leave chan struct{}
		once  sync.Once
		done  chan struct{}

		observer observer
		view     atomic.Pointer[view]
		beats    beats
		peers    peers
	}

	// sender is the mesh.
	sender interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
	}

	// store is the disk.
	store interface {
		Append(recs ...*wire.Record) error
		Compact(snap *wire.Snapshot, recs ...*wire.Record) error
		Prepare(snap *wire.Snapshot) (put func(recs ...*wire.Record) error, err error)
		Size() int64
		Close() error
	}
)

// Open reads the data folder and loads the state from its snapshot. Later entries of the log are
// applied once a leader reports them as committed.
func (c *Ctrl) Open(dir string) error {
	l, snap, recs, err := disk.Open(dir)
	if err != nil {
		return fmt.Errorf("ctrl: %w", err)
	}
	return c.open(l, l.Identity, snap, recs)
}

func (c *Ctrl) open(s store, id string, snap *wire.Snapshot, recs []*wire.Record) error {
	c.store, c.id, c.size = s, id, s.Size()
	c.in = make(chan *wire.Raft, queueMax)
	c.props = make(chan *proposal, queueMax)
	c.calls = make(chan func(time.Time) raft.Effects)
	c.leave, c.done = make(chan struct{}), make(chan struct{})
	c.waiting = map[uint64]*proposal{}
	if err := c.load(snap); err != nil {
		return err
	}
	c.start(time.Now(), snap, recs)
	return nil
}

func (c *Ctrl) start(now time.Time, snap *wire.Snapshot, recs []*wire.Record) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.id))
	c.raft = &raft.Raft{ID: c.id, ElectionTimeout: c.Election, Leaseless: c.Leaseless, HandsOverVotes: c.Centre != "", LeaveTimeout: c.LeaveTimeout, Rand: rand.New(rand.NewPCG(h.Sum64(), uint64(now.UnixNano())))} //nolint:gosec // It spreads timeouts; no secret.
	c.raft.Start(now, snap, recs)
	c.publish(now)
}

func (c *Ctrl) load(snap *wire.Snapshot) error {
	if snap == nil {
		return nil
	}
	c.observer.mu.Lock()
	defer c.observer.mu.Unlock()
	if err := c.state.Load(snap.GetData()); err != nil {
		return fmt.Errorf("ctrl: %w", err)
	}
	c.applied, c.snapped, c.snapSize = snap.GetIndex(), snap.GetIndex(), int64(len(snap.GetData()))
	c.observer.broadcast()
	return nil
}

// Serve runs the replica until ctx ends or Leave is called. A disk error ends the process: it is
// unknown what was written, and the replica could acknowledge entries that it does not hold.
func (c *Ctrl) Serve(ctx context.Context) error {
	defer close(c.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.Bootstrap && c.raft.Group() == "" {
		go c.foundGroup(ctx)
	}
	err := c.loop(ctx)
	if c.saving != nil {
		<-c.saving // It still writes to the data folder.
	}
	if w := c.unsynced.write; w != nil {
		if werr := <-w.done; err == nil && werr != nil {
			c.Log.Error(werr, "Last write failed.")
		}
	}
	if cerr := c.store.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		c.Log.Error(err, "Replica stops.")
		return fmt.Errorf("%w: ctrl: %w", suture.ErrTerminateSupervisorTree, err)
	}
	return suture.ErrDoNotRestart
}

// Leave transfers leadership, if this replica leads, waits for the release by the leader, and returns
// once Serve has returned.
func (c *Ctrl) Leave(ctx context.Context) {
	c.once.Do(func() { close(c.leave) })
	select {
	case <-c.done:
	case <-ctx.Done():
	}
}

func (c *Ctrl) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	leave, leaving := c.leave, false
	for {
		b := batch{ctrl: c}
		select {
		case <-ctx.Done():
			return nil
		case <-leave:
			leave, leaving = nil, true
			b.add(c.raft.Leave(time.Now()))
		case m := <-c.in:
			b.step(m)
		case p := <-c.props:
			b.props = append(b.props, p)
		case f := <-c.calls:
			b.add(f(time.Now()))
		case s := <-c.ready():
			c.saving = nil
			c.saved(s)
		case err := <-c.unsynced.writeDone():
			var e raft.Effects
			e, b.err = c.finishWrite(ctx, err)
			b.add(e)
		case <-tick.C:
			c.checkDisk(time.Now())
			b.add(c.raft.Tick(time.Now()))
			b.expire()
		}
		if leaving && c.raft.IsLeader() && !c.raft.Transferring() {
			b.add(c.raft.Leave(time.Now()))
		}
		b.drain()
		if err := b.finish(ctx); err != nil {
			return err
		}
		if !leaving {
			continue
		}
		if why := c.raft.MayStop(time.Now()); why != "" {
			c.Log.Info("Replica leaves.", "why", why, "term", c.raft.Term())
			return nil
		}
	}
}

// TransferLeadership hands leadership to another replica, if this one leads.
func (c *Ctrl) TransferLeadership(ctx context.Context) error {
	return c.do(ctx, func(now time.Time) raft.Effects { return c.raft.TransferLeadership(now) })
}

// do runs f in the loop and waits for it.
func (c *Ctrl) do(ctx context.Context, f func(now time.Time) raft.Effects) error {
	ran := make(chan struct{})
	select {
	case c.calls <- func(now time.Time) raft.Effects {
		defer close(ran)
		return f(now)
	}:
		<-ran
		return nil
	case <-c.done:
		return errStopped
	case <-ctx.Done():
		return fmt.Errorf("ctrl: %w", ctx.Err())
	}
}
