package main

import (
	"context"
	"fmt"
	"time"

	"azurelane/io/load"
)

const usageLoad = `Send open-loop load to an entry and report outcomes and times. Arrival times
are drawn from the seed before the run.`

type loadCmd struct {
	URL     string        `arg:"" help:"Entry, as http://ADDRESS."`
	Key     string        `required:"" help:"Bearer key of the client account."`
	Model   string        `default:"demo" help:"Model to ask."`
	Rate    float64       `default:"10" help:"Requests a second."`
	Time    time.Duration `default:"10s" help:"Length of the run."`
	Seed    uint64        `default:"1" help:"Seed of the arrival times."`
	Tier    string        `help:"Priority tier."`
	Prompt  int           `default:"400" help:"Bytes of each prompt."`
	Answer  int           `default:"32" help:"Tokens of each answer."`
	Stream  bool          `help:"Ask for streams."`
	Timeout time.Duration `default:"1m" help:"Longest wait for one answer."`
}

// Help is the command's manual.
func (loadCmd) Help() string { return usageLoad }

// Run sends the load and prints the report.
func (c *loadCmd) Run(ctx context.Context) error {
	l := load.Load{
		URL: c.URL, Key: c.Key, Model: c.Model, Rate: c.Rate, Time: c.Time, Seed: c.Seed, Tier: c.Tier,
		Prompt: c.Prompt, Answer: c.Answer, Stream: c.Stream, Timeout: c.Timeout,
	}
	text, err := l.Run(ctx)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	fmt.Print(text)
	return nil
}
