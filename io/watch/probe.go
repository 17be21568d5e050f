package watch

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"azurelane/core/wire"
)

const (
	// maxProbeTimeout is the longest time that the scheduler may take to answer a probe before
	// the entry places requests by itself. It is the timeout until probeHistory probes have been
	// answered, and the upper bound from then on.
	maxProbeTimeout = 250 * time.Millisecond
	// minProbeTimeout keeps a garbage collection or a short pause of the VM from being taken for
	// a lost scheduler.
	minProbeTimeout = 60 * time.Millisecond
	// probeTimeoutFactor is the timeout as a multiple of the slowest of the last answers. Most
	// answers take a few milliseconds, while objectives are some hundred milliseconds: with a
	// fixed timeout of 250 ms, tickets that waited at a frozen leader missed their objective
	// before the entry noticed.
	probeTimeoutFactor = 4
	minProbeInterval   = 200 * time.Millisecond // Between two probes that Doubt starts.
	// probeHistory is the number of probe round trips that set the timeout.
	probeHistory = 8
	// probeVersion is higher than any configuration version, so that the answer carries no
	// document and costs the scheduler no work.
	probeVersion = ^uint64(0)
)

// Doubt probes the scheduler, and drops it if the probe fails. Callers use it when a ticket has
// waited for a while. Without the probe, tickets would wait until the connection times out, which
// takes seconds, while their objectives are some hundred milliseconds.
func (w *Watcher) Doubt(ctx context.Context) {
	w.mu.Lock()
	owner := w.View().Owner
	if owner == nil || time.Since(w.lastProbe) < minProbeInterval {
		w.mu.Unlock()
		return
	}
	w.lastProbe = time.Now()
	w.mu.Unlock()
	to, err := netip.ParseAddrPort(owner.GetAddress())
	if err != nil {
		return
	}
	if err = w.probe(context.WithoutCancel(ctx), to); err == nil {
		return
	}
	if v := w.View(); v.Owner == owner {
		w.dropScheduler("scheduler did not answer a probe: " + err.Error())
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cancelPoll() // Lets Serve look for another leader at once.
	}
}

// probe sends a query that needs no work, and records the round-trip time of its answer.
func (w *Watcher) probe(ctx context.Context, to netip.AddrPort) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, w.probeTimeout())
	defer cancel()
	if _, err := w.Mesh.Call(ctx, to, &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: probeVersion}}}); err != nil {
		return fmt.Errorf("watch: probe: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probeTimes[w.probeCount%probeHistory] = time.Since(start)
	w.probeCount++
	return nil
}

// probeTimeout returns how long the answer to a probe may take.
func (w *Watcher) probeTimeout() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.probeCount < probeHistory {
		return maxProbeTimeout
	}
	return min(max(probeTimeoutFactor*slices.Max(w.probeTimes[:]), minProbeTimeout), maxProbeTimeout)
}

// measureLatency probes a scheduler that answers normally, to learn its usual round-trip time.
func (w *Watcher) measureLatency(ctx context.Context, to netip.AddrPort) {
	if err := w.probe(ctx, to); err != nil {
		w.Log.V(1).Info("Latency probe of the scheduler failed.", "err", err.Error())
	}
}
