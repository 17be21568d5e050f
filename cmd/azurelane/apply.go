package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/google/uuid"

	"azurelane/core/sites"
	"azurelane/core/state"
	"azurelane/core/wire"
)

const usageApply = `Put a changed configuration in force at every site. The change names the
version that it was made from; if another change came in between, it is
refused and the winner is named. Sending the same --change id again is safe:
it gets the answer of the first time.`

type applyCmd struct {
	File     string           `arg:"" type:"existingfile" help:"The whole set: base and overlays, in JSON."`
	Control  []netip.AddrPort `required:"" help:"Peer addresses of the control replicas."`
	Base     uint64           `required:"" help:"Version that the change was made from; 0 for the first."`
	Change   string           `help:"Id of the change; a new one when left out."`
	Author   string           `help:"Who made it."`
	tlsFlags `embed:""`
}

// Help is the command's manual.
func (applyCmd) Help() string { return usageApply }

// Run submits the change and prints the version.
func (c *applyCmd) Run(ctx context.Context) error {
	doc, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := sites.Parse(doc); err != nil {
		return fmt.Errorf("apply: %s: %w", c.File, err)
	}
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	op, err := newOperator(c.Control, c.tlsFlags)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	defer op.close()
	r, err := op.apply(ctx, c.Change, c.Base, doc, c.Author)
	if err != nil {
		return err
	}
	return c.report(r)
}

func (c *applyCmd) report(r *wire.Result) error {
	if r.GetCode() != state.OK {
		return fmt.Errorf("apply: change %s: %s: %s (version %d by change %s)", c.Change, r.GetCode(), r.GetText(), r.GetVersion(), r.GetWinner())
	}
	fmt.Printf("change %s is version %d\n", c.Change, r.GetVersion())
	return nil
}
