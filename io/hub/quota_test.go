package hub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/index"
	"azurelane/core/meta"
	"azurelane/core/peers"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/gate"
	"azurelane/io/grant"
	"azurelane/io/watch"
)

var quotaSeeds = flag.Uint64("quota.seeds", 12, "seeds of the simulation of rates")

// Rates of the simulated account, in units per second, and what may pass beyond them.
const (
	simRate    = 1000.0
	simOverage = 0.1
	simSlack   = 800.0
	simWindow  = 8 * time.Second
	simSpan    = 25 * time.Second
	simEntries = 5
)

type (
	// simulation is a deployment of real entries and a real scheduler, in a synctest bubble: a greedy
	// account asks for several times its rate and a modest one for a tenth of it, while entries lose
	// the scheduler or start again, schedulers follow each other and limits change.
	simulation struct {
		t       *testing.T
		hub     *Hub
		replica *fakeReplica
		rnd     *rand.Rand // Of faults.
		load    *rand.Rand // Of requests.
		stop    chan struct{}
		wg      sync.WaitGroup

		mu      sync.Mutex
		entries [simEntries]*simEntry
		starts  int
		sent    []simSend // Of the greedy account.
		refused int       // Requests of the modest account, for its rate.
		modest  int
		rate    float64 // In force.
	}

	simSend struct {
		at    time.Time
		units int64
	}

	// simEntry is a process of an entry with its link to the scheduler.
	simEntry struct {
		sim  *simulation
		name string
		gate *gate.Gate

		startedAt time.Time
		dead      atomic.Bool

		reportedTo string // Scheduler that received the last report of usage; used by poll alone.

		mu   sync.Mutex
		view watch.View
		cut  bool
	}
)

func simConfig(rate float64) *conf.Config {
	hash := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	account := func(key string, rate float64) acct.Account {
		return acct.Account{MoreKeysSHA256: []string{hash(key)}, Rate: rate, Burst: rate}
	}
	return &conf.Config{
		Accounts: map[string]acct.Account{"greedy": account("greedy", rate), "modest": account("modest", simRate)},
		Pools:    map[string]pool.Pool{"engines": {ByRoute: true, Slots: 4, Scheduler: "batch"}, "plain": {ByRoute: true}},
		Routes: []route.Route{
			{Name: "engines", Host: "h", Prefix: "/engines/", Split: []route.Share{{Pool: "engines", Weight: 1}}, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond},
			{Name: "plain", Host: "h", Prefix: "/plain/", Split: []route.Share{{Pool: "plain", Weight: 1}}, Timeout: time.Second, Objective: 100 * time.Millisecond},
		},
	}
}

// Guards against an account that gets more than its rate in any window, whoever admits its requests and
// however often schedulers, entries and limits change, and against an account below its rate that is
// refused for it while schedulers are known.
func TestRatesHoldInAnyWindow(t *testing.T) {
	for seed := range *quotaSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			prepare := func(h *Hub) {
				h.Overage, h.QuotaSlack = simOverage, simSlack
				h.Parse = func(doc []byte) (*conf.Config, error) {
					rate, err := strconv.ParseFloat(string(doc), 64)
					if err != nil {
						rate = simRate
					}
					return simConfig(rate), nil
				}
			}
			runHubWith(t, prepare, func(t *testing.T, h *Hub, f *fakeReplica) {
				s := &simulation{t: t, hub: h, replica: f, rnd: rand.New(rand.NewPCG(seed, 7)), load: rand.New(rand.NewPCG(seed, 8)), stop: make(chan struct{}), rate: simRate} //nolint:gosec // Repeats.
				s.play()
			})
		})
	}
}

func (s *simulation) play() {
	s.every(time.Second, s.announce)
	for n := range simEntries {
		s.start(n)
		s.every(250*time.Millisecond, func() { s.entry(n).report() })
		s.every(200*time.Millisecond, func() { s.entry(n).poll() })
	}
	s.every(10*time.Millisecond, s.ask)
	for end := time.Now().Add(simSpan); time.Now().Before(end); time.Sleep(time.Duration(100+s.rnd.IntN(900)) * time.Millisecond) {
		s.fault()
	}
	close(s.stop)
	s.wg.Wait()
	most := s.mostInWindow()
	s.t.Log("most in a window", most, "modest account: refused", s.refused, "of", s.modest)
	must.LessEq(s.t, (simRate*simWindow.Seconds()+simRate)*(1+simOverage)+simSlack, float64(most))
	must.LessEq(s.t, s.modest/50, s.refused)
}

// every calls f at an interval until the simulation stops.
func (s *simulation) every(interval time.Duration, f func()) {
	f()
	s.wg.Go(func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(interval):
				f()
			}
		}
	})
}

