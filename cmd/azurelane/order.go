package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"azurelane/io/order"
)

const usageOrder = `Order an upstream to load a model or an adapter, or to change role. The order
is numbered by the replicated log and sent when no other order can still run
at that upstream. One that checks the number refuses older orders by itself;
at any other a second order waits until the first is known to be over or its
--limit is up. The entries that it announced itself to know its address and
whether it checks.

When the answer is lost, send the same order again with its --id.`

type orderCmd struct {
	Kind         string `arg:"" enum:"load-model,load-adapter,set-role" help:"load-model, load-adapter or set-role."`
	Target       string `arg:"" help:"Model, adapter or role."`
	Upstream     string `required:"" help:"Name of the upstream."`
	controlFlags `embed:""`
	Version      string        `help:"Version of the model or adapter."`
	ID           string        `help:"Id of the order; a new one when left out."`
	Limit        time.Duration `default:"10m" help:"Longest time that the order can take."`
	WeightLimit  int           `default:"2" help:"Orders that may read from the weight store at once."`
}

// Help is the command's manual.
func (orderCmd) Help() string { return usageOrder }

// Run sends the order and waits for its end.
func (c *orderCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	defer op.close()
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	a, err := op.upstream(ctx, c.Upstream)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(a.GetAddress())
	if err != nil {
		return fmt.Errorf("order: address of %s: %w", c.Upstream, err)
	}
	o := order.Order{
		ID: c.ID, Upstream: c.Upstream, Address: addr, Kind: c.Kind, Target: c.Target, Version: c.Version,
		ChecksFence: a.GetChecksFence(), Weights: c.Kind != "set-role", WeightLimit: c.WeightLimit, Limit: c.Limit, Proposer: op.leader,
	}
	fence, err := o.Run(ctx)
	if err != nil {
		return fmt.Errorf("order %s: %w", c.ID, err)
	}
	fmt.Printf("order %s with number %d is done\n", c.ID, fence)
	return nil
}
