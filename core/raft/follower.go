package raft

import (
	"fmt"

	"azurelane/core/wire"
)

func (r *Raft) handleAppend(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_APPEND_REPLY, LastIndex: m.GetLastIndex(), Round: m.GetRound(), Stalled: r.diskStalled, Leaving: r.leaving, Lane: m.GetLane()}
	if m.GetTerm() < r.term {
		r.send(reply) // The newer term makes the old leader step down.
		return
	}
	r.followLeader(m)
	r.leaderCommit = max(r.leaderCommit, m.GetCommit())
	prev, ents := m.GetLastIndex(), m.GetEntries()
	end := prev + uint64(len(ents))
	if end < r.commitIndex {
		// All of these entries are committed here, so they are identical.
		r.confirm(reply, end, len(ents) == 0)
		return
	}
	if r.diskStalled && end > r.syncedIndex {
		reply.Hint = r.syncedIndex
		r.send(reply)
		return
	}
	for prev < r.log.base && len(ents) > 0 {
		prev, ents = prev+1, ents[1:]
	}
	if hint, ok := r.matchesLeader(prev, m); !ok {
		reply.Hint = hint
		r.send(reply)
		return
	}
	if err := r.appendReceived(ents); err != nil {
		r.out.Err = err
		return
	}
	r.commitIndex = max(r.commitIndex, min(m.GetCommit(), end))
	r.confirm(reply, end, len(ents) == 0)
}

// confirm replies that this replica holds the leader's entries up to index end.
func (r *Raft) confirm(reply *wire.Raft, end uint64, heartbeat bool) {
	reply.Granted, reply.LastIndex = true, end
	if heartbeat {
		// What is on disk is confirmed at once, and the rest by the replies to the entries. A
		// reply that waited for the disk would make this replica seem out of reach.
		reply.LastIndex = min(end, r.syncedIndex)
		r.sendBeforeSync(reply)
		return
	}
	r.send(reply)
}

// matchesLeader reports whether the entry at prev, which precedes the new ones, is the same as
// the leader's. If it is not, the first result is the index that the leader should try next.
func (r *Raft) matchesLeader(prev uint64, m *wire.Raft) (uint64, bool) {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex(), false
	}
	if prev <= r.commitIndex {
		return 0, true // Committed entries are the same at all replicas.
	}
	t, ok := r.log.term(prev)
	if ok && t == m.GetLastTerm() {
		return 0, true
	}
	hint := prev - 1
	for hint > r.commitIndex {
		if h, _ := r.log.term(hint); h != t {
			break
		}
		hint--
	}
	return hint, false
}

// appendReceived appends the leader's entries and replaces entries of earlier terms that
// differ.
func (r *Raft) appendReceived(ents []*wire.LogEntry) error {
	for _, e := range ents {
		if e.GetIndex() <= r.log.lastIndex() {
			if t, ok := r.log.term(e.GetIndex()); e.GetIndex() <= r.log.base || (ok && t == e.GetTerm()) {
				continue
			}
			if e.GetIndex() <= r.commitIndex {
				return fmt.Errorf("%w: entry %d of term %d", ErrDiverged, e.GetIndex(), e.GetTerm())
			}
			r.truncateLog(e.GetIndex())
			r.record(&wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: e.GetIndex()}})
		}
		r.log.entries = append(r.log.entries, e)
		r.record(&wire.Record{Kind: &wire.Record_Entry{Entry: e}})
		r.appendMembership(e)
	}
	return nil
}

func (r *Raft) handleSnapshot(m *wire.Raft) {
	reply := &wire.Raft{To: m.GetFrom(), Kind: wire.Raft_KIND_SNAPSHOT_REPLY, Round: m.GetRound(), Stalled: r.diskStalled, Leaving: r.leaving}
	if m.GetTerm() < r.term {
		r.send(reply)
		return
	}
	r.followLeader(m)
	snap := m.GetSnapshot()
	r.leaderCommit = max(r.leaderCommit, snap.GetIndex())
	reply.Granted, reply.LastIndex = true, max(r.commitIndex, snap.GetIndex())
	switch t, ok := r.log.term(snap.GetIndex()); {
	case snap.GetIndex() <= r.commitIndex:
	case ok && t == snap.GetTerm():
		// Entries after the snapshot may be acknowledged already, so they stay.
		r.commitIndex = snap.GetIndex()
	case r.diskStalled:
		reply.Granted = false
	default:
		r.log.reset(snap)
		r.syncedIndex = min(r.syncedIndex, snap.GetIndex()-1)
		r.commitIndex, r.applied = snap.GetIndex(), snap.GetIndex()
		r.memberships = []membership{{snap.GetIndex(), snap.GetReplicas()}}
		r.out.InstallSnapshot = snap
	}
	r.send(reply)
}
