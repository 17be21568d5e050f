// Package gated runs an entry: a process that serves callers' requests through a gate.Gate. A
// deployment has many entries behind a load balancer.
package gated

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"azurelane/core/buffer"
	"azurelane/core/conf"
	"azurelane/core/digest"
	"azurelane/core/intake"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/accept"
	"azurelane/io/admin"
	"azurelane/io/build"
	"azurelane/io/client"
	"azurelane/io/delay"
	"azurelane/io/dialer"
	"azurelane/io/gate"
	"azurelane/io/grant"
	"azurelane/io/guard"
	"azurelane/io/httpd"
	listener "azurelane/io/listen"
	"azurelane/io/local"
	"azurelane/io/mesh"
	"azurelane/io/stats"
	"azurelane/io/tunnel"
	"azurelane/io/watch"
)

const (
	// memoryLimitFraction is the fraction of the allowed memory that is set as the limit at which
	// the garbage collector works harder. The rest is for stacks and for memory that the kernel
	// holds for the process.
	memoryLimitFraction = 0.7
	// bufferDivisor divides the allowed memory into that of requests' bodies and of answers which are read before
	// they are passed on. Each of the two may take three quarters of it, which is an eighth of the allowed memory.
	bufferDivisor = 6
	// headerDivisor divides the allowed memory into that of large headers.
	headerDivisor = 8
	// drainLinger is how long a draining entry still accepts new connections. The load balancer
	// probes every second and removes an entry after two failed probes.
	drainLinger = 2500 * time.Millisecond
	// stopMargin is the time at the end of the drain limit that is left for stopping the process.
	// Requests that still run are ended httpd.EndTime before it begins.
	stopMargin = 600 * time.Millisecond
	// keepAliveDrain is how long requests on open keep-alive connections are served, before and
	// again after the listener closes.
	keepAliveDrain = 700 * time.Millisecond
	// adminKeepAliveDrain is the same for the operators' ports. They stop last, and the process has
	// to end within the drain limit.
	adminKeepAliveDrain = 100 * time.Millisecond
	reportInterval      = 250 * time.Millisecond // Between two usage reports, and before a failed report is sent again.
	// schedulerTimeout is how long the scheduler may take to acknowledge a report or to allow a
	// trial.
	schedulerTimeout    = time.Second
	upstreamIdleTimeout = 4 * time.Second // How long an idle connection to an upstream is kept.
	// splitValidDivisor divides the time within which a bad version must get no more requests. It
	// leaves most of that time to the scheduler, which first has to notice.
	splitValidDivisor = 4
	// Evidence about the versions of a rollout is reported at minEvidenceInterval, and less often
	// where there are many entries, so that the scheduler gets at most a thousand reports a second.
	minEvidenceInterval      = 100 * time.Millisecond
	evidenceIntervalPerEntry = time.Millisecond
	// Between two questions for entries with a path: at least, then after the first one, and at most.
	minPathInterval = 100 * time.Millisecond
	pathInterval    = 500 * time.Millisecond
	maxPathInterval = time.Second
	probeCheck      = 100 * time.Millisecond // Between two checks whether a lost path should be probed.
	// maxTunnels is the number of connections that an entry passes on for others at once. Each takes
	// some tens of kilobytes.
	maxTunnels = 256
)

// Gated is the process of one entry. Open creates it.
type Gated struct {
	settings   *local.Local
	log        logr.Logger
	gate       *gate.Gate
	watch      *watch.Watcher
	grant      *grant.Client
	mesh       *mesh.Mesh
	client     *client.Client
	dialer     *dialer.Dialer
	tunnel     *tunnel.Tunnel // Nil if the settings name no address for it.
	supervisor *suture.Supervisor
	callers    *httpd.Httpd
	delay      delay.Delay
	intake     intake.Intake
}

