package pull_test

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"azurelane/core/budget"
	"azurelane/core/conf"
	"azurelane/core/peers"
	"azurelane/core/pool"
	"azurelane/core/pull"
	"azurelane/core/wire"
)

// The replayed deployment: a wave of 0.55 and 13 s with bursts of 2 for 5 s.
const (
	simEntries, simServers, simPlaces = 140, 4, 6
	simRun                            = 60 * time.Millisecond
	simObjective, simDeadline         = 300 * time.Millisecond, 4 * time.Second
	simLoad                           = 70 * time.Second
	entryRetryAfter                   = 500 * time.Millisecond // defaultRetryAfter of io/gate.
	simRetryRatio, simRetryBurst      = 0.7 * 0.1, 2           // See countFirstSend of io/gate.
)

func simRate(at time.Duration) float64 {
	rate := 200 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
	if n := at % (17 * time.Second); n > 8*time.Second && n < 13*time.Second {
		rate *= 2
	}
	return rate
}

type (
	// sim replays requests from entries to servers. Policy is nil where entries pick alone and while no
	// scheduler answers.
	sim struct {
		hop    time.Duration // One way between two processes.
		queue  int           // Requests that may wait at a server.
		policy *pull.Policy

		now      time.Duration
		events   []simEvent // In order.
		rnd      *rand.Rand
		servers  []*simServer
		entries  []*simEntry
		requests []*simRequest
		open     map[uint64]*simRequest // Whose tickets wait or are granted.
		lastID   uint64
		busy     int // Refusals by servers.
		retries  int
	}

	simServer struct {
		*wire.Upstream
		running int
		waiting []waitingSend
		served  int
		dead    bool
	}

	simEntry struct {
		peers.Peers
		budget.Budget
	}

	waitingSend struct {
		do, broken func()
	}

	simRequest struct {
		*simEntry
		name     string // Of the entry.
		arrived  time.Duration
		askedAt  time.Duration // When its ticket was first sent.
		returned bool
		tried    []string
		runs     int
		grant    *wire.Grant
		ticket   *wire.Ticket
		ended    string // Nothing while it is open.
	}

	simEvent struct {
		at time.Duration
		do func()
	}
)

func (s *sim) after(d time.Duration, do func()) {
	at := s.now + d
	n, _ := slices.BinarySearchFunc(s.events, at+1, func(e simEvent, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.events = slices.Insert(s.events, n, simEvent{at, do})
}

func newSim(hop time.Duration, queue int, p *pull.Policy) *sim {
	s := &sim{hop: hop, queue: queue, policy: p, rnd: rand.New(rand.NewPCG(1, 2)), open: map[uint64]*simRequest{}}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{Upstream: &wire.Upstream{Id: fmt.Sprint("up-", i), Slots: simPlaces}})
	}
	for range simEntries {
		s.entries = append(s.entries, &simEntry{Budget: budget.Budget{Ratio: simRetryRatio, Burst: simRetryBurst}})
	}
	s.after(0, s.arrive)
	s.after(0, s.tick)
	return s
}

// newScheduler returns a policy with the servers announced.
func newScheduler(now time.Time, late bool) *pull.Policy {
	p := &pull.Policy{}
	p.Configure(now, "p", &conf.Config{Pools: map[string]pool.Pool{"p": {ByRoute: true, LateService: &late}}})
	for i := range simServers {
		p.Announce(now, announce(i, simPlaces))
	}
	return p
}

// run replays until a time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := s.events[0]
		s.events, s.now = s.events[1:], e.at
		e.do()
	}
}

func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) arrive() {
	if s.now > simLoad {
		return
	}
	n := s.rnd.IntN(simEntries)
	r := &simRequest{simEntry: s.entries[n], name: fmt.Sprint("entry-", n), arrived: s.now}
	s.requests = append(s.requests, r)
	r.AddFirstAttempt()
	s.place(r)
	s.after(time.Duration(s.rnd.ExpFloat64()/simRate(s.now)*float64(time.Second)), s.arrive)
}

func (s *sim) tick() {
	if s.policy != nil {
		s.decide(s.policy.Tick(s.clock()))
	}
	if s.now < simLoad+2*simDeadline {
		s.after(5*time.Millisecond, s.tick)
	}
}

// place picks a server at the entry, or sends a ticket.
func (s *sim) place(r *simRequest) {
	if s.policy != nil {
		s.lastID++
		s.open[s.lastID] = r
		s.sendTicket(r, s.lastID)
		return
	}
	var list []*wire.Upstream
	for _, u := range s.servers {
		list = append(list, u.Upstream)
	}
	u := r.Pick(s.clock(), list, peers.Choice{Self: r.name, Avoid: r.tried})
	if u == nil {
		s.refuse(r, entryRetryAfter)
		return
	}
	r.Begin(s.clock(), u.GetId())
	s.send(r, u.GetId())
}

