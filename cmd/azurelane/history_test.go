package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/state"
	"azurelane/io/setup"
)

var (
	historyTime = flag.Duration("history.time", 6*time.Second, "length of the load in the history check")
	historySeed = flag.Uint64("history.seed", 1, "seed of the load and the faults in the history check")
)

const (
	historyEntries  = 3
	historyControls = 3
	historyCallers  = 12
)

// history is a deployment whose processes fail while callers and an operator work.
type history struct {
	t        *testing.T
	cluster  *cluster
	chaos    *chaos
	callers  []*caller
	accepted map[uint64]string // Change ids by version.
	backward []string          // Entries seen to go back to an older version.
}

// Callers send keyed and unkeyed requests, streams among them, and send keyed
// ones again at other entries when they get no whole answer, at times twice at
// once. Meanwhile entries, owners among them, and control replicas are killed,
// frozen, stopped and started anew, and an operator changes the configuration.
// Whatever the timing, what callers were told must agree with what the
// upstreams' own journals say ran.
func TestHistory(t *testing.T) {
	h := newHistory(t)
	h.work(*historyTime)
	h.settle()

	var told []attempt
	for _, c := range h.callers {
		told = append(told, c.attempts...)
	}
	var faults [][]span
	for _, e := range h.chaos.entries {
		faults = append(faults, e.faults)
	}
	runs := h.journals()
	bad := verdict(told, runs, faults)
	counts := map[string]int{}
	for _, a := range told {
		counts[a.Told]++
	}
	t.Logf("seed %d: %d submissions, told %v, %d runs, %d changes, %d faults: %v", *historySeed, len(told), counts, len(runs), len(h.accepted), len(h.chaos.done), h.chaos.done)
	for _, why := range bad[:min(len(bad), 10)] {
		t.Error(why)
	}
	must.Len(t, 0, bad)
	must.Eq(t, []string(nil), h.backward)
	must.Positive(t, counts["whole"])
	must.Positive(t, len(h.accepted))
	must.Positive(t, len(h.chaos.done))
}

func newHistory(t *testing.T) *history {
	c := &cluster{t: t, dir: t.TempDir()}
	h := &history{t: t, cluster: c, accepted: map[uint64]string{}}
	h.chaos = &chaos{rng: rand.New(rand.NewPCG(*historySeed, 0))}
	h.chaos.controls = c.controls(historyControls)
	c.apply(devConfig)
	c.join(historyEntries, func(s *setup.Setup) { s.LogLevel = 1 })
	h.chaos.entries = c.procs
	var callers []netip.AddrPort
	for _, s := range c.entries {
		callers = append(callers, s.Callers)
	}
	for _, s := range []struct{ name, pool, model string }{{"engine-1", "demo", "demo"}, {"engine-2", "demo", "demo"}, {"notes-1", "notes", ""}, {"notes-2", "notes", ""}} {
		h.chaos.standins = append(h.chaos.standins, c.upstream(s.name, s.pool, s.model))
	}
	for i := range historyCallers {
		h.callers = append(h.callers, &caller{
			name: fmt.Sprintf("c%d", i), entries: callers, rng: rand.New(rand.NewPCG(*historySeed, uint64(i+1))),
			client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		})
	}
	h.serving()
	return h
}

// serving waits until every entry serves.
func (h *history) serving() {
	for _, e := range h.cluster.entries {
		h.cluster.until(e.Node+" serves", func() bool {
			probe := &caller{name: "probe", entries: []netip.AddrPort{e.Callers}, client: http.DefaultClient}
			return probe.send(attempt{Kind: chatWhole, Token: "probe"}, 0, 1) == "whole" && probe.send(attempt{Kind: serviceCall, Token: "probe"}, 0, 1) == "whole"
		})
	}
}

// work lets callers, operator and faults run for d.
func (h *history) work(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var wg sync.WaitGroup
	for _, c := range h.callers {
		wg.Go(func() { c.run(ctx) })
	}
	wg.Go(func() { h.change(ctx) })
	wg.Go(func() { h.watch(ctx) })
	err := h.chaos.run(ctx)
	wg.Wait()
	must.NoError(h.t, err)
}

// change puts one configuration after the other in force. An answer that got
// lost is asked for again under the same id.
func (h *history) change(ctx context.Context) {
	op, err := newOperator(h.cluster.control, tlsFlags{})
	must.NoError(h.t, err)
	defer op.close()
	for n := 1; ctx.Err() == nil; n++ {
		st, err := op.status(ctx)
		if err != nil {
			continue
		}
		id := fmt.Sprintf("change-%d", n)
		r, err := op.apply(ctx, id, st.GetVersion(), devConfig, "operator")
		for err != nil && ctx.Err() == nil {
			r, err = op.apply(ctx, id, st.GetVersion(), devConfig, "operator")
		}
		if err == nil && r.GetCode() == state.OK {
			if other, ok := h.accepted[r.GetVersion()]; ok {
				h.t.Errorf("version %d was given to %s and %s", r.GetVersion(), other, id)
			}
			h.accepted[r.GetVersion()] = id
		}
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// watch notes every entry that goes back to an older version, restarts included.
func (h *history) watch(ctx context.Context) {
	last := make([]uint64, len(h.cluster.entries))
	for ctx.Err() == nil {
		for i, e := range h.cluster.entries {
			v := inForce(ctx, e.Operator)
			if v == 0 {
				continue // Down, frozen or without a configuration: it serves nothing.
			}
			if v < last[i] {
				h.backward = append(h.backward, fmt.Sprintf("%s went from version %d to %d", e.Node, last[i], v))
			}
			last[i] = v
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// settle checks that the system serves again once the faults are over, and
// that the newest accepted change is in force everywhere.
func (h *history) settle() {
	h.serving()
	newest := uint64(0)
	for v := range h.accepted {
		newest = max(newest, v)
	}
	for _, e := range h.cluster.entries {
		h.cluster.until("newest version at "+e.Node, func() bool { return inForce(h.t.Context(), e.Operator) >= newest })
	}
}

func (h *history) journals() []ran {
	var runs []ran
	for _, p := range h.chaos.standins {
		runs = append(runs, h.cluster.journal(p.addr)...)
	}
	return runs
}

// inForce returns what is in force at an entry, or zero.
func inForce(ctx context.Context, operator netip.AddrPort) uint64 {
	var i struct {
		Version uint64 `json:"version"`
	}
	fetch(ctx, "http://"+operator.String()+"/v1/info", &i)
	return i.Version
}

func fetch(ctx context.Context, url string, v any) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v) == nil
}
