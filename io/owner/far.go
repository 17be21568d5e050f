package owner

import (
	"context"
	"time"
)

// Serve forgets entries of other data centres that are silent, until ctx ends.
func (o *Owner) Serve(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		for _, incarnation := range o.silent(time.Now()) {
			o.Sched.Forget(incarnation)
		}
	}
}

// KeepAlive notes a list of held slots, from whichever data centre.
func (o *Owner) KeepAlive(incarnation string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.far[incarnation]; ok {
		o.far[incarnation] = time.Now()
	}
}

// silent takes out those that are silent for too long. One whose ticket waits
// here is not: the ticket's own call ends with the link that it came by.
func (o *Owner) silent(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.calls {
		if c.GetAbroad() {
			o.far[c.GetIncarnation()] = now
		}
	}
	var list []string
	for incarnation, heard := range o.far {
		if now.Sub(heard) > RemoteTimeout {
			delete(o.far, incarnation)
			list = append(list, incarnation)
		}
	}
	return list
}
