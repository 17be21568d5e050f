package ctrl

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/raft"
	"azurelane/core/wire"
	"azurelane/io/disk"
)

// keepRetry is the time between two tries to write to a full disk.
const keepRetry = 100 * time.Millisecond

type (
	// unkept is what waits for the disk: records, and messages that count on them. On a
	// full disk both wait for room. The replica goes on as a member that keeps nothing
	// new and promises nothing; a process that ended instead would end again after each
	// start for as long as the disk is full, and the group would lack what it holds.
	unkept struct {
		install  *wire.Snapshot // Replaces the log on disk first.
		records  []*wire.Record
		promises []*wire.Raft
		write    *write // Under way; nil for none.
		full     bool
		retry    time.Time // No try before, on a full disk.
	}

	// write is a write beside the loop: heartbeats must not wait for a slow disk.
	write struct {
		install  *wire.Snapshot
		saved    *saved // A snapshot of the replica's own.
		records  []*wire.Record
		promises []*wire.Raft
		start    time.Time
		slow     bool
		done     chan error
		size     int64 // Of the log, once done.
	}
)

func (u *unkept) add(e raft.Effects) {
	u.records = append(u.records, e.Records...)
	u.promises = append(u.promises, e.MessagesAfterSync...)
}

// waits reports whether anything has to be written.
func (u *unkept) waits() bool { return u.install != nil || len(u.records) > 0 }

// written brings the end of the write under way; nil for none.
func (u *unkept) written() <-chan error {
	if u.write == nil {
		return nil
	}
	return u.write.done
}

// replaces reports whether a write replaces the log.
func (w *write) replaces() bool { return w != nil && (w.install != nil || w.saved != nil) }

// keep begins to write what waits, unless a write is under way, and sends the messages
// that count on nothing unwritten.
func (c *Ctrl) keep(ctx context.Context) {
	u := &c.unkept
	switch {
	case u.write != nil || (u.full && time.Now().Before(u.retry)):
	case u.install != nil && c.saving != nil:
		// Both would write the same file.
	case u.waits():
		w := &write{install: u.install, records: u.records}
		if w.install != nil {
			w.records = c.raft.LogRecords()
		}
		c.begin(w)
	default:
		c.promise(ctx, u.promises)
		u.promises = nil
	}
}

// begin starts a write, which takes all messages that wait along.
func (c *Ctrl) begin(w *write) {
	u := &c.unkept
	w.promises, w.start, w.done = u.promises, time.Now(), make(chan error, 1)
	u.install, u.records, u.promises, u.write = nil, nil, nil, w
	c.raft.WriteStarted()
	go func() {
		err := c.put(w)
		w.size = c.store.Size()
		w.done <- err
	}()
}

func (c *Ctrl) put(w *write) error {
	switch {
	case w.saved != nil:
		return w.saved.put(w.records...)
	case w.install != nil:
		return c.store.Compact(w.install, w.records...)
	}
	return c.store.Append(w.records...)
}

// kept ends a write. What there was no room for waits, before what came after it.
func (c *Ctrl) kept(ctx context.Context, err error) (raft.Effects, error) {
	u := &c.unkept
	w := u.write
	u.write = nil
	c.size = w.size
	switch {
	case errors.Is(err, disk.ErrFull):
		c.restore(w)
		if w.saved == nil || u.waits() {
			c.stall(err)
			return raft.Effects{}, nil
		}
		return c.raft.WriteSynced(time.Now()), nil // The log as it was has everything.
	case err != nil:
		return raft.Effects{}, err
	}
	if u.full {
		u.full = false
		c.Log.Info("Disk has room again.")
	}
	if w.slow {
		c.Log.Info("Slow disk has kept what waited.", "took", time.Since(w.start).String())
	}
	if w.saved != nil {
		c.snapped, c.snapSize = max(c.snapped, w.saved.snap.GetIndex()), int64(len(w.saved.snap.GetData()))
	}
	c.promise(ctx, w.promises)
	return c.raft.WriteSynced(time.Now()), nil
}

// restore puts back what could not be written.
func (c *Ctrl) restore(w *write) {
	u := &c.unkept
	u.promises = slices.Concat(w.promises, u.promises)
	if u.install != nil {
		return // It has all that the records held.
	}
	switch {
	case w.saved != nil:
		c.Log.Info("Log not compacted.", "err", disk.ErrFull.Error())
		c.retry = time.Now().Add(compactRetry)
		u.records = slices.Concat(w.saved.records, u.records)
	case w.install != nil:
		u.install, u.records = w.install, nil // Its tail is taken anew.
	default:
		u.records = slices.Concat(w.records, u.records)
	}
}

func (c *Ctrl) promise(ctx context.Context, list []*wire.Raft) {
	for _, m := range list {
		c.peers.send(ctx, c, m)
	}
}

// lookAtDisk has the replica take nothing new while a write takes long.
func (c *Ctrl) lookAtDisk(now time.Time) {
	w := c.unkept.write
	// A follower that answers nothing seems dead.
	if w == nil || now.Sub(w.start) < cmp.Or(c.Election, raft.DefaultElectionTimeout)/4 {
		return
	}
	if !w.slow {
		w.slow = true
		c.Log.Info("Disk is slow; this replica takes nothing new until it has kept what waits.")
	}
	c.raft.DiskStalled()
}

// stall notes that the disk is full.
func (c *Ctrl) stall(err error) {
	u := &c.unkept
	if !u.full {
		c.Log.Error(err, "Disk is full; this replica keeps nothing new until there is room.")
	}
	u.full, u.retry = true, time.Now().Add(keepRetry)
	c.raft.DiskStalled()
}
