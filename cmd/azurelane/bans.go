package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const usageBans = `Show the requests that are not sent to upstreams any more because several crashed
under them, by the digest that stands in refusals and logs, and how often each was
tried since. Lifted ones are sent again; they are banned anew if they crash more.`

type bansCmd struct {
	Control  []netip.AddrPort `required:"" help:"Peer addresses of the control replicas."`
	Lift     []string         `help:"Digests of requests to send again."`
	tlsFlags `embed:""`
}

// Help is the command's manual.
func (bansCmd) Help() string { return usageBans }

// Run prints the list as it stands after the lifting.
func (c *bansCmd) Run(ctx context.Context) error {
	var lift [][]byte
	for _, text := range c.Lift {
		d, err := digest.Parse(text)
		if err != nil {
			return fmt.Errorf("bans: %w", err)
		}
		lift = append(lift, d[:])
	}
	op, err := newOperator(c.Control, c.tlsFlags)
	if err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	defer op.close()
	f, err := op.leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_BanQuery{BanQuery: &wire.BanQuery{Lift: lift}}}
	})
	if err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	return printBans(os.Stdout, f.GetBans())
}

func printBans(w io.Writer, b *wire.Bans) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "digest\ttries")
	for _, ban := range b.GetBanned() {
		d, _ := digest.From(ban.GetDigest())
		_, _ = fmt.Fprintf(t, "%s\t%d\n", d, ban.GetTries())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("bans: print: %w", err)
	}
	return nil
}
