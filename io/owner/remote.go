package owner

import (
	"context"
	"time"
)

// Serve frees the slots of entries of other data centres that have been silent for RemoteTimeout.
// It runs until ctx ends.
func (o *Owner) Serve(ctx context.Context) error {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		for _, incarnation := range o.takeExpiredRemotes(time.Now()) {
			o.Sched.Forget(incarnation)
		}
	}
}

// KeepAlive records that an entry has sent its list of held slots. It has an effect only for known
// entries of other data centres.
func (o *Owner) KeepAlive(incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.remoteHeardAt[incarnation]; ok {
		o.remoteHeardAt[incarnation] = time.Now()
	}
}

// takeExpiredRemotes removes and returns the incarnations that have been silent for RemoteTimeout.
// An entry with a ticket that waits here does not count as silent, because the ticket's call ends
// with the link over which it came.
func (o *Owner) takeExpiredRemotes(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.calls {
		if c.GetAbroad() {
			o.remoteHeardAt[c.GetIncarnation()] = now
		}
	}
	var list []string
	for incarnation, heard := range o.remoteHeardAt {
		if now.Sub(heard) > RemoteTimeout {
			delete(o.remoteHeardAt, incarnation)
			list = append(list, incarnation)
		}
	}
	return list
}
