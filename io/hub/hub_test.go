package hub

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	_ "azurelane/core/batch" // Registers the scheduling policy of the test pool.
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/raft"
	"azurelane/core/refuse"
	"azurelane/core/state"
	"azurelane/core/wire"
)

// fakeReplica is a replica whose log commits at once, or never.
type fakeReplica struct {
	mu          sync.Mutex
	state       state.State
	leads       bool
	behind      bool // It leads without having applied what was committed before.
	noQuorum    bool // Proposals fail.
	stalled     bool // Proposals about rollouts hang until their callers give up.
	stalling    bool // One of them hangs now.
	enrollsHang bool // Proposals about upstreams hang in the same way.
	cutOff      bool
	silence     time.Duration // Of the leader that it follows.
	voters      int
	listed      int // Upstreams returned by Roster.
	changed     chan struct{}
}

func (f *fakeReplica) Leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads
}

func (f *fakeReplica) LeaderTerm() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leads {
		return 1
	}
	return 0
}

func (f *fakeReplica) Established() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads && !f.behind
}

func (f *fakeReplica) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff
}

func (f *fakeReplica) Leader() string { return "10.0.0.9:7000" }

func (f *fakeReplica) Following() (uint64, string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutOff {
		return 0, "", 0
	}
	return 1, "10.0.0.9:7000", f.silence
}

func (f *fakeReplica) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// notifyLocked closes the channel of Changed. f.mu must be held.
func (f *fakeReplica) notifyLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *fakeReplica) setLeads(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads = yes
	f.notifyLocked()
}

// follower returns a replica that has the roster as it is now.
func (f *fakeReplica) follower() *fakeReplica {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &fakeReplica{voters: f.voters}
	for _, u := range f.state.Roster().Save() {
		r.state.Apply(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: u}}})
	}
	return r
}

func (f *fakeReplica) Publication() (uint64, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Publication()
}

func (f *fakeReplica) Upstream(id string) *wire.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Roster().Find(id)
}

func (f *fakeReplica) RosterRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Roster().Revision()
}

func (f *fakeReplica) Roster(since uint64) ([]*wire.Upstream, bool, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, whole := f.state.Roster().Since(since)
	f.listed += len(list)
	return list, whole, f.state.Roster().Revision()
}

func (f *fakeReplica) FormerVersions() ([]*wire.FormerVersion, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.FormerVersions(), f.state.ClockUs()
}

func (f *fakeReplica) Bans() ([]*wire.Ban, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Bans()
}

func (f *fakeReplica) Cordons() ([]*wire.Cordon, uint64, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Cordons().List(), f.state.Cordons().Revision(), f.state.ClockUs()
}

func (f *fakeReplica) Rollouts() ([]*wire.Rollout, []*wire.PoolVersion, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.state.Deploy()
	return d.Rollouts(), d.Versions(), d.Revision()
}

func (f *fakeReplica) Group() (string, []*wire.Replica, []raft.PeerStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*wire.Replica, f.voters)
	for i := range all {
		all[i] = &wire.Replica{Voter: true, Address: "10.0.0.1:7000"}
	}
	return "g", all, nil
}

func (f *fakeReplica) setVoters(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voters = n
}

func (f *fakeReplica) setStalled(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = yes
}

func (f *fakeReplica) isStalling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stalling
}

func (f *fakeReplica) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stalled && c.GetAdvanceRollout() != nil {
		f.stalling = true
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		f.stalling = false
		return nil, ctx.Err()
	}
	if f.enrollsHang && c.GetEnroll() != nil {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ctx.Err()
	}
	if f.noQuorum || !f.leads {
		return nil, errors.New("no quorum")
	}
	defer f.notifyLocked()
	switch k := c.GetKind().(type) { // As the leader's log does.
	case *wire.Command_OrderCordon:
		k.OrderCordon.NowUs = time.Now().UnixMicro()
	case *wire.Command_Enroll:
		k.Enroll.NowUs = time.Now().UnixMicro()
	}
	return f.state.Apply(c), nil
}

