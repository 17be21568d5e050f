// Package quorum implements the control process: a replica, its links and the server for operators.
package quorum

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"azurelane/core/wire"
	"azurelane/io/admin"
	"azurelane/io/build"
	"azurelane/io/certs"
	"azurelane/io/ctrl"
	"azurelane/io/httpd"
	"azurelane/io/leader"
	"azurelane/io/mesh"
	"azurelane/io/setup"
	"azurelane/io/stats"
)

// leaveLimit is the maximum wait for the next leader when the process stops.
const leaveLimit = 5 * time.Second

// Quorum is a control process, made by Open.
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
	peers, err := net.Listen("tcp", set.Peers.String())
	if err != nil {
		return nil, fmt.Errorf("quorum: listen: %w", err)
	}
	ops, err := net.Listen("tcp", set.Operator.String())
	if err != nil {
		_ = peers.Close()
		return nil, fmt.Errorf("quorum: listen: %w", err)
	}
	c := &ctrl.Ctrl{
		Name: set.Node, Address: set.Peers, Control: set.Control, Bootstrap: set.Bootstrap, After: set.After,
		Log: log.WithName("ctrl"),
	}
	if err := c.Open(set.DataFolder); err != nil {
		_ = peers.Close()
		_ = ops.Close()
		return nil, fmt.Errorf("quorum: %w", err)
	}
	m := &mesh.Mesh{Listen: certs.Wrap(peers, links), TLS: links, Self: set.Peers, Handle: withoutRollouts(c.Handle), Log: log.WithName("mesh")}
	c.Sender = m
	q := &Quorum{set: set, log: log.WithName("control"), ctrl: c}
	metrics := stats.New()
	q.gauges(metrics)
	q.sup = suture.New("control", suture.Spec{EventHook: func(ev suture.Event) { q.log.Info("Part stopped.", "event", ev.String()) }})
	q.sup.Add(c)
	q.sup.Add(m)
	q.sup.Add(&httpd.Httpd{
		Listen:  certs.Wrap(ops, certs.Operators(links)),
		Handler: (&admin.Admin{Stats: metrics, Ready: c.Ready, Token: set.OperatorToken}).Handler(),
	})
	return q, nil
}

// Serve runs until ctx ends; a leader then transfers leadership first. If the replica fails, all parts and the
// process end, as the replica must not be restarted within the process.
func (q *Quorum) Serve(ctx context.Context) error {
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	build.Read().Log(q.log).Info("Control serves.", "node", q.set.Node, "peers", q.set.Peers.String(), "identity", q.ctrl.Identity(), "term", q.ctrl.Term())
	done := q.sup.ServeBackground(parts)
	select {
	case err := <-done:
		if !errors.Is(err, suture.ErrTerminateSupervisorTree) {
			err = fmt.Errorf("%w: %w", suture.ErrTerminateSupervisorTree, err)
		}
		return fmt.Errorf("quorum: %w", err)
	case <-ctx.Done():
	}
	lctx, lcancel := context.WithTimeout(parts, leaveLimit)
	defer lcancel()
	q.ctrl.Leave(lctx)
	cancel()
	<-done //nolint:errcheck // The parts ended because they were told to.
	q.log.Info("Control stopped.")
	return nil
}

// withoutRollouts refuses commands of rollouts, which only a hub carries out.
func withoutRollouts(next func(context.Context, *wire.Frame) (*wire.Frame, error)) func(context.Context, *wire.Frame) (*wire.Frame, error) {
	return func(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
		if f.GetCommand().GetStartRollout() != nil || f.GetRolloutQuery() != nil {
			return nil, &wire.Fault{Code: leader.Refused, Text: "rollouts need a deployment of gates and hubs"}
		}
		return next(ctx, f)
	}
}
