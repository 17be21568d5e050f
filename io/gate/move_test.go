package gate

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"azurelane/core/index"
	"azurelane/core/migr"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/wire"
	"azurelane/io/client"
	"azurelane/io/stats"
)

const (
	moveEvents = 100 // Of a run; as many as the callers' headers say.
	moveStep   = 10 * time.Millisecond
	moveDrain  = 500 * time.Millisecond
	moveKeep   = 300 * time.Millisecond // How long engines keep copies.
	moveCopies = 60 * time.Millisecond  // How long a copy takes.
	// An engine that is slow takes slowStep for an event, and in slowDeadline a run does not end at that pace.
	slowStep     = 60 * time.Millisecond
	slowEvents   = 40 // After which a slow engine is fast again, so that runs that stay are whole.
	slowDeadline = 5 * time.Second
)

// testMoves is the dialect of moves of these tests.
type testMoves struct{}

func (testMoves) Copy(ctx context.Context, source, to netip.AddrPort, id string, last bool) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/copy?to=%s&id=%s&last=%t", source, to, id, last), http.NoBody)
}

func (testMoves) Copied(r *http.Response) (status migr.Status, handle string, made int64) {
	all := map[int]migr.Status{http.StatusOK: migr.Done, http.StatusNotFound: migr.Gone, http.StatusConflict: migr.Busy, http.StatusServiceUnavailable: migr.Refused}
	return all[r.StatusCode], r.Header.Get("X-Handle"), 0
}

func (testMoves) Free(ctx context.Context, at netip.AddrPort, handle string) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodDelete, fmt.Sprintf("http://%s/copy?handle=%s", at, handle), http.NoBody)
}

func (testMoves) Continue(h http.Header, source netip.AddrPort, handle string) {
	h.Set("X-Continue", source.String()+"/"+handle)
}

// Faults of engines.
const (
	noRoom       = "no-room"       // No copy finds room.
	lostAnswer   = "lost-answer"   // The answer to the first stop is lost.
	lostAnswers  = "lost-answers"  // All answers to stops are.
	diesCopying  = "dies-copying"  // It ends in the middle of the first copy.
	handleGone   = "handle-gone"   // It does not know the copy's name any more.
	diesStopped  = "dies-stopped"  // It ends once the run has stopped.
	hangsCopying = "hangs-copying" // The copy takes longer than the run.
	endsByClose  = "ends-by-close" // No fault: its streams end with their connections.
	stopsLate    = "stops-late"    // It looks at stops only once its run has ended.
	restarts     = "restarts"      // Another instance answers health checks.
	stopsAgain   = "stops-again"   // A stop that comes late stops the continued run.
	diesLater    = "dies-later"    // It ends in the middle of a continued run.
)

type (
	// moveFleet is engines that move runs among them.
	moveFleet struct {
		mu      sync.Mutex
		engines []*moveEngine
		calls   int
		freed   int
		header  http.Header          // Of the last request for a stream.
		checks  int                  // Health checks.
		early   int                  // Of them while a stop was pending.
		begun   map[string]time.Time // When an engine began to work, by ID.
		worked  map[string]time.Time // When it last did.
	}

	// moveEngine is a stand-in of an engine that offers moves.
	moveEngine struct {
		*httptest.Server
		fleet  *moveFleet
		id     string
		faults []string
		made   int           // Events of its run; 0 for no run.
		memory int           // Events of what is copied.
		stop   chan struct{} // Closed when the run stops.
		to     *moveEngine   // Where its last copy went.
		kept   bool          // The run has stopped, and its memory is kept.
		busy   bool
		copied int       // Events of the copy that it holds; 0 for none.
		until  time.Time // When that is dropped.
		stops  int
		slow   int  // Events that it makes slowly.
		late   int  // Stops that wait for the end of its run.
		again  bool // A stop that came late has stopped its continued run.
	}
)

func (f *moveFleet) add(t *testing.T, faults ...string) *upstream {
	e := &moveEngine{fleet: f, id: fmt.Sprint("up-", len(f.engines)), faults: faults}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	f.engines = append(f.engines, e)
	return &upstream{Listener: e.Listener}
}

func (e *moveEngine) has(fault string) bool { return slices.Contains(e.faults, fault) }