func (f *fakeReplica) Handle(ctx context.Context, fr *wire.Frame) (*wire.Frame, error) {
	r, err := f.Propose(ctx, fr.GetCommand())
	return &wire.Frame{Body: &wire.Frame_Result{Result: r}}, err
}

// directLeader calls the hub itself, as leader.Leader does on the leader.
type directLeader struct{ h *Hub }

func (d directLeader) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	f, err := d.h.Handle(ctx, &wire.Frame{Body: &wire.Frame_Command{Command: c}})
	return f.GetResult(), err
}

func (d directLeader) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	return d.h.Handle(ctx, build())
}

const announceInterval = time.Second

// runHub starts the hub of a leader with a published configuration, in a synctest bubble.
func runHub(t *testing.T, test func(t *testing.T, h *Hub, f *fakeReplica)) {
	t.Helper()
	runHubWith(t, func(*Hub) {}, test)
}

// runHubWith is runHub with a hub that was prepared before it starts.
func runHubWith(t *testing.T, prepare func(*Hub), test func(t *testing.T, h *Hub, f *fakeReplica)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeReplica{leads: true, voters: 3}
		h := &Hub{Replica: f, Voters: 3, AnnounceInterval: announceInterval, Log: logr.Discard(), Parse: func([]byte) (*conf.Config, error) {
			return &conf.Config{
				Accounts: map[string]acct.Account{"a": {Rate: 1000, Burst: 1000}},
				Pools:    map[string]pool.Pool{"engines": {ByRoute: true, Slots: 4, Scheduler: "batch"}},
			}, nil
		}}
		h.LeaderClient = directLeader{h}
		prepare(h)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- h.Serve(ctx) }()
		synctest.Wait()
		must.NoError(t, h.Publish(ctx, 1, []byte("one")))
		time.Sleep(time.Second)
		test(t, h, f)
		cancel()
		<-done
	})
}

func newReport(id string, seq uint64, state wire.Upstream_State) *wire.Report {
	return &wire.Report{Seq: seq, Upstream: &wire.Upstream{
		Id: id, Address: "10.0.1.1:80", Pool: "engines", DataCentre: "z1", Slots: 4, State: state,
	}}
}

func askNews(h *Hub, w *wire.Watch) (*wire.News, error) {
	f, err := h.Handle(context.Background(), &wire.Frame{Body: &wire.Frame_Watch{Watch: w}})
	return f.GetNews(), err
}

func submit(h *Hub, id uint64, units int64) *wire.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f, _ := h.Handle(ctx, &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
		Id: id, Incarnation: "i", Pool: "engines", Account: "a", Units: units, PromptTokens: 10, AnswerTokens: 10,
		DeadlineUs: time.Second.Microseconds(), ObjectiveUs: (300 * time.Millisecond).Microseconds(),
	}}})
	return f.GetDecision()
}

// An upstream reports that it leaves. Once the report is acknowledged, the scheduler grants no
// more requests to that upstream, and every entry learns of the change with its next poll.
func TestLeavingTakesEffectBeforeReply(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		must.Eq(t, "s", submit(h, 1, 1).GetGrant().GetUpstream())
		n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.NoError(t, h.Report(t.Context(), newReport("s", 2, wire.Upstream_STATE_LEAVING)))
		must.NotNil(t, submit(h, 2, 1).GetRefusal())
		n, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Revision: n.GetRevision(), Leader: n.GetLeader()})
		must.NoError(t, err)
		must.Eq(t, wire.Upstream_STATE_LEAVING, rosterOf(t, n)["s"])
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)), must.Sprint("a late report is ignored"))
		must.NotNil(t, submit(h, 3, 1).GetRefusal())
	})
}

