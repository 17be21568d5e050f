package raft

import (
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// journal holds the entries after base; what came before is in snap.
type journal struct {
	base     uint64
	baseTerm uint64
	entries  []*wire.LogEntry
	snap     *wire.Snapshot
}

func (j *journal) reset(snap *wire.Snapshot) {
	*j = journal{base: snap.GetIndex(), baseTerm: snap.GetTerm(), snap: snap}
}

func (j *journal) last() uint64 { return j.base + uint64(len(j.entries)) }

func (j *journal) lastTerm() uint64 {
	t, _ := j.term(j.last())
	return t
}

func (j *journal) at(i uint64) *wire.LogEntry {
	if i <= j.base || i > j.last() {
		return nil
	}
	return j.entries[i-j.base-1]
}

// term returns the term of entry i, and whether it is known here.
func (j *journal) term(i uint64) (uint64, bool) {
	switch {
	case i == j.base:
		return j.baseTerm, true
	case j.snap != nil && i == j.snap.GetIndex():
		return j.snap.GetTerm(), true
	}
	if e := j.at(i); e != nil {
		return e.GetTerm(), true
	}
	return 0, false
}

// from returns entries from index i on, up to MaxBatch bytes but at least one.
func (j *journal) from(i uint64) []*wire.LogEntry {
	if i <= j.base || i > j.last() {
		return nil
	}
	all := j.entries[i-j.base-1:]
	size := 0
	for n, e := range all {
		size += proto.Size(e)
		if n > 0 && size > MaxBatchBytes {
			return all[:n:n]
		}
	}
	return all[:len(all):len(all)]
}

// load takes an entry from disk. Entries kept behind the snapshot come first;
// the first of them stands in for the base.
func (j *journal) load(e *wire.LogEntry) {
	switch {
	case e.GetIndex() == j.last()+1:
		j.entries = append(j.entries, e)
	case len(j.entries) == 0 && e.GetIndex() <= j.base:
		j.base, j.baseTerm = e.GetIndex(), e.GetTerm()
	}
}

// cut removes the entries from index i on.
func (j *journal) cut(i uint64) {
	if i > j.base && i <= j.last() {
		n := i - j.base - 1
		j.entries = j.entries[:n:n]
	}
}

// dropTo forgets the entries up to index i.
func (j *journal) dropTo(i uint64) {
	if i <= j.base {
		return
	}
	t, _ := j.term(i)
	j.entries = append([]*wire.LogEntry(nil), j.entries[i-j.base:]...)
	j.base, j.baseTerm = i, t
}
