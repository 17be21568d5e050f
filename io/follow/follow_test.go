package follow

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/conf"
	"azurelane/core/wire"
)

const doc = `{"base":{"client-accounts":{},"tiers":{},"pools":{}},"overlays":{}}`

type (
	// fakes are peers by address; one that is missing never answers.
	fakes struct {
		mu    sync.Mutex
		peers map[netip.AddrPort]*fake
		calls map[netip.AddrPort]int
	}

	fake struct {
		version uint64
		stale   bool
		refuses bool
		pushes  bool // Hands its document out whatever the other has.
	}
)

func addr(i uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), i)
}

func (p *fakes) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	p.mu.Lock()
	p.calls[to]++
	peer := p.peers[to]
	p.mu.Unlock()
	if peer == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if peer.refuses {
		return nil, errors.New("refused")
	}
	than := f.GetBeat().GetVersion() + f.GetConfigQuery().GetVersion()
	r := &wire.BeatReply{Version: peer.version, Stale: peer.stale}
	if peer.version > than || peer.pushes {
		r.Document = []byte(doc)
	}
	return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: r}}, nil
}

func (p *fakes) set(i uint16, f *fake) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[addr(i)] = f
}

// follower starts an entry with replicas 1 to 3 and neighbours 8 and 9.
func follower(t *testing.T, peers map[netip.AddrPort]*fake) (*Follower, *fakes, func() []uint64) {
	p := &fakes{peers: peers, calls: map[netip.AddrPort]int{}}
	var mu sync.Mutex
	var installed []uint64
	f := &Follower{
		NewBeat: func() *wire.Beat { return &wire.Beat{Node: "entry-1"} }, Caller: p, Log: logr.Discard(),
		Replicas: []netip.AddrPort{addr(1), addr(2), addr(3)}, Neighbours: func() []netip.AddrPort { return []netip.AddrPort{addr(8), addr(9)} },
		Install: func(v uint64, _ *conf.Config) {
			mu.Lock()
			defer mu.Unlock()
			installed = append(installed, v)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = f.Serve(ctx) }()
	t.Cleanup(cancel)
	return f, p, func() []uint64 {
		mu.Lock()
		defer mu.Unlock()
		return append([]uint64(nil), installed...)
	}
}

// Each row is a state of the replicas and neighbours that an entry meets. It
// has version 5 in force; five seconds later it has the version that follows.
// It never goes back, whoever offers an older one.
func TestHighestVersionWins(t *testing.T) {
	for _, tt := range []struct {
		name  string
		peers map[netip.AddrPort]*fake
		want  uint64
	}{
		{"all know the next", map[netip.AddrPort]*fake{addr(1): {version: 6}, addr(2): {version: 6}, addr(3): {version: 6}}, 6},
		{"two lag behind", map[netip.AddrPort]*fake{addr(1): {version: 3}, addr(2): {version: 4}, addr(3): {version: 6}}, 6},
		{"two are stale", map[netip.AddrPort]*fake{addr(1): {version: 5, stale: true}, addr(2): {version: 5, stale: true}, addr(3): {version: 6}}, 6},
		{"two are silent", map[netip.AddrPort]*fake{addr(2): {version: 6}}, 6},
		{"two refuse", map[netip.AddrPort]*fake{addr(1): {refuses: true}, addr(2): {refuses: true}, addr(3): {version: 6}}, 6},
		{"all lag behind", map[netip.AddrPort]*fake{addr(1): {version: 1}, addr(2): {version: 2}, addr(3): {version: 3}}, 5},
		{"cut off, a neighbour knows", map[netip.AddrPort]*fake{addr(8): {version: 5}, addr(9): {version: 7}}, 7},
		{"cut off, neighbours lag", map[netip.AddrPort]*fake{addr(8): {version: 4}, addr(9): {version: 3}}, 5},
		{"an old one is pushed", map[netip.AddrPort]*fake{addr(1): {version: 2, pushes: true}, addr(2): {version: 3, pushes: true}, addr(3): {version: 4, pushes: true}, addr(8): {version: 1, pushes: true}}, 5},
		{"a stale one knows more", map[netip.AddrPort]*fake{addr(1): {version: 8, stale: true}, addr(2): {refuses: true}, addr(3): {refuses: true}}, 8},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, p, installed := follower(t, map[netip.AddrPort]*fake{addr(1): {version: 5}, addr(2): {version: 5}, addr(3): {version: 5}})
				time.Sleep(1500 * time.Millisecond)
				must.Eq(t, 5, f.Version())
				p.mu.Lock()
				p.peers = tt.peers
				p.mu.Unlock()
				time.Sleep(5 * time.Second)
				must.Eq(t, tt.want, f.Version())
				want := []uint64{5}
				if tt.want > 5 {
					want = append(want, tt.want)
				}
				must.Eq(t, want, installed())
			})
		})
	}
}

// An entry restarts with nothing while control can't be reached. It asks its
// neighbours in turn and serves what the first one that has any answers; later
// control is back with a newer version, which takes over.
func TestStartWithoutControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, p, _ := follower(t, map[netip.AddrPort]*fake{addr(8): {}, addr(9): {version: 4}})
		must.Nil(t, f.Config())
		time.Sleep(8 * time.Second)
		must.Eq(t, 4, f.Version())
		must.Eq(t, []byte(doc), f.Answer(&wire.ConfigQuery{Version: 3}).GetDocument())
		must.Eq(t, 0, len(f.Answer(&wire.ConfigQuery{Version: 4}).GetDocument()))
		p.set(2, &fake{version: 6})
		time.Sleep(4 * time.Second)
		must.Eq(t, 6, f.Version())
	})
}

// A healthy entry costs one call a second, at one replica, and many entries
// spread over all three.
func TestBeatsAreFewAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := map[netip.AddrPort]int{}
		for range 60 {
			_, p, _ := follower(t, map[netip.AddrPort]*fake{addr(1): {version: 1}, addr(2): {version: 1}, addr(3): {version: 1}})
			time.Sleep(9500 * time.Millisecond)
			p.mu.Lock()
			must.MapLen(t, 1, p.calls)
			for a, n := range p.calls {
				must.Eq(t, 10, n)
				seen[a]++
			}
			p.mu.Unlock()
		}
		must.MapLen(t, 3, seen)
	})
}

// An entry restarts with nothing in force. Control replicas that lag offer old
// versions, and the entry must not serve one, even for a moment, while a newer
// one is to be had: its site would go back to it. Only when nobody knows better
// it takes the newest of what is offered.
func TestFirstVersionIsTheNewest(t *testing.T) {
	for _, tt := range []struct {
		name  string
		peers map[netip.AddrPort]*fake
		want  uint64
	}{
		{"one is up to date", map[netip.AddrPort]*fake{addr(1): {version: 3, stale: true}, addr(2): {version: 4, stale: true}, addr(3): {version: 5}}, 5},
		{"a neighbour knows more", map[netip.AddrPort]*fake{addr(1): {version: 3, stale: true}, addr(8): {version: 4}, addr(9): {version: 5}}, 5},
		{"all may be behind", map[netip.AddrPort]*fake{addr(1): {version: 3, stale: true}, addr(2): {version: 5, stale: true}, addr(3): {version: 4, stale: true}}, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 { // Each starts with a replica of its own choice.
				synctest.Test(t, func(t *testing.T) {
					_, _, installed := follower(t, tt.peers)
					time.Sleep(10 * time.Second)
					must.Eq(t, []uint64{tt.want}, installed())
				})
			}
		})
	}
}
