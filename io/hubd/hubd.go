// Package hubd is the process of a control replica whose group forms itself.
package hubd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"azurelane/core/conf"
	coreform "azurelane/core/repair"
	"azurelane/io/admin"
	"azurelane/io/ctrl"
	"azurelane/io/form"
	"azurelane/io/httpd"
	"azurelane/io/hub"
	"azurelane/io/leader"
	"azurelane/io/local"
	"azurelane/io/logs"
	"azurelane/io/mesh"
	"azurelane/io/stats"
)

const (
	memoryPart = 0.7             // See gated: the part of the memory at which the collector works harder.
	leaveLimit = 3 * time.Second // For the next leader to take over when the process stops.
	// awayPart is the part of the catch-up time after which a silent voter is
	// replaced: the rest is for the change itself.
	awayPart = 0.6
	// election is shorter than where an operator puts the group together: its
	// replicas are milliseconds apart, and while none leads, entries place
	// requests by themselves.
	election  = 400 * time.Millisecond
	drainOpen = 200 * time.Millisecond // For calls, before and after nothing new is accepted.
	forget    = time.Minute            // After which a silent learner leaves the group.
	// refusalLines is how many lines a second refused tickets get. A line costs some
	// 20 us, ten times what it takes to refuse a ticket, so that this is at most
	// 1 % of a core in a burst; entries have a line for each refusal.
	refusalLines = 400
)

// Hubd is one such process. Open makes it.
type Hubd struct {
	set  *local.Local
	log  logr.Logger
	ctrl *ctrl.Ctrl
	sup  *suture.Supervisor
	// front takes the calls of upstreams and operators. It stops before the parts that
	// it needs to answer them.
	front *httpd.Httpd
}

// Open reads the data folder and binds the addresses. Calls makes the handler
// of what upstreams and operators call.
func Open(set *local.Local, calls func(*hub.Hub) http.Handler, parse func(doc []byte) (*conf.Config, error), log logr.Logger) (*Hubd, error) {
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(set.MemoryMB<<20)))
	}
	d := &Hubd{set: set, log: log.WithName("hub")}
	peers, err := net.Listen("tcp", set.ListenPeers().String())
	if err != nil {
		return nil, fmt.Errorf("hubd: listen: %w", err)
	}
	front, err := net.Listen("tcp", set.Calls)
	if err != nil {
		_ = peers.Close()
		return nil, fmt.Errorf("hubd: listen: %w", err)
	}
	d.ctrl = &ctrl.Ctrl{
		Name: set.Node, Address: set.Peers, Control: set.SeedPeers(), Centre: set.Centre,
		Bootstrap: set.Bootstrap && set.Founds(), Election: election, Leaseless: true, Log: log.WithName("ctrl"),
	}
	if err := d.ctrl.Open(set.DataFolder); err != nil {
		_ = peers.Close()
		_ = front.Close()
		return nil, fmt.Errorf("hubd: %w", err)
	}
	d.build(peers, front, calls, parse)
	return d, nil
}

func (d *Hubd) build(peers, front net.Listener, calls func(*hub.Hub) http.Handler, parse func(doc []byte) (*conf.Config, error)) {
	set, metrics := d.set, stats.New()
	metrics.Runtime()
	m := &mesh.Mesh{Listen: peers, Self: set.Peers, Log: d.log.WithName("mesh")}
	toLeader := &leader.Leader{Replicas: d.replicas(), Caller: m}
	group := coreform.Policy{
		MaxLosses: set.Losses, DataCentres: len(set.Centres), ReplaceAfter: time.Duration(awayPart * float64(set.CatchUp)), RemoveLearnerAfter: forget,
	}
	h := &hub.Hub{
		Replica: d.ctrl, Leader: toLeader, Centre: set.Centre, Parse: parse, Voters: group.TargetVoters(), Beat: set.Announce, Over: set.Overage,
		Slack: set.QuotaSlack, Stats: metrics, Log: d.log, Lines: logs.Budget{Most: refusalLines},
	}
	h.Gauges()
	metrics.Pull("log-term", func() int64 { return int64(d.ctrl.Term()) })       //nolint:gosec // Terms are few.
	metrics.Pull("log-applied", func() int64 { return int64(d.ctrl.Applied()) }) //nolint:gosec // So are entries.
	m.Handle, m.Later = h.Handle, h.Later
	d.ctrl.Sender = m
	ops := &admin.Admin{Stats: metrics, Ready: d.ctrl.Ready}
	d.sup = suture.New("hub", suture.Spec{EventHook: func(ev suture.Event) { d.log.Info("Part stopped.", "event", ev.String()) }})
	d.front = &httpd.Httpd{Listen: front, Handler: calls(h), DrainOpen: drainOpen}
	for _, s := range []suture.Service{
		m, d.ctrl, h,
		&form.Form{Policy: group, Self: set.Peers, Centre: set.Centre, Replica: d.ctrl, Leader: toLeader, Log: d.log.WithName("form")},
	} {
		d.sup.Add(s)
	}
	if set.Metrics == "" {
		return
	}
	if ln, err := net.Listen("tcp", set.Metrics); err == nil {
		d.sup.Add(&httpd.Httpd{Listen: ln, Handler: ops.Handler()})
	} else {
		d.log.Error(err, "Metrics not served.")
	}
}

// replicas are those to ask for the leader, this one first.
func (d *Hubd) replicas() []netip.AddrPort {
	list := []netip.AddrPort{d.set.Peers}
	for _, s := range d.set.SeedPeers() {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// Serve runs until ctx ends; a leader then hands over first. When the replica
// fails, all parts end and the process with them.
func (d *Hubd) Serve(ctx context.Context) error {
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.log.Info("Control serves.", "node", d.set.Node, "peers", d.set.Peers.String())
	done := d.sup.ServeBackground(parts)
	fctx, fstop := context.WithCancel(parts)
	defer fstop()
	served := make(chan error, 1)
	go func() { served <- d.front.Serve(fctx) }()
	select {
	case err := <-served:
		return fmt.Errorf("hubd: %w: %w", suture.ErrTerminateSupervisorTree, err)
	case err := <-done:
		if !errors.Is(err, suture.ErrTerminateSupervisorTree) {
			err = fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
		}
		return fmt.Errorf("hubd: %w", err)
	case <-ctx.Done():
	}
	lctx, lcancel := context.WithTimeout(parts, leaveLimit)
	defer lcancel()
	d.ctrl.Leave(lctx)
	fstop()
	<-served //nolint:errcheck // It ended because it was told to.
	cancel()
	<-done //nolint:errcheck // The parts ended because they were told to.
	d.log.Info("Control stopped.")
	return nil
}
