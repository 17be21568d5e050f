package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"azurelane/core/wire"
	"azurelane/io/leader"
	"azurelane/io/mesh"
)

// askLimit is how long one replica may take to answer an operator.
const askLimit = 2 * time.Second

type (
	// operator talks to the control replicas for the operator's commands.
	operator struct {
		mesh     *mesh.Mesh
		leader   *leader.Leader
		replicas []netip.AddrPort
	}

	// heard is one replica's answer; status is nil when it gave none.
	heard struct {
		address netip.AddrPort
		status  *wire.Status
	}
)

// controlFlags names the control replicas that an operator's command calls.
type controlFlags struct {
	Control  []netip.AddrPort `required:"" help:"Peer addresses of the control replicas."`
	tlsFlags `embed:""`
}

func (f controlFlags) operator() (*operator, error) { return newOperator(f.Control, f.tlsFlags) }

func newOperator(replicas []netip.AddrPort, files tlsFlags) (*operator, error) {
	if len(replicas) == 0 {
		return nil, fmt.Errorf("no control replicas named")
	}
	cfg, err := files.tls()
	if err != nil {
		return nil, err
	}
	m := &mesh.Mesh{TLS: cfg, Handle: func(context.Context, *wire.Frame) (*wire.Frame, error) {
		return nil, &wire.Fault{Code: "unsupported"}
	}}
	return &operator{mesh: m, leader: &leader.Leader{Replicas: replicas, Caller: m}, replicas: replicas}, nil
}

func (o *operator) close() { o.mesh.Close() }

// status asks the leader, so that it shows all that was acknowledged before.
func (o *operator) status(ctx context.Context) (*wire.Status, error) {
	r, err := o.leader.Ask(ctx, func() *wire.Frame { return statusQuery(true) })
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return r.GetStatus(), nil
}

// statusAll asks every replica, also those that only the others name: each
// knows the entries that beat there.
func (o *operator) statusAll(ctx context.Context) []heard {
	all := o.ask(ctx, o.replicas)
	var more []netip.AddrPort
	for _, r := range newest(all).GetReplicas() {
		if a, err := netip.ParseAddrPort(r.GetAddress()); err == nil && !slices.Contains(o.replicas, a) {
			more = append(more, a)
		}
	}
	return append(all, o.ask(ctx, more)...)
}

func (o *operator) ask(ctx context.Context, replicas []netip.AddrPort) []heard {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	all := make([]heard, len(replicas))
	var wg sync.WaitGroup
	for i, a := range replicas {
		all[i].address = a
		wg.Go(func() {
			if r, err := o.mesh.Call(ctx, a, statusQuery(false)); err == nil {
				all[i].status = r.GetStatus()
			}
		})
	}
	wg.Wait()
	return all
}

func statusQuery(fresh bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{Fresh: fresh}}}
}

func (o *operator) apply(ctx context.Context, id string, base uint64, doc []byte, author string) (*wire.Result, error) {
	r, err := o.leader.Propose(ctx, &wire.Command{Id: id, Kind: &wire.Command_Change{
		Change: &wire.Change{Base: base, Document: doc, Author: author},
	}})
	if err != nil {
		return nil, fmt.Errorf("apply: change %s: %w", id, err)
	}
	return r, nil
}

// upstream returns a live upstream, as reported by an entry that control lists.
func (o *operator) upstream(ctx context.Context, name string) (*wire.Announce, error) {
	asked := map[netip.AddrPort]bool{}
	for _, h := range o.statusAll(ctx) {
		for _, n := range h.status.GetNodes() {
			addr, err := netip.ParseAddrPort(n.GetBeat().GetAddress())
			if err != nil || asked[addr] {
				continue
			}
			asked[addr] = true
			if a := o.known(ctx, addr, name); a != nil {
				return a, nil
			}
		}
	}
	return nil, fmt.Errorf("no entry knows a live upstream %s; asked %d", name, len(asked))
}

func (o *operator) known(ctx context.Context, entry netip.AddrPort, upstream string) *wire.Announce {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	f, err := o.mesh.Call(ctx, entry, &wire.Frame{Body: &wire.Frame_UpstreamQuery{UpstreamQuery: &wire.UpstreamQuery{Upstream: upstream}}})
	if err != nil {
		return nil
	}
	return f.GetAnnounce()
}
