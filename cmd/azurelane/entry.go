package main

import (
	"context"
	"fmt"
	"os"

	"azurelane/io/entry"
	"azurelane/io/logs"
	"azurelane/io/setup"
)

const usageEntry = `Serve callers, take the announcements of upstreams and schedule the pools that
this entry owns. It needs no disk.

SIGTERM drains: no new work is taken, requests in flight finish, then the
process ends. A second signal ends it at once.`

type entryCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
}

// Help is the command's manual.
func (entryCmd) Help() string { return usageEntry }

// Run serves until a signal.
func (c *entryCmd) Run(ctx context.Context) error {
	set, err := setup.Load(c.Settings)
	if err != nil {
		return err
	}
	if err := set.For(setup.Entry); err != nil {
		return fmt.Errorf("entry: %s: %w", c.Settings, err)
	}
	log, err := logs.New(os.Stderr, set.LogFormat, set.LogLevel)
	if err != nil {
		return err
	}
	stop, err := set.Trace.Start(ctx, set.Node)
	if err != nil {
		return err
	}
	defer func() { _ = stop(context.WithoutCancel(ctx)) }()
	e, err := entry.Open(set, log)
	if err != nil {
		return err
	}
	return e.Serve(ctx)
}
