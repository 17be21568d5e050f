package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"

	"azurelane/io/local"
	"azurelane/io/logs"
)

// standing is what a process of a deployment that forms itself begins with.
type standing struct {
	*local.Local
	log logr.Logger
	end func() // Writes the lines that wait.
}

// openLocal reads the settings of such a process, makes its logger and takes
// SIGHUP, which would end the process otherwise. Settings that may change are
// read when they are used.
func openLocal(path string) (*standing, error) {
	set, err := local.Load(path)
	if err != nil {
		return nil, err
	}
	out := logs.Queue(os.Stdout)
	log, err := logs.New(out, "json", set.LogLevel)
	if err != nil {
		return nil, err
	}
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			log.Info("Reload: settings are read again when they are next needed.")
		}
	}()
	return &standing{set, log, func() {
		signal.Stop(ch)
		close(ch)
		_ = out.Close()
	}}, nil
}
