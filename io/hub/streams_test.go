package hub

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"azurelane/core/acct"
	"azurelane/core/conf"
	"azurelane/core/digest"
	"azurelane/core/meta"
	"azurelane/core/pool"
	"azurelane/core/refuse"
	"azurelane/core/route"
	"azurelane/core/wire"
	"azurelane/io/gate"
	"azurelane/io/grant"
	"azurelane/io/watch"
)

var (
	streamSeeds = flag.Uint64("streams.seeds", 6, "seeds of the simulation of streams")
	streamFirst = flag.Uint64("streams.first", 0, "first seed of the simulation of streams")
)

const (
	streamSpan    = 30 * time.Second
	streamEntries = 5 // Two of them in the data centre that is cut off at times.
	streamEvents  = 20
	streamStep    = 15 * time.Millisecond
	streamTries   = 3
	streamTimeout = 4 * time.Second
	// oneVersionSpan is how long upstreams of one version serve at first. It is longer than any stream
	// may be taken up, so that entries and schedulers may rely on it.
	oneVersionSpan = 70 * time.Second
)

// Addresses of the replicas.
var (
	leaderAddr = netip.MustParseAddrPort("10.0.0.9:7000")
	cutOffAddr = netip.MustParseAddrPort("10.0.0.1:7000")
)

type (
	// streamSim is a deployment of real entries and schedulers in a synctest bubble: upstreams of
	// several versions come, leave and break streams off, while entries are killed, lose their links or
	// are cut off with their data centre, and schedulers follow each other.
	streamSim struct {
		t      *testing.T
		leader *Hub
		log    *fakeReplica
		cutOff *Hub // Replica in the data centre that is cut off.
		copied *fakeReplica
		rnd    *rand.Rand // Of faults.
		breaks *rand.Rand // Of streams; guarded by mu.
		stop   chan struct{}
		wg     sync.WaitGroup // Callers, upstreams and faults.
		procs  sync.WaitGroup // Processes of entries.
		next   atomic.Int64
		began  time.Time

		mu        sync.Mutex
		cut       bool // The data centre z2 is cut off.
		entries   [streamEntries]*streamEntry
		upstreams map[string]*simUpstream
		starts    int
		counts    streamResults
	}

	streamResults struct {
		sent, began, resumed, wentOn, mixed int
		lost                                map[string]int // Attempts to take a stream up that brought no event, by cause.
	}

	simUpstream struct {
		id, pool, version, dataCentre string
		leaving                       bool
		gone                          atomic.Bool
		seq                           uint64
	}

	// streamEntry is the process of an entry.
	streamEntry struct {
		sim        *streamSim
		name       string
		dataCentre string
		gate       *gate.Gate
		*watch.Watcher
		ctx  context.Context //nolint:containedctx // Its end is the end of the process.
		kill context.CancelFunc
		cut  atomic.Bool // It reaches no replica.
	}

	// heldStream is what a caller holds of one stream.
	heldStream struct {
		first, last string
		versions    []string
		trace       []string // Attempts, for the log of a failed test.
	}
)

func streamConfig() *conf.Config {
	sum := sha256.Sum256([]byte("k"))
	r := func(name string) route.Route {
		return route.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Split: []route.Share{{Pool: name, Weight: 1}}, Timeout: streamTimeout, Objective: 300 * time.Millisecond,
			Gap: 300 * time.Millisecond, Stream: true, Resumable: true, Upstreams: 3,
		}
	}
	return &conf.Config{
		Accounts: map[string]acct.Account{"t": {KeySHA256: hex.EncodeToString(sum[:])}},
		Pools:    map[string]pool.Pool{"engines": {ByRoute: true, Slots: 4, Scheduler: "batch"}, "plain": {ByRoute: true}},
		Routes:   []route.Route{r("engines"), r("plain")},
	}
}

// Guards against streams that hold events of two versions, however upstreams, entries, schedulers and
// data centres come, go and lose touch, and against streams that do not go on though they could.
func TestStreamsHoldOneVersion(t *testing.T) {
	for seed := *streamFirst; seed < *streamFirst+*streamSeeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStreamSim(t, seed)
				s.play()
				c := s.counts
				t.Logf("%d sent, %d began, %d taken up, %d went on, %d of two versions; lost: %v", c.sent, c.began, c.resumed, c.wentOn, c.mixed, c.lost)
				must.Zero(t, c.mixed)
				must.Positive(t, c.wentOn)
			})
		})
	}
}

