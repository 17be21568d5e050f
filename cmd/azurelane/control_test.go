package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/core/wire"
)

// group is three control replicas and two entries in two data centres.
type group struct {
	*cluster
	proc []*proc
	op   *operator
}

func newGroup(t *testing.T) *group {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	g := &group{cluster: c, proc: c.controls(3)}
	for i, dc := range []string{"north", "south"} {
		s := g.entry(i + 1)
		s.DataCentre = dc
		g.entries = append(g.entries, s)
		g.start("entry", g.settings(s))
	}
	op, err := newOperator(g.control, tlsFlags{})
	must.NoError(t, err)
	t.Cleanup(op.close)
	g.op = op
	return g
}

// run starts a replica that was killed.
func (g *group) run(i int, flags ...string) {
	p := g.proc[i]
	p.args = append([]string{"control", filepath.Join(g.dir, p.name+".json")}, flags...)
	must.NoError(g.t, p.start())
}

func (g *group) kill(i int) {
	_ = g.proc[i].cmd.Process.Kill()
	_ = g.proc[i].cmd.Wait()
}

// change submits the example configuration.
func (g *group) change(id string, base int, flags ...string) error {
	args := []string{"apply", g.write("config.json", devConfig), "--control", g.replicas(), "--base", strconv.Itoa(base), "--change", id}
	return g.start(append(args, flags...)...).Wait()
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
	g.run(first)

	frozen := (g.at(g.lead().GetLeader()) + 1) % 3
	must.NoError(t, g.proc[frozen].cmd.Process.Signal(syscall.SIGSTOP))
	must.NoError(t, g.change("c4", 2))
	term := g.lead().GetTerm()
	g.inForce(3)
	must.NoError(t, g.proc[frozen].cmd.Process.Signal(syscall.SIGCONT))
	g.until("frozen replica is up to date", func() bool {
		s := g.op.statusAll(context.Background())[frozen].status
		return s.GetVersion() == 3 && !s.GetStale()
	})
	must.Eq(t, term, g.lead().GetTerm())
	g.inForce(3)

	lost := frozen
	old := g.op.statusAll(context.Background())[lost].status.GetIdentity()
	g.kill(lost)
	must.NoError(t, os.RemoveAll(filepath.Join(g.dir, g.proc[lost].name)))
	g.run(lost, "--bootstrap")
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
	s := g.entry(9, g.entries[0].Peers)
	s.DataCentre = "north"
	g.start("entry", g.settings(s))
	g.entries = append(g.entries, s)
	for _, e := range g.entries {
		g.untilReady(e) // Without control.
	}
	for i := range g.proc {
		g.run(i)
	}
	g.lead()
	must.NoError(t, g.change("c2", 1))
	g.inForce(2)
}
