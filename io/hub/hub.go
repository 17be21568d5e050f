// Package hub implements the services of a control replica on top of the replicated log: it
// answers long polls of entries with changes, takes the reports of upstreams and, on the leader,
// schedules the pools. An entry is a process that serves callers; see package gate.
package hub

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"azurelane/core/allow"
	"azurelane/core/conf"
	"azurelane/core/raft"
	"azurelane/core/wire"
	"azurelane/io/logs"
	"azurelane/io/sched"
	"azurelane/io/stats"
)

// ErrNoQuorum is returned when no quorum confirms which configuration is in force.
var ErrNoQuorum = errors.New("hub: no quorum answers")

// Fault codes that a hub returns to its peers.
const (
	codeUnready = "unready" // The group has fewer voters than it needs.
	codeBanned  = "banned"  // A banned request may not be sent now.
)

type (
	// Hub is the control service of one replica. Its exported fields are set before Serve is
	// called.
	Hub struct {
		Replica          replica
		LeaderClient     proposer
		DataCentre       string                                 // Data centre of this replica.
		Parse            func(doc []byte) (*conf.Config, error) // Parses a published document.
		Voters           int                                    // Minimum number of voters for accepting a publication.
		AnnounceInterval time.Duration                          // Interval between two reports of an upstream.
		Overage          float64                                // Fraction by which rates and bursts may be exceeded.
		QuotaSlack       float64                                // Units added to every burst, on top of Overage.
		Stats            *stats.Stats
		Log              logr.Logger
		RefusalLog       logs.Budget   // Limits the log lines of refused tickets.
		RolloutShare     float64       // Share of a pool's requests that a bad version may get during a rollout.
		RolloutSlack     float64       // Requests that it may get beyond that.
		UpstreamDrain    time.Duration // How long an upstream serves on after its leaving was acknowledged.
		HoldVersions     bool          // Upstreams of other versions get no requests without a rollout.

		mu       sync.Mutex
		clock    rolloutClock
		current  *scheduler // Nil while this replica does not schedule.
		watchers watchers
		feed     feed
		reports  reports
		packed   packed
		cordons  cordons
	}

	replica interface {
		Leads() bool
		LeaderTerm() uint64 // The term in which the replica leads; zero if it does not lead.
		Established() bool  // Whether the replica leads and has applied what earlier leaders committed.
		CutOff() bool       // Whether the replica follows no leader and reaches no quorum.
		Leader() string
		// Following returns the term and the address of the leader that this replica follows or is, and the time since it
		// had word of it. The address is empty if there is none, or the log lacks what that leader has committed.
		Following() (term uint64, leader string, silence time.Duration)
		Changed() <-chan struct{}
		Publication() (uint64, []byte)
		Upstream(id string) *wire.Upstream
		Roster(since uint64) (list []*wire.Upstream, whole bool, revision uint64)
		RosterRevision() uint64
		// FormerVersions returns the versions of upstreams that have left, and the leader's time in the
		// log. The time may lag, so a version has been gone for at least as long as it says.
		FormerVersions() (list []*wire.FormerVersion, clockUs int64)
		Bans() (list []*wire.Ban, revision uint64)
		Rollouts() (list []*wire.Rollout, versions []*wire.PoolVersion, revision uint64)
		Cordons() (list []*wire.Cordon, revision uint64, clockUs int64)
		Group() (name string, all []*wire.Replica, peers []raft.PeerStatus)
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error)
	}

	// proposer is a client of the leader. It sends commands and queries to whichever replica
	// leads.
	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}
)

const (
	// schedulerOverageShare is the fraction of Overage and QuotaSlack that the leader's
	// scheduler uses. The rest is left for entries that place requests by themselves while they
	// are cut off.
	schedulerOverageShare = 0.25
	// plainDebtFraction is the fraction of QuotaSlack by which requests that entries place themselves
	// may exceed an account's balance. They have a short objective, and tickets, which need a balance
	// above zero, give way to them.
	plainDebtFraction = 0.25
	sweepInterval     = 200 * time.Millisecond // Between two checks for silent upstreams and entries.
	// leaseIntervals is how many reports in a row an upstream may miss before its lease ends.
	// Single reports get lost, and over a bad link they arrive seconds late.
	leaseIntervals = 3
	// takeoverLeaseIntervals is the lease, in report intervals, that a new scheduler gives every
	// upstream of the roster until that upstream reports.
	takeoverLeaseIntervals = 3
)