func newStreamSim(t *testing.T, seed uint64) *streamSim {
	t.Helper()
	s := &streamSim{
		t: t, log: &fakeReplica{leads: true, voters: 3}, copied: &fakeReplica{voters: 3}, rnd: rand.New(rand.NewPCG(seed, 9)), breaks: rand.New(rand.NewPCG(seed, 10)), //nolint:gosec // Repeats.
		stop: make(chan struct{}), upstreams: map[string]*simUpstream{},
	}
	s.counts.lost = map[string]int{}
	s.leader, s.cutOff = s.newHub(s.log, "z1"), s.newHub(s.copied, "z2")
	return s
}

func (s *streamSim) newHub(f *fakeReplica, dataCentre string) *Hub {
	h := &Hub{
		Replica: f, Voters: 3, DataCentre: dataCentre, AnnounceInterval: announceInterval, Log: logr.Discard(),
		Parse: func([]byte) (*conf.Config, error) { return streamConfig(), nil },
	}
	h.LeaderClient = directLeader{h}
	return h
}

func (s *streamSim) play() {
	ctx, cancel := context.WithCancel(s.t.Context())
	var hubs sync.WaitGroup
	for _, h := range []*Hub{s.leader, s.cutOff} {
		hubs.Go(func() { _ = h.Serve(ctx) })
	}
	synctest.Wait()
	must.NoError(s.t, s.leader.Publish(ctx, 1, []byte("one")))
	for _, p := range []string{"engines", "plain"} {
		for range 5 {
			s.addUpstream(p, "v1")
		}
	}
	s.every(announceInterval, s.announce)
	for n := range streamEntries {
		s.start(n)
	}
	time.Sleep(oneVersionSpan)
	s.began = time.Now()
	for n := range 24 {
		rnd := rand.New(rand.NewPCG(uint64(n), s.rnd.Uint64())) //nolint:gosec // Repeats.
		s.wg.Go(func() {
			for s.running() {
				s.stream(rnd)
				time.Sleep(time.Duration(rnd.IntN(150)) * time.Millisecond)
			}
		})
	}
	for end := time.Now().Add(streamSpan); time.Now().Before(end); time.Sleep(time.Duration(s.rnd.IntN(700)) * time.Millisecond) {
		s.fault()
	}
	close(s.stop)
	s.wg.Wait()
	for n := range streamEntries {
		s.entry(n).kill()
	}
	s.procs.Wait()
	cancel()
	hubs.Wait()
}

// since is the time since the simulation began.
func (s *streamSim) since() string { return time.Since(s.began).String() }

func (s *streamSim) running() bool {
	select {
	case <-s.stop:
		return false
	default:
		return true
	}
}

func (s *streamSim) every(interval time.Duration, f func()) {
	f()
	s.wg.Go(func() {
		for s.running() {
			time.Sleep(interval)
			f()
		}
	})
}

// addUpstream starts an upstream of a version.
func (s *streamSim) addUpstream(poolName, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.next.Add(1)
	u := &simUpstream{id: fmt.Sprintf("%s-%d", poolName, n), pool: poolName, version: version, dataCentre: fmt.Sprint("z", 1+n%2)}
	s.upstreams[u.id] = u
}

// announce reports all upstreams that run.
func (s *streamSim) announce() {
	s.mu.Lock()
	list := make([]*simUpstream, 0, len(s.upstreams))
	for _, u := range s.upstreams {
		list = append(list, u)
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b *simUpstream) int { return strings.Compare(a.id, b.id) })
	for _, u := range list {
		s.report(u, false)
	}
}

func (s *streamSim) report(u *simUpstream, ended bool) {
	if u.gone.Load() {
		return
	}
	s.mu.Lock()
	u.seq++
	state := wire.Upstream_STATE_SERVING
	if u.leaving {
		state = wire.Upstream_STATE_LEAVING
	}
	r := &wire.Report{Seq: u.seq, Deregister: ended, Upstream: &wire.Upstream{
		Id: u.id, Address: u.id + ":80", Pool: u.pool, DataCentre: u.dataCentre, Slots: 4, State: state, Version: u.version,
	}}
	h := s.leader
	if s.cut && u.dataCentre == "z2" {
		h = s.cutOff
	}
	s.mu.Unlock()
	_ = h.Report(s.t.Context(), r)
}

