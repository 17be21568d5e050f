package ctrl

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
	"azurelane/io/disk"
)

type (
	// network connects replicas in memory. Links can be cut in one direction.
	network struct {
		leaseless bool
		t         *testing.T
		mu        sync.Mutex
		nodes     map[netip.AddrPort]*replica
		addrs     []netip.AddrPort
		cut       map[[2]netip.AddrPort]bool
	}

	replica struct {
		*Ctrl
		net    *network
		store  *memStore
		cancel context.CancelFunc
		ended  chan error
	}

	// caller is a process's access to the network.
	caller struct {
		net  *network
		from netip.AddrPort
	}

	// memStore is a disk in memory that outlives a restart.
	memStore struct {
		mu     sync.Mutex
		id     string
		snap   *wire.Snapshot
		recs   []*wire.Record
		syncs  int
		size   int64 // Of the records and the snapshot, in bytes.
		puts   int   // How often the log was replaced.
		fail   error
		noRoom bool          // No space for a snapshot beside the log.
		full   bool          // No space at all.
		noPut  bool          // No space for the records after a snapshot.
		slow   time.Duration // Duration of each sync.
	}
)

func claim(key string, keep time.Duration) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Claim{Claim: &wire.Claim{Account: "a", Key: key, Holder: "e", Request: 1, KeepUs: keep.Microseconds()}}}
}

func finish(key string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Finish{Finish: &wire.Finish{Account: "a", Key: key, Holder: "e", Request: 1, Outcome: "whole"}}}
}

func change(id string, base uint64) *wire.Command {
	return &wire.Command{Id: id, Kind: &wire.Command_Change{Change: &wire.Change{Base: base, Document: []byte(doc)}}}
}

// command proposes a command and returns its result. Errors fail the test.
func command(t *testing.T, to interface {
	Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
}, c *wire.Command,
) *wire.Result {
	t.Helper()
	r, err := to.Propose(context.Background(), c)
	must.NoError(t, err)
	return r
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

// group runs a test with fake time and a group that has a leader.
func group(t *testing.T, size int, test func(t *testing.T, n *network, l *replica)) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, size)
		test(t, n, n.leader(nil))
	})
}

func newNetwork(t *testing.T, n int) *network { return newNetworkOf(t, n, false) }

func newNetworkOf(t *testing.T, n int, leaseless bool) *network {
	net := &network{leaseless: leaseless, t: t, nodes: map[netip.AddrPort]*replica{}, cut: map[[2]netip.AddrPort]bool{}}
	for i := range n {
		net.addrs = append(net.addrs, addr(i))
	}
	for i := range n {
		net.start(i, &memStore{id: fmt.Sprintf("id-%d", i)}, i == n-1)
	}
	t.Cleanup(net.stopAll)
	return net
}

func (n *network) start(i int, s *memStore, bootstrap bool) *replica {
	r := &replica{net: n, store: s, ended: make(chan error, 1)}
	r.Ctrl = &Ctrl{
		Name: fmt.Sprintf("control-%d", i), Address: addr(i), Control: n.addrs, Bootstrap: bootstrap,
		Sender: &caller{n, addr(i)}, Log: logr.Discard(), Leaseless: n.leaseless,
	}
	must.NoError(n.t, r.open(s, s.id, s.snap, s.recs))
	r.run()
	return r
}

func (r *replica) run() {
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	r.net.mu.Lock()
	r.net.nodes[r.Address] = r
	r.net.mu.Unlock()
	go func() { r.ended <- r.Serve(ctx) }()
}

// stop ends a replica without notice, like a kill.
func (r *replica) stop() {
	r.net.mu.Lock()
	delete(r.net.nodes, r.Address)
	r.net.mu.Unlock()
	r.cancel()
	<-r.done
}

// restart kills a replica, if it runs, and starts it on the same disk.
func (r *replica) restart() *replica {
	if r.net.at(r.Address) == r {
		r.stop()
	}
	return r.net.start(r.place(), r.store, false)
}

// place returns a replica's index in the network.
func (r *replica) place() int { return int(r.Address.Port() - 1000) }

func (n *network) stopAll() {
	for _, a := range n.addrs {
		if r := n.at(a); r != nil {
			r.stop()
		}
	}
}

func (n *network) at(a netip.AddrPort) *replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[a]
}

func (n *network) isolate(a netip.AddrPort, yes bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.addrs {
		n.cut[[2]netip.AddrPort{a, b}], n.cut[[2]netip.AddrPort{b, a}] = yes, yes
	}
}

// other returns another replica.
func (n *network) other(than *replica) *replica {
	return n.at(n.addrs[(than.place()+1)%len(n.addrs)])
}

// claims checks the number of claims at each replica.
func (n *network) claims(want uint64) {
	n.t.Helper()
	for _, a := range n.addrs {
		must.Eq(n.t, want, n.at(a).view.Load().GetClaims())
	}
}

// leader waits until a replica other than not leads and replies.
func (n *network) leader(not *replica) *replica {
	n.t.Helper()
	for range 3000 {
		for _, a := range n.addrs {
			if r := n.at(a); r != nil && r != not {
				if _, err := r.status(context.Background(), true); err == nil {
					return r
				}
			}
		}
		time.Sleep(tickEvery)
	}
	n.t.Fatal("no leader")
	return nil
}

var errCut = errors.New("cut")

func (c *caller) to(a netip.AddrPort) (*replica, error) {
	r := c.net.at(a)
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if r == nil || c.net.cut[[2]netip.AddrPort{c.from, a}] {
		return nil, errCut
	}
	return r, nil
}

func (c *caller) Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error {
	r, err := c.to(to)
	if err != nil {
		return err
	}
	_, err = r.Handle(ctx, proto.CloneOf(f))
	return err
}

func (c *caller) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	r, err := c.to(to)
	if err != nil {
		return nil, err
	}
	out, err := r.Handle(ctx, proto.CloneOf(f))
	if err == nil {
		_, err = (&caller{c.net, to}).to(c.from)
		if !c.from.IsValid() {
			err = nil
		}
	}
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(out), nil
}

func (s *memStore) Append(recs ...*wire.Record) error {
	s.sync()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.fail
	}
	if s.full {
		return disk.ErrFull
	}
	s.syncs++
	s.recs = append(s.recs, recs...)
	s.grow(recs)
	return nil
}

func (s *memStore) Compact(snap *wire.Snapshot, recs ...*wire.Record) error {
	s.sync()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail != nil {
		return s.fail
	}
	if s.full {
		return disk.ErrFull
	}
	s.syncs++
	s.snap, s.recs, s.size, s.puts = snap, recs, int64(proto.Size(snap)), s.puts+1
	s.grow(recs)
	return nil
}

func (s *memStore) grow(recs []*wire.Record) {
	for _, r := range recs {
		s.size += int64(proto.Size(r))
	}
}

func (s *memStore) sync() {
	s.mu.Lock()
	d := s.slow
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *memStore) Prepare(snap *wire.Snapshot) (func(recs ...*wire.Record) error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noRoom {
		return nil, errors.New("no space left on device")
	}
	return func(recs ...*wire.Record) error {
		s.mu.Lock()
		no := s.noPut
		s.mu.Unlock()
		if no {
			return disk.ErrFull
		}
		return s.Compact(snap, recs...)
	}, nil
}

// snapped returns the index of the snapshot on disk.
func (s *memStore) snapped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snap.GetIndex()
}

func (s *memStore) Size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

func (*memStore) Close() error { return nil }
