package ctrl

import (
	"context"
	"strconv"
	"sync"
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

// An operator's change is accepted, but the leader dies before its answer
// comes. The operator sends the same change to the next leader, then once more
// after all replicas restarted, and gets the same answer each time.
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

// The disk of the leader fails in the middle of a claim. Its caller gets no answer, or
// one that the disks of the others stand for; the replica stops for good and its
// supervisor must not start it again; the others go on, and the claim sent again is the
// caller's and nobody else's.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	for _, tc := range []struct {
		name   string
		alone  bool          // The others get nothing of the claim.
		before time.Duration // Until the sync fails.
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

// A replica's disk is replaced while its start command still says --bootstrap.
// Had it founded a new group, entries would find an empty configuration and
// free claims there. It founds none, neither while the others are away nor when
// one of them answers; an operator adds it, and it catches up and votes.
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

// An entry beats at a replica that is cut off: within seconds it is told to ask
// another. While the replica is away the version rises; when it is back, or
// restarted, it never hands out the version from before.
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

// A follower is asked who holds a key, again and again. It names its leader, from
// the loop that changes it: read beside the loop, the name could be torn.
func TestFollowerNamesTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		for n.other(l).Leader() == "" {
			time.Sleep(tickEvery) // The quorum that elected the leader was the third replica.
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

// Without leases a leader can't know by itself that it still leads. A replica that
// was replaced behind a cut asks who belongs to the group: the leader looks in the
// log before it answers, a follower names it, and one that is cut off says nothing.
func TestFreshStatusWithoutLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetworkOf(t, 3, true)
		l := n.leader(nil)
		s, err := l.status(t.Context(), true)
		must.NoError(t, err)
		must.Len(t, 3, s.GetReplicas())
		time.Sleep(time.Second) // The followers may not have heard the new leader yet.
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

// Hundreds of claims come at once. They share few syncs, and each of them is
// answered.
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

// A leader is told to stop. It hands over first: the next leader answers long
// before an election timeout would have shown that the old one is gone.
func TestLeaveHandsOver(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		at := time.Now()
		l.Leave(context.Background())
		n.leader(l)
		must.Less(t, 500*time.Millisecond, time.Since(at))
	})
}

// Claims end by the log's own clock, which only a leader moves. A leader dies,
// then all replicas are down for an hour, so no caller could ask again: the
// claim is still there, is kept for the rest of its time, and then dropped.
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

// A replica is cut off while thousands of claims are made and finished, and the
// others compact their logs more than once meanwhile. Back again it gets a
// snapshot and what follows it. Then all restart from their disks. Nothing is
// lost or doubled on the way.
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

// A replica lags by half a second only, which it can't tell: it heard the leader a
// moment ago. An entry that had the newest version restarts with nothing and
// asks it first. It must be sent on, or its site would go back to the old one.
func TestFirstBeatIsForTheLeader(t *testing.T) {
	group(t, 3, func(t *testing.T, n *network, l *replica) {
		command(t, l, change("c1", 0))
		time.Sleep(time.Second)
		lag := n.other(l)
		n.isolate(lag.Address, true)
		command(t, l, change("c2", 1))
		// Shorter than the least election timeout, which counts from the last
		// heartbeat: a replica that campaigns follows no leader and can tell.
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
