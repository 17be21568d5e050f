package gate

import "sync"

// reportSignal signals that reports for the scheduler are queued. The zero value is ready to use.
type reportSignal struct {
	once sync.Once // Creates wake.
	wake chan struct{}
}

// ReportsPending returns a channel that receives a value when TakeCrashReports or TakeLimitReports
// has reports to return.
func (g *Gate) ReportsPending() <-chan struct{} { return g.reportSignal.channel() }

func (r *reportSignal) channel() chan struct{} {
	r.once.Do(func() { r.wake = make(chan struct{}, 1) })
	return r.wake
}

func (r *reportSignal) notify() {
	select {
	case r.channel() <- struct{}{}:
	default: // A signal is already pending.
	}
}
