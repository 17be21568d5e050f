// Package relay forwards the announcements of upstreams to the owners of their pools. The owner of
// a pool is the member of the cluster that schedules it.
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
	forwardTimeout   = 800 * time.Millisecond // Shorter than the timeout of the announcing upstream.
	leavingRetention = 10 * time.Minute       // How long an incarnation is remembered as leaving.
)

type (
	// Relay forwards announcements, and keeps the latest one of each upstream that announced itself
	// to this process. Its exported fields are set before use.
	Relay struct {
		Owners  func(pool string) []*wire.Member // Owners of one pool; several if its policy runs at every entry.
		Alive   func() []*wire.Member            // All live members.
		Mesh    caller
		Deliver func(*wire.Announce) // Hands an announcement to the schedulers of this process.
		Log     logr.Logger

		mu          sync.Mutex
		latest      map[string]*received // By upstream ID.
		leaving     map[string]time.Time // When each incarnation announced that it leaves.
		knownOwners map[poolOwner]bool   // Pools and owners at the last update; others are new.
	}

	received struct {
		*wire.Announce
		receivedAt time.Time
	}

	poolOwner struct{ pool, incarnation string }

	caller interface {
		Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error)
	}
)

// Forward stores an announcement that an upstream made over HTTP, and sends it to the owners of its
// pools. An error means that an owner did not get the announcement; the upstream then announces
// itself to another entry.
func (r *Relay) Forward(ctx context.Context, a *wire.Announce) error {
	a = r.store(a)
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	err := r.sendToOwners(ctx, a)
	if err != nil && ctx.Err() == nil {
		// The owner may have changed meanwhile: retry once, at the current owner.
		err = r.sendToOwners(ctx, a)
	}
	if err != nil && !isMoved(err) {
		return fmt.Errorf("notice: %w", err)
	}
	return nil // A member that does not own the pool, or not yet, keeps the announcement as well.
}

// Accept delivers an announcement that another entry forwarded to this process as an owner.
func (r *Relay) Accept(a *wire.Announce) { r.Deliver(r.enforceLeaving(a)) }

// Find returns the latest announcement that an upstream made here, or nil if there is none or its
// lease has expired.
func (r *Relay) Find(upstream string) *wire.Announce {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.latest[upstream]
	if s == nil || time.Since(s.receivedAt) > time.Duration(s.GetLeaseUs())*time.Microsecond {
		return nil
	}
	return s.Announce
}

// SendToNewOwners sends the stored announcements to owners that are new since the last update, so
// that these do not have to wait for each upstream to announce itself again. Each announcement
// carries the time left of its lease, because sending it again must not extend the lease.
func (r *Relay) SendToNewOwners(ctx context.Context) {
	now := time.Now()
	for owner, list := range r.pendingForNewOwners(now) {
		for _, a := range list {
			if err := r.send(ctx, owner, a); err != nil {
				r.Log.V(1).Info("Announcement not sent to a new owner.", "upstream", a.GetUpstream(), "err", err.Error())
			}
		}
	}
}

// pendingForNewOwners returns the stored announcements for each new owner, by the owner's address.
// It removes announcements whose lease has expired, except those of leaving upstreams.
func (r *Relay) pendingForNewOwners(now time.Time) map[string][]*wire.Announce {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]*wire.Announce{}
	known := r.knownOwners
	r.knownOwners = map[poolOwner]bool{}
	for name, s := range r.latest {
		left := time.Duration(s.GetLeaseUs())*time.Microsecond - now.Sub(s.receivedAt)
		if left <= 0 && !s.GetLeaving() {
			delete(r.latest, name)
			continue
		}
		for _, p := range s.GetPools() {
			for _, o := range r.Owners(p) {
				r.knownOwners[poolOwner{p, o.GetIncarnation()}] = true
				if known[poolOwner{p, o.GetIncarnation()}] {
					continue
				}
				a := proto.CloneOf(s.Announce)
				a.LeaseUs = max(left.Microseconds(), 1)
				out[o.GetAddress()] = append(out[o.GetAddress()], a)
			}
		}
	}
	return out
}

// store saves an announcement as the latest one of its upstream, and marks the current owners of
// its pools as known. It returns the announcement as enforceLeaving left it.
func (r *Relay) store(a *wire.Announce) *wire.Announce {
	a = r.enforceLeaving(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil {
		r.latest, r.knownOwners = map[string]*received{}, map[poolOwner]bool{}
	}
	r.latest[a.GetUpstream()] = &received{a, time.Now()}
	for _, p := range a.GetPools() {
		for _, o := range r.Owners(p) {
			r.knownOwners[poolOwner{p, o.GetIncarnation()}] = true
		}
	}
	return a
}

// enforceLeaving keeps an incarnation in the leaving state once it has announced that it leaves.
// Otherwise a serving announcement that was delayed, or came through another entry, would bring
// requests to an upstream that is about to stop. An upstream that restarts has a new incarnation.
func (r *Relay) enforceLeaving(a *wire.Announce) *wire.Announce {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving == nil {
		r.leaving = map[string]time.Time{}
	}
	k := a.GetUpstream() + "\x00" + a.GetIncarnation()
	now := time.Now()
	if a.GetLeaving() {
		r.leaving[k] = now
		for other, at := range r.leaving {
			if now.Sub(at) > leavingRetention {
				delete(r.leaving, other)
			}
		}
	} else if _, ok := r.leaving[k]; ok {
		a = proto.CloneOf(a)
		a.Leaving = true
	}
	return a
}

// sendToOwners sends an announcement to all owners of the upstream's pools in parallel, and returns
// the first error. If the upstream leaves, the announcement also goes to all other members, because
// any of them may hold an older one and send that to a new owner.
func (r *Relay) sendToOwners(ctx context.Context, a *wire.Announce) error {
	owners, others := map[string]bool{}, map[string]bool{}
	for _, p := range a.GetPools() {
		for _, o := range r.Owners(p) {
			owners[o.GetAddress()] = true
		}
	}
	if a.GetLeaving() {
		for _, m := range r.Alive() {
			others[m.GetAddress()] = !owners[m.GetAddress()]
		}
	}
	var wg sync.WaitGroup
	errs := make(chan error, len(owners))
	for to := range owners {
		wg.Go(func() { errs <- r.send(ctx, to, a) })
	}
	for to, ok := range others {
		if ok {
			wg.Go(func() { _ = r.send(ctx, to, a) })
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

func (r *Relay) send(ctx context.Context, to string, a *wire.Announce) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return fmt.Errorf("address of owner: %w", err)
	}
	_, err = r.Mesh.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_Announce{Announce: a}})
	return err
}

// isMoved reports whether the receiver answered that it does not own the pools.
func isMoved(err error) bool {
	var fault *wire.Fault
	return errors.As(err, &fault) && fault.GetCode() == wire.CodeMoved
}
