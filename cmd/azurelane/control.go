package main

import (
	"context"
	"fmt"
	"os"

	"azurelane/io/logs"
	"azurelane/io/quorum"
	"azurelane/io/setup"
)

const usageControl = `Run one replica of the durable state: the configuration, the claims of
idempotency keys and the fencing numbers. It needs a data folder on a disk.`

type controlCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
}

// Help is the command's manual.
func (controlCmd) Help() string { return usageControl }

// Run serves until a signal.
func (c *controlCmd) Run(ctx context.Context) error {
	set, err := setup.Load(c.Settings)
	if err != nil {
		return err
	}
	if err := set.For(setup.Control); err != nil {
		return fmt.Errorf("control: %s: %w", c.Settings, err)
	}
	log, err := logs.New(os.Stderr, set.LogFormat, set.LogLevel)
	if err != nil {
		return err
	}
	r, err := quorum.Open(set, log)
	if err != nil {
		return err
	}
	return r.Serve(ctx)
}
