// Package bench runs a small whole system in this process, to measure a
// scheduling policy: one control replica, entries and stand-in engines of four
// hardware generations, all on loopback.
package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"azurelane/core/acct"
	"azurelane/core/codec"
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/state"
	"azurelane/core/tier"
	"azurelane/core/wire"
	"azurelane/io/demand"
	"azurelane/io/engine"
	"azurelane/io/entry"
	"azurelane/io/hello"
	"azurelane/io/httpd"
	"azurelane/io/leader"
	"azurelane/io/mesh"
	"azurelane/io/quorum"
	"azurelane/io/setup"
	"azurelane/io/stand"
)

// Bench is one running system. Open makes it.
type Bench struct {
	URLs   []string // Of the entries.
	Stands []*stand.Stand

	mu   sync.Mutex
	late reports
	sup  *suture.Supervisor
	stop context.CancelFunc
	done <-chan error
	dir  string
}

// reports says what becomes of load reports on their way.
type reports int

const (
	fresh reports = iota
	stale         // They tell the load of some seconds ago.
)

const (
	entries    = 2
	poolName   = "models"
	maxWaiting = 150 // Of one account, so that overload meets the limit.
	openTries  = 5
	readyLimit = 20 * time.Second
	readyPause = 20 * time.Millisecond
	staleBy    = 5 * time.Second
	chunk      = 8 // Tokens in one event.
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

// Open starts a system whose pool has the given policy and preset, and waits
// until each entry serves. Its ports were free a moment before; when another
// program has taken one meanwhile, it starts again with others.
func Open(ctx context.Context, policy, preset string, d *demand.Demand) (*Bench, error) {
	for n := 1; ; n++ {
		b, err := open(ctx, policy, preset, d)
		if err == nil || n == openTries || !errors.Is(err, syscall.EADDRINUSE) {
			return b, err
		}
	}
}

func open(ctx context.Context, policy, preset string, d *demand.Demand) (*Bench, error) {
	dir, err := os.MkdirTemp("", "azurelane-bench-")
	if err != nil {
		return nil, fmt.Errorf("bench: %w", err)
	}
	b := &Bench{dir: dir, sup: suture.New("bench", suture.Spec{EventHook: func(suture.Event) {}})}
	ctx, b.stop = context.WithCancel(ctx)
	if err := b.start(ctx, policy, preset, d); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

// Close stops the system and removes its data.
func (b *Bench) Close() {
	b.stop()
	if b.done != nil {
		<-b.done //nolint:errcheck // The parts ended because they were told to.
	}
	_ = os.RemoveAll(b.dir)
}

// Stale makes all load reports tell the load of some seconds ago from now on.
func (b *Bench) Stale() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = stale
}

func (b *Bench) start(ctx context.Context, policy, preset string, d *demand.Demand) error {
	control, err := free()
	if err != nil {
		return err
	}
	sets, err := settings(control)
	if err != nil {
		return err
	}
	q, err := quorum.Open(&setup.Setup{
		Node: "control-1", DataCentre: "dc", Peers: control, Operator: netip.MustParseAddrPort("127.0.0.1:0"),
		Control: []netip.AddrPort{control}, DataFolder: filepath.Join(b.dir, "control"), Bootstrap: true,
	}, logr.Discard())
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	b.sup.Add(q)
	var ups []netip.AddrPort
	for _, set := range sets {
		e, err := entry.Open(set, logr.Discard())
		if err != nil {
			return fmt.Errorf("bench: %w", err)
		}
		b.sup.Add(e)
		b.URLs = append(b.URLs, "http://"+set.Callers.String())
		ups = append(ups, set.Upstreams)
	}
	for _, e := range engines() {
		if err := b.engine(e, d.Model, ups); err != nil {
			return err
		}
	}
	b.done = b.sup.ServeBackground(ctx)
	if err := apply(ctx, control, policy, preset, d); err != nil {
		return err
	}
	return b.ready(ctx, d)
}

func settings(control netip.AddrPort) ([]*setup.Setup, error) {
	var sets []*setup.Setup
	var seeds []netip.AddrPort
	for i := range entries {
		set := &setup.Setup{Node: fmt.Sprint("entry-", i+1), DataCentre: "dc", Control: []netip.AddrPort{control}, Seeds: seeds}
		for _, a := range []*netip.AddrPort{&set.Callers, &set.Upstreams, &set.Peers, &set.Operator} {
			addr, err := free()
			if err != nil {
				return nil, err
			}
			*a = addr
		}
		seeds = append(seeds, set.Peers)
		sets = append(sets, set)
	}
	return sets, nil
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

// report is the engine's load report, as late as the scenario wants it.
func (b *Bench) report(e *engine.Engine) func() (int, int, []uint64) {
	type load struct {
		at              time.Time
		running, queued int
		cached          []uint64
	}
	var past []load
	return func() (int, int, []uint64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		var l load
		l.at = time.Now()
		l.running, l.queued, l.cached = e.Load()
		past = append(past, l)
		if b.late == fresh {
			return l.running, l.queued, l.cached
		}
		for len(past) > 1 && time.Since(past[1].at) > staleBy {
			past = past[1:]
		}
		return past[0].running, past[0].queued, past[0].cached
	}
}

func apply(ctx context.Context, control netip.AddrPort, policy, preset string, d *demand.Demand) error {
	cfg := conf.Config{
		Accounts: map[string]acct.Account{}, Tiers: map[string]tier.Tier{},
		Pools: map[string]pool.Pool{poolName: {Models: []string{d.Model}, Scheduler: policy, Preset: preset}},
	}
	for _, a := range d.Accounts {
		sum := sha256.Sum256([]byte(a.Name + "-key"))
		cfg.Accounts[a.Name] = acct.Account{KeySHA256: hex.EncodeToString(sum[:]), MaxWaiting: maxWaiting, MaxConnections: 1 << 16, MaxBodies: 1 << 30}
	}
	for _, k := range d.Kinds {
		cfg.Tiers[k.Tier] = tier.Tier{Level: k.Level}
	}
	base, err := codec.Write(cfg)
	if err != nil {
		return fmt.Errorf("bench: %w", err)
	}
	m := &mesh.Mesh{Handle: func(context.Context, *wire.Frame) (*wire.Frame, error) { return nil, &wire.Fault{Code: "unsupported"} }}
	defer m.Close()
	l := &leader.Leader{Replicas: []netip.AddrPort{control}, Caller: m}
	r, err := l.Propose(ctx, &wire.Command{Id: "bench", Kind: &wire.Command_Change{Change: &wire.Change{
		Document: fmt.Appendf(nil, `{"base":%s,"overlays":{}}`, base), Author: "bench",
	}}})
	if err != nil {
		return fmt.Errorf("bench: apply: %w", err)
	}
	if r.GetCode() != state.OK {
		return fmt.Errorf("bench: apply: %s: %s", r.GetCode(), r.GetText())
	}
	return nil
}

// ready asks each entry for a short answer until it gives one.
func (b *Bench) ready(ctx context.Context, d *demand.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, url := range b.URLs {
		for !b.answers(ctx, url, d) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("bench: %s does not serve: %w", url, ctx.Err())
			case <-time.After(readyPause):
			}
		}
	}
	// All engines have announced themselves to all entries after two rounds.
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(2 * hello.Every):
		return nil
	}
}

func (b *Bench) answers(ctx context.Context, url string, d *demand.Demand) bool {
	body := fmt.Sprintf(`{"model":%q,"messages":[],"max_tokens":1}`, d.Model)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+d.Accounts[0].Name+"-key")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// free returns an address on loopback that nothing listens on.
func free() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("bench: %w", err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}
