package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"azurelane/core/wire"
)

const usageStatus = `Show which configuration control holds, what each replica knows, and for each
site what is in force and which entries were not heard. All replicas are asked;
those that give no answer are named, since entries that beat only there are then
unknown. Exit code 1 when no replica hears a leader.`

type statusCmd struct {
	controlFlags `embed:""`
}

// Help is the command's manual.
func (statusCmd) Help() string { return usageStatus }

// Run prints the tables.
func (c *statusCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	defer op.close()
	all := op.statusAll(ctx)
	best := newest(all)
	if best == nil {
		return fmt.Errorf("status: no control replica answered")
	}
	fmt.Printf("version %d, change %s, leader %s, log index %d, claims %d\n",
		best.GetVersion(), orNone(best.GetChange()), orNone(best.GetLeader()), best.GetCommit(), best.GetClaims())
	if err := printReplicas(os.Stdout, all); err != nil {
		return err
	}
	f := merge(all)
	if err := printSites(os.Stdout, f, best.GetVersion()); err != nil {
		return err
	}
	if err := printNodes(os.Stdout, f); err != nil {
		return err
	}
	if best.GetStale() {
		return fmt.Errorf("status: no replica hears a leader: the version may be old, and nothing can be changed")
	}
	return nil
}

// newest is the answer of a replica that hears a leader, or else the one with
// the highest version.
func newest(all []heard) *wire.Status {
	var best *wire.Status
	for _, h := range all {
		s := h.status
		if s == nil {
			continue
		}
		fresher := best.GetStale() && !s.GetStale()
		if best == nil || fresher || (best.GetStale() == s.GetStale() && s.GetCommit() > best.GetCommit()) {
			best = s
		}
	}
	return best
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func printReplicas(out io.Writer, all []heard) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nreplica\taddress\tidentity\tversion\tlog index\tstate")
	for _, h := range all {
		s := h.status
		if s == nil {
			_, _ = fmt.Fprintf(w, "?\t%s\t?\t?\t?\tno answer\n", h.address)
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n",
			s.GetReplica(), h.address, s.GetIdentity(), s.GetVersion(), s.GetCommit(), replicaState(s))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}

func replicaState(s *wire.Status) string {
	state := "not a member: add it with azurelane replica add"
	switch role(s, s.GetIdentity()) {
	case wire.Membership_ROLE_VOTER:
		state = "voter"
	case wire.Membership_ROLE_LEARNER:
		state = "learner"
	default:
	}
	switch {
	case s.GetGroup() == "":
		return "waits: in no group"
	case s.GetStale():
		return state + ", hears no leader"
	case s.GetLeader() == s.GetAddress():
		return state + ", leads"
	}
	return state
}

func printSites(out io.Writer, f fleet, version uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "\ndata centre\tversion %d in force\tbehind\tnot heard\n", version)
	for _, s := range f.sites(version) {
		_, _ = fmt.Fprintf(w, "%s\t%d of %d\t%s\t%s\n", s.name, len(s.inForce), len(s.inForce)+len(s.behind)+len(s.quiet),
			orNone(strings.Join(s.behind, " ")), orNone(strings.Join(s.quiet, " ")))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	for _, a := range f.silent {
		_, _ = fmt.Fprintf(out, "replica %s did not answer: entries that beat only there are missing here\n", a)
	}
	return nil
}

func printNodes(out io.Writer, f fleet) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nentry\tdata centre\tversion\theard")
	for _, n := range f.nodes {
		left := ""
		if n.GetDraining() {
			left = ", draining"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s ago%s\n", n.GetNode(), n.GetDataCentre(), n.GetVersion(), n.age.Round(100*time.Millisecond), left)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
