// Command azurelane schedules requests to model engines and plain services.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	// Scheduling policies register themselves.
	_ "azurelane/core/batch"
	"azurelane/core/conf"
	_ "azurelane/core/least"
	_ "azurelane/core/pull"
	_ "azurelane/core/robin"
	"azurelane/io/local"
	"azurelane/io/setup"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // The command ran and failed.
	exitUsage  = 2 // The command line or a settings file is wrong.
)

const usageMain = `azurelane schedules requests to model engines and plain services.

Start with "azurelane dev", which runs a whole small system in this process.

Exit codes: 0 done, 1 failed, 2 wrong command line or settings.`

// cli lists the commands; each has its file.
type cli struct {
	Entry    entryCmd    `cmd:"" help:"Serve callers and schedule pools."`
	Control  controlCmd  `cmd:"" help:"Run one replica of the durable state."`
	Gate     gateCmd     `cmd:"" help:"Serve callers of routes, in a deployment that forms itself."`
	Hub      hubCmd      `cmd:"" help:"Run a control replica of a deployment that forms itself."`
	Dev      devCmd      `cmd:"" help:"Run a whole small system in this process."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in engine or service."`
	Explain  explainCmd  `cmd:"" help:"Tell from logs what became of a request."`
	Load     loadCmd     `cmd:"" help:"Send open-loop load and report what came back."`
	Check    checkCmd    `cmd:"" help:"Check settings and configuration offline."`
	Apply    applyCmd    `cmd:"" help:"Put a changed configuration in force."`
	Status   statusCmd   `cmd:"" help:"Show what is in force where."`
	Bans     bansCmd     `cmd:"" help:"Show requests that crash upstreams, or send them again."`
	Upstream upstreamCmd `cmd:"" help:"Take an upstream out of service, give it back, or list upstreams."`
	Account  accountCmd  `cmd:"" help:"Show a client account's tickets, slots and refusals."`
	Order    orderCmd    `cmd:"" help:"Order an upstream to load a model or adapter, or to change role."`
	Rollout  rolloutCmd  `cmd:"" help:"Move a pool to upstreams of another version."`
	Replica  replicaCmd  `cmd:"" help:"Change which control replicas form the group."`
	Drain    drainCmd    `cmd:"" help:"Take an entry out of service."`
	Certs    certsCmd    `cmd:"" help:"Issue a certificate for a process or an operator."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var c cli
	parser, err := kong.New(&c, kong.Name("azurelane"), kong.Description(usageMain), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "azurelane: "+err.Error())
		return exitUsage
	}
	k, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return exitUsage
	}
	// net/http writes the first bytes of an unsolicited response to the standard logger. They are
	// data of a client account and must not be logged.
	log.SetOutput(io.Discard)
	ctx, stop := signals()
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "azurelane: "+err.Error())
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	if errors.Is(err, setup.ErrInvalid) || errors.Is(err, local.ErrInvalid) || errors.Is(err, conf.ErrInvalid) {
		return exitUsage
	}
	return exitFailed
}

// signals returns a context that ends with the first SIGTERM or interrupt. A
// second signal ends the process at once.
func signals() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ch
		cancel()
		<-ch
		os.Exit(exitFailed)
	}()
	return ctx, cancel
}
