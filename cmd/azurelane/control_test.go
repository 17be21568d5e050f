package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
	"azurelane/io/setup"
)

// group is three control replicas and two entries in two data centres.
type group struct {
	*cluster
	set  []*setup.Setup
	proc []*exec.Cmd
	op   *operator
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{cluster: &cluster{t: t, dir: t.TempDir()}, proc: make([]*exec.Cmd, 3)}
	for range 3 {
		g.control = append(g.control, freeAddr(t))
	}
	for i := range 3 {
		g.set = append(g.set, &setup.Setup{
			Node: fmt.Sprintf("control-%d", i+1), DataCentre: "dev", Peers: g.control[i], Operator: freeAddr(t), Control: g.control,
			DataFolder: filepath.Join(g.dir, fmt.Sprintf("data-%d", i+1)),
		})
		g.run(i, i == 0)
	}
	for i, dc := range []string{"north", "south"} {
		s := &setup.Setup{
			Node: fmt.Sprintf("entry-%d", i+1), DataCentre: dc, Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t),
			Operator: freeAddr(t), Control: g.control,
		}
		g.entries = append(g.entries, s)
		g.start("entry", g.settings(s))
	}
	op, err := newOperator(g.control, tlsFlags{})
	must.NoError(t, err)
	t.Cleanup(op.close)
	g.op = op
	return g
}

func (g *group) run(i int, bootstrap bool) {
	args := []string{"control", g.settings(g.set[i])}
	if bootstrap {
		args = append(args, "--bootstrap")
	}
	g.proc[i] = g.start(args...)
}

func (g *group) kill(i int) {
	_ = g.proc[i].Process.Kill()
	_ = g.proc[i].Wait()
}

// change submits the example configuration and waits until it is in force.
func (g *group) change(id string, base int, wait ...string) error {
	path := filepath.Join(g.dir, "config.json")
	must.NoError(g.t, os.WriteFile(path, devConfig, 0o600))
	args := []string{"apply", path, "--base", strconv.Itoa(base), "--change", id}
	for _, a := range g.control {
		args = append(args, "--control", a.String())
	}
	return g.start(append(args, wait...)...).Wait()
}

// at returns the number of the replica with an address.
func (g *group) at(address string) int {
	for i, a := range g.control {
		if a.String() == address {
			return i
		}
	}
	g.t.Fatal("no such replica: " + address)
	return -1
}

func (g *group) lead() *wire.Status {
	var s *wire.Status
	g.until("leader", func() bool {
		var err error
		s, err = g.op.status(context.Background())
		return err == nil
	})
	return s
}

// inForce waits until every entry shows the version.
func (g *group) inForce(version uint64) {
	g.until(fmt.Sprintf("version %d in force", version), func() bool {
		n := 0
		for _, node := range merge(g.op.statusAll(context.Background())).nodes {
			if node.age < silentAfter && node.GetVersion() == version {
				n++
			}
		}
		return n == len(g.entries)
	})
}

// The whole life of a group of processes, with their disks: a change is in
// force at two sites; the leader is killed and the change, sent again, gets the
// same answer; two operators race from one number and one loses; a replica is
// frozen, misses a change, wakes up and takes nothing back; a disk is lost and
// its replica comes back empty, with --bootstrap still in its start command; it
// is added in place of the lost one; then a second replica dies, right after
// the repair. All that was acknowledged is still there.
func TestControlGroup(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.until("first change", func() bool { return g.change("c1", 0, "--wait", "--limit", "20s") == nil })
	first := g.at(g.lead().GetLeader())
	g.kill(first)
	must.NoError(t, g.change("c1", 0))
	must.NoError(t, g.change("c2", 1))
	must.Error(t, g.change("c3", 1))
	g.inForce(2)
	g.run(first, false)

	frozen := (g.at(g.lead().GetLeader()) + 1) % 3
	must.NoError(t, g.proc[frozen].Process.Signal(syscall.SIGSTOP))
	must.NoError(t, g.change("c4", 2))
	term := g.lead().GetTerm()
	g.inForce(3)
	must.NoError(t, g.proc[frozen].Process.Signal(syscall.SIGCONT))
	g.until("frozen replica is up to date", func() bool {
		s := g.op.statusAll(context.Background())[frozen].status
		return s.GetVersion() == 3 && !s.GetStale()
	})
	must.Eq(t, term, g.lead().GetTerm())
	g.inForce(3)

	lost := frozen
	old := g.op.statusAll(context.Background())[lost].status.GetIdentity()
	g.kill(lost)
	must.NoError(t, os.RemoveAll(g.set[lost].DataFolder))
	g.run(lost, true)
	g.until("empty replica waits", func() bool {
		s := g.op.statusAll(context.Background())[lost].status
		return s != nil && s.GetGroup() == "" && s.GetIdentity() != old
	})
	add := []string{"replica", "add", g.control[lost].String(), "--replace", old}
	for _, a := range g.control {
		add = append(add, "--control", a.String())
	}
	must.NoError(t, g.start(add...).Wait())
	must.NoError(t, g.start(add...).Wait(), must.Sprint("sent again"))
	g.kill((lost + 1) % 3)
	must.Error(t, g.change("c5", 2))
	must.NoError(t, g.change("c4", 2))
	must.NoError(t, g.change("c6", 3))
	g.inForce(4)
}

// All of control is gone while entries run: they keep what they have. One more
// starts with nothing and learns the configuration from its neighbour. Control
// comes back, and the next change reaches all of them.
func TestEntryStartsFromNeighbour(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.until("first change", func() bool { return g.change("c1", 0, "--wait", "--limit", "20s") == nil })
	for i := range g.proc {
		g.kill(i)
	}
	s := &setup.Setup{
		Node: "entry-9", DataCentre: "north", Callers: freeAddr(t), Upstreams: freeAddr(t), Peers: freeAddr(t),
		Operator: freeAddr(t), Control: g.control, Seeds: []netip.AddrPort{g.entries[0].Peers},
	}
	g.start("entry", g.settings(s))
	g.entries = append(g.entries, s)
	for _, e := range g.entries {
		g.until(e.Node+" ready without control", func() bool { return status(t, "http://"+e.Operator.String()+"/ready") == http.StatusOK })
	}
	for i := range g.proc {
		g.run(i, false)
	}
	g.lead()
	must.NoError(t, g.change("c2", 1))
	g.inForce(2)
}
