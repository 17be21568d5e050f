package raft

import (
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// entryOverhead is the approximate size in bytes of an entry without its command.
const entryOverhead = 64

// raftLog holds the entries after base; snapshot covers all entries up to base, and may cover
// more.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []*wire.LogEntry
	snapshot *wire.Snapshot
}

func (l *raftLog) reset(snap *wire.Snapshot) {
	*l = raftLog{base: snap.GetIndex(), baseTerm: snap.GetTerm(), snapshot: snap}
}

func (l *raftLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

func (l *raftLog) entry(i uint64) *wire.LogEntry {
	if i <= l.base || i > l.lastIndex() {
		return nil
	}
	return l.entries[i-l.base-1]
}

// term returns the term of entry i, and whether it is known here.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case l.snapshot != nil && i == l.snapshot.GetIndex():
		return l.snapshot.GetTerm(), true
	}
	if e := l.entry(i); e != nil {
		return e.GetTerm(), true
	}
	return 0, false
}

// entriesFrom returns entries from index i on, up to MaxBatchBytes but at least one.
func (l *raftLog) entriesFrom(i uint64) []*wire.LogEntry {
	if i <= l.base || i > l.lastIndex() {
		return nil
	}
	all := l.entries[i-l.base-1:]
	size := 0
	for n, e := range all {
		size += proto.Size(e)
		if n > 0 && size > MaxBatchBytes {
			return all[:n:n]
		}
	}
	return all[:len(all):len(all)]
}

// loadEntry adds an entry from disk. Entries kept from before the snapshot come first, and the
// first of them becomes the base.
func (l *raftLog) loadEntry(e *wire.LogEntry) {
	switch {
	case e.GetIndex() == l.lastIndex()+1:
		l.entries = append(l.entries, e)
	case len(l.entries) == 0 && e.GetIndex() <= l.base:
		l.base, l.baseTerm = e.GetIndex(), e.GetTerm()
	}
}

// truncate removes the entries from index i on.
func (l *raftLog) truncate(i uint64) {
	if i > l.base && i <= l.lastIndex() {
		n := i - l.base - 1
		l.entries = l.entries[:n:n]
	}
}

// commandSize is the size of an entry with a command, within some bytes.
func commandSize(command []byte) int { return len(command) + entryOverhead }

// bytesAfter returns the size of the entries after index i.
func (l *raftLog) bytesAfter(i uint64) int {
	size := 0
	for _, e := range l.entries[min(max(i, l.base), l.lastIndex())-l.base:] {
		size += commandSize(e.GetCommand())
	}
	return size
}

// trimTrailing discards entries that the snapshot covers and that exceed TrailingEntries or
// TrailingBytes.
func (l *raftLog) trimTrailing() {
	i, size := min(l.snapshot.GetIndex(), l.lastIndex()), 0
	for first := l.snapshot.GetIndex() - min(l.snapshot.GetIndex(), TrailingEntries); i > max(l.base, first); i-- {
		if size += commandSize(l.entry(i).GetCommand()); size > TrailingBytes {
			break
		}
	}
	l.compactTo(i)
}

// compactTo discards the entries up to index i.
func (l *raftLog) compactTo(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]*wire.LogEntry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}
