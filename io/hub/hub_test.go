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
	_ "azurelane/core/batch" // The policy of the pool below.
	"azurelane/core/conf"
	"azurelane/core/pool"
	"azurelane/core/raft"
	"azurelane/core/refuse"
	"azurelane/core/state"
	"azurelane/core/wire"
)

// fakeReplica is a replica whose log commits at once, or never.
type fakeReplica struct {
	mu      sync.Mutex
	state   state.State
	leads   bool
	stuck   bool // No quorum answers.
	cutOff  bool
	voters  int
	changed chan struct{}
}

func (f *fakeReplica) Leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads
}

func (f *fakeReplica) CutOff() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff
}

func (f *fakeReplica) Leader() string { return "10.0.0.9:7000" }

func (f *fakeReplica) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

func (f *fakeReplica) tell() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *fakeReplica) lead(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leads = yes
	f.tell()
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

func (f *fakeReplica) Roster(since uint64) ([]*wire.Upstream, bool, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list, whole := f.state.Roster().Since(since)
	return list, whole, f.state.Roster().Revision()
}

func (f *fakeReplica) Bans() ([]*wire.Ban, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Bans()
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

func (f *fakeReplica) Propose(_ context.Context, c *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stuck || !f.leads {
		return nil, errors.New("no quorum")
	}
	defer f.tell()
	return f.state.Apply(c), nil
}

func (f *fakeReplica) Handle(ctx context.Context, fr *wire.Frame) (*wire.Frame, error) {
	r, err := f.Propose(ctx, fr.GetCommand())
	return &wire.Frame{Body: &wire.Frame_Result{Result: r}}, err
}

// direct asks the hub itself, as leader.Leader does on the leader.
type direct struct{ h *Hub }

func (d direct) Propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	f, err := d.h.Handle(ctx, &wire.Frame{Body: &wire.Frame_Command{Command: c}})
	return f.GetResult(), err
}

func (d direct) Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error) {
	return d.h.Handle(ctx, build())
}

const beatEvery = time.Second

// run starts the hub of a leader with a published configuration in a bubble.
func run(t *testing.T, test func(t *testing.T, h *Hub, f *fakeReplica)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakeReplica{leads: true, voters: 3}
		h := &Hub{Replica: f, Voters: 3, AnnounceInterval: beatEvery, Log: logr.Discard(), Parse: func([]byte) (*conf.Config, error) {
			return &conf.Config{
				Accounts: map[string]acct.Account{"a": {Rate: 1000, Burst: 1000}},
				Pools:    map[string]pool.Pool{"engines": {ByRoute: true, Slots: 4, Scheduler: "batch"}},
			}, nil
		}}
		h.Leader = direct{h}
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

func says(id string, seq uint64, state wire.Upstream_State) *wire.Report {
	return &wire.Report{Seq: seq, Upstream: &wire.Upstream{
		Id: id, Address: "10.0.1.1:80", Pool: "engines", DataCentre: "z1", Slots: 4, State: state,
	}}
}

func ask(h *Hub, w *wire.Watch) (*wire.News, error) {
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

// A server says that it leaves and is answered. From then on no request may be
// granted to it, and every entry that asks hears of it.
func TestLeavingIsInForceWhenAnswered(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)))
		must.Eq(t, "s", submit(h, 1, 1).GetGrant().GetUpstream())
		n, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.NoError(t, h.Report(t.Context(), says("s", 2, wire.Upstream_STATE_LEAVING)))
		must.NotNil(t, submit(h, 2, 1).GetRefusal())
		n, err = ask(h, &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Revision: n.GetRevision(), Leader: n.GetLeader()})
		must.NoError(t, err)
		must.Eq(t, wire.Upstream_STATE_LEAVING, n.GetRoster()[0].GetState())
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)), must.Sprint("late, and harmless"))
		must.NotNil(t, submit(h, 3, 1).GetRefusal())
	})
}

// A burst comes for which there is no room: two thousand tickets wait, each call of
// an entry's link, and none is in time. All are refused in the same moments; the
// leader holds no goroutine for any of them meanwhile, so that its heartbeats need
// not wait for thousands of calls that have just been woken.
func TestBurstHoldsNoGoroutines(t *testing.T) {
	const burst = 2000
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
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

// No quorum answers. A server that leaves must not be told that it is in force:
// the next leader would not know of it, and send requests until it exits.
func TestNothingIsAnsweredWithoutAQuorum(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)))
		f.mu.Lock()
		f.stuck = true
		f.mu.Unlock()
		must.Error(t, h.Report(t.Context(), says("s", 2, wire.Upstream_STATE_LEAVING)))
		must.Error(t, h.Report(t.Context(), &wire.Report{Upstream: &wire.Upstream{Id: "s"}, Deregister: true}))
		must.Error(t, h.Publish(t.Context(), 2, []byte("two")))
		_, _, err := h.Newest(t.Context())
		must.ErrorIs(t, err, ErrNoQuorum)
		must.NoError(t, h.Report(t.Context(), says("s", 3, wire.Upstream_STATE_SERVING)), must.Sprint("nothing new to write down"))
	})
}

