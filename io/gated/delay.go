package gated

import (
	"context"
	"time"
)

const (
	// checkInterval is how often an entry looks whether it is late while it does not measure. Looking seldom
	// keeps the measurement free for entries with processor time to spare.
	checkInterval = 230 * time.Millisecond
	lateCheck     = 25 * time.Millisecond // From which an entry measures.
	// delayInterval and delaySpan are the interval of the timer that measures, and the time of one measurement.
	delayInterval = 20 * time.Millisecond
	delaySpan     = 200 * time.Millisecond
	calmSpans     = 5 // Measurements without overload and without a limit after which it looks seldom again.
)

// watchDelay measures how long work waits for a processor while this entry seems late, and limits what it
// takes on.
func (e *Gated) watchDelay(ctx context.Context) {
	for {
		late, ok := sleep(ctx, checkInterval)
		if !ok {
			return
		}
		if late < lateCheck {
			e.intake.Adjust(time.Now(), 0, checkInterval+late)
			continue
		}
		e.measureDelay(ctx)
	}
}

// measureDelay measures until the entry has not been overloaded for a while.
func (e *Gated) measureDelay(ctx context.Context) {
	e.delay.End(delaySpan) // What waited before does not count.
	overloaded := false
	for calm := 0; calm < calmSpans; calm++ {
		start := time.Now()
		for time.Since(start) < delaySpan {
			late, ok := sleep(ctx, delayInterval)
			if !ok {
				return
			}
			e.delay.Late(late)
		}
		mean := e.delay.End(time.Since(start))
		e.intake.Adjust(time.Now(), mean, time.Since(start))
		now := e.intake.Overloaded()
		if now {
			calm = 0
		}
		if now != overloaded {
			overloaded = now
			e.log.Info("Overload of this entry's processor.", "overloaded", overloaded, "delay", mean.String(), "connections-a-second", int64(e.intake.Rate()))
		}
	}
}

// sleep waits for d and returns how late it woke up. It reports false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) (late time.Duration, ok bool) {
	due := time.Now().Add(d)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0, false
	case <-timer.C:
		return time.Since(due), true
	}
}
