package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-logr/logr"

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
	set, log, err := begin(c.Settings, setup.Entry)
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

// begin reads the settings of a process in a role and makes its logger.
func begin(path, role string) (*setup.Setup, logr.Logger, error) {
	set, err := setup.Load(path)
	if err != nil {
		return nil, logr.Logger{}, err
	}
	if err := set.For(role); err != nil {
		return nil, logr.Logger{}, fmt.Errorf("%s: %s: %w", role, path, err)
	}
	log, err := logs.New(os.Stderr, set.LogFormat, set.LogLevel)
	return set, log, err
}
