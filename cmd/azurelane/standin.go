package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"

	"azurelane/core/pool"
	"azurelane/io/hello"
	"azurelane/io/httpd"
	"azurelane/io/logs"
	"azurelane/io/orderd"
	"azurelane/io/resume"
	"azurelane/io/rig/engine"
	"azurelane/io/rig/stand"
)

const usageStandin = `Run a stand-in for a model engine or a plain service. It announces itself to
the entries, answers in OpenAI's published form or echoes a plain call, and
lists what ran under /journal.`

type standinCmd struct {
	Name    string           `required:"" help:"Name of the upstream."`
	Listen  netip.AddrPort   `required:"" help:"Address of its HTTP server."`
	Entries []netip.AddrPort `required:"" help:"Upstream addresses of the entries."`
	Pools   []string         `required:"" help:"Pools that it serves."`
	Models  []string         `help:"Models that it serves."`
	Key     string           `help:"Bearer key with which it announces itself."`
	Slots   int              `default:"8" help:"Requests that run at once."`
	Prefill float64          `default:"20000" help:"Prompt tokens a second."`
	Resume  time.Duration    `help:"Continue broken streams; a run without a reader goes on for so long. Zero for not."`
	Step    time.Duration    `default:"5ms" help:"Time of one decoding step of one request."`
	Crowd   float64          `default:"0.05" help:"Part of a step that each further request adds."`

	ChecksFence bool          `help:"Refuse orders with an old number."`
	OrderTime   time.Duration `default:"1s" help:"Time that an order takes."`
}

// Help is the command's manual.
func (standinCmd) Help() string { return usageStandin }

// Run serves until a signal, then tells the entries that it leaves.
func (c *standinCmd) Run(ctx context.Context) error {
	log, err := logs.New(os.Stderr, "text", 0)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return err
	}
	eng := &engine.Engine{Name: c.Name, Slots: c.Slots, Prefill: c.Prefill, Step: c.Step, Crowd: c.Crowd, CacheLimit: 64}
	h := &hello.Hello{
		Upstream: c.Name, Address: c.Listen, Incarnation: uuid.NewString()[:8], Pools: c.Pools, Models: c.Models,
		MaxRunning: c.Slots, CanResume: c.Resume > 0, ChecksFence: c.ChecksFence, Entries: c.Entries, Key: c.Key, Load: eng.Load, Log: log.WithName("hello"),
	}
	mux := http.NewServeMux()
	var handler http.Handler = &stand.Stand{Engine: eng}
	if c.Resume > 0 {
		handler = &resume.Resume{Handler: handler, Grace: c.Resume}
	}
	mux.Handle("/", handler)
	mux.Handle("POST "+orderd.Path, &orderd.Orderd{ChecksFence: c.ChecksFence, Takes: c.OrderTime})
	u := &upstream{hello: h, http: &httpd.Httpd{Listen: ln, Handler: mux, Drain: pool.DefaultMaxRun}}
	if err := u.Serve(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// upstream is an HTTP server that announces itself.
type upstream struct {
	hello *hello.Hello
	http  *httpd.Httpd
}

// Serve runs until ctx ends. Then it leaves first, and only when no entry
// sends anything new are the requests in flight waited for and the server ends.
func (u *upstream) Serve(ctx context.Context) error {
	sctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	hctx, hcancel := context.WithCancel(ctx)
	defer hcancel()
	done := make(chan error, 1)
	go func() {
		done <- u.http.Serve(sctx)
		hcancel()
	}()
	_ = u.hello.Serve(hctx)
	cancel()
	return <-done
}
