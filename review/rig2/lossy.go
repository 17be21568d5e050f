package main

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lossy"] = lossyCase }

const (
	deployments = 12
	lossTime    = 5500 * time.Millisecond
	lossShare   = 0.04 // Of the packets on each zone's links to the others.
)

// lossyCase replaces a core machine while links lose packets, and takes the disk of another one once the successor
// has had catch_up_s. It plays that in several deployments side by side, since the loss is by chance.
func lossyCase(f *fleet) (int, error) {
	results, errs := make([]int, deployments), make([]error, deployments)
	var wg sync.WaitGroup
	for n := range deployments {
		o, err := f.another(n + 1)
		if err != nil {
			return notRun, err
		}
		defer o.end()
		wg.Go(func() { results[n], errs[n] = lossyDeployment(o) })
	}
	wg.Wait()
	failed, ran := 0, 0
	for n, r := range results {
		if errs[n] != nil {
			f.rec.say("deployment %d not run: %v", n+1, errs[n])
			continue
		}
		ran++
		if r == broken {
			failed++
		}
	}
	f.rec.say("the rule was broken in %d of %d deployments", failed, ran)
	switch {
	case failed > 0:
		return broken, nil
	case ran < deployments/2:
		return notRun, errors.New("too few deployments ran")
	}
	return held, nil
}

func lossyDeployment(f *fleet) (int, error) {
	var hubs []*proc
	for n := range 3 {
		hubs = append(hubs, f.machine("hub", n+1, n))
	}
	successor := f.machine("hub", 11, 0)
	successor.seeds = hubs
	for _, h := range append(append([]*proc(nil), hubs...), successor) {
		if err := h.forward(); err != nil {
			return notRun, err
		}
	}
	for _, h := range hubs {
		h.seeds, h.bootstrap = hubs, true
		if err := h.start(); err != nil {
			return notRun, err
		}
	}
	if f.put(document(1, routes()), 1, 15*time.Second, hubs...) == nil {
		return notRun, errors.New("the first configuration is not acknowledged")
	}
	lose := func(share float64) {
		for _, h := range append(append([]*proc(nil), hubs...), successor) {
			if share > 0 {
				both := 1 - (1-share)*(1-share) // The links of two zones.
				h.forwarder.loss.Store(&both)
			} else {
				h.forwarder.loss.Store(nil)
			}
		}
	}
	if f.trouble {
		lose(lossShare)
		f.rec.say("%slinks between the zones begin to lose packets", f.tag)
		time.AfterFunc(lossTime, func() {
			lose(0)
			f.rec.say("%sno packets are lost any more", f.tag)
		})
	}
	hubs[0].signal(syscall.SIGKILL)
	f.rec.say("%s is gone for good", hubs[0].name)
	time.Sleep(time.Second)
	if err := successor.start(); err != nil {
		return notRun, err
	}
	time.Sleep(catchUp + 200*time.Millisecond)
	left := []*proc{hubs[1], hubs[2], successor}
	acker := f.put(document(5, routes()), 5, 6*time.Second, hubs[1], hubs[2])
	if acker == nil {
		return notRun, errors.New("the change is not acknowledged")
	}
	acker.signal(syscall.SIGKILL)
	acker.wait(time.Second)
	if err := os.RemoveAll(acker.data); err != nil {
		return notRun, err
	}
	f.rec.say("%s has acknowledged the change and loses its disk, %.1f s after the successor's start", acker.name, time.Since(successor.startedAt).Seconds())
	time.Sleep(500 * time.Millisecond)
	acker.bootstrap, acker.seeds = false, left
	if err := acker.start(); err != nil {
		return notRun, err
	}
	f.rec.say("%sall machines are back", f.tag)
	for end := time.Now().Add(2 * recoverTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, h := range left {
			if f.get(h) >= 5 {
				return held, nil
			}
		}
	}
	f.rec.say("%sCONFIG: version 5 was acknowledged, and %v after all machines are back no machine answers a read with it", f.tag, 2*recoverTime)
	return broken, nil
}
