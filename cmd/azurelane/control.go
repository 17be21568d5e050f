package main

import (
	"context"

	"azurelane/io/quorum"
	"azurelane/io/setup"
)

const usageControl = `Run one replica of the durable state: the configuration, the claims of
idempotency keys and the orders to upstreams. It needs a data folder on a disk.

Start one of the replicas with --bootstrap the first time: once all replicas in
its settings run and are empty, it founds the group with all of them. A replica
that starts with an empty folder later, say on a new disk, is a new one: it
waits until an operator adds it (see azurelane replica).

SIGTERM hands leadership over, then the process ends. After a failed write or
sync of its disk it ends at once with code 1.`

type controlCmd struct {
	Settings     string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
	Bootstrap    bool   `help:"Found a group: once, on one replica, when all of them are new."`
	AfterVersion uint64 `help:"With --bootstrap after the loss of all replicas: the configuration version in force at the entries."`
}

// Help is the command's manual.
func (controlCmd) Help() string { return usageControl }

// Run serves until a signal.
func (c *controlCmd) Run(ctx context.Context) error {
	set, log, err := begin(c.Settings, setup.Control)
	if err != nil {
		return err
	}
	set.Bootstrap, set.After = c.Bootstrap, c.AfterVersion
	r, err := quorum.Open(set, log)
	if err != nil {
		return err
	}
	return r.Serve(ctx)
}
