package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// osFolder is a folder of the operating system.
type osFolder struct {
	path string
	lock *os.File
}

// openFolder creates the folder if it is missing and locks it. Two processes with one log would overwrite
// each other's entries and vote twice.
func openFolder(path string) (folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("disk: make folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(path, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("disk: open lock: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) //nolint:gosec // A file descriptor fits.
	if err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%w: %s", ErrInUse, path)
		}
		return nil, fmt.Errorf("disk: lock: %w", err)
	}
	return &osFolder{path, f}, nil
}

func (d *osFolder) read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(d.path, name)) }

func (d *osFolder) open(name string, fresh bool) (file, error) {
	flag := os.O_WRONLY | os.O_APPEND
	if fresh {
		flag |= os.O_CREATE | os.O_TRUNC
	}
	return os.OpenFile(filepath.Join(d.path, name), flag, 0o600)
}

func (d *osFolder) rename(from, to string) error {
	return os.Rename(filepath.Join(d.path, from), filepath.Join(d.path, to))
}

func (d *osFolder) remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

func (d *osFolder) sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

func (d *osFolder) close() error { return d.lock.Close() }