// Open binds the addresses of the entry and connects its services. g must have its Dialect set;
// Open sets the other fields.
func Open(settings *local.Local, g *gate.Gate, echoHeader string, parseConfig func(doc []byte) (*conf.Config, error), log logr.Logger) (*Gated, error) {
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB<<20)))
	}
	incarnation := uuid.NewString()[:8]
	e := &Gated{settings: settings, log: log.WithName("gate"), gate: g, client: &client.Client{Echo: echoHeader, Idle: upstreamIdleTimeout}}
	e.dialer = &dialer.Dialer{Source: settings.Source, OnLost: e.client.Close, Sample: e.sampleUpstreams, Log: e.log.WithName("dialer")}
	e.client.Dial = e.dialer.DialContext
	g.Calls = &client.Client{Dial: e.dialer.DialContext} // Apart from requests, as answers to calls carry no request's ID.
	lns, err := listen(settings.ListenPeers().String(), settings.Callers, settings.Ready)
	if err != nil {
		return nil, err
	}
	metrics := stats.New()
	metrics.Runtime()
	e.mesh = &mesh.Mesh{Listen: lns[0], Self: settings.Peers, Handle: rejectFrame, Log: log.WithName("mesh")}
	e.watch = &watch.Watcher{
		Node: settings.Node, Incarnation: incarnation, DataCentre: settings.Centre, PeerAddress: settings.Peers, Seeds: e.seeds, Mesh: e.mesh,
		Parse: parseConfig, Log: log.WithName("watch"),
	}
	e.grant = &grant.Client{
		Self: settings.Node, Incarnation: incarnation, Local: noLocalScheduler{}, Members: e.watch, Mesh: e.mesh, Log: log.WithName("grant"),
	}
	e.watch.OnSchedulerChange, e.watch.Usage = e.grant.OwnersChanged, g.UsageRates
	e.watch.Origins, e.watch.OnMixed = g.KnownOrigins, g.SetMixed
	e.watch.Brittle, e.watch.OnTicketed, e.watch.Leaving = g.KnownBrittle, g.SetTicketed, g.KnownLeaving
	e.watch.OnLiveSpeed = g.SetLiveSpeed
	e.watch.Crashes, e.watch.OnBans = g.KnownCrashes, g.SetBans
	e.watch.Limits, e.watch.OnLimits, e.watch.OnSplits = g.KnownLimits, g.SetLimits, g.SetSplits
	g.Node, g.Incarnation, g.DataCentre = settings.Node, incarnation, settings.Centre
	g.Cluster, g.Granter, g.Sender, g.Prober, g.Path, g.Trier, g.Charger, g.Origins, g.Stats, g.Log = e.watch, e.grant, e.client, e.dialer, e.dialer, e, e, e, metrics, e.log
	e.pullMetrics(metrics)
	g.Memory.Limit = settings.MemoryMB << 20 / bufferDivisor
	g.RetryRatio, g.RetrySlack, g.QuotaSlack = settings.RetryRatio, settings.RetrySlack, settings.QuotaSlack
	g.SplitValid, g.UpstreamDrain, g.Linger = settings.RollbackWithin/splitValidDivisor, settings.UpstreamDrain, guard.Linger
	e.callers = &httpd.Httpd{
		Listen: e.takeIn(lns[1], metrics), Handler: g, Drain: settings.DrainLimit - drainLinger - 2*keepAliveDrain - stopMargin, DrainOpen: keepAliveDrain,
		Guard: &guard.Guard{
			Bounds: e.callerBounds, Room: settings.MemoryMB << 20 / headerDivisor,
			Refused: func(status int) { metrics.Count("headers-refused-"+strconv.Itoa(status), 1) },
		},
	}
	ops := &admin.Admin{Stats: metrics, Ready: g.Ready}
	e.supervisor = suture.New("gate", suture.Spec{EventHook: func(ev suture.Event) { e.log.Info("Supervisor event.", "event", ev.String()) }})
	for _, s := range []suture.Service{e.mesh, e.watch, e.grant, &httpd.Httpd{Listen: lns[2], Handler: ops.Handler(), DrainOpen: adminKeepAliveDrain}} {
		e.supervisor.Add(s)
	}
	if err := e.openTunnel(metrics); err != nil {
		return nil, err
	}
	if settings.Metrics != "" {
		ln, err := net.Listen("tcp", settings.Metrics)
		if err != nil {
			return nil, fmt.Errorf("gated: listen: %w", err)
		}
		e.supervisor.Add(&httpd.Httpd{Listen: ln, Handler: ops.Handler(), DrainOpen: adminKeepAliveDrain})
	}
	return e, nil
}

