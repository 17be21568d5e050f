package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"azurelane/core/cordon"
	"azurelane/core/wire"
)

const usageUpstream = `Take an upstream out of service and give it back, in a deployment of gates and
hubs. A cordoned upstream gets no new requests at any entry and finishes those
that it runs. The cordon holds for the upstream's id, also after a restart of
the upstream, until it is lifted or expires. A cordon of an upstream that has
one replaces it. Sending an order again is safe.`

type (
	upstreamCmd struct {
		Cordon   cordonCmd       `cmd:"" help:"Take an upstream out of service for a time."`
		Uncordon uncordonCmd     `cmd:"" help:"Give an upstream back."`
		List     upstreamListCmd `cmd:"" help:"Show upstreams and their cordons."`
	}

	cordonCmd struct {
		ID           string        `arg:"" name:"id" help:"Id of the upstream."`
		Author       string        `required:"" help:"Who orders it."`
		For          time.Duration `required:"" xor:"expiry" help:"Time until it expires, as in 2h; a week at most."`
		Until        time.Time     `required:"" xor:"expiry" help:"When it expires, as in 2006-01-02T15:04:05Z."`
		Reason       string        `help:"Why, for others who look at the list."`
		Force        bool          `help:"Also if the pool is left without an upstream."`
		JSON         bool          `name:"json" help:"Print JSON."`
		controlFlags `embed:""`
	}

	uncordonCmd struct {
		ID           string `arg:"" name:"id" help:"Id of the upstream."`
		Author       string `required:"" help:"Who orders it."`
		JSON         bool   `name:"json" help:"Print JSON."`
		controlFlags `embed:""`
	}

	upstreamListCmd struct {
		Pool         string `help:"Only those of this pool."`
		Cordoned     bool   `help:"Only those with a cordon."`
		JSON         bool   `name:"json" help:"Print JSON."`
		controlFlags `embed:""`
	}

	// cordonResult is the JSON output of cordon and uncordon.
	cordonResult struct {
		ID       string     `json:"id"`
		Cordoned bool       `json:"cordoned"`
		Author   string     `json:"author"`
		Expires  *time.Time `json:"expires,omitempty"`
		Order    string     `json:"order"`
		Note     string     `json:"note,omitempty"`
	}

	// upstreamLine is one upstream in the output of list.
	upstreamLine struct {
		ID         string      `json:"id"`
		Pool       string      `json:"pool"`
		DataCentre string      `json:"data-centre"`
		Address    string      `json:"address"`
		Slots      int64       `json:"slots"`
		Version    string      `json:"version,omitempty"`
		State      string      `json:"state"`
		Running    *int64      `json:"running,omitempty"` // Slots held there; absent where gates place the requests.
		Silent     bool        `json:"silent"`
		Held       bool        `json:"held"`
		Unreached  bool        `json:"unreached"`
		Cordon     *cordonLine `json:"cordon,omitempty"`
	}

	cordonLine struct {
		Author  string    `json:"author"`
		Reason  string    `json:"reason,omitempty"`
		At      time.Time `json:"at"`
		Expires time.Time `json:"expires"`
		LeftS   float64   `json:"left-s"`
		Order   string    `json:"order"`
	}
)

// Help is the command's manual.
func (upstreamCmd) Help() string { return usageUpstream }

// Run orders the cordon and returns once it is stored and the scheduler respects it.
func (c *cordonCmd) Run(ctx context.Context) error {
	now := time.Now()
	length := c.For
	if !c.Until.IsZero() {
		length = c.Until.Sub(now)
	}
	cmd := &wire.Command{Id: uuid.NewString(), Kind: &wire.Command_OrderCordon{OrderCordon: &wire.OrderCordon{
		Upstream: c.ID, Author: c.Author, Reason: c.Reason, LengthUs: length.Microseconds(), Force: c.Force,
	}}}
	note, err := orderCordon(ctx, c.controlFlags, cmd)
	if err != nil {
		return fmt.Errorf("upstream: cordon %s: %w", c.ID, err)
	}
	expires := now.Add(length).UTC().Truncate(time.Second)
	if c.JSON {
		return printJSON(os.Stdout, cordonResult{ID: c.ID, Cordoned: true, Author: c.Author, Expires: &expires, Order: cmd.GetId(), Note: note})
	}
	if note != "" {
		note = "; " + note
	}
	fmt.Printf("%s is cordoned until %s%s\n", c.ID, expires.Format(time.RFC3339), note)
	return nil
}