// die breaks all connections.
func (e *moveEngine) die() {
	_ = e.Listener.Close()
	e.CloseClientConnections()
}

// ServeHTTP serves calls and streams.
func (e *moveEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	switch {
	case r.Method == http.MethodDelete:
		e.copied, e.kept = 0, false
		if e.to != nil {
			e.to.copied = 0
		}
		e.fleet.freed++
	case r.URL.Path == "/health":
		e.fleet.checks++
		if e.late > 0 {
			e.fleet.early++
		}
		if e.has(restarts) {
			w.Header().Set("X-Instance", "other")
		}
	case r.URL.Path == "/copy":
		e.fleet.calls++
		e.serveCopy(w, r)
	default:
		e.serveStream(w, r)
	}
}

func (e *moveEngine) serveCopy(w http.ResponseWriter, r *http.Request) {
	last := r.FormValue("last") == "true"
	if last && e.has(stopsLate) {
		e.awaitEnd()
	}
	switch {
	case e.made == 0 && !e.kept:
		w.WriteHeader(http.StatusNotFound)
		return
	case e.busy:
		w.WriteHeader(http.StatusConflict)
		return
	case e.has(noRoom):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if last && !e.kept {
		e.kept, e.memory = true, e.made
		close(e.stop)
	}
	if !e.kept {
		e.memory = e.made
	}
	e.busy = true
	span := moveCopies
	if e.has(hangsCopying) {
		span = 3 * time.Second
	}
	e.fleet.mu.Unlock()
	time.Sleep(span)
	e.fleet.mu.Lock()
	e.busy = false
	if e.has(diesCopying) {
		go e.die()
		panic(http.ErrAbortHandler)
	}
	i := slices.IndexFunc(e.fleet.engines, func(o *moveEngine) bool { return o.Listener.Addr().String() == r.FormValue("to") })
	to := e.fleet.engines[i]
	e.to = to
	to.copied, to.until = e.memory, time.Now().Add(moveKeep)
	w.Header().Set("X-Handle", "h7")
	if !last {
		return
	}
	e.stops++
	if e.has(diesStopped) {
		go e.die()
		panic(http.ErrAbortHandler)
	}
	if to.has(diesStopped) {
		to.die()
	}
	if e.has(lostAnswers) || (e.has(lostAnswer) && e.stops == 1) {
		panic(http.ErrAbortHandler)
	}
}

// harmContinued does what is to happen in the middle of a continued run.
func (e *moveEngine) harmContinued() {
	if e.has(diesLater) {
		e.die()
	}
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if e.has(stopsAgain) && e.made > 0 && !e.kept && !e.again {
		e.kept, e.memory, e.again = true, e.made, true
		close(e.stop)
	}
}

// awaitEnd waits for a while beyond the end of its run.
func (e *moveEngine) awaitEnd() {
	e.late++
	for e.made > 0 {
		e.fleet.mu.Unlock()
		time.Sleep(moveStep)
		e.fleet.mu.Lock()
	}
	e.fleet.mu.Unlock()
	time.Sleep(moveCopies)
	e.fleet.mu.Lock()
	e.late--
}

func (e *moveEngine) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(idHeader, r.Header.Get(idHeader))
	e.fleet.header = r.Header.Clone()
	from, _ := strconv.Atoi(r.Header.Get("X-Last"))
	if r.Header.Get("X-Continue") != "" {
		if e.has(handleGone) || (e.copied == 0 && !e.kept) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		e.copied, e.kept = 0, false
		time.AfterFunc(moveCopies, e.harmContinued)
	}
	w.Header().Set(genuineHeader, "m")
	if e.has(endsByClose) {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	stop := make(chan struct{})
	e.stop, e.made, e.fleet.begun[e.id] = stop, from, time.Now()
	defer func() { e.made = 0 }()
	for n := from + 1; n <= moveEvents; n++ {
		step := moveStep
		switch {
		case e.late > 0:
			step = moveStep / 5 // The run ends before the limit of a call.
		case n <= e.slow:
			step = slowStep
		case e.slow > 0:
			step = moveStep / 5 // A run that stays ends well before the limit of a call.
		}
		e.fleet.mu.Unlock()
		select {
		case <-time.After(step):
		case <-stop:
		case <-r.Context().Done():
		}
		e.fleet.mu.Lock()
		select {
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		default:
		}
		e.made, e.fleet.worked[e.id] = n, time.Now()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// held returns the copies and stopped runs that living engines hold.
func (f *moveFleet) held(now time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.copied > 0 && now.Before(e.until) {
			n++
		}
	}
	return n
}

// moveGate is a gate in front of engines whose first one leaves.
type moveGate struct {
	*testGate
	fleet   *moveFleet
	sched   *fakeScheduler
	granted int
	moves   []*wire.Move // That tickets have asked for.
}

func newMoveGate(t *testing.T, p pool.Pool, faults ...[]string) *moveGate {
	m := &moveGate{fleet: &moveFleet{begun: map[string]time.Time{}, worked: map[string]time.Time{}}}
	var ups []*upstream
	for _, f := range faults {
		ups = append(ups, m.fleet.add(t, f...))
	}
	m.testGate = newTestGate(t, ups...)
	m.sched = m.withScheduler(func(ticket *wire.Ticket) (*wire.Grant, error) {
		for _, u := range m.view.Upstreams["p"] {
			if !slices.Contains(ticket.GetAvoid(), u.GetId()) {
				m.sched.mu.Lock()
				defer m.sched.mu.Unlock()
				m.granted++
				g := &wire.Grant{Slot: uint64(m.granted), Owner: "owner", Upstream: u.GetId(), Address: u.GetAddress()}
				if v := ticket.GetMove(); v != nil {
					m.moves = append(m.moves, v)
					g.EndUs = v.GetCostUs() + v.GetTokens()*moveStep.Microseconds()
				}
				return g, nil
			}
		}
		return nil, refuse.New(refuse.NoUpstream, "", time.Second)
	})
	cfg := *m.view.Index.Config()
	p.ByRoute, p.Slots = true, 4
	cfg.Pools, cfg.Routes = map[string]pool.Pool{"p": p}, slices.Clone(cfg.Routes)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 10 * time.Second
	}
	m.view.Index = index.New(&cfg)
	m.Stats = stats.New()
	m.Moves, m.Calls, m.UpstreamDrain = testMoves{}, &client.Client{}, moveDrain
	return m
}

// slow has the first engine be too slow for a while.
func (m *moveGate) slow(events int, deadline time.Duration) {
	m.fleet.engines[0].slow = events
	cfg := *m.view.Index.Config()
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = deadline
	}
	m.view.Index = index.New(&cfg)
}

