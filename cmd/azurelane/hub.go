package main

import (
	"context"
	"net/http"

	"azurelane/io/hub"
	"azurelane/io/hubd"
	"azurelane/platform"
)

const usageHub = `Run one control replica of a deployment that forms itself: the seeds found the
group at the first start, other replicas join it, and lost ones are replaced,
all without an operator. The leader schedules the pools of model engines.

It needs a data folder. On a full disk it goes on and keeps nothing new until there
is room; after any other failed write or sync it ends at once with code 1. SIGTERM hands leadership over, then the process ends.`

type hubCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
}

// Help is the command's manual.
func (hubCmd) Help() string { return usageHub }

// Run serves until a signal.
func (c *hubCmd) Run(ctx context.Context) error {
	s, err := openLocal(c.Settings)
	if err != nil {
		return err
	}
	defer s.end()
	calls := func(h *hub.Hub) http.Handler {
		return (&platform.Calls{Control: h, Log: s.log.WithName("calls")}).Handler()
	}
	d, err := hubd.Open(s.Local, calls, platform.Parse, s.log)
	if err != nil {
		return err
	}
	return d.Serve(ctx)
}
