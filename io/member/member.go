// Package member tracks which entries of a data centre are alive.
package member

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/owner"
	"azurelane/core/wire"
)

const (
	// GossipEvery is the interval of the messages between members.
	GossipEvery = 300 * time.Millisecond
	// SilenceLimit is how long a member may be silent and still count as alive.
	SilenceLimit = 2 * time.Second
)

type (
	// Member is this process among the members of its data centre. Its exported
	// fields are set before use.
	Member struct {
		Self   *wire.Member
		Seeds  []netip.AddrPort
		Sender sender
		Lost   func(incarnation string) // Called once for each incarnation that is gone.
		Log    logr.Logger

		mu     sync.Mutex
		peers  map[string]*peer // By node.
		leaves bool
	}

	peer struct {
		*wire.Member
		heard time.Time
	}

	sender interface {
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
	}
)

// Serve gossips until ctx ends.
func (m *Member) Serve(ctx context.Context) error {
	tick := time.NewTicker(GossipEvery)
	defer tick.Stop()
	for {
		m.gossip(ctx)
		m.expire(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Heard takes a gossip of another member.
func (m *Member) Heard(g *wire.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := g.GetFrom()
	if from.GetNode() == m.Self.GetNode() || from.GetDataCentre() != m.Self.GetDataCentre() {
		return
	}
	if m.peers == nil {
		m.peers = map[string]*peer{}
	}
	old := m.peers[from.GetNode()]
	if old != nil && old.GetIncarnation() != from.GetIncarnation() {
		m.lose(old)
	}
	m.peers[from.GetNode()] = &peer{from, time.Now()}
	for _, other := range g.GetMembers() {
		if _, ok := m.peers[other.GetNode()]; !ok && other.GetNode() != m.Self.GetNode() && other.GetState() == wire.Member_STATE_ALIVE {
			m.peers[other.GetNode()] = &peer{other, time.Now()}
		}
	}
}

// Owner returns the member that schedules a pool.
func (m *Member) Owner(pool string) *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := m.alive()
	names := make([]string, 0, len(alive))
	for name := range alive {
		names = append(names, name)
	}
	return alive[owner.Pick(pool, names)]
}

// Alive lists the live members, this process among them, sorted by node.
func (m *Member) Alive() []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*wire.Member
	for _, p := range m.alive() {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *wire.Member) int {
		if a.GetNode() < b.GetNode() {
			return -1
		}
		return 1
	})
	return list
}

// Leave tells the others that this process owns nothing from now on.
func (m *Member) Leave(ctx context.Context) {
	m.mu.Lock()
	m.leaves = true
	m.mu.Unlock()
	m.gossip(ctx)
}

// alive maps node names to members. The process itself counts unless it is
// leaving and there is another.
func (m *Member) alive() map[string]*wire.Member {
	alive := map[string]*wire.Member{}
	for name, p := range m.peers {
		if p.GetState() == wire.Member_STATE_ALIVE {
			alive[name] = p.Member
		}
	}
	if !m.leaves || len(alive) == 0 {
		alive[m.Self.GetNode()] = m.Self
	}
	return alive
}

func (m *Member) gossip(ctx context.Context) {
	m.mu.Lock()
	self := &wire.Member{
		Node: m.Self.GetNode(), Incarnation: m.Self.GetIncarnation(), Address: m.Self.GetAddress(), DataCentre: m.Self.GetDataCentre(),
	}
	if m.leaves {
		self.State = wire.Member_STATE_LEFT
	}
	g := &wire.Gossip{From: self}
	targets := map[netip.AddrPort]bool{}
	for _, s := range m.Seeds {
		targets[s] = true
	}
	for _, p := range m.peers {
		g.Members = append(g.Members, p.Member)
		if a, err := netip.ParseAddrPort(p.GetAddress()); err == nil {
			targets[a] = true
		}
	}
	m.mu.Unlock()
	for a := range targets {
		if a.String() == m.Self.GetAddress() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, GossipEvery)
			defer cancel()
			if err := m.Sender.Send(ctx, a, &wire.Frame{Body: &wire.Frame_Gossip{Gossip: g}}); err != nil {
				m.Log.V(1).Info("Gossip not sent.", "peer", a.String(), "err", err.Error())
			}
		}()
	}
}

func (m *Member) expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, p := range m.peers {
		if now.Sub(p.heard) > SilenceLimit {
			delete(m.peers, name)
			m.lose(p)
		}
	}
}

func (m *Member) lose(p *peer) {
	m.Log.Info("Member lost.", "node", p.GetNode())
	if m.Lost != nil {
		go m.Lost(p.GetIncarnation())
	}
}
