package disk

import (
	"math/rand/v2"
	"os"

	"github.com/pkg/errors"
)

var errCrash = errors.New("crashed")

type (
	// fakeDir is a folder in memory that may lose unsynced data in a crash.
	fakeDir struct {
		rnd    *rand.Rand
		now    map[string]*inode
		synced map[string]*inode
		ops    int   // Number of calls that write.
		dieAt  int   // Number of the call at which the machine crashes; zero for none.
		dead   bool  // The machine has crashed, and each call fails.
		full   error // Error of a write beyond the limit.
		limit  int   // Capacity of the disk in bytes; zero for no limit.
		badFS  bool  // Every fsync fails.
	}

	inode struct{ data, synced []byte }

	fakeFile struct {
		dir *fakeDir
		*inode
	}
)

func newFake(seed uint64) *fakeDir {
	return &fakeDir{rnd: rand.New(rand.NewPCG(seed, 1)), now: map[string]*inode{}, synced: map[string]*inode{}}
}

// op counts a call and reports whether the machine crashes in it.
func (d *fakeDir) op() bool {
	d.ops++
	if d.ops == d.dieAt {
		d.dead = true
	}
	return d.dead
}

// crash returns the folder after a crash, with a random part of the unsynced sectors and renames.
func (d *fakeDir) crash() *fakeDir {
	after := newFake(d.rnd.Uint64())
	src := d.synced
	if d.rnd.IntN(2) == 0 {
		src = d.now
	}
	for name, ino := range src {
		data := append([]byte(nil), ino.data...)
		if d.rnd.IntN(2) == 0 {
			data = data[:len(ino.synced)+d.rnd.IntN(len(data)-len(ino.synced)+1)]
		}
		for lo := len(ino.synced); lo < len(data); {
			hi := min(len(data), (lo/sector+1)*sector)
			if d.rnd.IntN(3) == 0 {
				clear(data[lo:hi])
			}
			lo = hi
		}
		n := &inode{data: data, synced: append([]byte(nil), data...)}
		after.now[name], after.synced[name] = n, n
	}
	return after
}

func (d *fakeDir) read(name string) ([]byte, error) {
	if n := d.now[name]; n != nil {
		return append([]byte(nil), n.data...), nil
	}
	return nil, os.ErrNotExist
}

func (d *fakeDir) open(name string, fresh bool) (file, error) {
	if d.op() {
		return nil, errCrash
	}
	if fresh {
		d.now[name] = &inode{}
	}
	return &fakeFile{d, d.now[name]}, nil
}

func (d *fakeDir) rename(from, to string) error {
	if d.op() {
		return errCrash
	}
	d.now[to] = d.now[from]
	delete(d.now, from)
	return nil
}

func (d *fakeDir) remove(name string) error {
	if d.now[name] == nil {
		return os.ErrNotExist
	}
	delete(d.now, name)
	return nil
}

func (d *fakeDir) sync() error {
	if d.op() {
		return errCrash
	}
	d.synced = map[string]*inode{}
	for name, n := range d.now {
		d.synced[name] = n
	}
	return nil
}

func (d *fakeDir) close() error { return nil }

func (f *fakeFile) Write(p []byte) (int, error) {
	if f.dir.op() {
		n := f.dir.rnd.IntN(len(p) + 1)
		f.data = append(f.data, p[:n]...)
		return n, errCrash
	}
	if f.dir.limit > 0 && len(f.data)+len(p) > f.dir.limit {
		n := max(f.dir.limit-len(f.data), 0)
		f.data = append(f.data, p[:n]...)
		return n, f.dir.full
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	if f.dir.op() {
		return errCrash
	}
	if f.dir.badFS {
		return errors.New("input/output error")
	}
	f.synced = append([]byte(nil), f.data...)
	return nil
}

func (f *fakeFile) Truncate(n int64) error {
	if f.dir.op() {
		return errCrash
	}
	f.data = f.data[:n]
	return nil
}

func (f *fakeFile) Close() error { return nil }
