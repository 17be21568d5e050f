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

// diskFullRetry is the interval between attempts to write to a full disk.
const diskFullRetry = 100 * time.Millisecond

type (
	// unsynced holds records that are not synced yet and the messages that rely on them. On a full
	// disk both wait for space, and the replica stores and acknowledges nothing new. If the
	// process ended instead, it would end again after each restart while the disk is full, and
	// the group would lack the entries that it holds.
	unsynced struct {
		install  *wire.Snapshot // Replaces the log on disk before the records are written.
		records  []*wire.Record
		messages []*wire.Raft
		write    *write // In progress; nil for none.
		full     bool
		retry    time.Time // Time of the next attempt on a full disk.
	}

	// write is a write outside the loop, because heartbeats must not wait for a slow disk.
	write struct {
		install  *wire.Snapshot
		saved    *saved // A snapshot that this replica made.
		records  []*wire.Record
		messages []*wire.Raft
		start    time.Time
		slow     bool
		done     chan error
		size     int64 // Size of the log in bytes, once done.
	}
)

func (u *unsynced) add(e raft.Effects) {
	u.records = append(u.records, e.Records...)
	u.messages = append(u.messages, e.MessagesAfterSync...)
}

// pending reports whether anything is to be written.
func (u *unsynced) pending() bool { return u.install != nil || len(u.records) > 0 }

// writeDone returns the channel for the result of the write in progress; nil for none.
func (u *unsynced) writeDone() <-chan error {
	if u.write == nil {
		return nil
	}
	return u.write.done
}

// replaces reports whether a write replaces the log.
func (w *write) replaces() bool { return w != nil && (w.install != nil || w.saved != nil) }

// startWrite starts a write of the pending records, unless a write is in progress. If nothing is
// pending, it sends the waiting messages.
func (c *Ctrl) startWrite(ctx context.Context) {
	u := &c.unsynced
	switch {
	case u.write != nil || (u.full && time.Now().Before(u.retry)):
	case u.install != nil && c.saving != nil:
		// Both writes use the same file.
	case u.pending():
		w := &write{install: u.install, records: u.records}
		if w.install != nil {
			w.records = c.raft.LogRecords()
		}
		c.beginWrite(w)
	default:
		c.sendAll(ctx, u.messages)
		u.messages = nil
	}
}

// beginWrite starts a write, after which all waiting messages are sent.
func (c *Ctrl) beginWrite(w *write) {
	u := &c.unsynced
	w.messages, w.start, w.done = u.messages, time.Now(), make(chan error, 1)
	u.install, u.records, u.messages, u.write = nil, nil, nil, w
	c.raft.WriteStarted()
	go func() {
		err := c.performWrite(w)
		w.size = c.store.Size()
		w.done <- err
	}()
}

func (c *Ctrl) performWrite(w *write) error {
	switch {
	case w.saved != nil:
		return w.saved.put(w.records...)
	case w.install != nil:
		return c.store.Compact(w.install, w.records...)
	}
	return c.store.Append(w.records...)
}

// finishWrite completes a write. If the disk is full, its records wait again, before later ones.
func (c *Ctrl) finishWrite(ctx context.Context, err error) (raft.Effects, error) {
	u := &c.unsynced
	w := u.write
	u.write = nil
	c.size = w.size
	switch {
	case errors.Is(err, disk.ErrFull):
		c.requeue(w)
		if w.saved == nil || u.pending() {
			c.diskFull(err)
			return raft.Effects{}, nil
		}
		return c.raft.WriteSynced(time.Now()), nil // The old log has all records.
	case err != nil:
		return raft.Effects{}, err
	}
	if u.full {
		u.full = false
		c.Log.Info("Disk has space again.")
	}
	if w.slow {
		c.Log.Info("Slow disk write completed.", "took", time.Since(w.start).String())
	}
	if w.replaces() {
		c.replacedSize = w.size
	}
	if w.saved != nil {
		c.snapped, c.snapSize = max(c.snapped, w.saved.snap.GetIndex()), int64(len(w.saved.snap.GetData()))
	}
	c.sendAll(ctx, w.messages)
	return c.raft.WriteSynced(time.Now()), nil
}

// requeue queues the records and messages of a failed write again.
func (c *Ctrl) requeue(w *write) {
	u := &c.unsynced
	u.messages = slices.Concat(w.messages, u.messages)
	if u.install != nil {
		return // The snapshot contains the records.
	}
	switch {
	case w.saved != nil:
		c.Log.Info("Log not compacted.", "err", disk.ErrFull.Error())
		c.retry = time.Now().Add(compactRetry)
		u.records = slices.Concat(w.saved.records, u.records)
	case w.install != nil:
		u.install, u.records = w.install, nil // The next write collects the records again.
	default:
		u.records = slices.Concat(w.records, u.records)
	}
}

func (c *Ctrl) sendAll(ctx context.Context, list []*wire.Raft) {
	for _, m := range list {
		c.peers.send(ctx, c, m)
	}
}

// checkDisk makes the replica reject new entries while a write takes long.
func (c *Ctrl) checkDisk(now time.Time) {
	w := c.unsynced.write
	// A follower that does not reply at all would count as dead.
	if w == nil || now.Sub(w.start) < cmp.Or(c.Election, raft.DefaultElectionTimeout)/4 {
		return
	}
	if !w.slow {
		w.slow = true
		c.Log.Info("Disk write is slow; new entries are rejected until it completes.")
	}
	c.raft.DiskStalled()
}

// diskFull records that the disk is full.
func (c *Ctrl) diskFull(err error) {
	u := &c.unsynced
	if !u.full {
		c.Log.Error(err, "Disk is full; new entries are rejected until it has space.")
	}
	u.full, u.retry = true, time.Now().Add(diskFullRetry)
	c.raft.DiskStalled()
}
