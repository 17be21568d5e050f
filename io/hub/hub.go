// Package hub is what a control replica does for entries and upstreams beside
// the replicated log: it tells entries what has changed, takes announcements,
// and, on the leader, schedules the pools.
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

// ErrNoQuorum is returned when this process can't tell what is in force.
var ErrNoQuorum = errors.New("hub: no quorum answers")

// Fault codes of a hub.
const (
	unready = "unready" // The group is not complete yet.
	banned  = "banned"  // A request may not be tried now.
)

type (
	// Hub is the service. Its exported fields are set before Serve is called.
	Hub struct {
		Replica replica
		Leader  proposer
		DataCentre  string                                 // Data centre of this replica.
		Parse   func(doc []byte) (*conf.Config, error) // Reads a published document.
		Voters  int                                    // A publication is taken only from so many voters on.
		AnnounceInterval    time.Duration                          // Between two announcements of an upstream.
		Overage    float64                                // Part of rates that may be allowed beyond them.
		QuotaSlack   float64                                // Units beyond that.
		Stats   *stats.Stats
		Log     logr.Logger
		RefusalLog   logs.Budget // For the lines of refused tickets.

		mu       sync.Mutex
		reign    *reign // Nil where this replica doesn't lead.
		watchers watchers
		pack     pack
	}

	replica interface {
		Leads() bool
		CutOff() bool // It follows no leader and reaches no quorum.
		Leader() string
		Changed() <-chan struct{}
		Publication() (uint64, []byte)
		Upstream(id string) *wire.Upstream
		Roster(since uint64) (list []*wire.Upstream, whole bool, revision uint64)
		Bans() (list []*wire.Ban, revision uint64)
		Group() (name string, all []*wire.Replica, peers []raft.PeerStatus)
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Handle(ctx context.Context, f *wire.Frame) (*wire.Frame, error)
	}

	// proposer reaches the leader wherever it is.
	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}
)

const (
	// allowPart is the part of what may pass beyond a rate that the scheduler
	// lets pass; the rest is for entries that go on alone behind a cut.
	allowPart  = 0.25
	sweepEvery = 200 * time.Millisecond // Looks at upstreams and entries.
	// leaseBeats is how many announcements in a row an upstream may miss. One is
	// lost now and then, and they come seconds late behind a bad link.
	leaseBeats = 3
	// freshLease is the lease that a new leader gives every upstream of the
	// roster until it hears from it, in announcements.
	freshLease = 3
)

// Serve follows the leadership of the replica until ctx ends.
func (h *Hub) Serve(ctx context.Context) error {
	tick, look := time.NewTicker(sweepEvery), time.NewTicker(reachEvery)
	defer tick.Stop()
	defer look.Stop()
	var version uint64
	end := func() {}
	defer func() { end() }()
	for {
		changed := h.Replica.Changed()
		want, r := h.scope(), h.scheduler()
		if r != nil && r.scope != want {
			h.Log.Info(r.scope.ends(), "scheduler", r.id)
			h.set(nil)
			end()
			r = nil
		}
		if r == nil && want != nowhere {
			rctx, cancel := context.WithCancel(ctx)
			end = cancel
			r = h.begin(rctx, want)
			version = h.install(r, 0)
			r.bans.load(h.Replica.Bans())
			h.set(r) // What entries tell of accounts' use counts once the rates are known.
		}
		if r != nil {
			version = h.install(r, version)
			r.bans.load(h.Replica.Bans())
			h.lookAround(r)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-look.C:
		case <-tick.C:
			if r != nil {
				h.sweep(r)
			}
		}
	}
}

// RegisterGauges sets up the figures that are read when the metrics are.
func (h *Hub) RegisterGauges() {
	h.Stats.Pull("tickets-waiting", func() int64 {
		if r := h.scheduler(); r != nil {
			return int64(r.sched.Waiting())
		}
		return 0
	})
	h.Stats.Pull("leads", func() int64 {
		if h.lead() != nil {
			return 1
		}
		return 0
	})
	h.Stats.Pull("schedules-cut-off", func() int64 {
		if r := h.scheduler(); r != nil && r.scope == centre {
			return 1
		}
		return 0
	})
	h.Stats.Pull("configuration-version", func() int64 {
		v, _ := h.Replica.Publication()
		return int64(min(v, math.MaxInt64)) //nolint:gosec // Bounded.
	})
	h.Stats.Pull("requests-banned", func() int64 {
		if r := h.scheduler(); r != nil {
			return int64(len(r.bans.list().GetBanned()))
		}
		return 0
	})
	h.Stats.Pull("entries", func() int64 { return h.watchers.count(time.Now()) })
	h.Stats.Pull("upstreams-silent", func() int64 {
		r := h.scheduler()
		if r == nil {
			return 0
		}
		r.beats.mu.Lock()
		defer r.beats.mu.Unlock()
		return int64(len(r.beats.quiet))
	})
}

// scheduler is what this replica schedules by, nil where it does not.
func (h *Hub) scheduler() *reign {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reign
}

// lead is the scheduler of the leader, nil elsewhere.
func (h *Hub) lead() *reign {
	if r := h.scheduler(); r != nil && r.scope == deployment {
		return r
	}
	return nil
}

func (h *Hub) set(r *reign) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reign = r
}