func (s *simulation) announce() {
	for n := range 40 {
		for _, p := range []string{"engines", "plain"} {
			r := newReport(fmt.Sprint(p, n), uint64(time.Now().UnixNano()), wire.Upstream_STATE_SERVING) //nolint:gosec // Not negative.
			r.Upstream.Pool, r.Upstream.DataCentre = p, "z1"
			_ = s.hub.Report(s.t.Context(), r)
		}
	}
}

// fault brings one fault, which ends by itself.
func (s *simulation) fault() {
	n, span := s.rnd.IntN(simEntries), time.Duration(100+s.rnd.IntN(2400))*time.Millisecond
	switch s.rnd.IntN(6) {
	case 0:
		s.wg.Go(func() { s.entry(n).loseLink(span) })
	case 1:
		for n := range simEntries {
			s.wg.Go(func() { s.entry(n).loseLink(span / 3) })
		}
	case 2:
		s.start(n)
	case 3:
		s.replica.setLeads(false)
		time.Sleep(span / 6)
		s.replica.setLeads(true)
	default:
		s.mu.Lock()
		s.rate = []float64{simRate, simRate, 0.9 * simRate, simRate / 4}[s.rnd.IntN(4)]
		rate := s.rate
		s.mu.Unlock()
		_ = s.hub.Publish(s.t.Context(), uint64(time.Now().UnixNano()), []byte(strconv.FormatFloat(rate, 'g', -1, 64))) //nolint:gosec // Not negative.
	}
}

// ask sends requests of both accounts at some entry.
func (s *simulation) ask() {
	e := s.entry(s.load.IntN(simEntries))
	path, units := []string{"/engines/x", "/plain/x"}[s.load.IntN(2)], 10+s.load.IntN(60)
	s.wg.Go(func() { e.serve("greedy", path, units) })
	if s.load.IntN(40) > 0 {
		return
	}
	s.wg.Go(func() {
		status := e.serve("modest", path, units)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.modest++
		if status == http.StatusTooManyRequests {
			s.refused++
		}
	})
}

func (s *simulation) mostInWindow() int64 {
	slices.SortFunc(s.sent, func(a, b simSend) int { return a.at.Compare(b.at) })
	most, sum, first := int64(0), int64(0), 0
	for _, a := range s.sent {
		sum += a.units
		for a.at.Sub(s.sent[first].at) >= simWindow {
			sum -= s.sent[first].units
			first++
		}
		most = max(most, sum)
	}
	return most
}

// start starts the process of an entry, after it has killed the one before.
func (s *simulation) start(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	e := &simEntry{sim: s, name: fmt.Sprint("e", n), startedAt: time.Now()}
	e.gate = &gate.Gate{
		Node: e.name, Incarnation: fmt.Sprint(e.name, "-", s.starts), DataCentre: "z1", Cluster: e, Granter: e, Sender: e, Charger: e, Path: e, Dialect: simDialect{},
		RetryRatio: 0.2, RetrySlack: 50, QuotaSlack: simSlack, Log: logr.Discard(),
	}
	if old := s.entries[n]; old != nil {
		old.dead.Store(true)
	}
	s.entries[n] = e
}

func (s *simulation) entry(n int) *simEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[n]
}

func (e *simEntry) serve(account, path string, units int) int {
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader("body"))
	r.Header.Set("Authorization", "Bearer "+account)
	r.Header.Set("X-Account", account)
	r.Host = "h"
	r.Header.Set("X-Units", strconv.Itoa(units))
	w := httptest.NewRecorder()
	e.gate.ServeHTTP(w, r)
	return w.Code
}

// poll gets the news, as watch.Watcher does.
func (e *simEntry) poll() {
	g := e.gate
	e.mu.Lock()
	known, entries, cut := e.view.Owner.GetIncarnation(), e.view.Entries, e.cut
	e.mu.Unlock()
	if cut {
		return
	}
	w := &wire.Watch{Node: e.name, Incarnation: g.Incarnation, DataCentre: "z1", Leader: known, Entries: int64(entries)}
	if known == "" || known != e.reportedTo {
		w.Rates, w.UpUs = g.UsageRates(), max(time.Since(e.startedAt).Microseconds(), 1)
	}
	n, err := askNews(e.sim.hub, w)
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.GetUpUs() > 0 {
		e.reportedTo = n.GetLeader()
	}
	if err != nil {
		e.view.Owner = nil
		return
	}
	e.sim.mu.Lock()
	rate := e.sim.rate
	e.sim.mu.Unlock()
	if n.GetVersion() != e.view.Version || e.view.Index == nil {
		e.view.Version, e.view.Index = n.GetVersion(), index.New(simConfig(rate))
		e.view.Upstreams = map[string][]*wire.Upstream{}
		for i := range 40 {
			for _, p := range []string{"engines", "plain"} {
				e.view.Upstreams[p] = append(e.view.Upstreams[p], &wire.Upstream{Id: fmt.Sprint(p, i), Slots: 4, DataCentre: "z1"})
			}
		}
	}
	e.view.Entries, e.view.Owner = int(n.GetEntries()), &wire.Member{Incarnation: n.GetLeader()}
}

