// Package entry implements the process that serves callers: HTTP for callers and upstreams, the schedulers
// of the pools that it owns, and a follower of the configuration.
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"azurelane/core/conf"
	"azurelane/core/kernel"
	"azurelane/core/wire"
	"azurelane/io/admin"
	"azurelane/io/build"
	"azurelane/io/certs"
	"azurelane/io/client"
	"azurelane/io/follow"
	"azurelane/io/front"
	"azurelane/io/grant"
	"azurelane/io/httpd"
	"azurelane/io/leader"
	"azurelane/io/lease"
	"azurelane/io/member"
	"azurelane/io/mesh"
	"azurelane/io/owner"
	"azurelane/io/relay"
	"azurelane/io/remote"
	"azurelane/io/sched"
	"azurelane/io/setup"
	"azurelane/io/stats"
)

// drainOpen is how long requests on open connections are still refused with a response after the last
// request has ended.
const drainOpen = time.Second

// endTime is how long requests that still run at the drain limit are waited for.
const endTime = time.Second

// Entry is an entry process, made by Open.
type Entry struct {
	set    *setup.Setup
	log    logr.Logger
	mesh   *mesh.Mesh
	front  *front.Front
	sched  *sched.Sched
	member *member.Member
	owner  *owner.Owner
	notice *relay.Relay
	abroad remote.Directory
	grant  *grant.Client
	follow *follow.Follower
	stats  *stats.Stats
	client *client.Client
	sup    *suture.Supervisor
	drain  context.CancelFunc
	asked  context.Context // Ends when an operator asks for a drain.
}

// Open binds the entry's addresses.
func Open(set *setup.Setup, log logr.Logger) (*Entry, error) {
	full := set.WithDefaults()
	e := &Entry{set: &full, log: log, stats: stats.New(), client: &client.Client{}}
	e.asked, e.drain = context.WithCancel(context.Background())
	incarnation := uuid.NewString()[:8]
	links, err := set.TLS.Config()
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	var lns []net.Listener
	for _, a := range []netip.AddrPort{set.Peers, set.Callers, set.Upstreams, set.Operator} {
		ln, err := net.Listen("tcp", a.String())
		if err != nil {
			for _, l := range lns {
				_ = l.Close()
			}
			return nil, fmt.Errorf("entry: listen: %w", err)
		}
		lns = append(lns, ln)
	}
	e.build(incarnation, lns, links)
	return e, nil
}

func (e *Entry) build(incarnation string, lns []net.Listener, links *tls.Config) {
	set, log := e.set, e.log
	peers, callers, upstreams, operator := lns[0], lns[1], lns[2], lns[3]
	e.log = log.WithName("entry")
	e.mesh = &mesh.Mesh{Listen: certs.Wrap(peers, links), TLS: links, Self: set.Peers, Handle: e.handle, Log: log.WithName("mesh")}
	e.sched = &sched.Sched{Incarnation: incarnation, Log: log.WithName("sched")}
	e.owner = &owner.Owner{Owns: e.mine, Sched: e.sched}
	e.member = &member.Member{
		Self: &wire.Member{
			Node: set.Node, Incarnation: incarnation, Address: set.Peers.String(), DataCentre: set.DataCentre,
		},
		Seeds: set.Seeds, Sender: e.mesh, Lost: e.owner.Forget, Changed: e.changed, Log: log.WithName("member"),
	}
	control := &leader.Leader{Replicas: set.Control, Caller: e.mesh}
	e.follow = &follow.Follower{
		DataCentre: set.DataCentre, NewBeat: e.beat, Replicas: set.Control, Neighbours: e.neighbours, OnRemoteEntries: e.abroad.Update, Caller: e.mesh,
		Install: func(_ uint64, cfg *conf.Config) { e.sched.Install(cfg) }, Log: log.WithName("follow"),
	}
	e.grant = &grant.Client{
		Self: set.Node, Incarnation: incarnation, Local: desk{e.owner, e.sched}, Members: e, Mesh: e.mesh, RemoteEntries: e.farEntries, Log: log.WithName("grant"),
	}
	e.notice = &relay.Relay{
		Owners: e.owners, Alive: e.member.Alive, Mesh: e.mesh, Deliver: e.sched.Announce, Log: log.WithName("notice"),
	}
	e.front = &front.Front{
		Node: set.Node, Incarnation: incarnation, Address: set.Peers.String(), Config: e.follow.Config,
		Granter: e.grant, Proposer: control, Sender: e.client, Peers: e.mesh, Stats: e.stats, Log: log.WithName("front"),
	}
	e.gauges()
	ops := &admin.Admin{Stats: e.stats, Ready: e.ready, Drain: e.drain, Info: e.info, Token: set.OperatorToken}
	e.sup = suture.New("entry", suture.Spec{EventHook: func(ev suture.Event) { e.log.Info("Part stopped.", "event", ev.String()) }})
	for _, s := range []suture.Service{
		e.mesh, e.sched, e.member, e.owner, e.grant, e.follow,
		&httpd.Httpd{Listen: callers, Handler: e.front, Drain: endTime, DrainOpen: drainOpen},
		&httpd.Httpd{Listen: upstreams, Handler: &lease.Lease{Config: e.follow.Config, Take: e.notice.Forward}},
		&httpd.Httpd{Listen: certs.Wrap(operator, certs.Operators(links)), Handler: ops.Handler()},
	} {
		e.sup.Add(s)
	}
}

