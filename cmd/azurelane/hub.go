package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"azurelane/io/hub"
	"azurelane/io/hubd"
	"azurelane/io/local"
	"azurelane/io/logs"
	"azurelane/platform"
)

const usageHub = `Run one control replica of a deployment that forms itself: the seeds found the
group at the first start, other replicas join it, and lost ones are replaced,
all without an operator. The leader schedules the pools of model engines.

It needs a data folder. After a failed write or sync of its disk it ends at once
with code 1. SIGTERM hands leadership over, then the process ends.`

type hubCmd struct {
	Settings string `arg:"" type:"existingfile" help:"Settings of this process, in JSON."`
}

// Help is the command's manual.
func (hubCmd) Help() string { return usageHub }

// Run serves until a signal.
func (c *hubCmd) Run(ctx context.Context) error {
	set, err := local.Load(c.Settings)
	if err != nil {
		return err
	}
	out := logs.Queue(os.Stdout)
	defer func() { _ = out.Close() }()
	log, err := logs.New(out, "json", set.LogLevel)
	if err != nil {
		return err
	}
	defer reloads(log)()
	calls := func(h *hub.Hub) http.Handler {
		return (&platform.Calls{Control: h, Log: log.WithName("calls")}).Handler()
	}
	d, err := hubd.Open(set, calls, platform.Parse, log)
	if err != nil {
		return err
	}
	return d.Serve(ctx)
}

// reloads takes SIGHUP, which would end the process otherwise, and returns a
// function that stops it. Settings that may change are read when they are used.
func reloads(log logr.Logger) func() {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			log.Info("Reload: settings are read again when they are next needed.")
		}
	}()
	return func() {
		signal.Stop(ch)
		close(ch)
	}
}