// Two thousand tickets wait for room that never comes, and all are refused at the same moment.
// The leader must not hold a goroutine for each of them: its heartbeats would be delayed behind
// thousands of calls that have just been woken.
func TestWaitingTicketsHoldNoGoroutines(t *testing.T) {
	const burst = 2000
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		before := runtime.NumGoroutine()
		var refused atomic.Int64
		for id := range uint64(burst) {
			must.True(t, h.HandleAsync(t.Context(), &wire.Frame{Body: &wire.Frame_Ticket{Ticket: &wire.Ticket{
				Id: id, Incarnation: "i", Pool: "engines", Account: "b", Route: "r", PromptTokens: 10, AnswerTokens: 10,
				DeadlineUs: time.Second.Microseconds(), ObjectiveUs: (300 * time.Millisecond).Microseconds(),
			}}}, func(f *wire.Frame) {
				if f.GetDecision().GetRefusal() != nil {
					refused.Add(1)
				}
			}))
		}
		must.LessEq(t, before+10, runtime.NumGoroutine())
		time.Sleep(time.Second)
		must.Eq(t, burst, refused.Load())
	})
}

// While no quorum answers, a leaving upstream must not be told that its leaving is in force: the
// next leader would not know of it and would send requests until the upstream exits.
func TestNoAcknowledgementWithoutQuorum(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		f.mu.Lock()
		f.noQuorum = true
		f.mu.Unlock()
		must.Error(t, h.Report(t.Context(), newReport("s", 2, wire.Upstream_STATE_LEAVING)))
		must.Error(t, h.Report(t.Context(), &wire.Report{Upstream: &wire.Upstream{Id: "s"}, Deregister: true}))
		must.Error(t, h.Publish(t.Context(), 2, []byte("two")))
		_, _, err := h.Newest(t.Context())
		must.ErrorIs(t, err, ErrNoQuorum)
		must.NoError(t, h.Report(t.Context(), newReport("s", 3, wire.Upstream_STATE_SERVING)), must.Sprint("the roster does not change"))
	})
}

// Guards against the loss of an acknowledged publication: a group that has too few voters to
// survive the configured losses must refuse to publish.
func TestPublishNeedsAllVoters(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		f.setVoters(2)
		must.Error(t, h.Publish(t.Context(), 2, []byte("two")))
		f.setVoters(3)
		must.NoError(t, h.Publish(t.Context(), 2, []byte("two")))
		v, doc, err := h.Newest(t.Context())
		must.NoError(t, err)
		must.Eq(t, 2, v)
		must.Eq(t, "two", string(doc))
	})
}

// A poll is answered when there is news, and with an empty answer when its wait ends. A replica
// that no longer leads answers with the leader's address.
func TestWatch(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.Eq(t, 1, n.GetVersion())
		must.Eq(t, 1, n.GetEntries())
		must.NotNil(t, n.GetDocument())
		w := &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Leader: n.GetLeader(), WaitUs: (2 * time.Second).Microseconds()}
		start := time.Now()
		n, err = askNews(h, w)
		must.NoError(t, err)
		must.Nil(t, n.GetDocument())
		must.Eq(t, 2*time.Second, time.Since(start))
		go func() {
			time.Sleep(500 * time.Millisecond)
			must.NoError(t, h.Publish(t.Context(), 2, []byte("two")))
		}()
		start = time.Now()
		n, err = askNews(h, w)
		must.NoError(t, err)
		must.Eq(t, 2, n.GetVersion())
		must.Less(t, 600*time.Millisecond, time.Since(start))
		f.setLeads(false)
		synctest.Wait()
		_, err = askNews(h, w)
		var fault *wire.Fault
		must.True(t, errors.As(err, &fault))
		must.Eq(t, "10.0.0.9:7000", fault.GetLeader())
	})
}

