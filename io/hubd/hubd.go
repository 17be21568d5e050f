// Package hubd runs the process of a control replica whose group forms and repairs itself.
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
	"azurelane/io/build"
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
	// memoryLimitShare is the fraction of the allowed memory at which the garbage collector
	// starts to work harder, as in gated.
	memoryLimitShare = 0.7
	// voterAwayShare is the fraction of the catch-up time after which a silent voter is
	// replaced. The catch-up time is a setting: a lost replica must be replaced by a live one
	// within it. The rest of it is left for the membership change itself.
	voterAwayShare = 0.6
	// electionTimeout is shorter than raft.DefaultElectionTimeout (1 s), which package quorum
	// uses for groups that an operator sets up: these replicas are milliseconds apart, and entries
	// place requests by themselves while there is no leader.
	electionTimeout    = 400 * time.Millisecond
	drainOpenTime      = 200 * time.Millisecond // For open connections, before and after the listener closes.
	minCallDrain       = 500 * time.Millisecond // For calls in flight once the replica has left its group.
	leaveMargin        = 100 * time.Millisecond // For the replica to end once it may.
	stopMargin         = 600 * time.Millisecond // For stopping the process once the last call is answered.
	learnerForgetAfter = time.Minute            // Silence after which a learner is removed from the group.
	// maxRefusalLogLines is how many lines per second are logged for refused tickets. A line
	// costs some 20 us, ten times as much as refusing a ticket, so that this is at most 1 % of a
	// core in a burst. Entries log every refusal.
	maxRefusalLogLines = 400
)

// Hubd is the process of one control replica. Open creates it.
type Hubd struct {
	settings *local.Local
	log      logr.Logger
	ctrl     *ctrl.Ctrl
	beside   *mesh.Mesh // Further connections to the other replicas; see ctrl.Ctrl.
	sup      *suture.Supervisor
	// front serves the calls of upstreams and operators. It stops before the services that it
	// needs to answer them.
	front *httpd.Httpd
}

// Open reads the data folder and binds the addresses. The function calls returns the handler for
// the calls of upstreams and operators, and parse parses published documents.
func Open(settings *local.Local, calls func(*hub.Hub) http.Handler, parse func(doc []byte) (*conf.Config, error), log logr.Logger) (*Hubd, error) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB<<20)))
	}
	d := &Hubd{settings: settings, log: log.WithName("hub")}
	peers, err := net.Listen("tcp", settings.ListenPeers().String())
	if err != nil {
		return nil, fmt.Errorf("hubd: listen: %w", err)
	}
	front, err := net.Listen("tcp", settings.Calls)
	if err != nil {
		_ = peers.Close()
		return nil, fmt.Errorf("hubd: listen: %w", err)
	}
	d.ctrl = &ctrl.Ctrl{
		Name: settings.Node, Address: settings.Peers, Control: settings.SeedPeers(), Centre: settings.Centre,
		Bootstrap: settings.Bootstrap && settings.Founds(), Election: electionTimeout, Leaseless: true, LeaveTimeout: leaveTimeout(settings.DrainLimit), Log: log.WithName("ctrl"),
	}
	if err := d.ctrl.Open(settings.DataFolder); err != nil {
		_ = peers.Close()
		_ = front.Close()
		return nil, fmt.Errorf("hubd: %w", err)
	}
	d.build(peers, front, calls, parse)
	return d, nil
}