// callerBounds returns the limits of callers' headers and idle connections in the configuration in force.
func (e *Gated) callerBounds() (headerBytes int, headerTime, idleTime time.Duration) {
	x := e.watch.View().Index
	if x == nil {
		return 0, 0, 0
	}
	l := x.Config().Limits
	return l.HeaderBytes, l.HeaderTime, l.IdleTime
}

// pullMetrics sets up the gauges that are read when the metrics are.
func (e *Gated) pullMetrics(metrics *stats.Stats) {
	metrics.Pull("configuration-version", func() int64 { return int64(e.watch.View().Version) }) //nolint:gosec // Versions are small.
	metrics.Pull("configuration-age-ms", func() int64 { return time.Since(e.watch.View().CurrentAt).Milliseconds() })
	metrics.Pull("upstreams-resting", e.gate.Resting)
	metrics.Pull("answers-in-memory-bytes", func() int64 { return e.gate.Memory.Used(buffer.Answers) })
	metrics.Pull("bodies-in-memory-bytes", func() int64 { return e.gate.Memory.Used(buffer.Bodies) })
	metrics.Pull("processor-delay-us", func() int64 { return e.delay.Mean().Microseconds() })
	metrics.Pull("scheduler-known", func() int64 {
		if e.watch.Owner("") != nil {
			return 1
		}
		return 0
	})
}

// takeIn wraps the listener for callers, so that an overloaded entry closes new connections unread.
func (e *Gated) takeIn(ln net.Listener, metrics *stats.Stats) net.Listener {
	socket, _ := ln.(syscall.Conn)
	return &accept.Accept{
		Listen: listener.Of(ln), Socket: socket, Intake: &e.intake,
		TurnedAway: func(n int64) { metrics.Count("connections-turned-away", n) },
	}
}

// openTunnel offers to pass connections of other entries on, if the settings say where.
func (e *Gated) openTunnel(metrics *stats.Stats) error {
	if !e.settings.Tunnel.IsValid() {
		return nil
	}
	ln, err := net.Listen("tcp", e.settings.Tunnel.String())
	if err != nil {
		return fmt.Errorf("gated: listen: %w", err)
	}
	e.tunnel = &tunnel.Tunnel{Listen: ln, Known: e.knowsUpstream, Path: e.dialer, Limit: maxTunnels, Log: e.log.WithName("tunnel")}
	metrics.Pull("tunnels", e.tunnel.Open)
	e.watch.Tunnel = e.settings.Tunnel
	e.supervisor.Add(e.tunnel)
	return nil
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

// seeds returns the peer addresses of the seeds. It reads the settings file each time, because the
// file may change without a signal. If the file can't be read, the previous addresses stay.
func (e *Gated) seeds() []netip.AddrPort {
	current, err := e.settings.Reread()
	if err != nil {
		e.log.Info("Settings could not be read again; keeping the previous seeds.", "err", err.Error())
	}
	return current.SeedPeers()
}

// Serve runs the entry until ctx ends. The entry then reports that it is not ready, keeps serving
// until the load balancer has noticed, and stops once no request is left.
func (e *Gated) Serve(ctx context.Context) error {
	servicesCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := e.supervisor.ServeBackground(servicesCtx)
	go e.reportUsage(servicesCtx)
	go e.reportObservations(servicesCtx)
	go e.reportEvidence(servicesCtx)
	go e.followPath(servicesCtx)
	go e.watchDelay(servicesCtx)
	callersCtx, stopCallers := context.WithCancel(servicesCtx)
	defer stopCallers()
	served := make(chan error, 1)
	go func() { served <- e.callers.Serve(callersCtx) }()
	build.Read().Log(e.log).Info("Entry serves.", "node", e.settings.Node, "callers", e.settings.Callers)
	select {
	case <-ctx.Done():
	case err := <-served:
		return fmt.Errorf("gated: %w", err)
	case err := <-done:
		return fmt.Errorf("gated: %w", err)
	}
	e.log.Info("Entry drains.")
	now := time.Now()
	end := now.Add(e.settings.DrainLimit - stopMargin)
	e.gate.Drain(gate.DrainSchedule{RefuseFrom: now.Add(drainLinger), Deadline: end.Add(-httpd.EndTime)})
	if e.tunnel != nil {
		e.tunnel.Drain()
	}
	time.Sleep(drainLinger)
	stopCallers()
	<-served //nolint:errcheck // The server was stopped above.
	e.reportUsageOnce(servicesCtx)
	if e.tunnel != nil {
		endCtx, endCancel := context.WithDeadline(servicesCtx, end)
		e.tunnel.AwaitIdle(endCtx)
		endCancel()
	}
	cancel()
	<-done //nolint:errcheck // The services were stopped above.
	e.client.Close()
	e.log.Info("Entry stopped.")
	return nil
}

// reportUsage periodically reports the accounts' usage by requests that this entry placed itself.
// The scheduler has seen no tickets of these requests.
func (e *Gated) reportUsage(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.gate.LogAccountUsage(time.Now())
		e.reportUsageOnce(ctx)
	}
}

