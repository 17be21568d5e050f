package main

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"azurelane/core/wire"
)

const usageStatus = `Show which configuration control holds, and for each entry what is in force
there and when it was last heard.`

type statusCmd struct {
	Control  []netip.AddrPort `required:"" help:"Peer addresses of the control replicas."`
	tlsFlags `embed:""`
}

// Help is the command's manual.
func (statusCmd) Help() string { return usageStatus }

// Run prints the table.
func (c *statusCmd) Run(ctx context.Context) error {
	op, err := newOperator(c.Control, c.tlsFlags)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	defer op.close()
	st, err := op.status(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("version %d, change %s, leader %s, log index %d, claims %d\n", st.GetVersion(), st.GetChange(), st.GetLeader(), st.GetCommit(), st.GetClaims())
	slices.SortFunc(st.GetNodes(), func(a, b *wire.NodeStatus) int { return cmp.Compare(a.GetBeat().GetNode(), b.GetBeat().GetNode()) })
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "node\tdata centre\tversion\theard")
	for _, n := range st.GetNodes() {
		age := time.Duration(n.GetAgeUs()) * time.Microsecond
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s ago\n", n.GetBeat().GetNode(), n.GetBeat().GetDataCentre(), n.GetBeat().GetVersion(), age.Round(100*time.Millisecond))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
