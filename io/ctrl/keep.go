package ctrl

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/raft"
	"azurelane/core/wire"
	"azurelane/io/disk"
)

// keepRetry is the time between two tries to write to a full disk.
const keepRetry = 100 * time.Millisecond

// unkept is what waits for the disk: records, and messages that count on them. On a
// full disk both wait for room. The replica goes on as a member that keeps nothing
// new and promises nothing; a process that ended instead would end again after each
// start for as long as the disk is full, and the group would lack what it holds.
type unkept struct {
	install  *wire.Snapshot // Replaces the log on disk first.
	records  []*wire.Record
	promises []*wire.Raft
	replaced bool // A new snapshot has brought all of it to the disk.
	full     bool
	retry    time.Time // No try before, on a full disk.
}

func (u *unkept) add(e raft.Effects) {
	u.records = append(u.records, e.Records...)
	u.promises = append(u.promises, e.Promises...)
}

// waits reports whether anything has to be written.
func (u *unkept) waits() bool { return u.install != nil || len(u.records) > 0 }

// keep writes what waits, and sends the messages that count on it. It reports whether
// all is on disk that was not before.
func (c *Ctrl) keep(ctx context.Context) (synced bool, err error) {
	u := &c.unkept
	wrote := u.waits() || u.replaced
	u.replaced = false
	if u.waits() {
		if u.full && time.Now().Before(u.retry) {
			return false, nil
		}
		if err := c.write(); errors.Is(err, disk.ErrFull) {
			c.stall(err)
			return false, nil
		} else if err != nil {
			return false, err
		}
	}
	if u.full {
		u.full = false
		c.Log.Info("Disk has room again.")
	}
	for _, m := range u.promises {
		c.peers.send(ctx, c, m)
	}
	u.promises = nil
	return wrote, nil
}

// write puts what waits on disk.
func (c *Ctrl) write() error {
	u := &c.unkept
	if u.install != nil {
		if err := c.store.Compact(u.install, c.raft.Tail()...); err != nil {
			return err
		}
		u.install, u.records = nil, nil // The tail has them.
		return nil
	}
	if err := c.store.Append(u.records...); err != nil {
		return err
	}
	u.records = nil
	return nil
}

// stall notes that the disk is full.
func (c *Ctrl) stall(err error) {
	u := &c.unkept
	if !u.full {
		c.Log.Error(err, "Disk is full; this replica keeps nothing new until there is room.")
	}
	u.full, u.retry = true, time.Now().Add(keepRetry)
	c.raft.Stall()
}
