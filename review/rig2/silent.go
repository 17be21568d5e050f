package main

import (
	"errors"
	"time"
)

const (
	otherPool = "wupo77c"
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
)

func init() { cases["silent"] = silentCase }

// smallSite starts three hubs and some gates, with forwarders before the hubs' ports for links.
func smallSite(f *fleet, gates int, doc []byte) (hubs, entries []*proc, err error) {
	for n := range 3 {
		hubs = append(hubs, f.machine("hub", n+1, n))
	}
	for n := range gates {
		entries = append(entries, f.machine("gate", n+11, n%3))
	}
	for _, p := range append(append([]*proc(nil), hubs...), entries...) {
		p.seeds, p.bootstrap = hubs, true
		if p.role == "hub" {
			if err := p.forward(); err != nil {
				return nil, nil, err
			}
		}
		if err := p.start(); err != nil {
			return nil, nil, err
		}
	}
	if f.put(doc, 1, 15*time.Second, hubs...) == nil {
		return nil, nil, errors.New("the first configuration is not acknowledged")
	}
	return hubs, entries, nil
}

// awaitReady waits until all entries say that they are ready.
func awaitReady(entries []*proc) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, e := range entries {
			if e.ready() {
				n++
			}
		}
		if n == len(entries) {
			return true
		}
	}
	return false
}

// silentCase makes the open connections between front and core machines go silent for good, and moves a route to
// another service half a second later.
func silentCase(f *fleet) (int, error) {
	list := routes()
	hubs, entries, err := smallSite(f, 7, document(1, list, otherPool))
	if err != nil {
		return notRun, err
	}
	l := &ledger{}
	var servers []*server
	for n := range 6 {
		service := plainPool
		if n >= 3 {
			service = otherPool
		}
		s := f.newServer(l, n, service, n%3, func() []*proc { return hubs })
		if err := s.start(); err != nil {
			return notRun, err
		}
		defer s.end()
		servers = append(servers, s)
	}
	if !awaitReady(entries) {
		return notRun, errors.New("an entry is not ready")
	}
	c := f.newCallers()
	for _, e := range entries {
		for range 2 {
			c.begin(e, 20*time.Millisecond, alert)
		}
	}
	time.Sleep(4 * time.Second)
	start := f.rec.now()
	if f.trouble {
		pids := map[int]bool{}
		for _, e := range entries {
			pids[e.pid()] = true
		}
		n := 0
		for _, h := range hubs {
			n += h.forwarder.silence(pids)
		}
		start = f.rec.now()
		f.rec.say("%d open connections between front and core machines go silent for good; new ones work", n)
		if n == 0 {
			return notRun, errors.New("no connection was found")
		}
	}
	time.Sleep(500 * time.Millisecond)
	moved := routes()
	moved[4].Service = otherPool
	go servers[1].drain()
	if f.put(document(5, moved, otherPool), 5, 2*time.Second, hubs...) == nil {
		return notRun, errors.New("the change is not acknowledged")
	}
	acked := f.rec.now()
	time.Sleep(6 * time.Second)
	all := c.end()
	count, late, last := 0, 0, time.Duration(0)
	drained := time.Duration(servers[1].drainAckedAt.Load())
	lateDrain := 0
	for _, a := range all {
		for _, r := range l.of(a.id) {
			if a.sent > start+contact && a.sent > acked+configApply {
				count++
				if r.service == plainPool {
					late++
					last = max(last, a.sent)
					f.rec.say("request %s sent at %.3f to %s is run by the service of version 1 (%s)", a.id, a.sent.Seconds(), a.gate, r.server)
				}
			}
			if drained > 0 && a.sent > start+contact && r.at > drained+drainTime && r.server == servers[1].id {
				lateDrain++
			}
		}
	}
	f.rec.say("change acknowledged at %.3f, connections silent since %.3f; %d requests were sent later than %v after the one and %v after the other", acked.Seconds(), start.Seconds(), count, configApply, contact)
	f.rec.say("%d of them were handled as only the older version allows, the last %.3f s after the connections went silent; %d reached a server that had long been draining", late, (last - start).Seconds(), lateDrain)
	switch {
	case count < 100:
		return notRun, errors.New("too few requests")
	case late > 0:
		return broken, nil
	}
	return held, nil
}
