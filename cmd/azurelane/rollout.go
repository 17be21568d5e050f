package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"azurelane/core/deploy"
	"azurelane/core/wire"
)

const usageRollout = `Move a pool's requests to upstreams of another version, in a deployment of gates
and hubs. Start upstreams of that version beside the others. They get a small
share of the requests at first, and all of them near the deadline if they fail
no more answers and are no slower than the others. Once the rollout has
completed, no request goes to upstreams of the former version: stop them. After
a rollback none goes to those of the new one.`

type (
	rolloutCmd struct {
		Start  rolloutStartCmd  `cmd:"" help:"Order a rollout."`
		Status rolloutStatusCmd `cmd:"" help:"Show the newest rollout of each pool."`
		Abort  rolloutAbortCmd  `cmd:"" help:"Roll a pool back to its former version."`
	}

	rolloutStartCmd struct {
		Pool         string        `arg:"" help:"Name of the pool."`
		To           string        `required:"" help:"Version that its upstreams announce."`
		Within       time.Duration `required:"" help:"Time until the deadline, as in 30s."`
		controlFlags `embed:""`
	}

	rolloutStatusCmd struct {
		Pool         string `arg:"" optional:"" help:"Name of the pool; all when left out."`
		controlFlags `embed:""`
	}

	rolloutAbortCmd struct {
		Pool         string `arg:"" help:"Name of the pool."`
		controlFlags `embed:""`
	}
)

// Help is the command's manual.
func (rolloutCmd) Help() string { return usageRollout }

// Run orders the rollout and returns once it is stored.
func (c *rolloutStartCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	defer op.close()
	res, err := op.leader.Propose(ctx, &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{
		Pool: c.Pool, To: c.To, LengthUs: c.Within.Microseconds(),
	}}})
	if err != nil {
		return fmt.Errorf("rollout: start: %w", err)
	}
	if res.GetCode() != deploy.OK {
		return fmt.Errorf("rollout: %s: %s", res.GetCode(), res.GetText())
	}
	fmt.Printf("rollout %d of %s to %s is in progress\n", res.GetVersion(), c.Pool, c.To)
	return nil
}

// Run prints the rollouts as a quorum knows them.
func (c *rolloutStatusCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	defer op.close()
	list, err := op.rollouts(ctx, c.Pool)
	if err != nil {
		return err
	}
	return printRollouts(os.Stdout, list)
}

// Run records that the rollout is rolled back.
func (c *rolloutAbortCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	defer op.close()
	list, err := op.rollouts(ctx, c.Pool)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		return fmt.Errorf("rollout: %s has had no rollout", c.Pool)
	}
	res, err := op.leader.Propose(ctx, &wire.Command{Kind: &wire.Command_AdvanceRollout{AdvanceRollout: &wire.AdvanceRollout{
		Pool: c.Pool, Number: list[0].GetNumber(), Phase: wire.Rollout_PHASE_ROLLED_BACK, Cause: "aborted by an operator",
	}}})
	if err != nil {
		return fmt.Errorf("rollout: abort: %w", err)
	}
	if res.GetCode() != deploy.OK {
		return fmt.Errorf("rollout: %s: %s", res.GetCode(), res.GetText())
	}
	fmt.Printf("rollout %d of %s is rolled back\n", list[0].GetNumber(), c.Pool)
	return nil
}

// rollouts asks the leader for the newest rollout of a pool, or of each if pool is empty.
func (o *operator) rollouts(ctx context.Context, pool string) ([]*wire.Rollout, error) {
	f, err := o.leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_RolloutQuery{RolloutQuery: &wire.RolloutQuery{Pool: pool}}}
	})
	if err != nil {
		return nil, fmt.Errorf("rollout: status: %w", err)
	}
	return f.GetRollouts().GetRollouts(), nil
}

var rolloutPhases = map[wire.Rollout_Phase]string{
	wire.Rollout_PHASE_CANARY: "canary", wire.Rollout_PHASE_SHIFT: "shift", wire.Rollout_PHASE_COMPLETED: "completed",
	wire.Rollout_PHASE_ROLLED_BACK: "rolled-back",
}

func printRollouts(w io.Writer, list []*wire.Rollout) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pool\tnumber\tfrom\tto\tphase\telapsed\twithin\tcause")
	for _, r := range list {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", r.GetPool(), r.GetNumber(), r.GetBase(), r.GetTo(), rolloutPhases[r.GetPhase()],
			micros(r.GetElapsedUs()), micros(r.GetLengthUs()), r.GetCause())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("rollout: print: %w", err)
	}
	return nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
