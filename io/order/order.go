// Package order sends an order to an upstream once the log has given leave.
package order

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/codec"
	core "azurelane/core/permit"
	"azurelane/core/wire"
	"azurelane/io/client"
)

var (
	// ErrWait is returned when the order can't start yet: another may still run
	// at the upstream, or the weight store serves as many as it may.
	ErrWait = errors.New("order: not started")
	// ErrOver is returned when an order of this id ended before.
	ErrOver = errors.New("order: over")
	// ErrOpen is returned when no one can say whether the order ran. It stays
	// open in the log until its time is up or it is sent again under its id.
	ErrOpen = errors.New("order: may still run")
	// ErrFailed is returned when the upstream refused the order.
	ErrFailed = errors.New("order: refused by the upstream")
)

const path = "/v1/orders"

type (
	// Order is one order. Its fields are set before Run.
	Order struct {
		ID          string
		Upstream    string
		Address     netip.AddrPort
		Kind        string // load-model, load-adapter, set-role.
		Target      string
		Version     string
		ChecksFence bool
		Weights     bool // It reads from the weight store.
		WeightLimit int  // Orders that may do so at once.
		Limit       time.Duration
		Proposer    proposer
	}

	proposer interface {
		Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
	}

	doc struct {
		ID      string `json:"id"`
		Kind    string `json:"kind"`
		Target  string `json:"target"`
		Version string `json:"version,omitzero"`
		Fence   uint64 `json:"fence"`
	}
)

// Run starts the order in the log, sends it and records its end. Only an end
// that is certain is recorded: when the answer is lost the order stays open, so
// that no other is sent to an upstream that may still be at it.
func (o *Order) Run(ctx context.Context) (uint64, error) {
	r, err := o.Proposer.Propose(ctx, &wire.Command{Id: o.ID, Kind: &wire.Command_OrderStart{OrderStart: &wire.OrderStart{
		Upstream: o.Upstream, Kind: o.Kind, Target: o.Target, Version: o.Version, ChecksFence: o.ChecksFence,
		Weights: o.Weights, WeightLimit: int64(o.WeightLimit), LimitUs: o.Limit.Microseconds(),
	}}})
	if err != nil {
		return 0, fmt.Errorf("order: start: %w", err)
	}
	switch r.GetCode() {
	case core.OK:
	case core.Over:
		return r.GetVersion(), fmt.Errorf("%w: %s", ErrOver, r.GetOutcome())
	default:
		return 0, fmt.Errorf("%w: %s %s: %s", ErrWait, r.GetCode(), r.GetWinner(), r.GetText())
	}
	outcome, err := o.send(ctx, r.GetVersion())
	if outcome == "" {
		return r.GetVersion(), err
	}
	_, eerr := o.Proposer.Propose(ctx, &wire.Command{
		Id:   o.ID + "-end",
		Kind: &wire.Command_OrderEnd{OrderEnd: &wire.OrderEnd{Upstream: o.Upstream, Fence: r.GetVersion(), Outcome: outcome}},
	})
	if err == nil && eerr != nil {
		err = fmt.Errorf("order: record the end: %w", eerr)
	}
	return r.GetVersion(), err
}

// send returns the outcome to record, empty when it is not certain.
func (o *Order) send(ctx context.Context, fence uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	body, err := codec.Write(doc{o.ID, o.Kind, o.Target, o.Version, fence})
	if err != nil {
		return "", fmt.Errorf("order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("order: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	var c client.Client // It takes only an answer that is well-formed.
	defer c.Close()
	resp, _, err := c.Send(ctx, r)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrOpen, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return "done", nil
	case resp.StatusCode < http.StatusInternalServerError:
		return "failed", fmt.Errorf("%w: %s", ErrFailed, resp.Status)
	}
	return "", fmt.Errorf("%w: the upstream answered %s", ErrOpen, resp.Status)
}