func (s *sim) sendTicket(r *simRequest, id uint64) {
	if r.ticket == nil {
		r.askedAt = s.now
	}
	r.ticket = &wire.Ticket{
		Id: id, Entry: r.name, Incarnation: r.name, Account: "a", Pool: "p", Route: "r", Priority: 2, Avoid: r.tried, WaitedUs: (s.now - r.askedAt).Microseconds(),
		DeadlineUs: (r.arrived + simDeadline - s.now).Microseconds(), ObjectiveUs: (r.arrived + simObjective - s.now).Microseconds(),
	}
	s.after(s.hop, func() {
		if s.policy != nil {
			s.decide(s.policy.Submit(s.clock(), r.ticket))
		}
	})
}

func (s *sim) decide(ds []*wire.Decision) {
	for _, d := range ds {
		r, p := s.open[d.GetTicket()], s.policy
		s.after(s.hop, func() {
			switch {
			case p != s.policy || r.ticket.GetId() != d.GetTicket(): // The scheduler has ended.
			case d.GetGrant() != nil:
				r.grant = d.GetGrant()
				s.send(r, r.grant.GetUpstream())
			default:
				delete(s.open, d.GetTicket())
				r.ticket = nil
				s.refuse(r, time.Duration(d.GetRefusal().GetRetryAfterUs())*time.Microsecond)
			}
		})
	}
}

// send sends a request to a server, which runs it, queues it, refuses it, or is dead.
func (s *sim) send(r *simRequest, id string) {
	u := s.servers[slices.IndexFunc(s.servers, func(u *simServer) bool { return u.GetId() == id })]
	sent := s.now
	s.after(s.hop, func() {
		run := func() { s.serve(u, r, sent) }
		switch {
		case u.dead:
			s.after(s.hop, func() { s.end(r, u, sent, "unsent") })
		case u.running < simPlaces:
			run()
		case len(u.waiting) < s.queue:
			u.waiting = append(u.waiting, waitingSend{run, func() { s.end(r, u, sent, "broken") }})
		default:
			s.busy++
			s.after(s.hop, func() { s.end(r, u, sent, "busy") })
		}
	})
}

func (s *sim) serve(u *simServer, r *simRequest, sent time.Duration) {
	u.running++
	r.runs++
	u.served++
	s.after(simRun, func() {
		u.running--
		outcome := "whole"
		if u.dead {
			outcome = "broken"
		}
		s.after(s.hop, func() { s.end(r, u, sent, outcome) })
		if len(u.waiting) > 0 && !u.dead {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next.do()
		}
	})
}

// end does what an entry does at the end of a send.
func (s *sim) end(r *simRequest, u *simServer, sent time.Duration, outcome string) {
	took, busy, unsent := s.now-sent, outcome == "busy", outcome == "unsent"
	switch {
	case r.grant != nil:
		rel := &wire.Release{
			Ticket: r.ticket.GetId(), Entry: r.name, Incarnation: r.name, Pool: "p", Upstream: u.GetId(), Slot: r.grant.GetSlot(), Owner: r.grant.GetOwner(),
			Account: "a", Dispatched: !unsent, Busy: busy, Whole: outcome == "whole", Failed: unsent || outcome == "broken",
			FirstTokenUs: took.Microseconds(), TotalUs: took.Microseconds(),
		}
		s.after(s.hop, func() {
			delete(s.open, rel.GetTicket())
			if s.policy != nil {
				s.decide(s.policy.Release(s.clock(), rel))
			}
		})
		r.grant, r.ticket = nil, nil
	case busy:
		r.Drop(u.GetId())
	default:
		r.End(s.clock(), u.GetId(), took, !unsent, outcome == "whole")
	}
	switch {
	case outcome == "whole" && s.now-r.arrived <= simObjective:
		r.ended = "in time"
	case outcome == "whole" && s.now-r.arrived <= simDeadline:
		r.ended = "late"
	case !busy && !unsent: // It may run once.
		r.ended = "lost"
	case busy && !r.TakeRetry():
		s.refuse(r, entryRetryAfter)
	default:
		if busy {
			s.retries++
		}
		r.tried = append(r.tried, u.GetId())
		s.place(r)
	}
}

// refuse gives the caller a Retry-After, which it honours once for up to a third of the time left.
func (s *sim) refuse(r *simRequest, after time.Duration) {
	if r.returned || after > (r.arrived+simDeadline-s.now)/3 {
		r.ended = "refused"
		return
	}
	r.returned, r.tried = true, nil
	s.after(after, func() {
		r.AddFirstAttempt()
		s.place(r)
	})
}

// shares returns the share of requests by how they ended, after a warm-up.
func (s *sim) shares(t *testing.T) map[string]float64 {
	t.Helper()
	const warm = 20 * time.Second
	all, shares := 0., map[string]float64{}
	for _, r := range s.requests {
		must.LessEq(t, 1, r.runs, must.Sprint("runs of a request that may run once"))
		must.True(t, r.runs == 0 || r.ended != "refused", must.Sprint("refused although it ran"))
		if r.arrived >= warm {
			all++
			shares[r.ended]++
		}
	}
	for ended := range shares {
		shares[ended] /= all
	}
	t.Logf("%v, %d refusals by servers, %d retries of %d requests", shares, s.busy, s.retries, len(s.requests))
	return shares
}

