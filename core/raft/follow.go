package raft

import (
	"fmt"

	"azurelane/core/wire"
)

func (r *Raft) appendAsked(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_APPEND_REPLY, LastIndex: m.GetLastIndex(), Round: m.GetRound()}
	if m.GetTerm() < r.term {
		r.send(reply) // Its newer term tells the old leader to step down.
		return
	}
	r.follow(m)
	r.told = max(r.told, m.GetCommit())
	prev, ents := m.GetLastIndex(), m.GetEntries()
	end := prev + uint64(len(ents))
	if end < r.commit {
		// All of it is committed here, so it is the same.
		reply.Granted, reply.LastIndex = true, end
		r.send(reply)
		return
	}
	if r.stalled && end > r.synced {
		reply.Hint = r.synced
		r.send(reply)
		return
	}
	for prev < r.log.base && len(ents) > 0 {
		prev, ents = prev+1, ents[1:]
	}
	if hint, ok := r.meets(prev, m); !ok {
		reply.Hint = hint
		r.send(reply)
		return
	}
	if err := r.take(ents); err != nil {
		r.out.Err = err
		return
	}
	r.commit = max(r.commit, min(m.GetCommit(), end))
	reply.Granted, reply.LastIndex = true, end
	r.send(reply)
}

// meets reports whether the entry before the new ones is the leader's, or else
// where the leader should try next.
func (r *Raft) meets(prev uint64, m *wire.Raft) (uint64, bool) {
	if prev > r.log.last() {
		return r.log.last(), false
	}
	if prev <= r.commit {
		return 0, true // Committed entries are the same everywhere.
	}
	t, ok := r.log.term(prev)
	if ok && t == m.GetLastTerm() {
		return 0, true
	}
	hint := prev - 1
	for hint > r.commit {
		if h, _ := r.log.term(hint); h != t {
			break
		}
		hint--
	}
	return hint, false
}

// take adds entries, in place of any of former terms that differ.
func (r *Raft) take(ents []*wire.LogEntry) error {
	for _, e := range ents {
		if e.GetIndex() <= r.log.last() {
			if t, ok := r.log.term(e.GetIndex()); e.GetIndex() <= r.log.base || (ok && t == e.GetTerm()) {
				continue
			}
			if e.GetIndex() <= r.commit {
				return fmt.Errorf("%w: entry %d of term %d", ErrDiverged, e.GetIndex(), e.GetTerm())
			}
			r.cut(e.GetIndex())
			r.record(&wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: e.GetIndex()}})
		}
		r.log.entries = append(r.log.entries, e)
		r.record(&wire.Record{Kind: &wire.Record_Entry{Entry: e}})
		r.noteConf(e)
	}
	return nil
}

func (r *Raft) snapshotAsked(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_SNAPSHOT_REPLY, Round: m.GetRound()}
	if m.GetTerm() < r.term {
		r.send(reply)
		return
	}
	r.follow(m)
	snap := m.GetSnapshot()
	r.told = max(r.told, snap.GetIndex())
	reply.Granted, reply.LastIndex = true, max(r.commit, snap.GetIndex())
	switch t, ok := r.log.term(snap.GetIndex()); {
	case snap.GetIndex() <= r.commit:
	case ok && t == snap.GetTerm():
		// The entries after it may be acknowledged already, so they stay.
		r.commit = snap.GetIndex()
	case r.stalled:
		reply.Granted = false
	default:
		r.log.reset(snap)
		r.synced = min(r.synced, snap.GetIndex()-1)
		r.commit, r.applied = snap.GetIndex(), snap.GetIndex()
		r.confs = []conf{{snap.GetIndex(), snap.GetReplicas()}}
		r.out.InstallSnapshot = snap
	}
	r.send(reply)
}