// start has the first upstream be slow or leave.
func (m *moveGate) start(slow bool) {
	if slow {
		m.slow(slowEvents, slowDeadline)
		return
	}
	go m.leave()
}

// leave has the first upstream leave once its run has begun.
func (m *moveGate) leave() {
	time.Sleep(100 * time.Millisecond)
	m.leaving.mu.Lock()
	defer m.leaving.mu.Unlock()
	m.leaving.known.Record("up-0", 0, time.Now())
	m.leaving.active.Store(true)
}

func (m *moveGate) metrics() string {
	w := httptest.NewRecorder()
	m.Stats.Text(w, nil)
	return w.Body.String()
}

// check checks what holds after each move: slots are given back, copies freed, and no two engines worked on.
func (m *moveGate) check(t *testing.T) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(3*time.Second), wait.Gap(20*time.Millisecond), wait.BoolFunc(func() bool {
		m.sched.mu.Lock()
		defer m.sched.mu.Unlock()
		return len(m.sched.released) == m.granted
	})), must.Sprint("slots given back"))
	must.Eq(t, 0, m.fleet.held(time.Now()), must.Sprint("copies held"))
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if at, ok := m.fleet.begun["up-1"]; ok {
		must.Less(t, 400*time.Millisecond, m.fleet.worked["up-0"].Sub(at), must.Sprint("both engines work"))
	}
}

var (
	movingPool = pool.Pool{Migrate: true, Moves: true, HandleTime: moveKeep}
	// rebalancingPool also moves streams off slow engines.
	rebalancingPool = pool.Pool{Migrate: true, Moves: true, HandleTime: moveKeep, Rebalance: true, Scheduler: pool.BatchScheduler}
)