// die ends a server: what runs and waits there is broken off.
func (s *sim) die(u *simServer) {
	u.dead = true
	for _, w := range u.waiting {
		s.after(s.hop, w.broken)
	}
	u.waiting = nil
}

// endScheduler ends the scheduler, and begins the next one after a time. Entries send it the slots that they hold
// and the tickets that wait, with the time left.
func (s *sim) endScheduler(gap time.Duration) {
	s.policy = nil
	s.after(gap, func() {
		s.policy = newScheduler(s.clock(), true)
		for _, id := range slices.Sorted(maps.Keys(s.open)) {
			r := s.open[id]
			if r.grant != nil {
				s.policy.Hold(s.clock(), &wire.Held{Entry: r.name, Incarnation: r.name, Slots: []*wire.HeldSlot{{Ticket: r.ticket, Grant: r.grant}}})
				continue
			}
			s.sendTicket(r, id)
		}
	})
}

// Guards against tickets that serve callers worse than entries which pick alone, or than tickets of a policy that
// knows no objectives: for servers with and without a queue, and for short and long messages.
// An answer that is late has 0.3 of its worth.
func TestPlainServersInWavesAndBursts(t *testing.T) {
	for _, tc := range []struct {
		hop   time.Duration
		queue int
	}{{time.Millisecond, 0}, {time.Millisecond, 3}, {5 * time.Millisecond, 0}, {5 * time.Millisecond, 3}, {25 * time.Millisecond, 3}} {
		t.Run(fmt.Sprint(tc.hop, "/", tc.queue), func(t *testing.T) {
			play := func(name string, p *pull.Policy) (*sim, map[string]float64, float64) {
				s := newSim(tc.hop, tc.queue, p)
				s.run(simLoad + 2*simDeadline)
				t.Log(name)
				shares := s.shares(t)
				return s, shares, shares["in time"] + 0.3*shares["late"]
			}
			others, alone, aloneWorth := play("entries pick alone", nil)
			_, _, lateWorth := play("tickets of the policy late", newScheduler(start, false))
			s, plain, worth := play("tickets with late-service", newScheduler(start, true))
			must.GreaterEq(t, max(aloneWorth, lateWorth), worth)
			must.GreaterEq(t, alone["in time"], plain["in time"])
			must.LessEq(t, alone["refused"], plain["refused"])
			must.Eq(t, 0, plain["lost"])
			must.LessEq(t, others.retries, s.retries)
			must.LessEq(t, others.busy/10, s.busy)
		})
	}
}

// Guards against requests that are lost, or run twice, because the scheduler ends in a burst while hundreds of
// tickets wait, and against refusals of them by the next one, which has seen nothing: no more are refused than
// arrive until the runs have ended that entries placed alone.
func TestSchedulerEndsWhileTicketsWait(t *testing.T) {
	const at = 45 * time.Second
	whole := newSim(time.Millisecond, 3, newScheduler(start, true))
	whole.run(simLoad + 2*simDeadline)
	undisturbed := whole.shares(t)
	for _, gap := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			s := newSim(time.Millisecond, 3, newScheduler(start, true))
			s.run(at)
			waiting := 0
			for _, r := range s.open {
				if r.grant == nil {
					waiting++
				}
			}
			must.Greater(t, 200, waiting)
			s.endScheduler(gap)
			s.run(simLoad + 2*simDeadline)
			must.MapEmpty(t, s.open)
			got := s.shares(t)
			arrived := 0.
			for _, r := range s.requests {
				if r.arrived >= at && r.arrived < at+gap+3*simRun {
					arrived++
				}
			}
			must.LessEq(t, undisturbed["refused"]+arrived/float64(len(s.requests)), got["refused"])
			must.Eq(t, 0, got["lost"])
		})
	}
}

// Guards against a request of the kind that may run once that runs again after its server has died, against
// requests that wait for that server, and against a server that gets no work after it has started again.
func TestServerDiesWithRequestsThatMayRunOnce(t *testing.T) {
	s := newSim(time.Millisecond, 3, newScheduler(start, true))
	s.run(45 * time.Second)
	u := s.servers[0]
	atRisk := u.running + len(u.waiting)
	s.die(u)
	s.run(50 * time.Second)
	u.dead = false
	again := announce(0, simPlaces)
	again.Incarnation, again.Seq = "again", 1
	s.decide(s.policy.Announce(s.clock(), again))
	s.run(60 * time.Second)
	before, all := u.served, 0
	for _, other := range s.servers {
		all -= other.served
	}
	s.run(simLoad + 2*simDeadline)
	for _, other := range s.servers {
		all += other.served
	}
	must.GreaterEq(t, all/simServers*8/10, u.served-before)
	lost := 0
	for _, r := range s.requests {
		if r.ended == "lost" {
			lost++
		}
	}
	s.shares(t)
	must.Between(t, 1, lost, atRisk+2)
}
