package main

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"azurelane/core/state"
	"azurelane/core/wire"
)

const usageApply = `Put a changed configuration in force at every site. The change names the
version that it was made from; if another change came in between, it is
refused and the winner is named. Sending the same --change id again is safe:
it gets the answer of the first time.

With --wait the command ends once every entry that control knows of has the
version in force. Entries that are not heard, and replicas that do not answer,
are named and make the exit code 1: the change is accepted then, but not shown
to be in force everywhere.`

// pollEvery is the pause between two looks at what is in force.
const pollEvery = 200 * time.Millisecond

type applyCmd struct {
	File         string `arg:"" type:"existingfile" help:"The whole set: base and overlays, in JSON."`
	controlFlags `embed:""`
	Base         *uint64       `required:"" xor:"base" help:"Version that the change was made from; 0 for the first."`
	Latest       bool          `required:"" xor:"base" help:"Replace the version of now, whatever it holds."`
	Change       string        `help:"Id of the change; a new one when left out."`
	Author       string        `help:"Who made it."`
	Wait         bool          `help:"Wait until it is in force everywhere."`
	Limit        time.Duration `default:"8s" help:"With --wait: how long."`
}

// Help is the command's manual.
func (applyCmd) Help() string { return usageApply }

// Run submits the change and prints the version.
func (c *applyCmd) Run(ctx context.Context) error {
	doc, _, err := readConfig(c.File)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if c.Change == "" {
		c.Change = uuid.NewString()
	}
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	defer op.close()
	base, err := c.base(ctx, op)
	if err != nil {
		return err
	}
	r, err := op.apply(ctx, c.Change, base, doc, c.Author)
	if err != nil {
		return fmt.Errorf("%w; to learn its fate send it again with --change %s --base %d", err, c.Change, base)
	}
	if err := c.report(r); err != nil || !c.Wait {
		return err
	}
	return c.wait(ctx, op, r.GetVersion())
}

func (c *applyCmd) base(ctx context.Context, op *operator) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	s, err := op.status(ctx)
	if err != nil {
		return 0, fmt.Errorf("apply: read the version of now: %w", err)
	}
	return s.GetVersion(), nil
}

func (c *applyCmd) report(r *wire.Result) error {
	if r.GetCode() != state.OK {
		return fmt.Errorf("apply: change %s: %s: %s (version %d by change %s)", c.Change, r.GetCode(), r.GetText(), r.GetVersion(), orNone(r.GetWinner()))
	}
	fmt.Printf("change %s is version %d\n", c.Change, r.GetVersion())
	return nil
}

// wait polls all replicas until the version is in force everywhere or the time
// is over, and says who is missing.
func (c *applyCmd) wait(ctx context.Context, op *operator, version uint64) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	for {
		f := merge(op.statusAll(ctx))
		if f.certain(version) {
			fmt.Printf("version %d is in force at %d entries after %s\n", version, len(f.nodes), time.Since(start).Round(10*time.Millisecond))
			return nil
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return fmt.Errorf("apply: version %d is accepted, but after %s not shown to be in force everywhere: %s", version, c.Limit, f.missing(version))
		}
	}
}