// Serve runs until ctx ends or an operator drains the entry. Then it reports that it is not ready, hands its
// pools to other members, serves for DrainLinger, rejects new requests, waits for the requests in flight,
// leaves the membership and stops all parts.
func (e *Entry) Serve(ctx context.Context) error {
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := e.sup.ServeBackground(parts)
	build.Read().Log(e.log).Info("Entry serves.", "node", e.set.Node, "callers", e.set.Callers.String())
	select {
	case <-ctx.Done():
	case <-e.asked.Done():
	case err := <-done:
		return fmt.Errorf("entry: %w", err)
	}
	e.log.Info("Entry drains.")
	dctx, dcancel := context.WithTimeout(parts, e.set.DrainLimit)
	defer dcancel()
	e.drain()
	e.front.Drain()
	e.member.Drain(dctx)
	select { // A load balancer may not have checked the readiness yet.
	case <-time.After(*e.set.DrainLinger):
	case <-dctx.Done():
	}
	e.front.Stop(dctx)
	e.member.Leave(parts)
	cancel()
	<-done //nolint:errcheck // The parts were cancelled.
	e.client.Close()
	e.log.Info("Entry stopped.")
	return nil
}

// Owner returns the member that schedules a pool, which is this entry if the pool's policy runs at each
// entry.
func (e *Entry) Owner(pool string) *wire.Member {
	if e.local(pool) {
		return e.member.Self
	}
	return e.member.Owner(pool)
}

func (e *Entry) local(pool string) bool {
	cfg := e.follow.Config()
	return cfg != nil && kernel.PerEntry(cfg.Pools[pool].WithDefaults().Scheduler)
}

func (e *Entry) beat() *wire.Beat {
	return &wire.Beat{
		Node: e.set.Node, Incarnation: e.member.Self.GetIncarnation(), DataCentre: e.set.DataCentre, Role: "entry",
		Address: e.set.Peers.String(), Draining: e.asked.Err() != nil,
	}
}

// neighbours returns the other live entries of the data centre.
func (e *Entry) neighbours() []netip.AddrPort {
	var list []netip.AddrPort
	for _, m := range e.member.Alive() {
		if a, err := netip.ParseAddrPort(m.GetAddress()); err == nil && a != e.set.Peers {
			list = append(list, a)
		}
	}
	return list
}

func (e *Entry) ready() bool { return e.follow.Config() != nil && e.asked.Err() == nil }

type info struct {
	Node        string   `json:"node"`
	Incarnation string   `json:"incarnation"`
	Version     uint64   `json:"version"`
	Members     []string `json:"members"`
}

func (e *Entry) info() any {
	i := info{Node: e.set.Node, Incarnation: e.member.Self.GetIncarnation(), Version: e.follow.Version()}
	for _, m := range e.member.Alive() {
		i.Members = append(i.Members, m.GetNode())
	}
	return i
}
