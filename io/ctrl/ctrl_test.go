package ctrl

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/thejerf/suture/v4"

	"azurelane/core/raft"
	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/leader"
)

const doc = `{"base":{"client-accounts":{},"tiers":{},"pools":{}},"overlays":{}}`

func (n *network) client() *leader.Leader {
	return &leader.Leader{Replicas: n.addrs, Caller: &caller{net: n}}
}

// Guards against a change that is made twice or lost when the leader crashes before it replies. The
// operator sends it again to the next leader, and after a restart of all replicas, and must get
// the same result each time.
func TestChangeSentAgainAfterTheLeaderDied(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		must.Eq(t, state.OK, command(t, l, change("c1", 0)).GetCode())
		l.stop()
		again := command(t, n.client(), change("c1", 0))
		must.Eq(t, 1, again.GetVersion())
		must.Eq(t, state.OK, again.GetCode())
		l.restart()
		for _, a := range n.addrs {
			n.at(a).restart()
		}
		must.Eq(t, state.OK, command(t, n.client(), change("c1", 0)).GetCode())
		other := command(t, n.client(), change("c2", 0))
		must.Eq(t, state.Conflict, other.GetCode())
		must.Eq(t, "c1", other.GetWinner())
	})
}

// Guards against acknowledging a claim that a failed disk has lost. The leader's disk fails during a
// claim: the caller gets no result, or one that the other replicas have stored. The replica stops
// and is not restarted, the others continue, and the caller gets the claim when it asks again.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	for _, tc := range []struct {
		name   string
		alone  bool          // The other replicas do not receive the claim.
		before time.Duration // Time until the sync fails.
	}{
		{"before the others can answer", true, 0},
		{"at once", false, 0},
		{"after the others have answered", false, 200 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			group(t, 3, func(t *testing.T, n *network, l *replica) {
				n.isolate(l.Address, tc.alone)
				slow(tc.before, l)
				l.store.mu.Lock()
				l.store.fail = errors.New("input/output error")
				l.store.mu.Unlock()
				r, err := l.Propose(context.Background(), claim("k", time.Hour))
				if tc.alone {
					must.Error(t, err)
				}
				if tc.before > 0 {
					must.NoError(t, err)
					must.Eq(t, state.OK, r.GetCode())
				}
				must.ErrorIs(t, <-l.ended, suture.ErrTerminateSupervisorTree)
				n.isolate(l.Address, false)
				if err != nil {
					must.Eq(t, state.OK, command(t, n.client(), claim("k", time.Hour)).GetCode())
				}
				other := claim("k", time.Hour)
				other.GetClaim().Holder, other.GetClaim().Request = "f", 2
				must.NotEq(t, state.OK, command(t, n.client(), other).GetCode())
				must.Eq(t, state.OK, command(t, n.client(), claim("k", time.Hour)).GetCode())
			})
		})
	}
}

// Guards against a second group when a replica with a replaced disk starts with --bootstrap. Entries
// would get an empty configuration and free claims from it. It must found no group while the others
// are down, nor when one of them replies. An operator adds it, and it catches up and votes.
func TestEmptyDiskFoundsNoSecondGroup(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, l, change("c1", 0))
		lost := n.other(l)
		lost.stop()
		n.isolate(lost.Address, true)
		fresh := n.start(lost.place(), &memStore{id: "new"}, true)
		time.Sleep(time.Minute)
		must.Eq(t, "", fresh.view.Load().GetGroup())
		n.isolate(lost.Address, false)
		time.Sleep(time.Minute)
		must.Eq(t, "", fresh.view.Load().GetGroup())
		must.True(t, fresh.reply(0).GetStale())
		for _, m := range []*wire.Membership{
			{Replica: "new", Address: fresh.Address.String(), Role: wire.Membership_ROLE_LEARNER},
			{Replica: lost.id, Role: wire.Membership_ROLE_NONE},
			{Replica: "new", Address: fresh.Address.String(), Role: wire.Membership_ROLE_VOTER},
		} {
			command(t, n.client(), &wire.Command{Kind: &wire.Command_Membership{Membership: m}})
			time.Sleep(time.Second)
		}
		must.Eq(t, 1, fresh.view.Load().GetVersion())
		l.stop()
		n.leader(nil)
	})
}