func (e *simEntry) report() {
	_ = e.gate.ReportUsage(func(u *wire.Usage) error {
		_, err := e.call(context.Background(), &wire.Frame{Body: &wire.Frame_Usage{Usage: u}})
		return err
	})
}

var errCut = errors.New("the link is cut")

// call sends a frame to the scheduler.
func (e *simEntry) call(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	e.mu.Lock()
	cut := e.cut || e.dead.Load()
	e.mu.Unlock()
	if cut {
		return nil, errCut
	}
	return e.sim.hub.Handle(ctx, f)
}

// loseLink cuts the entry off from the scheduler, which it notices some time later.
func (e *simEntry) loseLink(span time.Duration) {
	const notice = 150 * time.Millisecond
	e.setCut(true, true)
	time.Sleep(notice)
	e.setCut(true, false)
	time.Sleep(span)
	e.setCut(false, false)
}

func (e *simEntry) setCut(cut, keepsOwner bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	if !keepsOwner {
		e.view.Owner = nil
	}
}

func (e *simEntry) View() *watch.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.view
	return &v
}

func (e *simEntry) Configured() <-chan struct{} { return make(chan struct{}) }

func (e *simEntry) Excuses(string) bool { return false }

func (e *simEntry) Blocked() bool { return false }

func (e *simEntry) Doubt(context.Context) {}

func (e *simEntry) Replaced(*wire.Upstream) {}

func (e *simEntry) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	f, err := e.call(ctx, &wire.Frame{Body: &wire.Frame_Ticket{Ticket: t}})
	if err != nil {
		e.setCut(errors.Is(err, errCut), false)
		return nil, grant.ErrNoOwner
	}
	if r := f.GetDecision().GetRefusal(); r != nil {
		if r.GetCode() == "withdrawn" {
			return nil, grant.ErrNoOwner
		}
		return nil, refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
	}
	return f.GetDecision().GetGrant(), nil
}

func (e *simEntry) Release(r *wire.Release) {
	_, _ = e.call(context.Background(), &wire.Frame{Body: &wire.Frame_Release{Release: r}})
}

func (e *simEntry) Charge(ctx context.Context, u *wire.Usage) error {
	f, err := e.call(ctx, &wire.Frame{Body: &wire.Frame_Usage{Usage: u}})
	if err != nil {
		return err
	}
	if r := f.GetDecision().GetRefusal(); r != nil {
		return refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
	}
	return nil
}

// Send runs a request at an upstream.
func (e *simEntry) Send(_ context.Context, r *http.Request) (*http.Response, bool, error) {
	if e.dead.Load() {
		return nil, false, errCut
	}
	if r.Header.Get("X-Account") == "greedy" {
		units, _ := strconv.ParseInt(r.Header.Get("X-Units"), 10, 64)
		e.sim.mu.Lock()
		e.sim.sent = append(e.sim.sent, simSend{time.Now(), units})
		e.sim.mu.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("whole")), ContentLength: 5, Request: r,
	}, true, nil
}

// simDialect takes the units of a request from a header.
type simDialect struct{}

func (simDialect) Read(h http.Header) (meta.Meta, error) {
	units, err := strconv.ParseInt(h.Get("X-Units"), 10, 64)
	return meta.Meta{Prompt: units / 2, Answer: units - units/2}, err
}

func (simDialect) Forward(h http.Header) http.Header { return h.Clone() }

func (simDialect) Stamp(http.Header, meta.Hop) {}

func (simDialect) NotRun(*http.Response) bool { return false }

func (simDialect) Other(*http.Response) bool { return false }

func (simDialect) Load(*http.Response) (peers.Load, bool) { return peers.Load{}, false }

func (simDialect) Limit(*http.Response) (float64, bool) { return 0, false }

func (simDialect) Brittle(*http.Response) (int64, bool) { return 0, false }

func (simDialect) Rest(*http.Response) time.Duration { return 0 }
func (simDialect) Leaving(*http.Response) bool       { return false }

func (simDialect) Return(http.Header) {}

func (simDialect) Instance(*http.Response) string { return "" }

func (simDialect) Genuine(*http.Response) bool { return true }

func (simDialect) Refuse(http.Header, time.Duration) {}
