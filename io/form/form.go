// Package form maintains the membership of a control group without an operator: replicas without a
// group join one, and the leader promotes and removes replicas.
package form

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"azurelane/core/raft"
	"azurelane/core/repair"
	"azurelane/core/wire"
)

const (
	checkInterval       = 100 * time.Millisecond // Interval between checks of the group.
	joinInterval        = 300 * time.Millisecond // Interval between attempts to join.
	changeTimeout       = time.Second            // Timeout of a membership change.
	listedCheckInterval = time.Second            // Interval between checks whether the group lists this replica.
	transferInterval    = 2 * time.Second        // Interval between attempts to transfer leadership.
)

// errOtherGroup is logged by a replica that can't join the group of its seeds.
var errOtherGroup = errors.New("form: the data folder belongs to another group")

type (
	// Form maintains the membership of one control replica. Its fields are set before use.
	Form struct {
		repair.Policy
		Self    netip.AddrPort
		Centre  string
		Replica replica
		Leader  proposer
		Log     logr.Logger

		lastJoin        time.Time // Last attempt to join.
		lastListedCheck time.Time // Last check whether the leader lists this replica.
		lastTransfer    time.Time // Last attempt to transfer leadership.
	}

	replica interface {
		Identity() string
		Leads() bool
		Ready() bool // Whether it has heard a leader recently.
		Group() (name string, all []*wire.Replica, peers []raft.PeerStatus)
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		TransferLeadership(ctx context.Context) error
	}

	// proposer is a client of the leader.
	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
		Ask(ctx context.Context, build func() *wire.Frame) (*wire.Frame, error)
	}
)

// Serve maintains the membership until ctx ends.
func (f *Form) Serve(ctx context.Context) error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		if err := f.check(ctx); err != nil {
			f.Log.V(1).Info("Group not changed.", "err", err.Error())
		}
	}
}

func (f *Form) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	name, all, peers := f.Replica.Group()
	if f.Replica.Leads() {
		return f.repair(ctx, all, peers)
	}
	if name == "" || !f.lists(all) {
		return f.join(ctx)
	}
	return f.checkListed(ctx, name)
}

// repair proposes the next membership change of the group that this replica leads.
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
	if m.GetReplica() == self.GetId() {
		return f.transferLeadership(ctx)
	}
	f.Log.Info("Group changes.", "replica", m.GetReplica(), "address", m.GetAddress(), "role", m.GetRole().String())
	if _, err := f.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Membership{Membership: m}}); err != nil {
		return fmt.Errorf("form: repair: %w", err)
	}
	return nil
}

// transferLeadership hands over to another replica, which then demotes this one.
func (f *Form) transferLeadership(ctx context.Context) error {
	if time.Since(f.lastTransfer) < transferInterval {
		return nil
	}
	f.lastTransfer = time.Now()
	f.Log.Info("Leadership is transferred, since a newer replica takes this one's vote.")
	if err := f.Replica.TransferLeadership(ctx); err != nil {
		return fmt.Errorf("form: transfer leadership: %w", err)
	}
	return nil
}

func (f *Form) join(ctx context.Context) error {
	if time.Since(f.lastJoin) < joinInterval {
		return nil
	}
	f.lastJoin = time.Now()
	m := &wire.Membership{
		Replica: f.Replica.Identity(), Address: f.Self.String(), DataCentre: f.Centre, Role: wire.Membership_ROLE_LEARNER,
	}
	if _, err := f.Leader.Propose(ctx, &wire.Command{Kind: &wire.Command_Membership{Membership: m}}); err != nil {
		return fmt.Errorf("form: join: %w", err)
	}
	f.Log.Info("Replica joins as a learner.", "identity", m.GetReplica())
	return nil
}

// checkListed asks the leader whether this replica is still in the group, and joins again if not. A
// replica that was removed while it was down receives no messages, so it would never learn of its
// removal, and the group would lack a replica. One with the data folder of another group ignores all
// messages, so it does not join.
func (f *Form) checkListed(ctx context.Context, name string) error {
	if f.Replica.Ready() || time.Since(f.lastListedCheck) < listedCheckInterval {
		return nil
	}
	f.lastListedCheck = time.Now()
	r, err := f.Leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{Fresh: true}}}
	})
	if err != nil {
		return fmt.Errorf("form: ask the leader: %w", err)
	}
	switch s := r.GetStatus(); {
	case s.GetGroup() != name:
		f.Log.Error(errOtherGroup, "Group not joined. Start this replica with an empty data folder.", "folder-group", name, "group", s.GetGroup())
		return nil
	case f.lists(s.GetReplicas()):
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
