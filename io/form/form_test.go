package form

import (
	"cmp"
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/raft"
	"azurelane/core/repair"
	"azurelane/core/wire"
)

// fakeGroup is a replica and its client of the leader.
type fakeGroup struct {
	name     string
	leads    bool
	ready    bool
	all      []*wire.Replica
	peers    []raft.PeerStatus
	listed   []*wire.Replica // Replicas that the leader lists.
	other    string          // Group of the leader; empty for the replica's own.
	proposed []*wire.Membership
	asked    int
	moved    int // Attempts to transfer leadership.
	err      error
}

func (f *fakeGroup) Identity() string { return "me" }
func (f *fakeGroup) Leads() bool      { return f.leads }
func (f *fakeGroup) Ready() bool      { return f.ready }

func (f *fakeGroup) Group() (string, []*wire.Replica, []raft.PeerStatus) {
	return f.name, f.all, f.peers
}

func (f *fakeGroup) Propose(_ context.Context, c *wire.Command) (*wire.Result, error) {
	f.proposed = append(f.proposed, c.GetMembership())
	return &wire.Result{}, f.err
}

func (f *fakeGroup) TransferLeadership(context.Context) error {
	f.moved++
	return f.err
}

func (f *fakeGroup) Ask(context.Context, func() *wire.Frame) (*wire.Frame, error) {
	f.asked++
	return &wire.Frame{Body: &wire.Frame_Status{Status: &wire.Status{Group: cmp.Or(f.other, f.name), Replicas: f.listed}}}, f.err
}

// Guards against a replica that never joins because it has no group or was removed from it while it was
// down. A replica that its group lists must not ask to join, nor one whose data folder is that of another
// group, which would be a learner that never answers.
func TestJoins(t *testing.T) {
	me, other := &wire.Replica{Id: "me"}, &wire.Replica{Id: "other"}
	for _, tc := range []struct {
		name string
		fakeGroup
		joins bool
	}{
		{"no group", fakeGroup{}, true},
		{"its log says that it was removed", fakeGroup{name: "g", all: []*wire.Replica{other}}, true},
		{"the leader says that it was removed", fakeGroup{name: "g", all: []*wire.Replica{me, other}, listed: []*wire.Replica{other}}, true},
		{"in its group, hears nobody", fakeGroup{name: "g", all: []*wire.Replica{me, other}, listed: []*wire.Replica{me, other}}, false},
		{"its data folder is that of another group", fakeGroup{name: "g", other: "h", all: []*wire.Replica{me, other}, listed: []*wire.Replica{other}}, false},
		{"in its group, hears the leader", fakeGroup{name: "g", ready: true, all: []*wire.Replica{me, other}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &tc.fakeGroup
				f := &Form{Self: netip.MustParseAddrPort("10.0.0.1:7000"), Centre: "z1", Replica: g, Leader: g, Log: logr.Discard()}
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				must.ErrorIs(t, f.Serve(ctx), context.DeadlineExceeded)
				must.Eq(t, tc.joins, len(g.proposed) > 0)
				must.Eq(t, g.ready, g.asked == 0 && !tc.joins)
				if tc.joins {
					must.Eq(t, "me", g.proposed[0].GetReplica())
					must.Eq(t, wire.Membership_ROLE_LEARNER, g.proposed[0].GetRole())
					must.Eq(t, "z1", g.proposed[0].GetDataCentre())
				}
			})
		})
	}
}

// Guards against a membership change that is not tried again after it was refused.
func TestRepairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeGroup{
			name: "g", leads: true, all: []*wire.Replica{{Id: "me", Voter: true}}, err: errors.New("busy"),
			peers: []raft.PeerStatus{{Replica: &wire.Replica{Id: "b", DataCentre: "z2"}, CaughtUp: true}},
		}
		f := &Form{Policy: repair.Policy{MaxLosses: 1, DataCentres: 3, ReplaceAfter: time.Second, RemoveLearnerAfter: time.Minute}, Replica: g, Leader: g, Log: logr.Discard()}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, f.Serve(ctx), context.DeadlineExceeded)
		must.Greater(t, 5, len(g.proposed))
		must.Eq(t, "b", g.proposed[0].GetReplica())
		must.Eq(t, wire.Membership_ROLE_VOTER, g.proposed[0].GetRole())
	})
}

// Guards against a leader that tries to demote itself, or never hands over, when a newer replica takes
// its vote.
func TestLeaderHandsOverBeforeItYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		me := &wire.Replica{Id: "me", DataCentre: "z1", Voter: true}
		g := &fakeGroup{name: "g", leads: true, all: []*wire.Replica{me}}
		for _, id := range []string{"b", "c", "newer"} {
			r := &wire.Replica{Id: id, DataCentre: map[string]string{"b": "z2", "c": "z3", "newer": "z1"}[id], Voter: true}
			g.all = append(g.all, r)
			g.peers = append(g.peers, raft.PeerStatus{Replica: r, Steady: time.Minute, CaughtUp: true, Newer: true})
		}
		f := &Form{Policy: repair.Policy{MaxLosses: 1, DataCentres: 3, ReplaceAfter: time.Second, RemoveLearnerAfter: time.Minute}, Replica: g, Leader: g, Log: logr.Discard()}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		must.ErrorIs(t, f.Serve(ctx), context.DeadlineExceeded)
		must.SliceEmpty(t, g.proposed)
		must.Eq(t, 3, g.moved)
	})
}