// Serve runs a scheduler while this replica leads, or while it is cut off together with its data
// centre. It returns when ctx ends.
func (h *Hub) Serve(ctx context.Context) error {
	sweepTick, reachTick := time.NewTicker(sweepInterval), time.NewTicker(reachCheckInterval)
	defer sweepTick.Stop()
	defer reachTick.Stop()
	h.reports.stopAt(ctx.Done())
	var version uint64
	stop := func() {}
	defer func() { stop() }()
	for {
		changed := h.Replica.Changed()
		h.observeLog()
		want, s := h.wantedScope(), h.scheduler()
		if s != nil && s.scope != want {
			h.Log.Info(s.scope.stopMessage(), "scheduler", s.id)
			h.setScheduler(nil)
			stop()
			s = nil
		}
		if s == nil && want != scopeNone {
			schedulerCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			s = h.startScheduler(schedulerCtx, want)
			version = h.installConfig(s, 0)
			s.bans.load(h.Replica.Bans())
			h.updateRollouts(s)
			// Published only now, because usage reported by entries counts only once the rates
			// are installed.
			h.setScheduler(s)
		}
		if s != nil {
			version = h.installConfig(s, version)
			s.bans.load(h.Replica.Bans())
			h.updateRollouts(s)
			h.checkReachability(s)
			h.feed.update(h.Replica)
		}
		var rolloutTimer <-chan time.Time
		if s != nil && s.rollouts.busy() {
			rolloutTimer = time.After(rolloutInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-reachTick.C:
		case <-rolloutTimer:
		case <-sweepTick.C:
			if s != nil {
				h.sweep(s)
			}
		}
	}
}

// RegisterGauges registers the metrics whose values are computed when they are read.
func (h *Hub) RegisterGauges() {
	h.Stats.Pull("tickets-waiting", func() int64 {
		if s := h.scheduler(); s != nil {
			return int64(s.sched.Waiting())
		}
		return 0
	})
	h.Stats.Pull("leads", func() int64 {
		if h.leaderScheduler() != nil {
			return 1
		}
		return 0
	})
	h.Stats.Pull("schedules-cut-off", func() int64 {
		if s := h.scheduler(); s != nil && s.scope == scopeDataCentre {
			return 1
		}
		return 0
	})
	h.Stats.Pull("configuration-version", func() int64 {
		v, _ := h.Replica.Publication()
		return int64(min(v, math.MaxInt64)) //nolint:gosec // Bounded.
	})
	h.Stats.Pull("requests-banned", func() int64 {
		if s := h.scheduler(); s != nil {
			requests, _ := s.bans.count()
			return requests
		}
		return 0
	})
	h.Stats.Pull("parts-banned", func() int64 {
		if s := h.scheduler(); s != nil {
			_, parts := s.bans.count()
			return parts
		}
		return 0
	})
	h.Stats.Pull("streams-known", func() int64 {
		if s := h.scheduler(); s != nil {
			return int64(s.origins.streams.Len())
		}
		return 0
	})
	h.Stats.Pull("entries", func() int64 { return h.watchers.count() })
	h.Stats.Pull("upstreams-cordoned", func() int64 { return int64(len(h.cordons.inForce(time.Now()))) })
	h.Stats.Pull("upstreams-silent", func() int64 {
		s := h.scheduler()
		if s == nil {
			return 0
		}
		s.upstreams.mu.Lock()
		defer s.upstreams.mu.Unlock()
		return int64(len(s.upstreams.silent))
	})
}

// scheduler returns the active scheduler, or nil if this replica does not schedule.
func (h *Hub) scheduler() *scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// leaderScheduler returns the active scheduler if it is the leader's, and nil otherwise.
func (h *Hub) leaderScheduler() *scheduler {
	if s := h.scheduler(); s != nil && s.scope == scopeDeployment {
		return s
	}
	return nil
}

func (h *Hub) setScheduler(s *scheduler) {
	h.mu.Lock()
	h.current = s
	h.mu.Unlock()
	h.feed.wake()
}

// startScheduler starts a scheduler for the given scope. Entries report the slots that they hold
// when they learn of the new scheduler.
func (h *Hub) startScheduler(ctx context.Context, sc scope) *scheduler {
	h.watchers.forget(time.Now())
	s := &scheduler{id: uuid.NewString()[:8], startedAt: time.Now(), scope: sc, stats: h.Stats, log: h.Log, refusalLog: &h.RefusalLog}
	s.leadership.ctx, s.leadership.log = ctx, h.Replica
	if sc == scopeDeployment {
		s.term = h.Replica.LeaderTerm()
	}
	s.allow = allow.Limiter{Overage: schedulerOverageShare * h.Overage, Slack: schedulerOverageShare * h.QuotaSlack, StartFull: true}
	s.plainDebt = plainDebtFraction * h.QuotaSlack
	if sc == scopeDataCentre {
		s.plainDebt = 0
		s.allow.Slack, s.allow.StartFull = allow.SlackFraction*h.QuotaSlack, false
	}
	s.sched = &sched.Sched{Incarnation: s.id, Log: h.Log.WithName("sched")}
	go func() { _ = s.sched.Serve(ctx) }()
	if sc == scopeDeployment {
		go h.recordBans(ctx, s)
		go h.recordLeaving(ctx, s)
	}
	h.updateCordons(s) // Before upstreams are announced.
	h.Log.Info(sc.startMessage(), "scheduler", s.id, "term", s.term)
	return s
}

// installConfig hands the newest publication to the scheduler and returns its version. The
// scheduler already has the version installed, which is zero for none. A document that can't be
// parsed is logged and skipped.
func (h *Hub) installConfig(s *scheduler, installed uint64) uint64 {
	v, doc := h.Replica.Publication()
	if v == installed {
		return installed
	}
	cfg, err := h.Parse(doc)
	if err != nil {
		h.Log.Error(err, "Published configuration not installed.", "version", v)
		return v
	}
	s.installAccounts(v, cfg.Accounts)
	s.setPools(cfg)
	h.feed.setPools(cfg)
	s.sched.Install(cfg)
	if installed == 0 {
		h.updateRollouts(s) // Before upstreams of other versions are announced.
		s.origins.restore(time.Now(), h.Replica)
		list, _, _ := h.Replica.Roster(0)
		for _, u := range list {
			s.origins.observe(time.Now(), u)
			if s.scope == scopeDeployment || u.GetDataCentre() == h.DataCentre {
				h.announce(s, u, takeoverLeaseIntervals)
			}
		}
	}
	h.Log.Info("Configuration in force.", "version", v)
	return v
}

// HandleAsync takes the frames that need no goroutine while they wait, and reports whether it
// took f: tickets, which are answered once they are decided, and liveness probes, which are
// configuration queries with a version.
func (h *Hub) HandleAsync(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool {
	if f.GetConfigQuery().GetVersion() > 0 {
		reply(&wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{}}})
		return true
	}
	t := f.GetTicket()
	if t == nil {
		return false
	}
	s := h.scheduler()
	if s == nil {
		reply(&wire.Frame{Body: &wire.Frame_Fault{Fault: h.notLeaderFault()}})
		return true
	}
	s.submit(ctx, t, func(d *wire.Decision) { reply(&wire.Frame{Body: &wire.Frame_Decision{Decision: d}}) })
	return true
}