// Run lifts the cordon and returns once that is stored.
func (c *uncordonCmd) Run(ctx context.Context) error {
	cmd := &wire.Command{Id: uuid.NewString(), Kind: &wire.Command_LiftCordon{LiftCordon: &wire.LiftCordon{Upstream: c.ID, Author: c.Author}}}
	if _, err := orderCordon(ctx, c.controlFlags, cmd); err != nil {
		return fmt.Errorf("upstream: uncordon %s: %w", c.ID, err)
	}
	if c.JSON {
		return printJSON(os.Stdout, cordonResult{ID: c.ID, Author: c.Author, Order: cmd.GetId()})
	}
	fmt.Printf("%s is not cordoned\n", c.ID)
	return nil
}

// orderCordon sends a command about a cordon to the leader and returns the text of its result.
func orderCordon(ctx context.Context, control controlFlags, cmd *wire.Command) (string, error) {
	op, err := control.operator()
	if err != nil {
		return "", err
	}
	defer op.close()
	res, err := op.leader.Propose(ctx, cmd)
	if err != nil {
		return "", fmt.Errorf("not acknowledged: %w; it may still take effect: see azurelane upstream list, or send it again", err)
	}
	switch res.GetCode() {
	case cordon.OK:
		return res.GetText(), nil
	case cordon.LastUpstream:
		return "", fmt.Errorf("%s: %s; --force orders it all the same", res.GetCode(), res.GetText())
	}
	return "", fmt.Errorf("%s: %s", res.GetCode(), res.GetText())
}

// Run prints the upstreams as a quorum knows them.
func (c *upstreamListCmd) Run(ctx context.Context) error {
	op, err := c.operator()
	if err != nil {
		return fmt.Errorf("upstream: list: %w", err)
	}
	defer op.close()
	f, err := op.leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_UpstreamsQuery{UpstreamsQuery: &wire.UpstreamsQuery{Pool: c.Pool, Cordoned: c.Cordoned}}}
	})
	if err != nil {
		return fmt.Errorf("upstream: list: %w", err)
	}
	lines := upstreamLines(time.Now(), f.GetUpstreams().GetUpstreams())
	if c.JSON {
		return printJSON(os.Stdout, map[string]any{"upstreams": lines})
	}
	return printUpstreams(os.Stdout, lines)
}

var upstreamStates = map[wire.Upstream_State]string{
	wire.Upstream_STATE_SERVING: "serving", wire.Upstream_STATE_LEAVING: "leaving", wire.Upstream_STATE_GONE: "gone",
}

// upstreamLines converts the leader's answer for output. Times of expiry are by the clock of this VM.
func upstreamLines(now time.Time, list []*wire.UpstreamStatus) []upstreamLine {
	lines := make([]upstreamLine, 0, len(list))
	for _, st := range list {
		u := st.GetUpstream()
		l := upstreamLine{
			ID: u.GetId(), Pool: u.GetPool(), DataCentre: u.GetDataCentre(), Address: u.GetAddress(), Slots: u.GetSlots(), Version: u.GetVersion(),
			State: upstreamStates[u.GetState()], Running: st.Running, Silent: st.GetSilent(), Held: st.GetHeld(), Unreached: st.GetUnreached(),
		}
		if n := st.GetCordon(); n != nil {
			l.Cordon = &cordonLine{
				Author: n.GetAuthor(), Reason: n.GetReason(), At: time.UnixMilli(n.GetAtMs()).UTC().Truncate(time.Second),
				Expires: now.Add(micros(n.GetLeftUs())).UTC().Truncate(time.Second), LeftS: micros(n.GetLeftUs()).Truncate(time.Second).Seconds(), Order: n.GetOrder(),
			}
		}
		lines = append(lines, l)
	}
	return lines
}

func printUpstreams(w io.Writer, lines []upstreamLine) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "id\tpool\tdata centre\taddress\tslots\trunning\tstate\tcordoned by\tat\texpires\treason")
	for _, l := range lines {
		running, author, at, expires, reason := "?", "", "", "", ""
		if l.Running != nil {
			running = strconv.FormatInt(*l.Running, 10)
		}
		if n := l.Cordon; n != nil {
			author, at, expires = fmt.Sprintf("%q", n.Author), n.At.Format(time.RFC3339), n.Expires.Format(time.RFC3339)
			if n.Reason != "" {
				reason = fmt.Sprintf("%q", n.Reason)
			}
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", l.ID, l.Pool, l.DataCentre, l.Address, l.Slots, running, l.stateText(), author, at, expires, reason)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("upstream: print: %w", err)
	}
	return nil
}

// stateText returns the state with what else keeps requests away.
func (l *upstreamLine) stateText() string {
	all := []string{l.State}
	if l.Silent {
		all = append(all, "silent")
	}
	if l.Held {
		all = append(all, "held")
	}
	if l.Unreached {
		all = append(all, "unreached")
	}
	return strings.Join(all, ",")
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}
