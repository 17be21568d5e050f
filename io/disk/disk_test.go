package disk

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"azurelane/core/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1") // The same runs each time.
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func entry(i uint64, size int) *wire.Record {
	return &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.LogEntry{Index: i, Term: 1, Command: bytes.Repeat([]byte{byte(i%250 + 1)}, size)}}}
}

// filled returns a folder with n frames of one record each, and the log's size after each frame.
func filled(t *testing.T, n int) (*fakeDir, []int) {
	t.Helper()
	d := newFake(1)
	l, _ := opened(t, d)
	ends := []int{int(l.Size())}
	for i := range n {
		must.NoError(t, l.Append(entry(uint64(i+1), 40*i+3)))
		ends = append(ends, int(l.Size()))
	}
	return d, ends
}

func opened(t *testing.T, d *fakeDir, notes ...must.Setting) (*Log, []*wire.Record) {
	t.Helper()
	l, _, recs, err := open(d)
	must.NoError(t, err, notes...)
	return l, recs
}

func with(data []byte) *fakeDir {
	d := newFake(1)
	d.now[logName] = &inode{data: data}
	return d
}

// Guards against a replica that does not start, or loses earlier frames, after a power loss during a
// write, with any number of the frame's bytes in the file.
func TestTornTailIsCutOffAtEveryByte(t *testing.T) {
	d, ends := filled(t, 20)
	data := d.now[logName].data
	for k := ends[0]; k < len(data); k++ {
		cut := with(append([]byte(nil), data[:k]...))
		l, recs := opened(t, cut, must.Sprintf("cut at %d", k))
		whole := 0
		for _, e := range ends[1:] {
			if e <= k {
				whole++
			}
		}
		must.Len(t, whole, recs)
		must.NoError(t, l.Append(entry(99, 5)))
		_, recs = opened(t, cut)
		must.Len(t, whole+1, recs)
	}
}

// Guards against serving changed data, or dropping acknowledged frames as torn, after one bit of the log
// has flipped: in any header, payload or padding. The replica must refuse to start.
func TestFlippedBitIsFoundAtEveryByte(t *testing.T) {
	d, _ := filled(t, 20)
	data := d.now[logName].data
	for k := range data {
		bad := append([]byte(nil), data...)
		bad[k] ^= 1 << (k % 8)
		_, _, _, err := open(with(bad))
		must.ErrorIs(t, err, ErrDamaged, must.Sprintf("bit at %d", k))
	}
}

// Guards against taking a lost sector in the middle of the log for a torn write. A later frame shows that
// it was synced.
func TestLostSectorInTheMiddleIsDamage(t *testing.T) {
	d, ends := filled(t, 20)
	data := d.now[logName].data
	for lo := sector; lo+sector < ends[len(ends)-2]; lo += sector {
		bad := append([]byte(nil), data...)
		clear(bad[lo : lo+sector])
		_, _, _, err := open(with(bad))
		must.ErrorIs(t, err, ErrDamaged, must.Sprintf("sector at %d", lo))
	}
}

// Guards against taking a flipped bit for unwritten sectors if the last frame's payload contains many
// zeros.
func TestZerosOfThePayloadAreNoHole(t *testing.T) {
	d, ends := filled(t, 1)
	l, _ := opened(t, d)
	rec := &wire.Record{Kind: &wire.Record_Entry{Entry: &wire.LogEntry{Index: 2, Command: make([]byte, 3*sector)}}}
	must.NoError(t, l.Append(rec))
	data := d.now[logName].data
	data[ends[1]+headSize+5] ^= 4
	_, _, _, err := open(with(data))
	must.ErrorIs(t, err, ErrDamaged)
}

// Guards against lost, reordered or partial writes after a crash at any call that writes, syncs or
// renames, with any part of the unsynced sectors on disk. After the restart all acknowledged writes must
// be there in order, and the last one completely or not at all.
func TestCrashAtEverySyncPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for dieAt := 1; ; dieAt++ {
			d := newFake(seed + uint64(dieAt))
			d.dieAt = dieAt
			acked, maybe := script(d, seed)
			if !d.dead {
				break
			}
			after := d.crash()
			l, snap, recs, err := open(after)
			if err != nil {
				t.Fatalf("dies at %d: %v", dieAt, err)
			}
			got := image(snap, recs)
			if got != acked && got != maybe {
				t.Fatalf("dies at %d: found %s, acknowledged %s, maybe %s", dieAt, got, acked, maybe)
			}
			if err := l.Append(entry(1000, 9)); err != nil {
				t.Fatal(err)
			}
			if _, ok := after.now[newName]; ok {
				t.Fatal("an unfinished file is left")
			}
		}
	})
}

// script runs a fixed sequence of writes until the machine crashes. It returns the acknowledged content,
// and the content if the last write was completed.
func script(d *fakeDir, seed uint64) (acked, maybe string) {
	l, snap, recs, err := open(d)
	if err != nil {
		return image(nil, nil), image(nil, nil)
	}
	rnd := newFake(seed).rnd
	acked = image(snap, recs)
	for i := uint64(1); i < 12; i++ {
		if rnd.IntN(4) == 0 {
			snap, recs = &wire.Snapshot{Index: i, Data: bytes.Repeat([]byte("s"), rnd.IntN(3000))}, nil
			err = l.Compact(snap)
		} else {
			batch := []*wire.Record{entry(i, rnd.IntN(1500)), entry(i+100, rnd.IntN(30))}
			recs = append(recs, batch...)
			err = l.Append(batch...)
		}
		maybe = image(snap, recs)
		if err != nil {
			return acked, maybe
		}
		acked = maybe
	}
	return acked, maybe
}

