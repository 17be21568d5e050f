package main

import (
	"context"
	"fmt"
	"net/netip"

	"azurelane/core/wire"
	"azurelane/io/leader"
	"azurelane/io/mesh"
)

// operator talks to the control replicas for the operator's commands.
type operator struct {
	mesh   *mesh.Mesh
	leader *leader.Leader
}

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
	return &operator{mesh: m, leader: &leader.Leader{Replicas: replicas, Caller: m}}, nil
}

func (o *operator) close() { o.mesh.Close() }

func (o *operator) status(ctx context.Context) (*wire.Status, error) {
	r, err := o.leader.Ask(ctx, func() *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_StatusQuery{StatusQuery: &wire.StatusQuery{}}}
	})
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return r.GetStatus(), nil
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
