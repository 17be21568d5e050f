// Package quorum is the control process: one replica, its links and its
// operators' server.
package quorum

import (
	"context"
	"fmt"
	"net"

	"github.com/go-logr/logr"
	"github.com/thejerf/suture/v4"

	"azurelane/io/admin"
	"azurelane/io/certs"
	"azurelane/io/ctrl"
	"azurelane/io/httpd"
	"azurelane/io/mesh"
	"azurelane/io/setup"
	"azurelane/io/stats"
)

// Quorum is one control process. Open makes it.
type Quorum struct {
	set  *setup.Setup
	log  logr.Logger
	ctrl *ctrl.Ctrl
	sup  *suture.Supervisor
}

// Open reads the data folder and binds the addresses.
func Open(set *setup.Setup, log logr.Logger) (*Quorum, error) {
	links, err := set.TLS.Config()
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	c, err := ctrl.Open(set.Node, set.DataFolder, log.WithName("ctrl"))
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	peers, err := net.Listen("tcp", set.Peers.String())
	if err != nil {
		return nil, fmt.Errorf("quorum: listen: %w", err)
	}
	ops, err := net.Listen("tcp", set.Operator.String())
	if err != nil {
		_ = peers.Close()
		return nil, fmt.Errorf("quorum: listen: %w", err)
	}
	q := &Quorum{set: set, log: log.WithName("control"), ctrl: c}
	metrics := stats.New()
	q.gauges(metrics)
	q.sup = suture.New("control", suture.Spec{EventHook: func(ev suture.Event) { q.log.Info("Part stopped.", "event", ev.String()) }})
	q.sup.Add(&mesh.Mesh{Listen: certs.Wrap(peers, links), TLS: links, Self: set.Peers, Handle: c.Handle, Log: log.WithName("mesh")})
	q.sup.Add(&httpd.Httpd{Listen: certs.Wrap(ops, certs.Operators(links)), Handler: (&admin.Admin{Stats: metrics, Token: set.OperatorToken}).Handler()})
	return q, nil
}

// Serve runs until ctx ends.
func (q *Quorum) Serve(ctx context.Context) error {
	q.log.Info("Control serves.", "node", q.set.Node, "peers", q.set.Peers.String())
	err := q.sup.Serve(ctx)
	if cerr := q.ctrl.Close(); cerr != nil {
		return cerr
	}
	if ctx.Err() == nil {
		return fmt.Errorf("quorum: %w", err)
	}
	q.log.Info("Control stopped.")
	return nil
}