func image(snap *wire.Snapshot, recs []*wire.Record) string {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Batch{Records: recs})
	return fmt.Sprintf("snapshot %d of %d bytes, %d records %x", snap.GetIndex(), len(snap.GetData()), len(recs), b)
}

// Guards against acknowledging writes after a failed fsync, in an append or in a compaction: a second
// fsync may report success for pages that the first one dropped.
func TestFailedSyncStopsTheLog(t *testing.T) {
	for _, tt := range []struct {
		name string
		run  func(l *Log) error
	}{
		{"append", func(l *Log) error { return l.Append(entry(1, 5)) }},
		{"compact", func(l *Log) error { return l.Compact(&wire.Snapshot{Index: 1}) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newFake(1)
			l, _ := opened(t, d)
			must.NoError(t, l.Append(entry(7, 5)))
			d.badFS = true
			must.ErrorIs(t, tt.run(l), ErrStopped)
			d.badFS = false
			must.ErrorIs(t, l.Append(entry(2, 5)), ErrStopped)
			must.ErrorIs(t, l.Compact(&wire.Snapshot{Index: 1}), ErrStopped)
			_, recs := opened(t, d.crash())
			must.Eq(t, 7, recs[0].GetEntry().GetIndex())
		})
	}
}

// Guards against partial writes after there was no space: on the disk, in a quota or within the maximum
// file size, in an append or in a compaction, at its beginning or end. The write must not be
// acknowledged, the log must be usable once there is space, and after a crash it must hold exactly the
// acknowledged writes.
func TestFullDiskLeavesTheLogWhole(t *testing.T) {
	for _, tt := range []struct {
		name  string
		limit int
		run   func(l *Log) error
	}{
		{"append", 200, func(l *Log) error { return l.Append(entry(1, 500)) }},
		{"append, no byte", 1, func(l *Log) error { return l.Append(entry(1, 5)) }},
		{"snapshot", 200, func(l *Log) error { return l.Compact(&wire.Snapshot{Data: make([]byte, 500)}) }},
		{"tail of a snapshot", 700, func(l *Log) error { return l.Compact(&wire.Snapshot{Data: make([]byte, 500)}, entry(8, 500)) }},
	} {
		for seed := range uint64(20) {
			for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
				t.Run(fmt.Sprint(tt.name, " ", full, " ", seed), func(t *testing.T) {
					d := newFake(seed)
					l, _ := opened(t, d)
					must.NoError(t, l.Append(entry(7, 5)))
					d.limit, d.full = tt.limit, full
					must.ErrorIs(t, tt.run(l), ErrFull)
					_, recs := opened(t, d.crash())
					must.Len(t, 1, recs)
					d.limit = 0
					must.NoError(t, l.Append(entry(8, 5)))
					_, recs = opened(t, d.crash())
					must.Len(t, 2, recs)
					must.Eq(t, 8, recs[1].GetEntry().GetIndex())
				})
			}
		}
	}
}

// Checks that a real folder keeps its identity after restarts, can be opened once at a time, and holds
// only the log and its lock after many compactions.
func TestFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	l, _, _, err := Open(dir)
	must.NoError(t, err)
	id := l.Identity
	_, _, _, err = Open(dir)
	must.ErrorIs(t, err, ErrInUse)
	must.NoError(t, os.WriteFile(filepath.Join(dir, newName), []byte("unfinished"), 0o600))
	for i := range uint64(5) {
		must.NoError(t, l.Append(entry(i, 10)))
		must.NoError(t, l.Compact(&wire.Snapshot{Index: i}, entry(i+1, 3)))
	}
	must.NoError(t, l.Close())
	l, snap, recs, err := Open(dir)
	must.NoError(t, err)
	must.Eq(t, id, l.Identity)
	must.Eq(t, 4, snap.GetIndex())
	must.Len(t, 1, recs)
	must.NoError(t, l.Close())
	names, err := os.ReadDir(dir)
	must.NoError(t, err)
	must.Len(t, 2, names)
	other, _, _, err := Open(filepath.Join(t.TempDir(), "replaced"))
	must.NoError(t, err)
	must.NotEq(t, id, other.Identity)
}

// BenchmarkOpen measures a restart with changes of 20 KB after the snapshot.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{125, 250, 500, 1000} {
		b.Run(fmt.Sprintf("changes-%d", n), func(b *testing.B) {
			dir := b.TempDir()
			l, _, _, err := Open(dir)
			must.NoError(b, err)
			for i := range uint64(n) {
				must.NoError(b, l.Append(entry(i+1, 20<<10)))
			}
			must.NoError(b, l.Close())
			for b.Loop() {
				l, _, recs, err := Open(dir)
				must.NoError(b, err)
				must.Len(b, n, recs)
				must.NoError(b, l.Close())
			}
		})
	}
}