// reportUsageOnce sends one usage report. Usage that the scheduler does not acknowledge stays for the
// next report.
func (e *Gated) reportUsageOnce(ctx context.Context) {
	owner := e.watch.Owner("")
	if owner == nil {
		return
	}
	err := e.gate.ReportUsage(func(u *wire.Usage) error {
		return e.callScheduler(ctx, owner, &wire.Frame{Body: &wire.Frame_Usage{Usage: u}})
	})
	if err != nil {
		e.log.Info("Account usage not reported to the scheduler; it is reported again.", "err", err.Error())
	}
}

// reportObservations reports rate limits and crashes to the scheduler as soon as this entry
// observes them. A new scheduler receives all limits and crashes that this entry knows before it
// gets any ticket.
func (e *Gated) reportObservations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.gate.ReportsPending():
		}
		o := e.gate.TakeOriginReports()
		again := len(o) > 0 && !e.sendReport(ctx, &wire.Frame{Body: &wire.Frame_Origins{Origins: &wire.Origins{Origins: o}}})
		if again {
			e.gate.RequeueOriginReports(o)
		}
		l, b, d := e.gate.TakeLimitReports(), e.gate.TakeBrittleReports(), e.gate.TakeLeavingReports()
		v := e.gate.TakeSpeeds()
		if len(l)+len(b)+len(d)+len(v) > 0 && !e.sendReport(ctx, &wire.Frame{Body: &wire.Frame_Limits{Limits: &wire.Limits{Limits: l, Brittle: b, Leaving: d, Speeds: v}}}) && len(b)+len(d) > 0 {
			again = true // Limits and speeds are reported again with later responses.
			e.gate.RequeueBrittleReports(b)
			e.gate.RequeueLeavingReports(d)
		}
		c := e.gate.TakeCrashReports()
		if len(c.GetCrashes())+len(c.GetCleared())+len(c.GetAnswered()) > 0 && !e.sendReport(ctx, &wire.Frame{Body: &wire.Frame_Crashes{Crashes: c}}) {
			again = true
			e.gate.RequeueCrashReports()
		}
		if !again {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}

// followPath asks the scheduler for entries that have a path to upstreams while this one may have lost
// its own. The scheduler tells no other entry to come here meanwhile.
func (e *Gated) followPath(ctx context.Context) {
	var askedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.dialer.Alarm():
		}
		interval := minPathInterval
		for e.dialer.Suspect() && ctx.Err() == nil {
			if time.Since(askedAt) >= interval {
				askedAt, interval = time.Now(), min(max(pathInterval, 2*interval), maxPathInterval)
				e.askForPaths(ctx)
			}
			e.dialer.Probe()
			select {
			case <-ctx.Done():
			case <-time.After(probeCheck):
			}
		}
	}
}

func (e *Gated) askForPaths(ctx context.Context) {
	reply, err := e.askScheduler(ctx, e.watch.Owner(""), &wire.Frame{Body: &wire.Frame_PathQuery{PathQuery: &wire.PathQuery{
		Node: e.settings.Node, DataCentre: e.settings.Centre, Doubt: !e.dialer.Lost(),
	}}})
	if err != nil {
		e.log.Info("Scheduler named no entries with a path to upstreams; the last ones stay.", "err", err.Error())
		return
	}
	var list []netip.AddrPort
	for _, text := range reply.GetPaths().GetAddresses() {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			list = append(list, addr)
		}
	}
	e.dialer.SetEntries(list)
}

// knowsUpstream reports whether an address is that of an upstream which does not leave.
func (e *Gated) knowsUpstream(addr string) bool { return !e.gate.AllLeave(e.watch.View().At(addr)) }

