package main

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"azurelane/core/state"
	"azurelane/io/entry"
	"azurelane/io/hello"
	"azurelane/io/httpd"
	"azurelane/io/logs"
	"azurelane/io/quorum"
	"azurelane/io/rig/engine"
	"azurelane/io/rig/stand"
	"azurelane/io/setup"
)

const usageDev = `Run a whole small system in this process, on loopback: one control replica
with a data folder, one entry, three stand-in engines of unlike speed and one
stand-in service. It prints requests to try.`

//go:embed dev.json
var devConfig []byte

// Offsets from the port for callers, which is 0.
const (
	devControl = iota + 1
	devControlOperator
	devUpstreams
	devPeers
	devOperator
	devStandins // And the ports after it.
)

type devCmd struct {
	DataFolder string `default:"data/dev" help:"Folder of the control replica."`
	Port       uint16 `default:"8080" help:"Port for callers; the next ports serve the other parts."`
	Verbose    bool   `short:"v" help:"Log more."`
}

// Help is the command's manual.
func (devCmd) Help() string { return usageDev }

// Run serves until a signal.
func (c *devCmd) Run(ctx context.Context) error {
	level := 0
	if c.Verbose {
		level = 1
	}
	log, err := logs.New(os.Stderr, "text", level)
	if err != nil {
		return err
	}
	sup := suture.New("dev", suture.Spec{EventHook: func(ev suture.Event) { log.WithName("dev").V(1).Info("Part stopped.", "event", ev.String()) }})
	if err := c.build(sup, log); err != nil {
		return err
	}
	done := sup.ServeBackground(ctx)
	if err := c.firstConfig(ctx); err != nil {
		return err
	}
	if err := c.ready(ctx); err != nil {
		return err
	}
	fmt.Printf(devHint, c.addr(0), c.addr(0))
	if err := <-done; err != nil && ctx.Err() == nil {
		return fmt.Errorf("dev: %w", err)
	}
	return nil
}

// ready waits until the entry has its configuration, so that the requests that
// are printed next work as they are.
func (c *devCmd) ready(ctx context.Context) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr(devOperator).String()+"/ready", http.NoBody)
		if err != nil {
			return fmt.Errorf("dev: %w", err)
		}
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

const devHint = `azurelane serves. Try:

  curl -i http://%s/v1/chat/completions -H 'Authorization: Bearer dev-key' -d '{"model":"demo","messages":[{"role":"user","content":"Hello"}]}'
  curl -i http://%s/svc/notes/hello -H 'Authorization: Bearer dev-key' -H 'Idempotency-Key: one' -d 'text'

Stop with Ctrl-C.
`

func (c *devCmd) addr(i uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), c.Port+i)
}

func (c *devCmd) build(sup *suture.Supervisor, log logr.Logger) error {
	control := []netip.AddrPort{c.addr(devControl)}
	q, err := quorum.Open(&setup.Setup{
		Node: "control-1", DataCentre: "dev", Peers: control[0], Operator: c.addr(devControlOperator), Control: control, DataFolder: c.DataFolder,
		Bootstrap: true,
	}, log)
	if err != nil {
		return err
	}
	sup.Add(q)
	e, err := entry.Open(&setup.Setup{
		Node: "entry-1", DataCentre: "dev", Callers: c.addr(0), Upstreams: c.addr(devUpstreams), Peers: c.addr(devPeers), Operator: c.addr(devOperator), Control: control,
		DrainLinger: new(time.Duration),
	}, log)
	if err != nil {
		return err
	}
	sup.Add(e)
	for i, s := range []*engine.Engine{
		{Name: "engine-fast", Slots: 16, Prefill: 40000, Step: 4 * time.Millisecond, Crowd: 0.02, CacheLimit: 64},
		{Name: "engine-middle", Slots: 8, Prefill: 15000, Step: 9 * time.Millisecond, Crowd: 0.04, CacheLimit: 64},
		{Name: "engine-slow", Slots: 4, Prefill: 5000, Step: 20 * time.Millisecond, Crowd: 0.08, CacheLimit: 32},
		{Name: "notes-1", Slots: 16, Step: 2 * time.Millisecond},
	} {
		pool, models := "demo", []string{"demo"}
		if s.Prefill == 0 {
			pool, models = "notes", nil
		}
		if err := c.upstream(sup, log, s, c.addr(devStandins+uint16(i)), pool, models); err != nil { //nolint:gosec // Four at most.
			return err
		}
	}
	return nil
}

func (c *devCmd) upstream(sup *suture.Supervisor, log logr.Logger, eng *engine.Engine, addr netip.AddrPort, pool string, models []string) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fmt.Errorf("dev: listen: %w", err)
	}
	h := &hello.Hello{
		Upstream: eng.Name, Address: addr, Incarnation: "dev", Pools: []string{pool}, Models: models,
		MaxRunning: eng.Slots, Entries: []netip.AddrPort{c.addr(devUpstreams)}, Load: eng.Load, Log: log.WithName("hello"),
	}
	sup.Add(&upstream{hello: h, http: &httpd.Httpd{Listen: ln, Handler: &stand.Stand{Engine: eng}}})
	return nil
}

// firstConfig puts the example configuration in force, unless the data folder
// brought one.
func (c *devCmd) firstConfig(ctx context.Context) error {
	op, err := newOperator([]netip.AddrPort{c.addr(devControl)}, tlsFlags{})
	if err != nil {
		return err
	}
	defer op.close()
	st, err := op.status(ctx)
	if err != nil {
		return err
	}
	if st.GetVersion() > 0 {
		return nil
	}
	r, err := op.apply(ctx, "dev-first", 0, devConfig, "dev")
	if err != nil {
		return err
	}
	if r.GetCode() != state.OK {
		return fmt.Errorf("dev: configuration: %s: %s", r.GetCode(), r.GetText())
	}
	return nil
}
