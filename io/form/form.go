// Package form keeps a control group whole without an operator: replicas that
// belong to no group join one, and the leader promotes and removes them.
package form

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/repair"
	"azurelane/core/raft"
	"azurelane/core/wire"
)

const (
	lookEvery   = 100 * time.Millisecond // Between two looks at the group.
	joinEvery   = 300 * time.Millisecond // Between two tries to join.
	changeLimit = time.Second            // For one membership change.
	listedEvery = time.Second            // Between two looks whether this replica is still in its group.
)

type (
	// Form is the service of one control replica. Its fields are set before use.
	Form struct {
		repair.Policy
		Self    netip.AddrPort
		Centre  string
		Replica replica
		Leader  proposer
		Log     logr.Logger

		joined time.Time // Last try to join.
		listed time.Time // Last look whether the leader lists this replica.
	}

	replica interface {
		Identity() string
		Leads() bool
		Ready() bool // It hears a leader.
		Group() (name string, all []*wire.Replica, peers []raft.PeerStatus)
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
	}

	// proposer reaches the leader wherever it is.
	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}
)

// Serve looks after the group until ctx ends.
func (f *Form) Serve(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if err := f.look(ctx); err != nil {
			f.Log.V(1).Info("Group not changed.", "err", err.Error())
		}
	}
}

func (f *Form) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	name, all, peers := f.Replica.Group()
	if f.Replica.Leads() {
		return f.repair(ctx, all, peers)
	}
	if name == "" || !f.lists(all) {
		return f.join(ctx)
	}
	return f.stillListed(ctx)
}

// repair proposes the next change of the group that this replica leads.
func (f *Form) repair(ctx context.Context, all []*wire.Replica, peers []raft.PeerStatus) error {
	var self *wire.Replica
	for _, r := range all {
		if r.GetId() == f.Replica.Identity() {
			self = r
		}
	}
	if self == nil {
		return nil
	}
	m := f.NextChange(self, peers)
	if m == nil {
		return nil
	}
	f.Log.Info("Group changes.", "replica", m.GetReplica(), "address", m.GetAddress(), "role", m.GetRole().String())
	if _, err := f.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Membership{Membership: m}}); err != nil {
		return fmt.Errorf("form: repair: %w", err)
	}
	return nil
}

func (f *Form) join(ctx context.Context) error {
	if time.Since(f.joined) < joinEvery {
		return nil
	}
	f.joined = time.Now()
	m := &wire.Membership{
		Replica: f.Replica.Identity(), Address: f.Self.String(), DataCentre: f.Centre, Role: wire.Membership_ROLE_LEARNER,
	}
	if _, err := f.Leader.Propose(ctx, &wire.Command{Kind: &wire.Command_Membership{Membership: m}}); err != nil {
		return fmt.Errorf("form: join: %w", err)
	}
	f.Log.Info("Replica joins as a learner.", "identity", m.GetReplica())
	return nil
}

// stillListed asks the leader whether this replica is in its group. One that
// was away and replaced never hears of its removal, as nobody sends to it any
// more; it would wait for ever, and the group would lack a learner.
func (f *Form) stillListed(ctx context.Context) error {
	if f.Replica.Ready() || time.Since(f.listed) < listedEvery {
		return nil
	}
	f.listed = time.Now()
	r, err := f.Leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{Fresh: true}}}
	})
	if err != nil {
		return fmt.Errorf("form: ask the leader: %w", err)
	}
	if f.lists(r.GetStatus().GetReplicas()) {
		return nil
	}
	return f.join(ctx)
}

func (f *Form) lists(all []*wire.Replica) bool {
	for _, r := range all {
		if r.GetId() == f.Replica.Identity() {
			return true
		}
	}
	return false
}