// build connects the services of the process, without starting them.
func (d *Hubd) build(peers, front net.Listener, calls func(*hub.Hub) http.Handler, parse func(doc []byte) (*conf.Config, error)) {
	settings, metrics := d.settings, stats.New()
	metrics.Runtime()
	m := &mesh.Mesh{Listen: peers, Self: settings.Peers, Log: d.log.WithName("mesh")}
	toLeader := &leader.Leader{Replicas: d.replicas(), Caller: m}
	group := coreform.Policy{
		MaxLosses: settings.Losses, DataCentres: len(settings.Centres), ReplaceAfter: time.Duration(voterAwayShare * float64(settings.CatchUp)), RemoveLearnerAfter: learnerForgetAfter,
	}
	parseFor := func(doc []byte) (*conf.Config, error) {
		cfg, err := parse(doc)
		if err == nil {
			cfg.SetOverload(settings.DeferFrom)
		}
		return cfg, err
	}
	h := &hub.Hub{
		Replica: d.ctrl, LeaderClient: toLeader, DataCentre: settings.Centre, Parse: parseFor, Voters: group.TargetVoters(),
		AnnounceInterval: settings.Announce, Overage: settings.Overage, QuotaSlack: settings.QuotaSlack, Stats: metrics, Log: d.log, RefusalLog: logs.Budget{Most: maxRefusalLogLines},
		RolloutShare: settings.RolloutShare, RolloutSlack: settings.RolloutSlack, HoldVersions: settings.HoldVersions, UpstreamDrain: settings.UpstreamDrain,
	}
	h.RegisterGauges()
	metrics.Pull("log-term", func() int64 { return int64(d.ctrl.Term()) })       //nolint:gosec // Far below the limit.
	metrics.Pull("log-applied", func() int64 { return int64(d.ctrl.Applied()) }) //nolint:gosec // Far below the limit.
	m.Handle, m.Later = h.Handle, h.HandleAsync
	d.beside = &mesh.Mesh{Self: settings.Peers, Handle: h.Handle, Later: h.HandleAsync, Log: d.log.WithName("mesh")}
	d.ctrl.Sender, d.ctrl.Beside = m, d.beside
	ops := &admin.Admin{Stats: metrics, Ready: d.ctrl.Ready}
	d.sup = suture.New("hub", suture.Spec{EventHook: func(ev suture.Event) { d.log.Info("Supervisor event.", "event", ev.String()) }})
	d.front = &httpd.Httpd{Listen: front, Handler: calls(h), DrainOpen: drainOpenTime}
	for _, s := range []suture.Service{
		m, d.ctrl, h,
		&form.Form{Policy: group, Self: settings.Peers, Centre: settings.Centre, Replica: d.ctrl, Leader: toLeader, Log: d.log.WithName("form")},
	} {
		d.sup.Add(s)
	}
	if settings.Metrics == "" {
		return
	}
	if ln, err := net.Listen("tcp", settings.Metrics); err == nil {
		d.sup.Add(&httpd.Httpd{Listen: ln, Handler: ops.Handler()})
	} else {
		d.log.Error(err, "Metrics not served.")
	}
}

// leaveTimeout returns how long a replica that stops may wait for the next leader and its release.
func leaveTimeout(limit time.Duration) time.Duration {
	return max(callDrain(limit)-minCallDrain-leaveMargin, limit/4)
}

// callDrain returns how long calls may be answered if so much of the drain limit is left. Meanwhile calls that
// need a leader may find one.
func callDrain(left time.Duration) time.Duration {
	return max(left-2*drainOpenTime-stopMargin, minCallDrain)
}

// replicas returns the replicas to ask for the leader, this one first.
func (d *Hubd) replicas() []netip.AddrPort {
	list := []netip.AddrPort{d.settings.Peers}
	for _, s := range d.settings.SeedPeers() {
		if !slices.Contains(list, s) {
			list = append(list, s)
		}
	}
	return list
}

// Serve runs until ctx ends. Within the drain limit the replica leaves its group, a leader hands over
// its leadership, and calls are answered. If the replica fails, all services stop, and Serve returns an
// error that ends the process.
func (d *Hubd) Serve(ctx context.Context) error {
	servicesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer d.beside.Close()
	build.Read().Log(d.log).Info("Control serves.", "node", d.settings.Node, "peers", d.settings.Peers.String(),
		"identity", d.ctrl.Identity(), "term", d.ctrl.Term(), "bootstrap", d.settings.Bootstrap)
	done := d.sup.ServeBackground(servicesCtx)
	frontCtx, stopFront := context.WithCancel(servicesCtx)
	defer stopFront()
	frontDone := make(chan error, 1)
	go func() { frontDone <- d.front.Serve(frontCtx) }()
	select {
	case err := <-frontDone:
		return fmt.Errorf("hubd: %w: %w", suture.ErrTerminateSupervisorTree, err)
	case err := <-done:
		if !errors.Is(err, suture.ErrTerminateSupervisorTree) {
			err = fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
		}
		return fmt.Errorf("hubd: %w", err)
	case <-ctx.Done():
	}
	stopAt := time.Now().Add(d.settings.DrainLimit)
	leaveCtx, cancelLeave := context.WithTimeout(servicesCtx, leaveTimeout(d.settings.DrainLimit)+leaveMargin)
	defer cancelLeave()
	d.ctrl.Leave(leaveCtx)
	d.front.Drain = callDrain(time.Until(stopAt))
	stopFront()
	<-frontDone //nolint:errcheck // It was told to end.
	cancel()
	<-done //nolint:errcheck // The services were told to end.
	d.log.Info("Control stopped.")
	return nil
}
