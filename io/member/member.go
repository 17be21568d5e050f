// Package member runs the failure detector of core/member over the links of
// this process and tells which entry owns a pool.
package member

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"azurelane/core/member"
	"azurelane/core/owner"
	"azurelane/core/wire"
)

const (
	tickEvery = 50 * time.Millisecond
	sendLimit = 500 * time.Millisecond // One message; a later one replaces it.
	maxSends  = 128                    // At once; what is over is dropped like any lost message.
)

type (
	// Member is this process among the members of its data centre. Its exported
	// fields are set before use.
	Member struct {
		Self    *wire.Member
		Seeds   []netip.AddrPort
		Sender  sender
		Lost    func(incarnation string) // Called once for each incarnation that is gone.
		Changed func()                   // Called when an owner may have changed.
		Log     logr.Logger

		mu    sync.Mutex
		det   member.Detector
		view  atomic.Pointer[view]
		sends atomic.Int32

		gmu     sync.Mutex // Guards the beginning of goroutines against the wait for them.
		stopped bool
		wg      sync.WaitGroup
	}

	// view is what the detector sees, made anew with each change, so that a
	// request finds its owner without a lock.
	view struct {
		version uint64 // Of this member.
		alive   []*wire.Member
		owners  map[string]*wire.Member
		names   []string
	}

	sender interface {
		Send(ctx context.Context, to netip.AddrPort, f *wire.Frame) error
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// Serve probes until ctx ends, and waits for what it still sends.
func (m *Member) Serve(ctx context.Context) error {
	m.gmu.Lock()
	m.stopped = false
	m.sends.Store(0)
	m.gmu.Unlock()
	defer m.stop()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		m.step(ctx, func(now time.Time) []*wire.Probe { return m.det.Tick(now) })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// Heard takes a message of another member.
func (m *Member) Heard(ctx context.Context, p *wire.Probe) {
	m.step(context.WithoutCancel(ctx), func(now time.Time) []*wire.Probe { return m.det.Take(now, p) })
}

// Owner returns the member that schedules a pool.
func (m *Member) Owner(pool string) *wire.Member {
	v := m.current()
	return v.owners[owner.Pick(pool, v.names)]
}

// Mine reports whether this process schedules a pool.
func (m *Member) Mine(pool string) bool { return m.Owner(pool).GetNode() == m.Self.GetNode() }

// Alive lists the live members, this process among them, sorted by node.
func (m *Member) Alive() []*wire.Member { return m.current().alive }

// Drain tells the others that this process owns nothing from now on.
func (m *Member) Drain(ctx context.Context) {
	m.step(ctx, func(now time.Time) []*wire.Probe { return m.det.Drain(now) })
}

// Leave is this process's last word to the others. It returns when those that
// it was told to have it: the links close next, and a frame that is only queued
// then would be lost.
func (m *Member) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	m.mu.Lock()
	m.init()
	out := m.det.Leave(time.Now())
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range out {
		to, err := netip.ParseAddrPort(p.GetTo())
		if err != nil {
			continue
		}
		wg.Go(func() { _, _ = m.Sender.Call(ctx, to, &wire.Frame{Body: &wire.Frame_Probe{Probe: p}}) })
	}
	wg.Wait()
}

func (m *Member) current() *view {
	if v := m.view.Load(); v != nil {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.init()
	return m.view.Load()
}

func (m *Member) init() {
	if m.det.Self != nil {
		return
	}
	// The detector raises the version of its own copy.
	m.det.Self = &wire.Member{
		Node: m.Self.GetNode(), Incarnation: m.Self.GetIncarnation(), Address: m.Self.GetAddress(),
		DataCentre: m.Self.GetDataCentre(), BornUs: uint64(time.Now().UnixMicro()), //nolint:gosec // After 1970.
	}
	for _, s := range m.Seeds {
		m.det.Seeds = append(m.det.Seeds, s.String())
	}
	m.det.Seed = m.det.Self.GetBornUs()
	m.renew()
}

// step runs the detector once and does what it says.
func (m *Member) step(ctx context.Context, do func(time.Time) []*wire.Probe) {
	m.mu.Lock()
	m.init()
	out := do(time.Now())
	changes := m.det.Changes()
	changed := len(changes) > 0 || m.view.Load().version != m.det.Self.GetVersion()
	if changed {
		m.renew()
	}
	m.mu.Unlock()
	for _, c := range changes {
		m.Log.Info("Member changed.", "node", c.GetNode(), "incarnation", c.GetIncarnation(), "state", c.GetState().String(), "resting", c.GetResting())
		if m.Lost != nil && (c.GetState() == wire.Member_STATE_DEAD || c.GetState() == wire.Member_STATE_LEFT) {
			m.spawn(func() { m.Lost(c.GetIncarnation()) })
		}
	}
	if changed && m.Changed != nil {
		m.spawn(m.Changed)
	}
	for _, p := range out {
		m.send(ctx, p)
	}
}

// renew makes the view anew; it is called under the lock of the detector.
func (m *Member) renew() {
	v := &view{version: m.det.Self.GetVersion(), alive: m.det.Members(), owners: map[string]*wire.Member{}}
	for _, o := range m.det.Owners() {
		v.owners[o.GetNode()] = o
		v.names = append(v.names, o.GetNode())
	}
	m.view.Store(v)
}

// send runs in a goroutine of its own: a peer that takes nothing must not
// delay the probes of the others.
func (m *Member) send(ctx context.Context, p *wire.Probe) {
	to, err := netip.ParseAddrPort(p.GetTo())
	if err != nil {
		return
	}
	if m.sends.Add(1) > maxSends {
		m.sends.Add(-1)
		return
	}
	m.spawn(func() {
		defer m.sends.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, sendLimit)
		defer cancel()
		if err := m.Sender.Send(ctx, to, &wire.Frame{Body: &wire.Frame_Probe{Probe: p}}); err != nil {
			m.Log.V(1).Info("Probe not sent.", "peer", to.String(), "err", err.Error())
		}
	})
}

// spawn begins a goroutine, unless Serve has ended. Messages still arrive while
// the links close; a goroutine begun during the wait for the others would be a
// misuse of the wait group, which panics.
func (m *Member) spawn(f func()) {
	m.gmu.Lock()
	defer m.gmu.Unlock()
	if !m.stopped {
		m.wg.Go(f)
	}
}

func (m *Member) stop() {
	m.gmu.Lock()
	m.stopped = true
	m.gmu.Unlock()
	m.wg.Wait()
}
