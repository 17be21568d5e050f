package quorum

import (
	"context"

	"azurelane/core/wire"
	"azurelane/io/stats"
)

// gauges registers the gauges of this replica.
func (q *Quorum) gauges(s *stats.Stats) {
	s.Runtime()
	for name, read := range map[string]func(*wire.Status) uint64{
		"config-version": (*wire.Status).GetVersion,
		"log-index":      (*wire.Status).GetCommit,
		"log-term":       (*wire.Status).GetTerm,
		"claims":         (*wire.Status).GetClaims,
		"nodes-heard":    func(st *wire.Status) uint64 { return uint64(len(st.GetNodes())) },
		"log-leader":     leads,
	} {
		s.Pull(name, func() int64 { return int64(read(q.status())) }) //nolint:gosec // Counts; none comes near the limit.
	}
}

func leads(st *wire.Status) uint64 {
	if st.GetLeader() != "" && st.GetLeader() == st.GetAddress() {
		return 1
	}
	return 0
}

// status returns this replica's view, or an empty status.
func (q *Quorum) status() *wire.Status {
	r, err := q.ctrl.Handle(context.Background(), &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}})
	if err != nil {
		return nil
	}
	return r.GetStatus()
}
