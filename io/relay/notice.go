// Package notice passes the announcements of upstreams on to the owners of
// their pools.
package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

const (
	forwardLimit = 800 * time.Millisecond // Less than the time that an upstream gives its announcement.
	keepLeft     = 10 * time.Minute       // How long a leaving incarnation is remembered.
)

type (
	// Relay keeps the last announcement of each upstream that spoke to this
	// process. Its exported fields are set before use.
	Relay struct {
		Owners func(pool string) []*wire.Member // Of one pool; several for a local policy.
		Alive  func() []*wire.Member
		Mesh   caller
		Deliver   func(*wire.Announce) // The schedulers of this process.
		Log    logr.Logger

		mu   sync.Mutex
		last map[string]*said     // By upstream.
		left map[string]time.Time // Incarnations that are leaving.
		at   map[place]bool       // Owners of the pools at the last look.
	}

	said struct {
		*wire.Announce
		at time.Time
	}

	place struct{ pool, incarnation string }

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// Forward takes what an upstream said over HTTP. An error means that an owner
// did not get it; the upstream then asks another entry.
func (n *Relay) Forward(ctx context.Context, a *wire.Announce) error {
	a = n.keep(a)
	ctx, cancel := context.WithTimeout(ctx, forwardLimit)
	defer cancel()
	err := n.pass(ctx, a)
	if err != nil && ctx.Err() == nil {
		// The owner may have changed in this moment: once more, to the one of now.
		err = n.pass(ctx, a)
	}
	if err != nil && !isMoved(err) {
		return fmt.Errorf("notice: %w", err)
	}
	return nil // A member that is not the owner, or not yet, keeps the news all the same.
}

// Accept takes an announcement that this process should know as an owner.
func (n *Relay) Accept(a *wire.Announce) { n.Deliver(n.stick(a)) }

// Find returns the last announcement that an upstream made here, or nil when
// there is none or its lease is over.
func (n *Relay) Find(upstream string) *wire.Announce {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.last[upstream]
	if s == nil || time.Since(s.at) > time.Duration(s.GetLeaseUs())*time.Microsecond {
		return nil
	}
	return s.Announce
}

// SendToNewOwners passes what is known on to owners that are new, so that they don't
// wait for each upstream to speak again. A lease is passed on with what is left
// of it: the age of the news must not lengthen it.
func (n *Relay) SendToNewOwners(ctx context.Context) {
	now := time.Now()
	for owner, list := range n.news(now) {
		for _, a := range list {
			if err := n.call(ctx, owner, a); err != nil {
				n.Log.V(1).Info("Announcement not passed on.", "upstream", a.GetUpstream(), "err", err.Error())
			}
		}
	}
}

// news lists for each new owner the announcements that it lacks.
func (n *Relay) news(now time.Time) map[string][]*wire.Announce {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[string][]*wire.Announce{}
	was := n.at
	n.at = map[place]bool{}
	for name, s := range n.last {
		rest := time.Duration(s.GetLeaseUs())*time.Microsecond - now.Sub(s.at)
		if rest <= 0 && !s.GetLeaving() {
			delete(n.last, name)
			continue
		}
		for _, p := range s.GetPools() {
			for _, o := range n.Owners(p) {
				n.at[place{p, o.GetIncarnation()}] = true
				if was[place{p, o.GetIncarnation()}] {
					continue
				}
				a := proto.CloneOf(s.Announce)
				a.LeaseUs = max(rest.Microseconds(), 1)
				out[o.GetAddress()] = append(out[o.GetAddress()], a)
			}
		}
	}
	return out
}

func (n *Relay) keep(a *wire.Announce) *wire.Announce {
	a = n.stick(a)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.last == nil {
		n.last, n.at = map[string]*said{}, map[place]bool{}
	}
	n.last[a.GetUpstream()] = &said{a, time.Now()}
	for _, p := range a.GetPools() {
		for _, o := range n.Owners(p) {
			n.at[place{p, o.GetIncarnation()}] = true
		}
	}
	return a
}

// stick makes leaving final for an incarnation. A "serving" that was delayed,
// or came by another entry, would otherwise bring work to an upstream that is
// about to end; whoever does come back has a new incarnation.
func (n *Relay) stick(a *wire.Announce) *wire.Announce {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.left == nil {
		n.left = map[string]time.Time{}
	}
	k := a.GetUpstream() + "\x00" + a.GetIncarnation()
	now := time.Now()
	if a.GetLeaving() {
		n.left[k] = now
		for other, at := range n.left {
			if now.Sub(at) > keepLeft {
				delete(n.left, other)
			}
		}
	} else if _, ok := n.left[k]; ok {
		a = proto.CloneOf(a)
		a.Leaving = true
	}
	return a
}

// pass sends to each owner of the upstream's pools, all at a time; to all
// members when it leaves, since any of them may hold its older announcement and
// pass that on to a new owner.
func (n *Relay) pass(ctx context.Context, a *wire.Announce) error {
	must, may := map[string]bool{}, map[string]bool{}
	for _, p := range a.GetPools() {
		for _, o := range n.Owners(p) {
			must[o.GetAddress()] = true
		}
	}
	if a.GetLeaving() {
		for _, m := range n.Alive() {
			may[m.GetAddress()] = !must[m.GetAddress()]
		}
	}
	var wg sync.WaitGroup
	errs := make(chan error, len(must))
	for to := range must {
		wg.Go(func() { errs <- n.call(ctx, to, a) })
	}
	for to, ok := range may {
		if ok {
			wg.Go(func() { _ = n.call(ctx, to, a) })
		}
	}
	wg.Wait()
	close(errs)
	var first error
	for err := range errs {
		if err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (n *Relay) call(ctx context.Context, to string, a *wire.Announce) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("address of owner: %w", err)
	}
	_, err = n.Mesh.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_Announce{Announce: a}})
	return err
}

func isMoved(err error) bool {
	var fault *wire.Fault
	return errors.As(err, &fault) && fault.GetCode() == wire.CodeMoved
}