// An upstream that is cut off from control but goes on completing runs stays in use. One that is
// silent and completes none does not.
func TestSilentUpstreams(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		id := uint64(0)
		for range 10 {
			id++
			g := submit(h, id, 1).GetGrant()
			must.NotNil(t, g)
			time.Sleep(announceInterval)
			_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{
				Ticket: id, Incarnation: "i", Pool: "engines", Upstream: "s", Slot: g.GetSlot(), Owner: g.GetOwner(), Dispatched: true, Whole: true,
			}}})
			must.NoError(t, err)
		}
		time.Sleep(5 * announceInterval)
		must.NotNil(t, submit(h, 100, 1).GetRefusal())
		n, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.Eq(t, []string{"s"}, n.GetSilent())
	})
}

// The scheduler refuses an account that exceeds its rate at once, with the time to wait. Tickets
// that are refused for lack of room are not charged.
func TestAccountRateLimit(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		must.NotNil(t, submit(h, 1, 2000).GetGrant())
		d := submit(h, 2, 10)
		must.Eq(t, refuse.AccountLimit, d.GetRefusal().GetCode())
		must.Greater(t, 0, d.GetRefusal().GetRetryAfterUs())
		time.Sleep(2 * time.Second)
		must.NotNil(t, submit(h, 3, 10).GetGrant())
		_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Usage{Usage: &wire.Usage{
			Accounts: []*wire.AccountUsage{{Account: "a", Units: 5000}},
		}}})
		must.NoError(t, err)
		must.NotNil(t, submit(h, 4, 10).GetRefusal(), must.Sprint("charged by usage that an entry reported"))
	})
}

// An entry restarts under its name. The slots of its former incarnation are free at once.
func TestRestartedEntry(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), newReport("s", 1, wire.Upstream_STATE_SERVING)))
		_, err := askNews(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		for id := range uint64(5) {
			must.NotNil(t, submit(h, 1+id, 1).GetGrant())
		}
		must.NotNil(t, submit(h, 10, 1).GetRefusal())
		_, err = askNews(h, &wire.Watch{Node: "e", Incarnation: "j"})
		must.NoError(t, err)
		must.NotNil(t, submit(h, 11, 1).GetGrant())
	})
}

// An upstream crashes and restarts under its id, and its sequence numbers start again at 1. It
// is used again at once with all of its slots. Late messages of its former process have no
// effect in any order: neither its leaving, nor its deregistration, nor a higher sequence
// number.
func TestUpstreamRestartsUnderSameID(t *testing.T) {
	runHub(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		reportOf := func(born int64, seq uint64, state wire.Upstream_State) *wire.Report {
			r := newReport("s", seq, state)
			r.Upstream.Born = born
			return r
		}
		must.NoError(t, h.Report(t.Context(), reportOf(1000, 70, wire.Upstream_STATE_SERVING)))
		for id := range uint64(4) {
			must.NotNil(t, submit(h, id+1, 1).GetGrant())
		}
		must.NoError(t, h.Report(t.Context(), reportOf(2000, 1, wire.Upstream_STATE_SERVING)))
		for id := range uint64(4) {
			must.NotNil(t, submit(h, id+11, 1).GetGrant(), must.Sprint("the slots of the former process are free"))
		}
		must.NoError(t, h.Report(t.Context(), reportOf(1000, 71, wire.Upstream_STATE_LEAVING)))
		must.NoError(t, h.Report(t.Context(), &wire.Report{Deregister: true, Upstream: &wire.Upstream{Id: "s", Born: 1000}}))
		must.Eq(t, wire.Upstream_STATE_SERVING, h.Replica.Upstream("s").GetState())
		must.NoError(t, h.Report(t.Context(), reportOf(2000, 2, wire.Upstream_STATE_LEAVING)))
		must.Eq(t, wire.Upstream_STATE_LEAVING, h.Replica.Upstream("s").GetState())
		must.NoError(t, h.Report(t.Context(), &wire.Report{Deregister: true, Upstream: &wire.Upstream{Id: "s"}}))
		must.NoError(t, h.Report(t.Context(), reportOf(3000, 1, wire.Upstream_STATE_SERVING)))
		must.NotNil(t, submit(h, 21, 1).GetGrant(), must.Sprint("restarted after it was deregistered"))
	})
}