// fault brings one fault. Those that last end by themselves, and may overlap with others.
func (s *streamSim) fault() {
	n, span := s.rnd.IntN(streamEntries), time.Duration(100+s.rnd.IntN(3000))*time.Millisecond
	switch s.rnd.IntN(10) {
	case 0:
		s.start(n) // After the process before was killed.
	case 1:
		e := s.entry(n)
		e.cut.Store(true)
		s.wg.Go(func() {
			time.Sleep(span)
			e.cut.Store(false)
		})
	case 2:
		s.log.setLeads(false)
		time.Sleep(span / 4)
		s.log.setLeads(true)
	case 3:
		s.cutDataCentre(span)
	case 4, 5:
		s.leave(span)
	case 6:
		s.crash()
	default:
		s.addUpstream([]string{"engines", "plain"}[s.rnd.IntN(2)], []string{"v1", "v2", "v3"}[s.rnd.IntN(3)])
		s.announce()
	}
}

// pick returns one of the upstreams of a pool that has more than two.
func (s *streamSim) pick() *simUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	poolName := []string{"engines", "plain"}[s.rnd.IntN(2)]
	var list []*simUpstream
	for _, u := range s.upstreams {
		if u.pool == poolName && !u.leaving {
			list = append(list, u)
		}
	}
	if len(list) <= 2 {
		return nil
	}
	slices.SortFunc(list, func(a, b *simUpstream) int { return strings.Compare(a.id, b.id) })
	return list[s.rnd.IntN(len(list))]
}

// leave takes an upstream away after it has said so, or another one of its version as well.
func (s *streamSim) leave(span time.Duration) {
	u := s.pick()
	if u == nil {
		return
	}
	s.mu.Lock()
	u.leaving = true
	s.mu.Unlock()
	s.report(u, false)
	s.wg.Go(func() {
		time.Sleep(span)
		s.report(u, true)
		s.end(u)
	})
}

func (s *streamSim) crash() {
	if u := s.pick(); u != nil {
		s.end(u)
	}
}

func (s *streamSim) end(u *simUpstream) {
	u.gone.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.upstreams, u.id)
}

// cutDataCentre cuts z2 off from the leader for a while.
func (s *streamSim) cutDataCentre(span time.Duration) {
	s.mu.Lock()
	already := s.cut
	s.cut = true
	s.mu.Unlock()
	if already {
		return
	}
	s.copied.follow(s.log)
	s.copied.setCutOff(true)
	s.wg.Go(func() {
		time.Sleep(span)
		s.copied.setCutOff(false)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cut = false
	})
}

// follow takes over the configuration and the roster of another replica.
func (f *fakeReplica) follow(leader *fakeReplica) {
	version, doc := leader.Publication()
	list, _, _ := leader.Roster(0)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Apply(&wire.Command{Kind: &wire.Command_Publish{Publish: &wire.Publish{Version: version, Document: doc}}})
	for _, u := range list {
		f.state.Apply(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Upstream: u}}})
	}
}

func (f *fakeReplica) setCutOff(yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = yes
	f.notifyLocked()
}

func (s *streamSim) entry(n int) *streamEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[n]
}

// start starts the process of an entry, after it has killed the one before.
func (s *streamSim) start(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	e := &streamEntry{sim: s, name: fmt.Sprint("e", n), dataCentre: "z1"}
	if n < 2 {
		e.dataCentre = "z2"
	}
	e.ctx, e.kill = context.WithCancel(s.t.Context())
	incarnation := fmt.Sprint(e.name, "-", s.starts)
	e.Watcher = &watch.Watcher{
		Node: e.name, Incarnation: incarnation, DataCentre: e.dataCentre, Seeds: func() []netip.AddrPort { return []netip.AddrPort{leaderAddr, cutOffAddr} },
		Mesh: e, Parse: func([]byte) (*conf.Config, error) { return streamConfig(), nil }, Log: logr.Discard(),
		Usage: func() []*wire.AccountUsage { return nil },
	}
	e.gate = &gate.Gate{
		Node: e.name, Incarnation: incarnation, DataCentre: e.dataCentre, Cluster: e, Granter: e, Sender: e, Charger: e, Path: e, Origins: e, Dialect: streamDialect{},
		RetryRatio: 1, RetrySlack: 1000, QuotaSlack: 1e9, Log: logr.Discard(),
	}
	e.Watcher.Origins, e.OnMixed = e.gate.KnownOrigins, e.gate.SetMixed
	if old := s.entries[n]; old != nil {
		old.kill()
	}
	s.entries[n] = e
	s.procs.Go(func() { _ = e.Serve(e.ctx) })
	s.procs.Go(e.reportOrigins)
}

