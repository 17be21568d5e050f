package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"azurelane/io/rig/demand"
	"azurelane/io/rig/load"
	"azurelane/io/rig/score"
	"azurelane/io/rig/trial"
)

const (
	usageLoad = `Send open-loop load: arrival times are drawn from the seed before the run, so
that a slow system can't slow the callers down.`

	usageLoadRun = `Send a workload to running entries and report goodput by tier, times to first
token and refusals. The bearer key of each client account in the workload file
is its name with -key behind it, as in the example deployments.`

	usageLoadCompare = `Run scheduling policies side by side in this process, each on a small system of
its own with stand-in engines, under the scenarios of docs/MEASURED.md, and
print the tables. A policy may name its preset behind a colon.`
)

type (
	loadCmd struct {
		Run     loadRunCmd     `cmd:"" help:"Send a workload to running entries."`
		Compare loadCompareCmd `cmd:"" help:"Measure scheduling policies side by side."`
	}

	loadRunCmd struct {
		URLs     []string      `arg:"" name:"url" help:"Entries, as http://ADDRESS."`
		Workload string        `required:"" type:"existingfile" help:"Workload file, as in examples/load."`
		Rate     float64       `default:"10" help:"Requests a second."`
		Time     time.Duration `default:"10s" help:"Length of the load."`
		Seed     uint64        `default:"1" help:"Seed of arrival times and sizes."`
	}

	loadCompareCmd struct {
		Workload  string        `required:"" type:"existingfile" help:"Workload file, as in examples/load."`
		Policies  []string      `default:"late,least,robin" help:"Policies to run at the same time."`
		Scenarios []string      `help:"Scenarios; all when none is named."`
		Seeds     []uint64      `default:"1,2,3,4" help:"One run for each seed."`
		Time      time.Duration `default:"10s" help:"Length of each load."`
	}
)

// Help is the command's manual.
func (loadCmd) Help() string { return usageLoad }

// Help is the command's manual.
func (loadRunCmd) Help() string { return usageLoadRun }

// Run sends the load and prints the report.
func (c *loadRunCmd) Run(ctx context.Context) error {
	d, err := demand.Load(c.Workload)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	calls := d.Draw(c.Seed, c.Time, c.Rate, func(time.Duration) float64 { return c.Rate }, "", 0)
	l := &load.Load{URLs: c.URLs, Model: d.Model, Spare: time.Second}
	s := score.Of(l.Run(ctx, calls), nil, 0, nil, nil, "")
	for level, name := range []string{"urgent", "normal", "bulk"} {
		fmt.Printf("%s: %d of %d answered whole and in time\n", name, s.Good[level], s.Asked[level])
	}
	fmt.Printf("first token, 95 in 100: urgent %s, normal %s\n", s.First.Round(time.Microsecond), s.FirstNormal.Round(time.Microsecond))
	fmt.Printf("without an answer: %d\n", s.Lost)
	for code, n := range s.Refused {
		fmt.Printf("refused %s: %d\n", code, n)
	}
	return nil
}

// Help is the command's manual.
func (loadCompareCmd) Help() string { return usageLoadCompare + "\n\nScenarios:\n\n" + trial.Scenes() }

// Run measures and prints the tables.
func (c *loadCompareCmd) Run(ctx context.Context) error {
	d, err := demand.Load(c.Workload)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	t := &trial.Trial{
		Demand: d, Policies: c.Policies, Scenes: c.Scenarios, Seeds: c.Seeds, Span: c.Time,
		Progress: func(text string) { fmt.Fprintln(os.Stderr, text) },
	}
	tables, err := t.Run(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	fmt.Print(tables)
	return nil
}
