package ctrl

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
	"azurelane/io/disk"
	"azurelane/io/mesh"
)

// cpu returns the processor time used by this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBeats measures one beat of every entry over real links, with both ends in this process.
func BenchmarkBeats(b *testing.B) {
	for _, n := range []int{103, 205, 410, 820} {
		b.Run(fmt.Sprintf("entries-%d", n), func(b *testing.B) {
			c, to := served(b)
			before := heap()
			links := make([]*mesh.Mesh, n)
			for i := range links {
				links[i] = &mesh.Mesh{Handle: c.Handle, Log: logr.Discard()}
				beatOnce(b, links[i], to, i)
			}
			memory := heap() - before
			start := cpu()
			for b.Loop() {
				for i, m := range links {
					beatOnce(b, m, to, i)
				}
			}
			b.ReportMetric(float64((cpu()-start).Microseconds())/float64(b.N*n), "cpu-us/beat")
			b.ReportMetric(float64(memory)/float64(n), "heap-bytes/entry")
			reply, err := c.Handle(context.Background(), beatFrame(1))
			must.NoError(b, err)
			b.ReportMetric(float64(proto.Size(beatFrame(1))+proto.Size(reply)), "bytes/beat")
			for _, m := range links {
				m.Close()
			}
		})
	}
}

func served(b *testing.B) (*Ctrl, netip.AddrPort) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	to := netip.MustParseAddrPort(ln.Addr().String())
	c := &Ctrl{Name: "control-1", Address: to, Control: []netip.AddrPort{to}, Bootstrap: true, Log: logr.Discard()}
	m := &mesh.Mesh{Listen: ln, Self: to, Handle: c.Handle, Log: logr.Discard()}
	c.Sender = m
	must.NoError(b, c.Open(b.TempDir()))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = m.Serve(ctx) }()
	go func() { _ = c.Serve(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-c.done
	})
	for !c.Ready() {
		time.Sleep(tickEvery)
	}
	return c, to
}

func beatFrame(i int) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Beat{Beat: &wire.Beat{
		Node: "entry-" + strconv.Itoa(1000+i), Incarnation: "0123abcd", DataCentre: "data-centre-1", Role: "entry", Version: 1000,
		Address: "10.0.0.1:7000",
	}}}
}

func beatOnce(b *testing.B, m *mesh.Mesh, to netip.AddrPort, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := m.Call(ctx, to, beatFrame(i))
	must.NoError(b, err)
}

// order returns a claim of usual size.
func order(i int) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Claim{Claim: &wire.Claim{
		Account: "account-17", Key: fmt.Sprintf("order-%010d", i), Holder: "0123abcd", Address: "10.0.0.1:7000", BodyHash: 1 << 62,
	}}}
}

// BenchmarkClaims measures claims on real disks, from callers that each wait for the result before
// the next claim. Replicas are connected in memory.
func BenchmarkClaims(b *testing.B) {
	for _, replicas := range []int{1, 3} {
		for _, callers := range []int{1, 8, 64, 256} {
			b.Run(fmt.Sprintf("replicas-%d/callers-%d", replicas, callers), func(b *testing.B) {
				l, log := diskGroup(b, replicas)
				size, start := log.Size(), cpu()
				begin := time.Now()
				var wg sync.WaitGroup
				for c := range callers {
					wg.Go(func() {
						for i := c; i < b.N; i += callers {
							_, err := l.Propose(context.Background(), order(i))
							must.NoError(b, err)
						}
					})
				}
				wg.Wait()
				b.ReportMetric(float64(b.N)/time.Since(begin).Seconds(), "claims/s")
				b.ReportMetric(float64((cpu()-start).Microseconds())/float64(b.N), "cpu-us/claim")
				if b.N < CompactAfter {
					b.ReportMetric(float64(log.Size()-size)/float64(b.N), "log-bytes/claim")
				}
			})
		}
	}
}

// diskGroup starts replicas on real disks and returns the leader and its log.
func diskGroup(b *testing.B, replicas int) (*replica, *disk.Log) {
	n := &network{nodes: map[netip.AddrPort]*replica{}, cut: map[[2]netip.AddrPort]bool{}}
	for i := range replicas {
		n.addrs = append(n.addrs, addr(i))
	}
	logs := map[*replica]*disk.Log{}
	for i := range replicas {
		l, _, _, err := disk.Open(b.TempDir())
		must.NoError(b, err)
		r := &replica{net: n, ended: make(chan error, 1)}
		r.Ctrl = &Ctrl{Address: addr(i), Control: n.addrs, Bootstrap: i == 0, Sender: &caller{n, addr(i)}, Log: logr.Discard()}
		must.NoError(b, r.open(l, l.Identity, nil, nil))
		logs[r] = l
		r.run()
	}
	b.Cleanup(n.stopAll)
	for {
		for r, l := range logs {
			if _, err := r.status(context.Background(), true); err == nil {
				return r, l
			}
		}
		time.Sleep(tickEvery)
	}
}

// BenchmarkCompact measures replacing the log with a snapshot of many claims on a real disk. The
// loop is blocked for loop-us.
func BenchmarkCompact(b *testing.B) {
	for _, n := range []int{10000, 50000, 100000, 400000} {
		b.Run(fmt.Sprintf("claims-%d", n), func(b *testing.B) {
			l, _ := diskGroup(b, 1)
			l.stop()
			for i := range n {
				l.state.Apply(order(i))
			}
			d, _, _, err := disk.Open(b.TempDir())
			must.NoError(b, err)
			l.Ctrl.store = d
			loop := time.Duration(0)
			for b.Loop() {
				at := time.Now()
				l.compact()
				loop += time.Since(at)
				s := <-l.saving
				at = time.Now()
				must.NoError(b, s.err)
				must.NoError(b, s.put(l.raft.LogRecords()...))
				loop += time.Since(at)
			}
			b.ReportMetric(float64(loop.Microseconds())/float64(b.N), "loop-us")
		})
	}
}
