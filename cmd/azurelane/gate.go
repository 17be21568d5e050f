package main

import (
	"context"

	"azurelane/io/gate"
	"azurelane/io/gated"
	"azurelane/platform"
)

const usageGate = `Serve the callers of routes: an entry of a deployment that forms itself. It
finds control by the seeds in its settings, gets the configuration and the list
of upstreams from there, and asks the scheduler there for places at model
engines. While no scheduler answers, it places requests by itself.

SIGTERM drains: the entry says that it is not ready, goes on serving until the
balancer has seen that, finishes what is in flight and ends. SIGHUP changes
nothing at once; the settings are read again when they are needed.`

type gateCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
}

// Help is the command's manual.
func (gateCmd) Help() string { return usageGate }

// Run serves until a signal.
func (c *gateCmd) Run(ctx context.Context) error {
	s, err := openLocal(c.Settings)
	if err != nil {
		return err
	}
	defer s.end()
	e, err := gated.Open(s.Local, &gate.Gate{Dialect: platform.Header{}, Moves: platform.Moves{}}, platform.EchoHeader, platform.Parse, s.log)
	if err != nil {
		return err
	}
	return e.Serve(ctx)
}
