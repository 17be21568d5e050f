package bench

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"azurelane/io/hello"
	"azurelane/io/httpd"
	"azurelane/io/rig/demand"
	"azurelane/io/rig/engine"
	"azurelane/io/rig/stand"
)

const (
	staleBy = 5 * time.Second
	chunk   = 8 // Tokens in one event.
)

// engines are small stand-ins of four generations, with short token times so
// that seconds show what takes minutes on real ones.
func engines() []*engine.Engine {
	return []*engine.Engine{
		{Name: "gen4-a", Slots: 8, Prefill: 60000, Step: 2 * time.Millisecond, Crowd: 0.03, CacheLimit: 24},
		{Name: "gen3-a", Slots: 8, Prefill: 40000, Step: 3 * time.Millisecond, Crowd: 0.03, CacheLimit: 16},
		{Name: "gen2-a", Slots: 8, Prefill: 25000, Step: 4 * time.Millisecond, Crowd: 0.04, CacheLimit: 12},
		{Name: "gen2-b", Slots: 8, Prefill: 25000, Step: 4 * time.Millisecond, Crowd: 0.04, CacheLimit: 12},
		{Name: "gen1-a", Slots: 4, Prefill: 12000, Step: 8 * time.Millisecond, Crowd: 0.06, CacheLimit: 8},
	}
}

// Capacity is the number of requests a second of the workload that the engines
// together can run, by their speeds, with nothing cached.
func Capacity(d *demand.Demand) float64 {
	prompt, answer := d.Mean()
	var sum float64
	for _, e := range engines() {
		run := prompt/e.Prefill + answer*e.Step.Seconds()*(1+e.Crowd*float64(e.Slots-1))
		sum += min(float64(e.Slots)/run, e.Prefill/prompt)
	}
	return sum
}

func (b *Bench) engine(e *engine.Engine, model string, ups []netip.AddrPort) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	s := &stand.Stand{Engine: e, Chunk: chunk}
	b.Stands = append(b.Stands, s)
	b.sup.Add(&httpd.Httpd{Listen: ln, Handler: s})
	b.sup.Add(&hello.Hello{
		Upstream: e.Name, Address: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: "bench", Pools: []string{poolName},
		Models: []string{model}, MaxRunning: e.Slots, Entries: ups, Load: b.report(e), Log: logr.Discard(),
	})
	return nil
}

// report is the engine's load report, as late as the scenario wants it. It is
// for one caller.
func (b *Bench) report(e *engine.Engine) func() (int, int, []uint64) {
	type load struct {
		at              time.Time
		running, queued int
		cached          []uint64
	}
	var past []load
	return func() (int, int, []uint64) {
		l := load{at: time.Now()}
		l.running, l.queued, l.cached = e.Load()
		past = append(past, l)
		if !b.stale.Load() {
			return l.running, l.queued, l.cached
		}
		for len(past) > 1 && time.Since(past[1].at) > staleBy {
			past = past[1:]
		}
		return past[0].running, past[0].queued, past[0].cached
	}
}
