// Package gated is the process of an entry for routes.
package gated

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"azurelane/core/conf"
	"azurelane/core/digest"
	"azurelane/core/wire"
	"azurelane/io/admin"
	"azurelane/io/client"
	"azurelane/io/gate"
	"azurelane/io/grant"
	"azurelane/io/httpd"
	"azurelane/io/local"
	"azurelane/io/mesh"
	"azurelane/io/stats"
	"azurelane/io/watch"
)

const (
	// memoryPart is the part of the allowed memory at which the collector works
	// harder; the rest is for stacks and what the kernel holds for the process.
	memoryPart = 0.7
	// lingerFor is how long a stopping entry still takes new connections: the
	// balancer asks each second and takes it out after two refusals.
	lingerFor = 2500 * time.Millisecond
	// stopMargin is how long before the drain limit the process has ended.
	stopMargin = 600 * time.Millisecond
	drainOpen  = 700 * time.Millisecond // For kept connections, before and after nothing new is accepted.
	// opsDrainOpen is the same for the operators' ports, which stop last: the process has
	// to end within the drain limit.
	opsDrainOpen = 100 * time.Millisecond
	usageEvery   = 250 * time.Millisecond // Between two reports of what was served without asking.
	// tellLimit is how long a scheduler may take to answer what needs no decision.
	tellLimit = time.Second
	idleConns = 4 * time.Second // How long an unused connection to an upstream is kept.
)

// Gated is one such process. Open makes it.
type Gated struct {
	set    *local.Local
	log    logr.Logger
	gate   *gate.Gate
	watch  *watch.Watch
	grant  *grant.Client
	mesh   *mesh.Mesh
	client *client.Client
	sup    *suture.Supervisor
	front  *httpd.Httpd
}

// Open binds the entry's addresses. The gate comes with its dialect set.
func Open(set *local.Local, g *gate.Gate, echo string, parse func(doc []byte) (*conf.Config, error), log logr.Logger) (*Gated, error) {
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(set.MemoryMB<<20)))
	}
	incarnation := uuid.NewString()[:8]
	e := &Gated{set: set, log: log.WithName("gate"), gate: g, client: &client.Client{Echo: echo, Idle: idleConns}}
	lns, err := listen(set.ListenPeers().String(), set.Callers, set.Ready)
	if err != nil {
		return nil, err
	}
	metrics := stats.New()
	metrics.Runtime()
	e.mesh = &mesh.Mesh{Listen: lns[0], Self: set.Peers, Handle: nothing, Log: log.WithName("mesh")}
	e.watch = &watch.Watch{
		Node: set.Node, Incarnation: incarnation, Centre: set.Centre, Self: set.Peers, Seeds: e.seeds, Mesh: e.mesh,
		Parse: parse, Log: log.WithName("watch"),
	}
	e.grant = &grant.Client{
		Self: set.Node, Incarnation: incarnation, Local: none{}, Members: e.watch, Mesh: e.mesh, Log: log.WithName("grant"),
	}
	e.watch.Changed, e.watch.Rates = e.grant.OwnersChanged, g.Rates
	e.watch.Crashes, e.watch.Banned = g.Crashes, g.Banned
	e.watch.Limits, e.watch.Limited = g.Limits, g.Limited
	g.Node, g.Incarnation, g.Centre = set.Node, incarnation, set.Centre
	g.News, g.Granter, g.Sender, g.Prober, g.Trier, g.Stats, g.Log = e.watch, e.grant, e.client, e.client, e, metrics, e.log
	metrics.Pull("configuration-version", func() int64 { return int64(e.watch.View().Version) }) //nolint:gosec // Versions are small.
	metrics.Pull("configuration-age-ms", func() int64 { return time.Since(e.watch.View().Heard).Milliseconds() })
	metrics.Pull("scheduler-known", func() int64 {
		if e.watch.Owner("") != nil {
			return 1
		}
		return 0
	})
	g.Ratio, g.Slack, g.QuotaSlack = set.RetryRatio, set.RetrySlack, set.QuotaSlack
	e.front = &httpd.Httpd{Listen: lns[1], Handler: g, Drain: set.DrainLimit - lingerFor - 2*drainOpen - stopMargin, DrainOpen: drainOpen}
	ops := &admin.Admin{Stats: metrics, Ready: g.Ready}
	e.sup = suture.New("gate", suture.Spec{EventHook: func(ev suture.Event) { e.log.Info("Part stopped.", "event", ev.String()) }})
	for _, s := range []suture.Service{e.mesh, e.watch, e.grant, &httpd.Httpd{Listen: lns[2], Handler: ops.Handler(), DrainOpen: opsDrainOpen}} {
		e.sup.Add(s)
	}
	if set.Metrics != "" {
		ln, err := net.Listen("tcp", set.Metrics)
		if err != nil {
			return nil, fmt.Errorf("gated: listen: %w", err)
		}
		e.sup.Add(&httpd.Httpd{Listen: ln, Handler: ops.Handler(), DrainOpen: opsDrainOpen})
	}
	return e, nil
}

