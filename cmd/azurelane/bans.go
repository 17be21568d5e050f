package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"azurelane/core/digest"
	"azurelane/core/wire"
)

const usageBans = `Show the requests, and the parts of prompts, that are not sent to upstreams any more
because several crashed under them, by the digest that stands in refusals and logs, and
how often each was tried since. For a part the list shows its account, its name and the
upstreams that crashed, and how many other parts a request must hold to be refused: those
that always came along with it. Lifted ones are sent again; they are banned anew if they
crash more.`

type bansCmd struct {
	controlFlags `embed:""`
	Lift         []string `help:"Digests of requests or parts to send again."`
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
	op, err := c.operator()
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
	_, _ = fmt.Fprintln(t, "digest\ttries\taccount\tpart\twith\tupstreams")
	for _, ban := range b.GetBanned() {
		d, _ := digest.From(ban.GetDigest())
		p := ban.GetPart()
		if p == nil {
			_, _ = fmt.Fprintf(t, "%s\t%d\t\t\t\t\n", d, ban.GetTries())
			continue
		}
		// Accounts and names are the callers' text.
		_, _ = fmt.Fprintf(t, "%s\t%d\t%q\t%q\t%d\t%s\n", d, ban.GetTries(), p.GetAccount(), p.GetName(), len(p.GetWith()), strings.Join(p.GetUpstreams(), ","))
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("bans: print: %w", err)
	}
	return nil
}
