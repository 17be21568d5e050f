package main

import (
	"errors"
	"syscall"
	"time"
)

func init() { cases["replace"] = replaceCase }

// replaceCase removes two of three core machines for good, one after the other, each after its successor has had
// more than catch_up_s.
func replaceCase(f *fleet) (int, error) {
	var old, successors []*proc
	for n := range 3 {
		old = append(old, f.machine("hub", n+1, n))
	}
	for _, h := range old {
		h.seeds, h.bootstrap = old, true
		if err := h.start(); err != nil {
			return notRun, err
		}
	}
	if f.put(document(1, routes()), 1, 15*time.Second, old...) == nil {
		return notRun, errors.New("the first configuration is not acknowledged")
	}
	for n := range 2 {
		s := f.machine("hub", 11+n, n)
		s.seeds = old
		successors = append(successors, s)
		if err := s.start(); err != nil {
			return notRun, err
		}
	}
	time.Sleep(2 * catchUp)
	if f.put(document(2, routes()), 2, 5*time.Second, old[2]) == nil {
		return notRun, errors.New("the configuration is not acknowledged before the first removal")
	}
	gap := 1500 * time.Millisecond // Between the end of the first machine and the SIGTERM of the second.
	if !f.trouble {
		gap = 10 * time.Second
	}
	old[0].signal(syscall.SIGTERM)
	if !old[0].wait(grace) {
		return notRun, errors.New("the first machine does not end")
	}
	time.Sleep(gap)
	if f.put(document(5, routes()), 5, 5*time.Second, old[2]) == nil {
		return notRun, errors.New("the configuration is not acknowledged before the second removal")
	}
	old[1].signal(syscall.SIGTERM)
	if !old[1].wait(grace) {
		return notRun, errors.New("the second machine does not end")
	}
	f.rec.say("both machines are gone for good; their successors run since %.1f s", time.Since(successors[0].startedAt).Seconds())
	// The operator reads the configuration back at all machines that serve control, and sends a change.
	left := []*proc{old[2], successors[0], successors[1]}
	end := time.Now().Add(2 * recoverTime)
	read, acked := 0, false
	for n := 0; time.Now().Before(end) && (read < 5 || !acked); n++ {
		read = max(read, f.get(left[n%len(left)]))
		acked = acked || f.put(document(9, routes()), 9, time.Millisecond, left[n%len(left)]) != nil
		time.Sleep(200 * time.Millisecond)
	}
	if read < 5 {
		f.rec.say("CONFIG: version 5 was acknowledged, and %v after the last machine was removed no machine answers a read", 2*recoverTime)
		return broken, nil
	}
	if !acked {
		f.rec.say("a change is not acknowledged, which breaks no rule by itself")
	}
	return held, nil
}