func listen(addrs ...string) ([]net.Listener, error) {
	var lns []net.Listener
	for _, a := range addrs {
		ln, err := net.Listen("tcp", a)
		if err != nil {
			for _, l := range lns {
				_ = l.Close()
			}
			return nil, fmt.Errorf("gated: listen: %w", err)
		}
		lns = append(lns, ln)
	}
	return lns, nil
}

// seeds reads the settings anew: the file may change without a signal.
func (e *Gated) seeds() []netip.AddrPort {
	now, err := e.set.Reread()
	if err != nil {
		e.log.Info("Settings not read again; the former seeds stay.", "err", err.Error())
	}
	return now.SeedPeers()
}

// Serve runs until ctx ends. The entry then says that it is not ready, still
// serves until the balancer has seen it, and ends when no request is left.
func (e *Gated) Serve(ctx context.Context) error {
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := e.sup.ServeBackground(parts)
	go e.report(parts)
	go e.reportSeen(parts)
	fctx, fstop := context.WithCancel(parts)
	defer fstop()
	served := make(chan error, 1)
	go func() { served <- e.front.Serve(fctx) }()
	e.log.Info("Entry serves.", "node", e.set.Node, "callers", e.set.Callers)
	select {
	case <-ctx.Done():
	case err := <-served:
		return fmt.Errorf("gated: %w", err)
	case err := <-done:
		return fmt.Errorf("gated: %w", err)
	}
	e.log.Info("Entry drains.")
	now := time.Now()
	e.gate.Drain(gate.Stop{Refuse: now.Add(lingerFor), End: now.Add(e.set.DrainLimit - stopMargin)})
	time.Sleep(lingerFor)
	fstop()
	<-served //nolint:errcheck // It ended because it was told to.
	cancel()
	<-done //nolint:errcheck // The parts ended because they were told to.
	e.client.Close()
	e.log.Info("Entry stopped.")
	return nil
}

// report tells the scheduler what accounts used without asking it.
func (e *Gated) report(ctx context.Context) {
	tick := time.NewTicker(usageEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		owner := e.watch.Owner("")
		if owner == nil {
			continue
		}
		u := e.gate.Usage()
		to, err := netip.ParseAddrPort(owner.GetAddress())
		if u == nil || err != nil {
			continue
		}
		sctx, cancel := context.WithTimeout(ctx, usageEvery)
		if err := e.mesh.Send(sctx, to, &wire.Frame{Body: &wire.Frame_Usage{Usage: u}}); err != nil {
			e.log.V(1).Info("Usage not reported.", "err", err.Error())
		}
		cancel()
	}
}

// reportSeen tells the scheduler what answers have shown of upstreams and requests, as soon
// as they do. One that is new hears all that this entry knows before it gets any ticket.
func (e *Gated) reportSeen(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.gate.Reports():
		}
		if l := e.gate.NewLimits(); len(l) > 0 {
			e.tellSeen(ctx, &wire.Frame{Body: &wire.Frame_Limits{Limits: &wire.Limits{Limits: l}}})
		}
		c := e.gate.Suspects()
		if len(c.GetCrashes())+len(c.GetCleared()) == 0 || e.tellSeen(ctx, &wire.Frame{Body: &wire.Frame_Crashes{Crashes: c}}) {
			continue
		}
		e.gate.Unreported(c)
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageEvery):
		}
	}
}

// tellSeen reports whether the scheduler has taken a report. A limit that got lost is
// named in the next answer.
func (e *Gated) tellSeen(ctx context.Context, f *wire.Frame) bool {
	if err := e.tell(ctx, e.watch.Owner(""), f); err != nil {
		e.log.Info("Report not taken.", "err", err.Error())
		return false
	}
	return true
}

// Try asks the scheduler for leave to send a banned request once.
func (e *Gated) Try(ctx context.Context, d digest.Digest) error {
	return e.tell(ctx, e.watch.Owner(""), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
}

func (e *Gated) tell(ctx context.Context, owner *wire.Member, f *wire.Frame) error {
	to, err := netip.ParseAddrPort(owner.GetAddress())
	if err != nil {
		return fmt.Errorf("gated: no scheduler: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	if _, err := e.mesh.Call(ctx, to, f); err != nil {
		return fmt.Errorf("gated: tell the scheduler: %w", err)
	}
	return nil
}

// none is the granting part's own scheduler: an entry for routes has none.
type none struct{}

// Submit is never called: no owner is this process.
func (none) Submit(context.Context, *wire.Ticket) (*wire.Decision, error) {
	return nil, grant.ErrNoOwner
}

// Release is never called.
func (none) Release(*wire.Release) {}

// Hold is never called.
func (none) Hold(*wire.Held) {}

func nothing(context.Context, *wire.Frame) (*wire.Frame, error) {
	return nil, &wire.Fault{Code: "unsupported", Text: "an entry for routes answers nothing"}
}