// Handle answers one frame from a peer.
func (h *Hub) Handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	answer := make(chan *wire.Frame, 1)
	if h.HandleAsync(ctx, f, func(r *wire.Frame) { answer <- r }) {
		r := <-answer
		if fault := r.GetFault(); fault != nil {
			return nil, fault
		}
		return r, nil
	}
	switch b := f.GetBody().(type) {
	case *wire.Frame_Release, *wire.Frame_Withdraw, *wire.Frame_Held:
		if s := h.scheduler(); s != nil {
			s.handleSlots(f)
		}
	case *wire.Frame_Usage:
		return h.handleUsage(b.Usage)
	case *wire.Frame_Limits:
		return nil, h.handleLimits(b.Limits)
	case *wire.Frame_PathQuery:
		return h.handlePathQuery(b.PathQuery)
	case *wire.Frame_Crashes, *wire.Frame_Try, *wire.Frame_BanQuery:
		return h.handleBans(ctx, f)
	case *wire.Frame_Watch:
		n, err := h.handleWatch(ctx, b.Watch)
		if err != nil {
			return nil, err
		}
		return &wire.Frame{Body: &wire.Frame_News{News: n}}, nil
	case *wire.Frame_Report, *wire.Frame_Reports:
		return h.handleReportFrame(ctx, f)
	case *wire.Frame_ConfigQuery:
		return h.readPublication(ctx)
	case *wire.Frame_Origins, *wire.Frame_OriginQuery:
		return h.handleOrigins(ctx, f)
	case *wire.Frame_Evidence, *wire.Frame_RolloutQuery:
		return h.handleRollouts(ctx, f)
	case *wire.Frame_UpstreamsQuery:
		return h.readUpstreams(ctx, b.UpstreamsQuery)
	case *wire.Frame_AccountQuery:
		return h.readAccount(b.AccountQuery.GetAccount())
	case *wire.Frame_Command:
		return h.handleCommand(ctx, f, b.Command)
	default:
		return h.Replica.Handle(ctx, f)
	}
	return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
}

