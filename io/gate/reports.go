package gate

import "sync"

// reports signals that there is something to tell the scheduler. The zero value is ready.
type reports struct {
	once sync.Once // Makes wake.
	wake chan struct{}
}

// ReportsPending signals that Suspects or NewLimits has something to take.
func (g *Gate) ReportsPending() <-chan struct{} { return g.reports.signal() }

func (r *reports) signal() chan struct{} {
	r.once.Do(func() { r.wake = make(chan struct{}, 1) })
	return r.wake
}

func (r *reports) notify() {
	select {
	case r.signal() <- struct{}{}:
	default: // A signal is on its way already.
	}
}