// reportOrigins reports streams to the scheduler, as gated.Gated does.
func (e *streamEntry) reportOrigins() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.gate.ReportsPending():
		}
		list := e.gate.TakeOriginReports()
		if len(list) == 0 {
			continue
		}
		if _, err := e.ask(e.ctx, &wire.Frame{Body: &wire.Frame_Origins{Origins: &wire.Origins{Origins: list}}}); err == nil {
			continue
		}
		e.gate.RequeueOriginReports(list)
		time.Sleep(250 * time.Millisecond)
	}
}

// Call sends a frame to a replica, over a link that takes a millisecond and may be cut.
func (e *streamEntry) Call(ctx context.Context, to netip.AddrPort, f *wire.Frame) (*wire.Frame, error) {
	time.Sleep(time.Millisecond)
	s := e.sim
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	switch {
	case e.ctx.Err() != nil, e.cut.Load(), cut && e.dataCentre == "z2" && to == leaderAddr, cut && e.dataCentre != "z2" && to == cutOffAddr:
		select {
		case <-ctx.Done():
		case <-e.ctx.Done():
		}
		return nil, errCut
	}
	if f.GetStatusQuery() != nil {
		return &wire.Frame{Body: &wire.Frame_Status{Status: s.status(to)}}, nil
	}
	h := s.leader
	if to == cutOffAddr {
		h = s.cutOff
	}
	return h.Handle(ctx, f)
}

// status is what a replica says of the group.
func (s *streamSim) status(of netip.AddrPort) *wire.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &wire.Status{DataCentre: "z1"}
	if of == cutOffAddr {
		st.DataCentre, st.CutOff = "z2", s.cut
	}
	if s.log.Leads() && !st.GetCutOff() {
		st.Leader = leaderAddr.String()
	}
	return st
}

// ask sends a frame to the scheduler that the entry follows.
func (e *streamEntry) ask(ctx context.Context, f *wire.Frame) (*wire.Frame, error) {
	to, err := netip.ParseAddrPort(e.Owner("").GetAddress())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return e.Call(ctx, to, f)
}

// Grant asks the scheduler for a slot, as grant.Client does.
func (e *streamEntry) Grant(ctx context.Context, t *wire.Ticket) (*wire.Grant, error) {
	to, err := netip.ParseAddrPort(e.Owner("").GetAddress())
	if err != nil {
		return nil, grant.ErrNoOwner
	}
	f, err := e.Call(ctx, to, &wire.Frame{Body: &wire.Frame_Ticket{Ticket: t}})
	switch r := f.GetDecision().GetRefusal(); {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case err != nil, r.GetCode() == "withdrawn":
		e.Doubt(ctx)
		return nil, grant.ErrNoOwner
	case r != nil:
		return nil, refuse.New(r.GetCode(), "", time.Duration(r.GetRetryAfterUs())*time.Microsecond)
	}
	return f.GetDecision().GetGrant(), nil
}

func (e *streamEntry) Release(r *wire.Release) {
	go func() { _, _ = e.ask(e.ctx, &wire.Frame{Body: &wire.Frame_Release{Release: r}}) }()
}

func (e *streamEntry) Charge(context.Context, *wire.Usage) error { return nil }

func (e *streamEntry) Excuses(string) bool { return false }

func (e *streamEntry) Blocked() bool { return false }

// FindOrigin asks the scheduler at which version a stream began.
func (e *streamEntry) FindOrigin(ctx context.Context, poolName string, stream digest.Digest, maxAge time.Duration) (version string, known bool, err error) {
	f, err := e.ask(ctx, &wire.Frame{Body: &wire.Frame_OriginQuery{OriginQuery: &wire.OriginQuery{Pool: poolName, Stream: stream[:], MaxAgeUs: maxAge.Microseconds()}}})
	if list := f.GetOrigins().GetOrigins(); len(list) > 0 {
		return list[0].GetVersion(), true, err
	}
	return "", false, err
}

// Send runs a request at an upstream, which may break the stream off.
func (e *streamEntry) Send(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
	s := e.sim
	s.mu.Lock()
	u := s.upstreams[r.Header.Get("X-Instance")]
	breakAt := 1 + s.breaks.IntN(3*streamEvents)
	s.mu.Unlock()
	if u == nil || e.ctx.Err() != nil {
		return nil, false, errCut
	}
	from, _ := strconv.Atoi(r.Header.Get("X-Last"))
	pr, pw := io.Pipe()
	s.wg.Go(func() {
		for n := from + 1; n <= streamEvents; n++ {
			time.Sleep(streamStep)
			if n-from >= breakAt || u.gone.Load() || ctx.Err() != nil || e.ctx.Err() != nil {
				_ = pw.CloseWithError(io.ErrUnexpectedEOF)
				return
			}
			if _, err := fmt.Fprintf(pw, "id: %d\ndata: %s\n\n", n, u.version); err != nil {
				return
			}
		}
		_ = pw.Close()
	})
	context.AfterFunc(ctx, func() { _ = pr.CloseWithError(ctx.Err()) })
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: pr, ContentLength: -1, Request: r}, true, nil
}