// Guards against a replica that serves an old configuration after a network partition. While it is
// cut off it must tell entries within seconds to ask another replica. The version rises meanwhile,
// and the replica must not return the old one when it is back or restarted.
func TestLaggingReplicaBringsNothingBack(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, l, change("c1", 0))
		time.Sleep(time.Second)
		lag := n.other(l)
		must.False(t, lag.beat(&wire.Beat{Node: "entry-1", Version: 1}).GetStale())
		n.isolate(lag.Address, true)
		time.Sleep(StaleAfter + time.Second)
		command(t, n.leader(lag), change("c2", 1))
		r := lag.beat(&wire.Beat{Node: "entry-1", Version: 2})
		must.True(t, r.GetStale())
		must.Eq(t, 0, len(r.GetDocument()))
		lag = lag.restart()
		must.True(t, lag.beat(&wire.Beat{Node: "entry-1", Version: 2}).GetStale())
		n.isolate(lag.Address, false)
		time.Sleep(5 * time.Second)
		r = lag.beat(&wire.Beat{Node: "entry-2", Version: 1})
		must.Eq(t, 2, r.GetVersion())
		must.False(t, r.GetStale())
	})
}

// Guards against a data race on the leader's name when a follower is asked who holds a key.
func TestFollowerNamesTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		for n.other(l).Leader() == "" {
			time.Sleep(tickEvery) // The leader was elected with the third replica's vote.
		}
		for range 50 {
			_, err := n.other(l).holder(context.Background(), &wire.ClaimQuery{Account: "a", Key: "k"})
			var fault *wire.Fault
			must.True(t, errors.As(err, &fault))
			must.Eq(t, l.Address.String(), fault.GetLeader())
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a former leader that answers queries after it was replaced during a network
// partition. Without leases it can't know by itself whether it leads. The leader must confirm
// through the log, a follower must name the leader, and a replica that is cut off must not reply.
func TestFreshStatusWithoutLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetworkOf(t, 3, true)
		l := n.leader(nil)
		s, err := l.status(t.Context(), true)
		must.NoError(t, err)
		must.Len(t, 3, s.GetReplicas())
		time.Sleep(time.Second) // Followers may not have heard the new leader yet.
		_, err = n.other(l).status(t.Context(), true)
		var fault *wire.Fault
		must.True(t, errors.As(err, &fault))
		must.Eq(t, l.Address.String(), fault.GetLeader())
		n.isolate(l.Address, true)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err = l.status(ctx, true)
		must.Error(t, err)
	})
}

// Guards against a sync for each claim, and against lost results, when hundreds of claims arrive at
// once.
func TestGroupCommit(t *testing.T) {
	group(t, 1, func(t *testing.T, _ *network, l *replica) {
		before := l.store.syncs
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Go(func() {
				must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), 0)).GetCode())
			})
		}
		wg.Wait()
		must.Less(t, 500, l.store.syncs-before)
	})
}

// Guards against waiting for an election timeout when a leader is stopped: it must transfer
// leadership first.
func TestLeaveHandsOver(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		at := time.Now()
		l.Leave(context.Background())
		n.leader(l)
		must.Less(t, 500*time.Millisecond, time.Since(at))
	})
}

