// Package disk implements the write-ahead log of a control replica: a file in a data folder that
// begins with the replica's identity and newest snapshot.
//
// docs/design/log.md explains how damage is distinguished from a torn write.
package disk

import (
	"fmt"
	"os"
	"syscall"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

var (
	// ErrDamaged is returned when the log contains bytes that no torn write leaves. Continuing
	// would lose acknowledged commands, so the operator must decide.
	ErrDamaged = errors.New("disk: log damaged")
	// ErrStopped is returned after a failed write or sync. It is then unknown what was written, and
	// a second fsync may report success for pages that were dropped, so the log must be opened
	// again before it is used.
	ErrStopped = errors.New("disk: log stopped after a failed write")
	// ErrFull is returned when there is no space for a write. The partial write is truncated, so
	// the log is unchanged and can be used again.
	ErrFull = errors.New("disk: no room")
	// ErrInUse is returned when another process uses the folder.
	ErrInUse = errors.New("disk: data folder in use")
)

const (
	logName  = "log"
	newName  = "log.new" // A replacement that is not in force yet.
	lockName = "lock"
)

type (
	// Log is an open write-ahead log. It is not safe for concurrent use.
	Log struct {
		Identity string // Random; drawn when the data folder was created.

		dir     folder
		f       file
		seq     uint32 // Number of the last frame.
		size    int64
		stopped bool
	}

	// folder and file are the operations of a file system that the log uses. Names have no path.
	// Writes, renames and removals are durable only after a sync.
	folder interface {
		read(name string) ([]byte, error)
		open(name string, fresh bool) (file, error) // For appending.
		rename(from, to string) error
		remove(name string) error
		sync() error
		close() error
	}

	file interface {
		Write(p []byte) (int, error)
		Sync() error
		Truncate(size int64) error
		Close() error
	}
)

// Open reads the folder, and creates it if it is missing. It returns the newest snapshot, or nil, and
// the records after it. A torn frame at the end was never acknowledged and is truncated.
func Open(dir string) (*Log, *wire.Snapshot, []*wire.Record, error) {
	d, err := openFolder(dir)
	if err != nil {
		return nil, nil, nil, err
	}
	l, snap, recs, err := open(d)
	if err != nil {
		_ = d.close()
		return nil, nil, nil, err
	}
	return l, snap, recs, nil
}

func open(d folder) (*Log, *wire.Snapshot, []*wire.Record, error) {
	l := &Log{dir: d}
	// A crash during a replacement leaves an unfinished file, which was never in force. Such files
	// would fill the disk if they were kept.
	if err := d.remove(newName); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, nil, nil, fmt.Errorf("disk: remove: %w", err)
	}
	data, err := d.read(logName)
	if errors.Is(err, os.ErrNotExist) {
		// The file is renamed into place with its identity, so if it is missing, the folder is new
		// or the disk was replaced.
		l.Identity = uuid.NewString()
		if err := l.Compact(nil); err != nil {
			return nil, nil, nil, err
		}
		return l, nil, nil, nil
	}
	if err != nil {
		return nil, nil, nil, fmt.Errorf("disk: read log: %w", err)
	}
	snap, recs, err := l.load(data)
	if err != nil {
		return nil, nil, nil, err
	}
	return l, snap, recs, nil
}

func (l *Log) load(data []byte) (*wire.Snapshot, []*wire.Record, error) {
	var recs []*wire.Record
	for int(l.size) < len(data) {
		payload, n, err := next(data, int(l.size), l.seq+1)
		if errors.Is(err, errTorn) {
			break
		}
		var batch wire.Batch
		if err == nil {
			err = proto.Unmarshal(payload, &batch)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%w at byte %d: %w", ErrDamaged, l.size, err)
		}
		recs = append(recs, batch.GetRecords()...)
		l.size += int64(n)
		l.seq++
	}
	if len(recs) == 0 || recs[0].GetHead().GetIdentity() == "" {
		return nil, nil, fmt.Errorf("%w: no identity at its start", ErrDamaged)
	}
	l.Identity, recs = recs[0].GetHead().GetIdentity(), recs[1:]
	var snap *wire.Snapshot
	if len(recs) > 0 && recs[0].GetSnapshot() != nil {
		snap, recs = recs[0].GetSnapshot(), recs[1:]
	}
	return snap, recs, l.reopen(int(l.size) < len(data))
}

