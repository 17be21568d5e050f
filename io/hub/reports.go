package hub

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/roster"
	"azurelane/core/wire"
)

const (
	// reportBatchDelay is how long a replica collects reports before it passes them on. It is a
	// small part of the second for which upstreams wait for the acknowledgement.
	reportBatchDelay   = 200 * time.Millisecond
	reportBatchTimeout = 600 * time.Millisecond // For the leader's reply.
)

var errStopped = errors.New("hub: the replica stops")

type (
	// reports collects the reports of upstreams that change nothing, so that the leader gets a few
	// messages a second from each replica instead of one from each upstream. The zero value is
	// ready.
	reports struct {
		mu      sync.Mutex
		pending *reportBatch
		stopped <-chan struct{} // Closed once the hub stops; nil before it serves.
	}

	reportBatch struct {
		list     []*wire.Report
		done     chan struct{} // Closed once the fields below are set.
		rejected map[string]bool
		err      error
	}
)

// add adds a report to the next batch and returns that batch, and whether it is a new one.
func (r *reports) add(rep *wire.Report) (b *reportBatch, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending, first = &reportBatch{done: make(chan struct{})}, true
	}
	u := rep.GetUpstream()
	r.pending.list = append(r.pending.list, &wire.Report{Seq: rep.GetSeq(), Upstream: &wire.Upstream{Id: u.GetId(), Born: u.GetBorn(), State: u.GetState()}})
	return r.pending, first
}

// stopAt makes batches fail once the channel is closed.
func (r *reports) stopAt(stopped <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = stopped
}

// wait waits until a batch is due and reports whether the hub still runs.
func (r *reports) wait() bool {
	r.mu.Lock()
	stopped := r.stopped
	r.mu.Unlock()
	select {
	case <-stopped:
		return false
	case <-time.After(reportBatchDelay):
		return true
	}
}

// take ends the batch that collects reports.
func (r *reports) take() *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.pending
	r.pending = nil
	return b
}

// reportUnchanged passes a report on with others if it changes nothing in the roster, and returns
// whether the leader has taken it.
func (h *Hub) reportUnchanged(ctx context.Context, rep *wire.Report) bool {
	u := rep.GetUpstream()
	known := h.Replica.Upstream(u.GetId())
	if rep.GetDeregister() || h.Replica.Leads() || roster.Stale(known, u) || roster.Restarted(known, u) || !roster.Unchanged(known, u) {
		return false
	}
	b, first := h.reports.add(rep)
	if first {
		go h.sendReports()
	}
	select {
	case <-ctx.Done():
		return false
	case <-b.done:
		return b.err == nil && !b.rejected[u.GetId()]
	}
}

// sendReports sends the batch to the leader after reportBatchDelay.
func (h *Hub) sendReports() {
	due := h.reports.wait()
	b := h.reports.take()
	defer close(b.done)
	if !due {
		b.err = errStopped
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportBatchTimeout)
	defer cancel()
	f, err := h.LeaderClient.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_Reports{Reports: &wire.Reports{Reports: b.list}}}
	})
	if err != nil {
		b.err = fmt.Errorf("hub: reports: %w", err)
		h.Log.V(1).Info("Reports of upstreams not passed on.", "reports", len(b.list), "err", err.Error())
		return
	}
	b.rejected = make(map[string]bool, len(f.GetReports().GetRejected()))
	for _, id := range f.GetReports().GetRejected() {
		b.rejected[id] = true
	}
}

// handleReportFrame handles a report, or several that another replica has collected, on the leader.
func (h *Hub) handleReportFrame(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	if r := f.GetReports(); r != nil {
		return h.handleReports(ctx, r)
	}
	return nil, h.handleReport(ctx, f.GetReport())
}

// handleReports handles the reports that another replica has collected, on the leader. It takes
// those of upstreams that it knows as the reports say.
func (h *Hub) handleReports(ctx context.Context, r *wire.Reports) (*wire.Frame, error) {
	if h.leaderScheduler() == nil {
		return nil, h.notLeaderFault()
	}
	reply := &wire.Reports{}
	for _, rep := range r.GetReports() {
		u := rep.GetUpstream()
		known := h.Replica.Upstream(u.GetId())
		if !roster.Unchanged(known, u) || roster.Restarted(known, u) || h.handleReport(ctx, rep) != nil {
			reply.Rejected = append(reply.Rejected, u.GetId())
		}
	}
	return &wire.Frame{Body: &wire.Frame_Reports{Reports: reply}}, nil
}
