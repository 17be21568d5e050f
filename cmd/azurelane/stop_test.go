package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/io/setup"
)

// Guards against resets of callers that are connected when a process is told to stop:
// the process is paused while they connect, so that none of them is accepted before.
func TestStopAnswersWhoIsConnected(t *testing.T) {
	t.Parallel()
	const callers = 100
	c := newCluster(t, 3)
	control := &setup.Setup{Node: "control-9", DataCentre: "dev", Peers: freeAddr(t), Operator: freeAddr(t), DataFolder: filepath.Join(c.dir, "control-9")}
	control.Control = []netip.AddrPort{control.Peers}
	replica := newProc(t, c.dir, control.Node, "control", c.settings(control), "--bootstrap")
	ports := freePorts(t, devStandins+4)
	dev := newProc(t, c.dir, "dev", "dev", "--data-folder", filepath.Join(c.dir, "dev"), "--port", strconv.Itoa(int(ports[0].Port())))
	for _, a := range []netip.AddrPort{control.Operator, netip.AddrPortFrom(ports[0].Addr(), ports[0].Port()+devOperator)} {
		c.until("ready", func() bool { return status(t, "http://"+a.String()+"/ready") == http.StatusOK })
	}
	for _, tc := range []struct {
		name string
		proc *proc
		addr netip.AddrPort
		path string
	}{
		{"callers of an entry", c.procs[0], c.entries[0].Callers, "/svc/notes/x"},
		{"upstreams of an entry", c.procs[1], c.entries[1].Upstreams, "/v1/announce"},
		{"operators of an entry", c.procs[2], c.entries[2].Operator, "/v1/info"},
		{"operators of a control replica", replica, control.Operator, "/metrics"},
		{"callers of dev", dev, ports[0], "/svc/notes/x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.NoError(t, tc.proc.cmd.Process.Signal(syscall.SIGSTOP))
			conns := make([]net.Conn, callers)
			for i := range conns {
				conn, err := net.Dial("tcp", tc.addr.String())
				must.NoError(t, err)
				_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer dev-key\r\n\r\n", tc.path)
				must.NoError(t, err)
				must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
				conns[i] = conn
			}
			must.NoError(t, tc.proc.cmd.Process.Signal(syscall.SIGTERM))
			must.NoError(t, tc.proc.cmd.Process.Signal(syscall.SIGCONT))
			for i, conn := range conns {
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err, must.Sprint(i))
				must.NoError(t, resp.Body.Close())
				must.NoError(t, conn.Close())
			}
			must.NoError(t, tc.proc.cmd.Wait())
		})
	}
}