// reopen opens the log for appending and truncates a torn frame at its end.
func (l *Log) reopen(torn bool) error {
	f, err := l.dir.open(logName, false)
	if err != nil {
		return fmt.Errorf("disk: open log: %w", err)
	}
	l.f = f
	// The content may have been read from the page cache and not from the disk, if a process was
	// killed between a write and its fsync. The sync makes it durable before it is used.
	if torn {
		err = f.Truncate(l.size)
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.dir.sync()
	}
	if err != nil {
		_ = f.Close()
		return fmt.Errorf("disk: cut and sync log: %w", err)
	}
	return nil
}

// Append writes records as one frame and returns once they are synced.
func (l *Log) Append(recs ...*wire.Record) error {
	if l.stopped {
		return ErrStopped
	}
	data, err := encode(l.seq+1, recs)
	if err != nil {
		return err
	}
	if err := l.write(data); err != nil {
		return err
	}
	l.seq++
	l.size += int64(len(data))
	return nil
}

// write appends one frame. If there is no space for it, the partial frame is truncated, so that the
// next frame follows the last complete one. After a failed sync the content of the disk is unknown,
// whatever the error.
func (l *Log) write(data []byte) error {
	if _, err := l.f.Write(data); err != nil {
		if !isFull(err) {
			return l.stop(err)
		}
		if terr := l.f.Truncate(l.size); terr != nil {
			return l.stop(terr)
		}
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	if err := l.f.Sync(); err != nil {
		return l.stop(err)
	}
	return nil
}

// Compact replaces the log with a snapshot and the records after it.
func (l *Log) Compact(snap *wire.Snapshot, recs ...*wire.Record) error {
	put, err := l.Prepare(snap)
	if errors.Is(err, ErrFull) {
		return err
	}
	if err != nil {
		return l.stop(err)
	}
	return put(recs...)
}

// Prepare writes a snapshot to a file beside the log, while another goroutine may append to the log.
// One snapshot may be prepared at a time. The returned function replaces the log with the file and the
// records after the snapshot. It may be called by the goroutine that appends, once.
func (l *Log) Prepare(snap *wire.Snapshot) (func(recs ...*wire.Record) error, error) {
	first := []*wire.Record{{Kind: &wire.Record_Head{Head: &wire.Head{Identity: l.Identity}}}}
	if snap != nil {
		first = append(first, &wire.Record{Kind: &wire.Record_Snapshot{Snapshot: snap}})
	}
	data, err := encode(1, first)
	if err != nil {
		return nil, err
	}
	f, err := l.dir.open(newName, true)
	if err != nil {
		return nil, fmt.Errorf("disk: open: %w", noRoom(err))
	}
	if err := writeSynced(f, data); err != nil {
		return nil, fmt.Errorf("disk: write snapshot: %w", l.discard(f, err))
	}
	return func(recs ...*wire.Record) error { return l.put(f, int64(len(data)), recs) }, nil
}

// put atomically replaces the log with a prepared file: after a crash there is either the old log or
// the new one.
func (l *Log) put(f file, size int64, recs []*wire.Record) error {
	if l.stopped {
		_ = f.Close()
		return ErrStopped
	}
	data, err := encode(2, recs)
	if err != nil {
		return err
	}
	if err = writeSynced(f, data); isFull(err) {
		return fmt.Errorf("disk: write snapshot: %w", l.discard(f, err))
	}
	if err == nil {
		err = l.dir.rename(newName, logName)
	}
	if err == nil {
		err = l.dir.sync()
	}
	if err != nil {
		_ = f.Close()
		return l.stop(err)
	}
	if l.f != nil {
		_ = l.f.Close()
	}
	l.f, l.seq, l.size = f, 2, size+int64(len(data))
	return nil
}

func writeSynced(f file, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return err
}

// discard removes a file that could not be written and is not in force. On a full disk the log may need
// its space.
func (l *Log) discard(f file, err error) error {
	_ = f.Close()
	if rerr := l.dir.remove(newName); rerr != nil {
		err = fmt.Errorf("%w; file not removed: %w", err, rerr)
	}
	return noRoom(err)
}

// noRoom wraps an error as ErrFull if the disk is full.
func noRoom(err error) error {
	if isFull(err) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// isFull reports whether a write failed for lack of space: on the disk, in a quota, or within the
// maximum file size of the process.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// Size returns the size of the log file in bytes.
func (l *Log) Size() int64 { return l.size }

func (l *Log) stop(err error) error {
	l.stopped = true
	return fmt.Errorf("%w: %w", ErrStopped, err)
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	err := l.f.Close()
	if cerr := l.dir.close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("disk: close: %w", err)
	}
	return nil
}