// Guards against claims that expire while no replica runs, so that no caller could ask again. Claims
// expire by the log's clock, which only a leader advances. After a crash of the leader and an hour
// without any replica the claim must remain for the rest of its time, and then expire.
func TestClaimsEndByTheLogsClock(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, n.client(), claim("k", 2*time.Minute))
		command(t, n.client(), finish("k"))
		time.Sleep(time.Minute)
		l.restart()
		n.leader(nil)
		var all []*replica
		for _, a := range n.addrs {
			all = append(all, n.at(a))
			n.at(a).stop()
		}
		time.Sleep(time.Hour)
		for _, r := range all {
			r.restart()
		}
		next := n.leader(nil)
		time.Sleep(50 * time.Second)
		must.Eq(t, 1, next.view.Load().GetClaims())
		time.Sleep(3 * time.Minute)
		must.Eq(t, 0, next.view.Load().GetClaims())
	})
}

// Guards against claims lost or doubled by snapshots. A replica is cut off during thousands of claims
// and several compactions, then receives a snapshot and later entries. Then all replicas restart
// from their disks.
func TestSnapshotsWhileCommandsGoOn(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		lag := n.other(l)
		n.isolate(lag.Address, true)
		const claims = 3 * CompactAfter
		var wg sync.WaitGroup
		for c := range 50 {
			wg.Go(func() {
				for i := c; i < claims; i += 50 {
					must.Eq(t, state.OK, command(t, l, claim(strconv.Itoa(i), time.Hour)).GetCode())
					must.Eq(t, state.OK, command(t, l, finish(strconv.Itoa(i))).GetCode())
				}
			})
		}
		wg.Wait()
		must.Greater(t, 1, l.store.snapped())
		n.isolate(lag.Address, false)
		time.Sleep(5 * time.Second)
		must.Greater(t, 1, lag.store.snapped())
		n.claims(claims)
		for _, a := range n.addrs {
			n.at(a).restart()
		}
		n.leader(nil)
		time.Sleep(time.Second)
		n.claims(claims)
	})
}

// Guards against a restarted entry that goes back to an older configuration. The replica that it asks
// first lags behind by half a second, which the replica can't know, as it heard the leader a moment
// ago. It must refer the entry to another replica.
func TestFirstBeatIsForTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, l, change("c1", 0))
		time.Sleep(time.Second)
		lag := n.other(l)
		n.isolate(lag.Address, true)
		command(t, l, change("c2", 1))
		// Less than the election timeout from the last heartbeat, as a replica that campaigns
		// knows that it follows no leader.
		time.Sleep(raft.DefaultElectionTimeout / 2)
		beat := func(r *replica, version uint64) *wire.BeatReply {
			f, err := r.Handle(context.Background(), &wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{Node: "entry-1", Version: version}}})
			must.NoError(t, err)
			return f.GetBeatReply()
		}
		must.Eq(t, 1, beat(lag, 0).GetVersion())
		must.True(t, beat(lag, 0).GetStale())
		must.False(t, beat(lag, 1).GetStale(), must.Sprint("it can't tell"))
		r := beat(l, 0)
		must.False(t, r.GetStale())
		must.Eq(t, 2, r.GetVersion())
		must.NotNil(t, r.GetDocument())
	})
}

// Guards against heartbeats that wait for lost packets because they share a connection with the entries.
func TestMessagesBesideUseOtherConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 3)
		beside := &laneCounter{caller: caller{n, addr(0)}}
		for _, a := range n.addrs {
			must.NoError(t, n.nodes[a].do(t.Context(), func(time.Time) (e raft.Effects) {
				n.nodes[a].Beside = beside
				return e
			}))
		}
		n.leader(nil)
		time.Sleep(time.Second)
		must.Positive(t, beside.sent.Load())
		must.Zero(t, beside.others.Load())
	})
}

// laneCounter counts the messages for connections beside the first, and all others.
type laneCounter struct {
	caller
	sent, others atomic.Int64
}

func (l *laneCounter) Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error {
	if f.GetRaft().GetLane() == 1 {
		l.sent.Add(1)
	} else {
		l.others.Add(1)
	}
	return l.caller.Send(ctx, to, f)
}
