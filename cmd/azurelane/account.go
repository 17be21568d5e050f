package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"azurelane/core/wire"
)

const usageAccount = `Show what the leading hub's scheduler knows of a client account, in a deployment
of gates and hubs: by pool the tickets that wait and the slots that are held, and
the refusals of the last minutes by reason. A scheduler that has just taken over
knows no refusals from before; the output names the time that is covered.
Refusals that gates make by themselves are in their logs and metrics.`

type (
	accountCmd struct {
		Show accountShowCmd `cmd:"" help:"Show tickets, slots and refusals of a client account."`
	}

	accountShowCmd struct {
		Name         string `arg:"" help:"Name of the account."`
		JSON         bool   `name:"json" help:"Print JSON."`
		controlFlags `embed:""`
	}

	// accountStatus is the JSON output of show.
	accountStatus struct {
		Account   string           `json:"account"`
		Pools     []accountPool    `json:"pools"`
		Refusals  map[string]int64 `json:"refusals"` // By reason.
		RefusalsS float64          `json:"refusals-s"`
	}

	accountPool struct {
		Pool    string `json:"pool"`
		Waiting int64  `json:"waiting"`
		Held    int64  `json:"held"`
	}
)

// Help is the command's manual.
func (accountCmd) Help() string { return usageAccount }

// Run prints the tables.
func (c *accountShowCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("account: %w", err)
	}
	defer op.close()
	f, err := op.leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_AccountQuery{AccountQuery: &wire.AccountQuery{Account: c.Name}}}
	})
	if err != nil {
		return fmt.Errorf("account: show %s: %w", c.Name, err)
	}
	st := f.GetAccountStatus()
	if !st.GetKnown() {
		return fmt.Errorf("account: show %s: the configuration has no account of that name", c.Name)
	}
	if c.JSON {
		return printJSON(os.Stdout, accountJSON(st))
	}
	return printAccount(os.Stdout, st)
}

func accountJSON(st *wire.AccountStatus) accountStatus {
	out := accountStatus{
		Account: st.GetAccount(), Pools: []accountPool{}, Refusals: map[string]int64{}, RefusalsS: micros(st.GetWindowUs()).Truncate(time.Second).Seconds(),
	}
	for _, p := range st.GetPools() {
		out.Pools = append(out.Pools, accountPool{p.GetPool(), p.GetWaiting(), p.GetHeld()})
	}
	for _, r := range st.GetRefusals() {
		out.Refusals[r.GetCode()] = r.GetCount()
	}
	return out
}

func printAccount(w io.Writer, st *wire.AccountStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "pool\twaiting\tslots held")
	for _, p := range st.GetPools() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\n", p.GetPool(), p.GetWaiting(), p.GetHeld())
	}
	_, _ = fmt.Fprintf(t, "\nrefused for\tin the last %s\n", micros(st.GetWindowUs()).Truncate(time.Second))
	for _, r := range st.GetRefusals() {
		_, _ = fmt.Fprintf(t, "%s\t%d\n", r.GetCode(), r.GetCount())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("account: print: %w", err)
	}
	return nil
}
