package main

import (
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against processes of two tests on one port: a process that takes the ports after
// its first gets them all, also beside tests that ask for ports at the same time and beside
// a port that is taken.
func TestFreePortsFollowEachOther(t *testing.T) {
	t.Parallel()
	const (
		askers = 50
		each   = 10
	)
	// A range of its own: the port taken below may be any test's.
	ports := portRange{first: 30000, span: 2000}
	next := ports.take(t, 1)[0]
	ln, err := net.Listen("tcp", netip.AddrPortFrom(next.Addr(), next.Port()+each/2).String())
	if err == nil { // Else somebody else has it.
		t.Cleanup(func() { must.NoError(t, ln.Close()) })
	}
	lists := make([][]netip.AddrPort, 2*askers)
	var wg sync.WaitGroup
	for i := range lists {
		n := uint16(each)
		if i%2 == 1 {
			n = 1
		}
		wg.Go(func() { lists[i] = ports.take(t, n) })
	}
	wg.Wait()
	given := map[netip.AddrPort]bool{}
	for _, list := range lists {
		for i, a := range list {
			must.Eq(t, list[0].Port()+uint16(i), a.Port())
			must.MapNotContainsKey(t, given, a)
			given[a] = true
		}
	}
}

// Guards against a port that a process can't take: a child that is being started holds the listener that tried it.
func TestPortIsFreeWhileProcessesStart(t *testing.T) {
	const starters, rounds = 16, 2000
	ended := make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				_ = exec.Command("true").Run()
			}
		})
	}
	defer wg.Wait()
	defer close(ended)
	for range rounds {
		ln, err := net.Listen("tcp", freePorts(t, 1)[0].String())
		must.NoError(t, err)
		must.NoError(t, ln.Close())
	}
}
