package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"azurelane/core/state"
	"azurelane/core/wire"
)

const usageReplica = `Change which control replicas form the group, one at a time.

"add" takes the address of a replica that runs and waits: it becomes a learner,
catches up, and then a voter. With --replace it takes the place of one that is
gone: that one is removed before the new one votes, so the group never needs
more votes than it has replicas. "remove" takes an identity out; status lists
identities. Every step can be sent again.`

const (
	catchUpLimit = time.Minute
	stepEvery    = 300 * time.Millisecond
)

type (
	replicaCmd struct {
		Add    replicaAddCmd    `cmd:"" help:"Add a replica that runs with an empty data folder."`
		Remove replicaRemoveCmd `cmd:"" help:"Remove a replica for good."`
	}

	replicaAddCmd struct {
		Address      netip.AddrPort `arg:"" help:"Peer address of the new replica."`
		controlFlags `embed:""`
		Replace      string `help:"Identity of the replica whose place it takes."`
	}

	replicaRemoveCmd struct {
		Identity     string `arg:"" help:"Identity of the replica; status lists them."`
		controlFlags `embed:""`
	}
)

// Help is the command's manual.
func (replicaCmd) Help() string { return usageReplica }

// Run adds the replica and waits until it votes.
func (c *replicaAddCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	defer op.close()
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	f, err := op.mesh.Call(ctx, c.Address, statusQuery(false))
	if err != nil {
		return fmt.Errorf("replica: ask the new one: %w", err)
	}
	id := f.GetStatus().GetIdentity()
	s, err := op.status(ctx)
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	if g := f.GetStatus().GetGroup(); g != "" && g != s.GetGroup() {
		return fmt.Errorf("replica: %s belongs to another group: give it an empty data folder", c.Address)
	}
	for _, m := range c.steps(s, id) {
		if err := op.caughtUp(ctx, c.Address, m); err != nil {
			return err
		}
		if err := op.member(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// steps are the changes that are still missing.
func (c *replicaAddCmd) steps(s *wire.Status, id string) []*wire.Membership {
	var list []*wire.Membership
	if role(s, id) == wire.Membership_ROLE_NONE {
		list = append(list, &wire.Membership{Replica: id, Address: c.Address.String(), Role: wire.Membership_ROLE_LEARNER})
	}
	if c.Replace != "" && role(s, c.Replace) != wire.Membership_ROLE_NONE {
		list = append(list, &wire.Membership{Replica: c.Replace, Role: wire.Membership_ROLE_NONE})
	}
	return append(list, &wire.Membership{Replica: id, Address: c.Address.String(), Role: wire.Membership_ROLE_VOTER})
}

// Run removes the replica.
func (c *replicaRemoveCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	defer op.close()
	s, err := op.status(ctx)
	if err != nil {
		return fmt.Errorf("replica: %w", err)
	}
	if role(s, c.Identity) == wire.Membership_ROLE_NONE {
		fmt.Printf("replica %s: not a member\n", c.Identity)
		return nil
	}
	return op.member(ctx, &wire.Membership{Replica: c.Identity, Role: wire.Membership_ROLE_NONE})
}

func role(s *wire.Status, id string) wire.Membership_Role {
	for _, r := range s.GetReplicas() {
		switch {
		case r.GetId() == id && r.GetVoter():
			return wire.Membership_ROLE_VOTER
		case r.GetId() == id:
			return wire.Membership_ROLE_LEARNER
		}
	}
	return wire.Membership_ROLE_NONE
}

// caughtUp waits until the new replica is close behind the leader, before a
// step that counts on it.
func (o *operator) caughtUp(ctx context.Context, to netip.AddrPort, m *wire.Membership) error {
	for m.GetRole() != wire.Membership_ROLE_LEARNER {
		err := o.compare(ctx, to)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("replica: the new one has not caught up: %w", err)
		case <-time.After(stepEvery):
		}
	}
	return nil
}

func (o *operator) compare(ctx context.Context, to netip.AddrPort) error {
	lead, err := o.status(ctx)
	if err != nil {
		return err
	}
	f, err := o.mesh.Call(ctx, to, statusQuery(false))
	if err != nil {
		return err
	}
	if s := f.GetStatus(); s.GetGroup() != lead.GetGroup() || s.GetCommit() < lead.GetCommit() {
		return fmt.Errorf("it stands at log index %d of %d", s.GetCommit(), lead.GetCommit())
	}
	return nil
}

// member proposes one change.
func (o *operator) member(ctx context.Context, m *wire.Membership) error {
	r, err := o.leader.Propose(ctx, &wire.Command{Kind: &wire.Command_Membership{Membership: m}})
	if err != nil {
		return fmt.Errorf("replica: %s: %w", m.GetReplica(), err)
	}
	if r.GetCode() != state.OK {
		return fmt.Errorf("replica: %s: %s: %s", m.GetReplica(), r.GetCode(), r.GetText())
	}
	fmt.Printf("replica %s: %s\n", m.GetReplica(), strings.ToLower(strings.TrimPrefix(m.GetRole().String(), "ROLE_")))
	return nil
}
