// Package bench runs a small whole system in this process, to measure a
// scheduling policy: one control replica, entries and stand-in engines of four
// hardware generations, all on loopback.
package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"azurelane/io/entry"
	"azurelane/io/hello"
	"azurelane/io/quorum"
	"azurelane/io/rig/demand"
	"azurelane/io/rig/stand"
	"azurelane/io/setup"
)

// Bench is one running system. Open makes it.
type Bench struct {
	URLs   []string // Of the entries.
	Stands []*stand.Stand

	stale atomic.Bool // Load reports tell the load of some seconds ago.
	sup   *suture.Supervisor
	stop  context.CancelFunc
	done  <-chan error
	dir   string
}

const (
	entries    = 2
	poolName   = "models"
	openTries  = 5
	readyLimit = 20 * time.Second
	readyPause = 20 * time.Millisecond
)

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
func (b *Bench) Stale() { b.stale.Store(true) }

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
