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
	// probeLimit is how long the leader may take to answer a question that needs no
	// work, before entries place requests by themselves, while nothing is known of how
	// long it usually takes.
	probeLimit = 250 * time.Millisecond
	// leastProbe is the least of that limit: a pause of the collector or of the machine
	// is no reason to leave a scheduler. probeTimes is the limit in times of the longest
	// answer of late. Most answers take a few milliseconds, while objectives are some
	// hundred: with 250 ms for all, what waited at a leader that froze was late before
	// anyone knew.
	leastProbe = 60 * time.Millisecond
	probeTimes = 4
	probeEvery = 200 * time.Millisecond // Between two such questions.
	// keepAnswers is how many answers to probes are remembered.
	keepAnswers = 8
	// probeVersion asks for a configuration newer than any, so that the answer is
	// empty.
	probeVersion = ^uint64(0)
)

// Doubt is called when the scheduler has not answered for a while. It asks
// whether it lives, and takes it for lost when it doesn't say so: tickets would
// wait there for as long as the link takes to be given up, seconds, while their
// objectives are some hundred milliseconds.
func (w *Watcher) Doubt(ctx context.Context) {
	w.mu.Lock()
	m := w.View().Owner
	if m == nil || time.Since(w.probed) < probeEvery {
		w.mu.Unlock()
		return
	}
	w.probed = time.Now()
	w.mu.Unlock()
	to, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return
	}
	if err = w.probe(context.WithoutCancel(ctx), to); err == nil {
		return
	}
	if v := w.View(); v.Owner == m {
		w.lose("it does not answer: " + err.Error())
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stop() // Another may lead by now.
	}
}

// probe asks the scheduler whether it lives and notes how long the answer took.
func (w *Watcher) probe(ctx context.Context, to netip.AddrPort) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, w.patience())
	defer cancel()
	if _, err := w.Mesh.Call(ctx, to, &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{Version: probeVersion}}}); err != nil {
		return fmt.Errorf("watch: probe: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[w.answered%keepAnswers] = time.Since(start)
	w.answered++
	return nil
}

// patience is how long the answer to a probe may take.
func (w *Watcher) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered < keepAnswers {
		return probeLimit
	}
	return min(max(probeTimes*slices.Max(w.answers[:]), leastProbe), probeLimit)
}

// measure learns how long the scheduler takes to answer while all is well.
func (w *Watcher) measure(ctx context.Context, to netip.AddrPort) {
	if err := w.probe(ctx, to); err != nil {
		w.Log.V(1).Info("Scheduler not measured.", "err", err.Error())
	}
}