// With fewer voters than outlive the losses a publication would be acknowledged
// that they can take along.
func TestNoPublicationBeforeTheGroupIsComplete(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
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

// An entry waits for news. It gets them when there are some, and an empty answer
// when its wait is over; on a replica that doesn't lead any more it is sent on.
func TestWatch(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, f *fakeReplica) {
		n, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.Eq(t, 1, n.GetVersion())
		must.Eq(t, 1, n.GetEntries())
		must.NotNil(t, n.GetDocument())
		w := &wire.Watch{Node: "e", Incarnation: "i", Version: 1, Leader: n.GetLeader(), WaitUs: (2 * time.Second).Microseconds()}
		start := time.Now()
		n, err = ask(h, w)
		must.NoError(t, err)
		must.Nil(t, n.GetDocument())
		must.Eq(t, 2*time.Second, time.Since(start))
		go func() {
			time.Sleep(500 * time.Millisecond)
			must.NoError(t, h.Publish(t.Context(), 2, []byte("two")))
		}()
		start = time.Now()
		n, err = ask(h, w)
		must.NoError(t, err)
		must.Eq(t, 2, n.GetVersion())
		must.Less(t, 600*time.Millisecond, time.Since(start))
		f.lead(false)
		synctest.Wait()
		_, err = ask(h, w)
		var fault *wire.Fault
		must.True(t, errors.As(err, &fault))
		must.Eq(t, "10.0.0.9:7000", fault.GetLeader())
	})
}

// A server that is cut off from control goes on serving callers. It stays in
// use; one that is silent and serves nobody does not.
func TestSilentUpstreams(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)))
		id := uint64(0)
		for range 10 {
			id++
			g := submit(h, id, 1).GetGrant()
			must.NotNil(t, g)
			time.Sleep(beatEvery)
			_, err := h.Handle(t.Context(), &wire.Frame{Body: &wire.Frame_Release{Release: &wire.Release{
				Ticket: id, Incarnation: "i", Pool: "engines", Upstream: "s", Slot: g.GetSlot(), Owner: g.GetOwner(), Dispatched: true, Whole: true,
			}}})
			must.NoError(t, err)
		}
		time.Sleep(5 * beatEvery)
		must.NotNil(t, submit(h, 100, 1).GetRefusal())
		n, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		must.Eq(t, []string{"s"}, n.GetSilent())
	})
}

// An account is over its rate: the scheduler refuses it at once with the time
// to come back. What was refused for want of room is not charged.
func TestAccountsKeepToTheirRate(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)))
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
		must.NotNil(t, submit(h, 4, 10).GetRefusal(), must.Sprint("charged elsewhere"))
	})
}

// An entry restarts under its name. What its former self held is free at once.
func TestRestartedEntry(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		must.NoError(t, h.Report(t.Context(), says("s", 1, wire.Upstream_STATE_SERVING)))
		_, err := ask(h, &wire.Watch{Node: "e", Incarnation: "i"})
		must.NoError(t, err)
		for id := range uint64(5) {
			must.NotNil(t, submit(h, 1+id, 1).GetGrant())
		}
		must.NotNil(t, submit(h, 10, 1).GetRefusal())
		_, err = ask(h, &wire.Watch{Node: "e", Incarnation: "j"})
		must.NoError(t, err)
		must.NotNil(t, submit(h, 11, 1).GetGrant())
	})
}

// A server crashes and starts again under its id; it counts its announcements
// anew. It is used again at once with all of its places, and what its former
// process sent, in any order, changes nothing any more: not its leaving, not its
// end, not a later number.
func TestServerStartsAgainUnderItsId(t *testing.T) {
	run(t, func(t *testing.T, h *Hub, _ *fakeReplica) {
		of := func(born int64, seq uint64, state wire.Upstream_State) *wire.Report {
			r := says("s", seq, state)
			r.Upstream.Born = born
			return r
		}
		must.NoError(t, h.Report(t.Context(), of(1000, 70, wire.Upstream_STATE_SERVING)))
		for id := range uint64(4) {
			must.NotNil(t, submit(h, id+1, 1).GetGrant())
		}
		must.NoError(t, h.Report(t.Context(), of(2000, 1, wire.Upstream_STATE_SERVING)))
		for id := range uint64(4) {
			must.NotNil(t, submit(h, id+11, 1).GetGrant(), must.Sprint("the places of the former process are free"))
		}
		must.NoError(t, h.Report(t.Context(), of(1000, 71, wire.Upstream_STATE_LEAVING)))
		must.NoError(t, h.Report(t.Context(), &wire.Report{Deregister: true, Upstream: &wire.Upstream{Id: "s", Born: 1000}}))
		must.Eq(t, wire.Upstream_STATE_SERVING, h.Replica.Upstream("s").GetState())
		must.NoError(t, h.Report(t.Context(), of(2000, 2, wire.Upstream_STATE_LEAVING)))
		must.Eq(t, wire.Upstream_STATE_LEAVING, h.Replica.Upstream("s").GetState())
		must.NoError(t, h.Report(t.Context(), &wire.Report{Deregister: true, Upstream: &wire.Upstream{Id: "s"}}))
		must.NoError(t, h.Report(t.Context(), of(3000, 1, wire.Upstream_STATE_SERVING)))
		must.NotNil(t, submit(h, 21, 1).GetGrant(), must.Sprint("back after its end"))
	})
}
