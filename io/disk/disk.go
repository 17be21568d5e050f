// Package disk is the write-ahead log of a control replica: one folder that
// holds a log file and the newest snapshot.
package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

var (
	// ErrDamaged is returned when the log is damaged before its end. Going on
	// would lose acknowledged commands, so the operator must decide.
	ErrDamaged = errors.New("disk: log damaged")
	// ErrStopped is returned after a failed write or sync. What reached the disk
	// is then unknown, and a second fsync may report success for pages that were
	// dropped, so the log takes nothing more until it is opened anew.
	ErrStopped = errors.New("disk: log stopped after a failed sync")
)

const (
	logName  = "log"
	snapName = "snapshot"
	headSize = 8 // Length and CRC-32C, both 4 bytes little endian.
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is used by one goroutine at a time.
type Log struct {
	dir     string
	f       *os.File
	stopped bool
}

// Open reads the folder, which is made when it is missing. It returns the
// newest snapshot, or nil, and the records that follow it. A torn record at the
// end was never acknowledged and is cut off.
func Open(dir string) (*Log, *wire.Snapshot, []*wire.Record, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, nil, fmt.Errorf("disk: make folder: %w", err)
	}
	snap, err := readSnapshot(filepath.Join(dir, snapName))
	if err != nil {
		return nil, nil, nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, logName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("disk: open log: %w", err)
	}
	l := &Log{dir: dir, f: f}
	recs, err := l.load()
	if err != nil {
		_ = f.Close()
		return nil, nil, nil, err
	}
	if err := syncDir(dir); err != nil {
		_ = f.Close()
		return nil, nil, nil, err
	}
	return l, snap, recs, nil
}

func (l *Log) load() ([]*wire.Record, error) {
	data, err := io.ReadAll(l.f)
	if err != nil {
		return nil, fmt.Errorf("disk: read log: %w", err)
	}
	var recs []*wire.Record
	off := 0
	for off < len(data) {
		payload, n, err := next(data[off:])
		if err != nil {
			if tail(data[off:]) {
				break
			}
			return nil, fmt.Errorf("%w at byte %d: %w", ErrDamaged, off, err)
		}
		rec := &wire.Record{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return nil, fmt.Errorf("%w at byte %d: %w", ErrDamaged, off, err)
		}
		recs = append(recs, rec)
		off += n
	}
	if off < len(data) {
		if err := l.f.Truncate(int64(off)); err != nil {
			return nil, fmt.Errorf("disk: cut torn tail: %w", err)
		}
		if err := l.f.Sync(); err != nil {
			return nil, fmt.Errorf("disk: sync: %w", err)
		}
	}
	if _, err := l.f.Seek(int64(off), io.SeekStart); err != nil {
		return nil, fmt.Errorf("disk: seek: %w", err)
	}
	return recs, nil
}

var errShort = errors.New("short record")

// next returns the payload of the first record and the bytes it takes.
func next(data []byte) ([]byte, int, error) {
	if len(data) < headSize {
		return nil, 0, errShort
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > len(data)-headSize {
		return nil, 0, errShort
	}
	payload := data[headSize : headSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, errors.New("checksum differs")
	}
	return payload, headSize + n, nil
}

// tail reports whether a bad record is the torn end of the log and not damage
// in its middle: no whole record follows at any later byte.
func tail(data []byte) bool {
	for i := 1; i+headSize < len(data); i++ {
		if payload, _, err := next(data[i:]); err == nil && proto.Unmarshal(payload, &wire.Record{}) == nil {
			return false
		}
	}
	return true
}

// Append writes records and returns once they are synced.
func (l *Log) Append(recs ...*wire.Record) error {
	if l.stopped {
		return ErrStopped
	}
	data, err := encode(recs)
	if err != nil {
		return err
	}
	if _, err := l.f.Write(data); err != nil {
		l.stopped = true
		return fmt.Errorf("%w: write: %w", ErrStopped, err)
	}
	if err := l.f.Sync(); err != nil {
		l.stopped = true
		return fmt.Errorf("%w: sync: %w", ErrStopped, err)
	}
	return nil
}

// Compact replaces the log by a snapshot and the records that follow it. A
// crash between the two renames leaves the new snapshot with the old log, whose
// older entries the reader skips by their index.
func (l *Log) Compact(snap *wire.Snapshot, recs ...*wire.Record) error {
	if l.stopped {
		return ErrStopped
	}
	payload, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("disk: marshal snapshot: %w", err)
	}
	data, err := encode(recs)
	if err != nil {
		return err
	}
	if err := replace(l.dir, snapName, frame(nil, payload)); err != nil {
		return err
	}
	if err := replace(l.dir, logName, data); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(l.dir, logName), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("disk: open log: %w", err)
	}
	_ = l.f.Close()
	l.f = f
	return nil
}

// Close closes the log.
func (l *Log) Close() error {
	if err := l.f.Close(); err != nil {
		return fmt.Errorf("disk: close: %w", err)
	}
	return nil
}

func encode(recs []*wire.Record) ([]byte, error) {
	var data []byte
	for _, r := range recs {
		payload, err := proto.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("disk: marshal record: %w", err)
		}
		data = frame(data, payload)
	}
	return data, nil
}

func frame(data, payload []byte) []byte {
	data = binary.LittleEndian.AppendUint32(data, uint32(len(payload))) //nolint:gosec // Frames are far below 4 GiB.
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(payload, castagnoli))
	return append(data, payload...)
}

func readSnapshot(path string) (*wire.Snapshot, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil //nolint:nilnil // No snapshot yet is no error.
	}
	if err != nil {
		return nil, fmt.Errorf("disk: read snapshot: %w", err)
	}
	payload, n, err := next(data)
	if err != nil || n != len(data) {
		return nil, fmt.Errorf("%w: snapshot", ErrDamaged)
	}
	snap := &wire.Snapshot{}
	if err := proto.Unmarshal(payload, snap); err != nil {
		return nil, fmt.Errorf("%w: snapshot: %w", ErrDamaged, err)
	}
	return snap, nil
}

// replace puts a file in place at once: after a crash there is the old one or
// the new one, never a part.
func replace(dir, name string, data []byte) error {
	f, err := os.CreateTemp(dir, name+".new-*")
	if err != nil {
		return fmt.Errorf("disk: create: %w", err)
	}
	_, err = io.Copy(f, bytes.NewReader(data))
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("disk: replace %s: %w", name, err)
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("disk: open folder: %w", err)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("disk: sync folder: %w", err)
	}
	return nil
}
