package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
)

const usageDrain = `Take an entry out of service: it takes no new work, hands its pools to the
others, lets requests in flight finish, and ends.`

type drainCmd struct {
	Operator netip.AddrPort `arg:"" help:"Operators' address of the entry."`
}

// Help is the command's manual.
func (drainCmd) Help() string { return usageDrain }

// Run asks the entry to drain.
func (c *drainCmd) Run(ctx context.Context) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Operator.String()+"/v1/drain", http.NoBody)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("drain: the entry answered %s", resp.Status)
	}
	fmt.Println("draining")
	return nil
}