// Guards against streams that break because their upstream leaves, or because a move off a slow one fails, events that are missing or come twice, two
// engines that work on one run, and slots or copies that stay held, by what goes wrong at the engines.
func TestMoves(t *testing.T) {
	for _, tc := range []struct {
		name     string
		engines  [][]string // Faults of each.
		counter  string
		whole    bool // Also where the route allows no other upstream to run the request.
		resumes  bool // Whole where it does.
		atSource bool // The stream ends there.
	}{
		{"no fault", [][]string{nil, nil}, "moves_moved", true, true, false},
		{"no other upstream", [][]string{nil}, "moves_no_slot", true, true, true},
		{"no room", [][]string{{noRoom}, nil}, "moves_no_room", true, true, true},
		{"answer lost", [][]string{{lostAnswer}, nil}, "moves_moved", true, true, false},
		{"all answers lost", [][]string{{lostAnswers}, nil}, "moves_returned", true, true, true},
		{"source dies in mid-copy", [][]string{{diesCopying}, nil}, "moves_ended", false, true, false},
		{"destination dies", [][]string{nil, {diesStopped}}, "moves_returned", true, true, true},
		{"source dies once stopped", [][]string{{diesStopped}, nil}, "moves_broken", false, true, false},
		{"handle gone at the destination", [][]string{nil, {handleGone}}, "moves_returned", true, true, true},
		{"handle gone", [][]string{{handleGone}, {handleGone}}, "moves_broken", false, true, false},
		{"copy too slow", [][]string{{hangsCopying}, nil}, "moves_ended", true, true, true},
	} {
		for n, route := range []string{"/stream/x", "/resume/x", "/stream/x", "/resume/x"} {
			slow := n >= 2
			t.Run(fmt.Sprint(tc.name, route, " slow ", slow), func(t *testing.T) {
				t.Parallel()
				p, by := movingPool, byResponse
				if slow {
					p, by = rebalancingPool, bySlow
				}
				m := newMoveGate(t, p, tc.engines...)
				m.start(slow)
				r := m.do("POST", route)
				if whole := tc.whole || (tc.resumes && route == "/resume/x"); whole {
					must.NoError(t, r.err)
					must.Eq(t, eventsUpTo(moveEvents), r.body)
				} else {
					must.Error(t, r.err)
					must.StrHasPrefix(t, r.body, eventsUpTo(moveEvents))
				}
				m.check(t)
				must.StrContains(t, m.metrics(), "azurelane_"+tc.counter+"_total")
				must.StrContains(t, m.metrics(), "azurelane_moves_by_"+by+"_total")
				must.Eq(t, slow, strings.Contains(m.metrics(), "azurelane_"+strings.Replace(tc.counter, "moves_", "moves_slow_", 1)+"_total"))
				if tc.whole {
					must.Eq(t, tc.atSource, m.fleet.begun["up-1"].IsZero())
				}
			})
		}
	}
}

// Guards against moves whose slot no scheduler has granted, and against a move that is given up because the
// scheduler ends after the grant.
func TestMovesWhenTheSchedulerEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		slow   bool
		grants int // After which it ends.
		calls  int
	}{
		{"before it is asked", false, 1, 0},
		{"once it has granted the slot", false, 2, 2},
		{"before it is asked for a slow engine", true, 1, 0},
		{"once it has granted the slot for a slow engine", true, 2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveGate(t, rebalancingPool, nil, nil)
			grant := m.sched.grant
			m.sched.grant = func(ticket *wire.Ticket) (*wire.Grant, error) {
				g, err := grant(ticket)
				m.mu.Lock()
				defer m.mu.Unlock()
				if g.GetSlot() == uint64(tc.grants) {
					m.view.Owner = nil
				}
				return g, err
			}
			m.start(tc.slow)
			must.Eq(t, eventsUpTo(moveEvents), m.do("POST", "/stream/x").body)
			m.check(t)
			must.Eq(t, tc.calls, m.fleet.calls)
			must.Eq(t, tc.grants, m.granted)
		})
	}
}