// sampleUpstreams returns the addresses of some upstreams.
func (e *Gated) sampleUpstreams(n int) []string { return e.watch.View().Sample(n) }

// reportEvidence reports what this entry sees of the versions of a rollout while one runs. The
// scheduler answers with the splits in force.
func (e *Gated) reportEvidence(ctx context.Context) {
	for {
		interval := max(minEvidenceInterval, time.Duration(e.watch.View().Entries)*evidenceIntervalPerEntry)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		ev, owner := e.gate.Evidence(), e.watch.Owner("")
		if ev == nil || owner == nil {
			continue
		}
		reply, err := e.askScheduler(ctx, owner, &wire.Frame{Body: &wire.Frame_Evidence{Evidence: ev}})
		if err != nil {
			e.log.Info("Evidence of a rollout not accepted by the scheduler.", "err", err.Error())
			continue
		}
		e.gate.SetSplits(reply.GetRollouts())
	}
}

// sendReport sends a report to the scheduler and returns whether the scheduler accepted it. A lost
// report of a rate limit needs no retry: the next response announces the limit again.
func (e *Gated) sendReport(ctx context.Context, f *wire.Frame) bool {
	if err := e.callScheduler(ctx, e.watch.Owner(""), f); err != nil {
		e.log.Info("Report not accepted by the scheduler.", "err", err.Error())
		return false
	}
	return true
}

// Try asks the scheduler for permission to send a banned request once.
func (e *Gated) Try(ctx context.Context, d digest.Digest) error {
	return e.callScheduler(ctx, e.watch.Owner(""), &wire.Frame{Body: &wire.Frame_Try{Try: &wire.Try{Digest: d[:]}}})
}

// Charge asks the scheduler to charge usage before it happens.
func (e *Gated) Charge(ctx context.Context, u *wire.Usage) error {
	reply, err := e.askScheduler(ctx, e.watch.Owner(""), &wire.Frame{Body: &wire.Frame_Usage{Usage: u}})
	if err != nil {
		return err
	}
	if r := reply.GetDecision().GetRefusal(); r != nil {
		return refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
	}
	return nil
}

// FindOrigin asks the scheduler at which version a stream began, and whether it knows it. A stream that
// the caller does not name is the zero value.
func (e *Gated) FindOrigin(ctx context.Context, pool string, stream digest.Digest, maxAge time.Duration) (version string, known bool, err error) {
	q := &wire.OriginQuery{Pool: pool, MaxAgeUs: maxAge.Microseconds()}
	if stream != (digest.Digest{}) {
		q.Stream = stream[:]
	}
	reply, err := e.askScheduler(ctx, e.watch.Owner(""), &wire.Frame{Body: &wire.Frame_OriginQuery{OriginQuery: q}})
	if err != nil {
		return "", false, err
	}
	list := reply.GetOrigins().GetOrigins()
	if len(list) == 0 {
		return "", false, nil
	}
	return list[0].GetVersion(), true, nil
}

func (e *Gated) callScheduler(ctx context.Context, owner *wire.Member, f *wire.Frame) error {
	_, err := e.askScheduler(ctx, owner, f)
	return err
}

func (e *Gated) askScheduler(ctx context.Context, owner *wire.Member, f *wire.Frame) (*wire.Frame, error) {
	to, err := netip.ParseAddrPort(owner.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("gated: no scheduler known: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, schedulerTimeout)
	defer cancel()
	reply, err := e.mesh.Call(ctx, to, f)
	if err != nil {
		return nil, fmt.Errorf("gated: call the scheduler: %w", err)
	}
	return reply, nil
}

// noLocalScheduler takes the place of a scheduler in the same process, which an entry of this kind
// does not have.
type noLocalScheduler struct{}

// Submit is never called, as this process never owns a pool.
func (noLocalScheduler) Submit(context.Context, *wire.Ticket) (*wire.Decision, error) {
	return nil, grant.ErrNoOwner
}

// Release is never called.
func (noLocalScheduler) Release(*wire.Release) {}

// Hold is never called.
func (noLocalScheduler) Hold(*wire.Held) {}

func rejectFrame(context.Context, *wire.Frame) (*wire.Frame, error) {
	return nil, &wire.Fault{Code: "unsupported", Text: "an entry for routes answers nothing"}
}