// begin starts to schedule. Entries bring the slots that they hold when they
// hear of the new scheduler.
func (h *Hub) begin(ctx context.Context, s scope) *reign {
	r := &reign{id: uuid.NewString()[:8], begun: time.Now(), scope: s, stats: h.Stats, log: h.Log, lines: &h.RefusalLog}
	r.allow = allow.Allow{Over: allowPart * h.Overage, Slack: allowPart * h.QuotaSlack, Idle: true}
	if s == centre {
		r.allow.Slack, r.allow.Idle = allow.SlackPart*h.QuotaSlack, false
	}
	r.sched = &sched.Sched{Incarnation: r.id, Log: h.Log.WithName("sched")}
	go func() { _ = r.sched.Serve(ctx) }()
	if s == deployment {
		go h.recordBans(ctx, r)
	}
	h.Log.Info(s.begins(), "scheduler", r.id)
	return r
}

// install puts the newest publication in force at the scheduler.
func (h *Hub) install(r *reign, have uint64) uint64 {
	v, doc := h.Replica.Publication()
	if v == have {
		return have
	}
	cfg, err := h.Parse(doc)
	if err != nil {
		h.Log.Error(err, "Published document not put in force.", "version", v)
		return v
	}
	r.install(v, cfg.Accounts)
	r.sched.Install(cfg)
	if have == 0 {
		list, _, _ := h.Replica.Roster(0)
		for _, u := range list {
			if r.scope == deployment || u.GetDataCentre() == h.DataCentre {
				h.announce(r, u, freshLease)
			}
		}
	}
	h.Log.Info("Configuration in force.", "version", v)
	return v
}

// HandleAsync takes tickets, which wait for their decision without a goroutine each, and
// questions whether this process lives.
func (h *Hub) HandleAsync(ctx context.Context, f *wire.Frame, reply func(*wire.Frame)) bool {
	if f.GetConfigQuery().GetVersion() > 0 {
		reply(&wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{}}})
		return true
	}
	t := f.GetTicket()
	if t == nil {
		return false
	}
	r := h.scheduler()
	if r == nil {
		reply(&wire.Frame{Body: &wire.Frame_Fault{Fault: h.moved()}})
		return true
	}
	r.submit(ctx, t, func(d *wire.Decision) { reply(&wire.Frame{Body: &wire.Frame_Decision{Decision: d}}) })
	return true
}

// Handle answers one frame of a peer.
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
	case *wire.Frame_Release:
		if r := h.scheduler(); r != nil {
			r.release(b.Release)
		}
	case *wire.Frame_Withdraw:
		if r := h.scheduler(); r != nil {
			r.sched.Withdraw(b.Withdraw)
		}
	case *wire.Frame_Held:
		if r := h.scheduler(); r != nil {
			r.sched.Hold(b.Held)
		}
	case *wire.Frame_Usage:
		if r := h.scheduler(); r != nil {
			r.used(b.Usage)
		}
	case *wire.Frame_Limits:
		return nil, h.handleLimits(b.Limits)
	case *wire.Frame_Crashes, *wire.Frame_Try, *wire.Frame_BanQuery:
		return h.handleBans(f)
	case *wire.Frame_Watch:
		n, err := h.watch(ctx, b.Watch)
		if err != nil {
			return nil, err
		}
		return &wire.Frame{Body: &wire.Frame_News{News: n}}, nil
	case *wire.Frame_Report:
		return nil, h.report(ctx, b.Report)
	case *wire.Frame_ConfigQuery:
		return h.newest(ctx)
	case *wire.Frame_Command:
		if b.Command.GetPublish() != nil {
			if err := h.complete(); err != nil {
				return nil, err
			}
		}
		return h.Replica.Handle(ctx, f)
	default:
		return h.Replica.Handle(ctx, f)
	}
	return nil, nil //nolint:nilnil // An empty reply is an acknowledgement.
}

func (h *Hub) moved() *wire.Fault {
	return &wire.Fault{Code: wire.CodeMoved, Text: "this replica doesn't lead", Leader: h.Replica.Leader()}
}

// complete reports an error while the group has too few voters to outlive the
// losses that it has to: what it acknowledged then could be gone after them.
func (h *Hub) complete() error {
	if !h.Replica.Leads() {
		return nil // The replica names the leader.
	}
	_, all, _ := h.Replica.Group()
	n := 0
	for _, r := range all {
		if r.GetVoter() {
			n++
		}
	}
	if n < h.Voters {
		return &wire.Fault{Code: unready, Text: fmt.Sprintf("hub: %d of %d voters", n, h.Voters)}
	}
	return nil
}

// newest reads the publication on the leader. The barrier shows that a quorum
// still follows it: a clock that stood still while this VM slept can't tell.
func (h *Hub) newest(ctx context.Context) (*wire.Frame, error) {
	if _, err := h.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Barrier{Barrier: &wire.Barrier{}}}); err != nil {
		return nil, err
	}
	v, doc := h.Replica.Publication()
	return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: &wire.BeatReply{Version: v, Document: doc}}}, nil
}

// Publish puts a document in force if its version is the highest. It returns
// once that is on the disks of a quorum.
func (h *Hub) Publish(ctx context.Context, version uint64, doc []byte) error {
	cmd := &wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: version, Document: doc}}}
	if _, err := h.Leader.Propose(ctx, cmd); err != nil {
		return fmt.Errorf("hub: publish: %w", err)
	}
	return nil
}

// Newest returns the document in force and its version; no version below one
// that was acknowledged before the call.
func (h *Hub) Newest(ctx context.Context) (uint64, []byte, error) {
	f, err := h.Leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_ConfigQuery{ConfigQuery: &wire.ConfigQuery{}}}
	})
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrNoQuorum, err)
	}
	return f.GetBeatReply().GetVersion(), f.GetBeatReply().GetDocument(), nil
}