// handleUsage charges usage that an entry reports. A replica that does not schedule refuses it, so that
// the entry reports it to the next scheduler.
func (h *Hub) handleUsage(u *wire.Usage) (*wire.Frame, error) {
	s := h.scheduler()
	if s == nil {
		return nil, h.notLeaderFault()
	}
	if u.GetAsk() {
		return &wire.Frame{Body: &wire.Frame_Decision{Decision: s.admitUsage(u)}}, nil
	}
	s.chargeUsage(u)
	return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
}

// handleCommand puts a command of an operator or of another replica into the log.
func (h *Hub) handleCommand(ctx context.Context, f *wire.Frame, c *wire.Command) (*wire.Frame, error) {
	isCordon := c.GetOrderCordon() != nil || c.GetLiftCordon() != nil
	if c.GetPublish() != nil || c.GetStartRollout() != nil || isCordon {
		if err := h.checkVoters(); err != nil {
			return nil, err
		}
	}
	if start := c.GetStartRollout(); start != nil && h.Replica.Leads() {
		return h.startRollout(ctx, start)
	}
	if isCordon && h.Replica.Leads() {
		return h.handleCordon(ctx, c)
	}
	return h.Replica.Handle(ctx, f)
}

// notLeaderFault returns the fault that tells a peer the leader's address, if this replica knows
// it.
func (h *Hub) notLeaderFault() *wire.Fault {
	return &wire.Fault{Code: wire.CodeMoved, Text: "this replica doesn't lead", Leader: h.Replica.Leader()}
}

// checkVoters returns an error while this replica leads a group that has too few voters to
// survive the configured losses: a publication that such a group acknowledged could be lost
// together with the lost replicas.
func (h *Hub) checkVoters() error {
	if !h.Replica.Leads() {
		return nil // Replica.Handle answers with the leader's address.
	}
	_, all, _ := h.Replica.Group()
	n := 0
	for _, r := range all {
		if r.GetVoter() {
			n++
		}
	}
	if n < h.Voters {
		return &wire.Fault{Code: codeUnready, Text: fmt.Sprintf("hub: %d of %d voters", n, h.Voters)}
	}
	return nil
}

// readPublication reads the publication on the leader. The barrier proves that a quorum still
// follows this leader. A lease would not prove it, because the clock may stand still while the
// VM is suspended.
func (h *Hub) readPublication(ctx context.Context) (*wire.Frame, error) {
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err != nil {
		return nil, err
	}
	v, doc := h.Replica.Publication()
	return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{Version: v, Document: doc}}}, nil
}

// Publish puts a document in force if its version is the highest so far. It returns once the
// document is on the disks of a quorum.
func (h *Hub) Publish(ctx context.Context, version uint64, doc []byte) error {
	cmd := &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: version, Document: doc}}}
	if _, err := h.LeaderClient.Propose(ctx, cmd); err != nil {
		return fmt.Errorf("hub: publish: %w", err)
	}
	return nil
}

// Newest returns the version and the document in force. The version is never lower than one that
// was acknowledged before the call.
func (h *Hub) Newest(ctx context.Context) (uint64, []byte, error) {
	f, err := h.LeaderClient.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{}}}
	})
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	return f.GetBeatReply().GetVersion(), f.GetBeatReply().GetDocument(), nil
}
