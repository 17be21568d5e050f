package member_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"azurelane/core/wire"
	"azurelane/io/member"
	"azurelane/io/mesh"
)

// counter counts the bytes of the connections that it accepted, both ways.
type counter struct {
	net.Listener
	n *atomic.Int64
}

type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{conn, c.n}, nil
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkLinks runs so many members in this process over real links, the
// probes of the detector and the heartbeats of all links included, and reports
// what one sends and receives (above TCP) and its processor time. One iteration
// is a second; -benchtime 20x is enough.
func BenchmarkLinks(b *testing.B) {
	for _, n := range []int{8, 16, 32, 60} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var bytes atomic.Int64
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			var seeds []netip.AddrPort
			for i := range n {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				self := netip.MustParseAddrPort(ln.Addr().String())
				ms := &mesh.Mesh{Listen: counter{ln, &bytes}, Self: self}
				m := &member.Member{
					Self:  &wire.Member{Node: fmt.Sprintf("entry-%03d", i), Incarnation: fmt.Sprintf("%08d", i), Address: self.String(), DataCentre: "bangkok-1"},
					Seeds: seeds, Sender: ms,
				}
				ms.Handle = func(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
					if p := f.GetProbe(); p != nil {
						m.Heard(ctx, p)
					}
					return &wire.Frame{Body: &wire.Frame_Ack{Ack: &wire.Ack{}}}, nil
				}
				if len(seeds) < 3 {
					seeds = append(seeds, self)
				}
				wg.Go(func() { _ = ms.Serve(ctx) })
				wg.Go(func() { _ = m.Serve(ctx) })
			}
			time.Sleep(60 * time.Second) // Every two members have met, and the news of the start has stopped travelling.
			bytes.Store(0)
			before, start := cpu(), time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			per := time.Since(start).Seconds() * float64(n)
			b.ReportMetric(float64(bytes.Load())*2/per, "B/s/member") // Each byte is sent by one and received by another.
			b.ReportMetric(float64((cpu()-before).Microseconds())/per, "cpu-us/s/member")
			cancel()
			wg.Wait()
		})
	}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
