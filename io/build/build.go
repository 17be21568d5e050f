// Package build tells which build of the program a process runs.
package build

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"

	"github.com/go-logr/logr"
)

// unknown stands for what the executable does not contain.
const unknown = "unknown"

// goNote is the section of the linker's build id, after a header of goNoteHeader bytes.
const (
	goNote       = ".note.go.buildid"
	goNoteHeader = 16
)

// Build identifies a build of the program.
type Build struct {
	Revision string // Of the repository. Unknown if Go was told to leave it out, as with -buildvcs=false.
	ID       string // Hash of the linked program by the linker, equal for the same code, Go version, flags and folder.
}

// Read reads the identity from the executable of this process.
func Read() Build {
	b := Build{Revision: unknown, ID: unknown}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				b.Revision = s.Value
			}
		}
	}
	if path, err := os.Executable(); err == nil {
		b.ID = idOf(path)
	}
	return b
}

// idOf returns the last part of the linker's build id, which is the hash of the program's content.
func idOf(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return unknown // Another format of executables.
	}
	defer func() { _ = f.Close() }()
	s := f.Section(goNote)
	if s == nil {
		return unknown
	}
	note, err := s.Data()
	if err != nil || len(note) <= goNoteHeader {
		return unknown
	}
	id := string(bytes.TrimRight(note[goNoteHeader:], "\x00"))
	return id[strings.LastIndexByte(id, '/')+1:]
}

// Log returns a logger whose lines name the build.
func (b Build) Log(log logr.Logger) logr.Logger {
	return log.WithValues("revision", b.Revision, "build", b.ID)
}