// stream begins a stream at some entry, and takes it up at others when it breaks off.
func (s *streamSim) stream(rnd *rand.Rand) {
	h := &heldStream{}
	path := []string{"/engines/x", "/plain/x"}[rnd.IntN(2)]
	end := time.Now().Add(streamTimeout)
	for range streamTries {
		taken, before := h.last != "", h.last
		cause := s.try(rnd, h, path, time.Until(end))
		events := h.last != before
		h.trace = append(h.trace, fmt.Sprintf("ends at %s after event %q: %s", s.since(), h.last, cause))
		s.mu.Lock()
		if c := &s.counts; taken {
			c.resumed++
			if events {
				c.wentOn++
			} else {
				c.lost[cause]++
			}
		} else {
			c.sent++
			if events {
				c.began++
			}
		}
		s.mu.Unlock()
		if h.last == strconv.Itoa(streamEvents) || time.Until(end) < 100*time.Millisecond || !s.running() {
			break
		}
		time.Sleep(time.Duration(rnd.IntN(120)) * time.Millisecond)
	}
	slices.Sort(h.versions)
	if len(slices.Compact(h.versions)) > 1 {
		s.t.Log(strings.Join(h.trace, "\n"))
		s.mu.Lock()
		s.counts.mixed++
		s.mu.Unlock()
	}
}

// try sends one attempt to an entry that runs, and returns why it ended.
func (s *streamSim) try(rnd *rand.Rand, h *heldStream, path string, left time.Duration) (cause string) {
	e := s.entry(rnd.IntN(streamEntries))
	ctx, cancel := context.WithTimeout(e.ctx, left)
	defer cancel()
	id := fmt.Sprint("a", s.next.Add(1))
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer k")
	r.Header.Set("X-Id", id)
	r.Header.Set("X-Wait", left.String())
	if h.last != "" {
		r.Header.Set("X-Last", h.last)
		r.Header.Set("X-Resumes", h.first)
	}
	w := &streamWriter{ResponseRecorder: httptest.NewRecorder(), entry: e, stream: h, attempt: id}
	defer func() {
		if p := recover(); p != nil {
			cause = "broken off"
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
		}
	}()
	h.trace = append(h.trace, fmt.Sprintf("%s: %s takes %s at %s (%s)", s.since(), path, id, e.name, e.dataCentre))
	e.gate.ServeHTTP(w, r)
	return strings.TrimSpace(w.text.String())
}

// streamWriter gives a caller the events of an answer while the entry runs.
type streamWriter struct {
	*httptest.ResponseRecorder
	entry   *streamEntry
	stream  *heldStream
	attempt string
	text    bytes.Buffer // Of an answer that is no stream.
}

func (w *streamWriter) Write(p []byte) (int, error) {
	if w.entry.ctx.Err() != nil {
		return 0, errCut
	}
	if w.Code != http.StatusOK {
		return w.text.Write(p)
	}
	for line := range strings.Lines(string(p)) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if w.stream.last == "" {
				w.stream.first = w.attempt
			}
			w.stream.last = id
			w.stream.trace = append(w.stream.trace, id)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			w.stream.versions = append(w.stream.versions, v)
			w.stream.trace = append(w.stream.trace, v)
		}
	}
	return len(p), nil
}

// streamDialect speaks of streams in headers of its own.
type streamDialect struct{ simDialect }

func (streamDialect) Read(h http.Header) (meta.Meta, error) {
	left, err := time.ParseDuration(h.Get("X-Wait"))
	return meta.Meta{ID: h.Get("X-Id"), Deadline: left, Prompt: 100, Answer: streamEvents, LastEvent: h.Get("X-Last"), Resumes: h.Get("X-Resumes")}, err
}

func (streamDialect) Stamp(h http.Header, hop meta.Hop) {
	h.Set("X-Instance", hop.Instance)
	h.Del("X-Last")
	if hop.LastEvent != "" {
		h.Set("X-Last", hop.LastEvent)
	}
}