// Guards against calls to engines that do not offer moves, or that nobody asked for, and against moves of runs
// that end in time.
func TestNoMoves(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pool  pool.Pool
		drain time.Duration
		slow  bool
	}{
		{"switched off", pool.Pool{Moves: true, HandleTime: moveKeep}, moveDrain, false},
		{"not offered", pool.Pool{Migrate: true, HandleTime: moveKeep}, moveDrain, false},
		{"ends in time", rebalancingPool, time.Minute, false},
		{"no drain known", movingPool, 0, false},
		{"slow, and rebalance off", movingPool, time.Minute, true},
		{"slow, and no batch policy", pool.Pool{Migrate: true, Moves: true, HandleTime: moveKeep, Rebalance: true}, time.Minute, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveGate(t, tc.pool, nil, nil)
			m.UpstreamDrain, m.Moves = tc.drain, nil
			for range 2 { // The first request to an upstream asks it to close the connection.
				must.Eq(t, eventsUpTo(moveEvents), m.do("POST", "/stream/x").body)
			}
			without := m.fleet.header
			m.Moves = testMoves{}
			m.start(tc.slow)
			must.Eq(t, eventsUpTo(moveEvents), m.do("POST", "/stream/x").body)
			must.Eq(t, 0, m.fleet.calls)
			must.Eq(t, 3, m.granted)
			without.Del("X-Left") // The time left.
			m.fleet.header.Del("X-Left")
			must.Eq(t, without, m.fleet.header)
		})
	}
}

// Guards against streams that stay at an engine that becomes slow after they have moved there, that move more than
// twice, and against tickets that tell the scheduler too little to choose an engine.
func TestSlowAgainAfterMove(t *testing.T) {
	const always = moveEvents
	for _, tc := range []struct {
		name    string
		engines []int // Events that each makes slowly.
		moves   int
		ends    string // The engine at which the stream does.
	}{
		{"one destination slow", []int{always, always, 0}, 2, "up-2"},
		{"recovers after the move", []int{always, 45, 0}, 1, "up-1"},
		{"all slow", []int{always, always, always, always}, 2, "up-2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveGate(t, rebalancingPool, make([][]string, len(tc.engines))...)
			m.slow(always, 5500*time.Millisecond)
			for n, events := range tc.engines {
				m.fleet.engines[n].slow = events
			}
			r := m.do("POST", "/stream/x")
			m.check(t)
			must.Eq(t, tc.ends == "up-2" && tc.engines[2] == always, r.err != nil)
			must.Len(t, tc.moves, m.moves)
			must.Eq(t, "up-0", m.moves[0].GetFrom())
			must.Between(t, 50, m.moves[0].GetTokens(), moveEvents)
			must.Greater(t, 3_000_000, m.moves[0].GetEndUs())
			must.Between(t, 100_000, m.moves[0].GetCostUs(), 200_000)
			m.fleet.mu.Lock()
			defer m.fleet.mu.Unlock()
			must.MapLen(t, tc.moves+1, m.fleet.begun)
			must.MapContainsKey(t, m.fleet.begun, tc.ends)
		})
	}
}

// Guards against moves off slow engines to whichever engine a scheduler of an earlier version names, which does not
// know what the ticket asks for.
func TestSlowAtEarlierScheduler(t *testing.T) {
	m := newMoveGate(t, rebalancingPool, nil, nil)
	m.start(true)
	grant := m.sched.grant
	m.sched.grant = func(ticket *wire.Ticket) (*wire.Grant, error) {
		ticket.Move = nil
		return grant(ticket)
	}
	must.Eq(t, eventsUpTo(moveEvents), m.do("POST", "/stream/x").body)
	m.check(t)
	must.Eq(t, 0, m.fleet.calls)
	must.Greater(t, 1, m.granted)
}

// Guards against a copy and a slot that stay held after a caller that left in mid-copy.
func TestCallerLeavesDuringMove(t *testing.T) {
	m := newMoveGate(t, movingPool, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 220*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, m.srv.URL+"/resume/x", strings.NewReader("text"))
	must.NoError(t, err)
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(idHeader, "1")
	go m.leave()
	resp, err := http.DefaultClient.Do(r)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	<-ctx.Done()
	time.Sleep(100 * time.Millisecond)
	m.check(t)
	must.Eq(t, 2, m.granted)
	must.Positive(t, m.fleet.freed)
}
