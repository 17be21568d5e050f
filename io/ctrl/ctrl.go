// Package ctrl is a control replica: it runs the replicated log over a disk,
// applies what is committed and answers the entries' beats.
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
	// CompactAfter is the number of log entries after which a snapshot replaces
	// them, so that a restart reads few more than that. With more claims than
	// that, it is their number: each entry then pays for about one claim of a
	// snapshot, however many there are.
	CompactAfter = 1000
	// CompactSize is the bytes of the log file beyond which it is compacted, too.
	// Documents of hundreds of routes would else fill a disk of 128 MB within a
	// thousand changes; this leaves room for sixteen logs.
	CompactSize = 8 << 20
	// StaleAfter is how long a replica may hear no leader before it tells the
	// entries to ask another.
	StaleAfter = 3 * time.Second

	tickEvery = 20 * time.Millisecond
	batchMax  = 256 // Messages and proposals taken between two syncs.
	queueMax  = 1024

	leaveLimit = 2 * time.Second // For the next leader to take over.
)

type (
	// Ctrl is one control replica. Its exported fields are set before Open is
	// called, and Sender before Serve.
	Ctrl struct {
		Name      string // Node name.
		Address   netip.AddrPort
		Control   []netip.AddrPort // Peer addresses of all replicas, or of those that found the group.
		Centre    string           // Data centre, where the group forms itself.
		Bootstrap bool             // Found a group if all other replicas are empty too.
		After     uint64           // With Bootstrap: the configuration version to go on from.
		Election  time.Duration    // Silence before another leads, the same at all replicas; zero for raft.DefaultElectionTimeout.
		Leaseless bool             // All reads go through the log, at all replicas of the group.
		Sender    sender
		Log       logr.Logger

		store    store
		id       string
		raft     *raft.Raft
		state    state.State
		snapped  uint64     // Index of the newest snapshot.
		retry    time.Time  // No compaction before, after one failed.
		snapSize int64      // Bytes of the newest snapshot's data.
		size     int64      // Bytes of the log after the last write.
		saving   chan saved // Brings the snapshot that is being written; nil for none.
		applied  uint64
		unkept   unkept
		waiting  map[uint64]*proposal // By log index.
		clock    clock
		expire   time.Time // When expired claims are next looked for.

		in    chan *wire.Raft
		props chan *proposal
		calls chan func(now time.Time) raft.Effects
		leave chan struct{}
		left  time.Time // When it was told to leave.
		once  sync.Once
		done  chan struct{}

		news  news
		view  atomic.Pointer[view]
		beats beats
		peers peers
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

// Open reads the data folder and brings the state up to its snapshot. What
// follows in the log is applied once a leader says that it is committed.
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
	c.raft = &raft.Raft{ID: c.id, ElectionTimeout: c.Election, Leaseless: c.Leaseless, Rand: rand.New(rand.NewPCG(h.Sum64(), uint64(now.UnixNano())))} //nolint:gosec // It spreads timeouts; no secret.
	c.raft.Start(now, snap, recs)
	c.publish(now)
}

func (c *Ctrl) load(snap *wire.Snapshot) error {
	if snap == nil {
		return nil
	}
	c.news.mu.Lock()
	defer c.news.mu.Unlock()
	if err := c.state.Load(snap.GetData()); err != nil {
		return fmt.Errorf("ctrl: %w", err)
	}
	c.applied, c.snapped = snap.GetIndex(), snap.GetIndex()
	c.news.tell()
	return nil
}

// Serve runs the replica until ctx ends or Leave was called. Any failure of the
// disk ends the process: what reached it is unknown then, and a replica that
// went on could acknowledge what it does not hold.
func (c *Ctrl) Serve(ctx context.Context) error {
	defer close(c.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if c.Bootstrap && c.raft.Group() == "" {
		go c.found(ctx)
	}
	err := c.loop(ctx)
	if c.saving != nil {
		<-c.saving // It writes into the data folder.
	}
	if w := c.unkept.write; w != nil {
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

// Leave hands leadership over, if this replica has it, and waits until Serve
// has ended.
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
			leave, leaving, c.left = nil, true, time.Now()
			b.add(c.raft.TransferLeadership(time.Now()))
		case m := <-c.in:
			b.step(m)
		case p := <-c.props:
			b.props = append(b.props, p)
		case f := <-c.calls:
			b.add(f(time.Now()))
		case s := <-c.ready():
			c.saving = nil
			c.saved(s)
		case err := <-c.unkept.written():
			var e raft.Effects
			e, b.err = c.kept(ctx, err)
			b.add(e)
		case <-tick.C:
			c.lookAtDisk(time.Now())
			b.add(c.raft.Tick(time.Now()))
			b.expire()
		}
		b.drain()
		if err := b.finish(ctx); err != nil {
			return err
		}
		if leaving && c.mayGo() {
			return nil
		}
	}
}

// mayGo reports whether a replica that leaves is no longer needed: another
// leads, for whose election its own vote may have been the last one missing,
// or none takes over.
func (c *Ctrl) mayGo() bool {
	switch {
	case time.Since(c.left) > leaveLimit:
		return true
	case c.raft.IsLeader():
		return !c.raft.Transferring()
	}
	return c.raft.Leader() != "" || c.raft.Group() == ""
}

// do runs f in the loop.
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
