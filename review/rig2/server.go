package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// server is a stand-in of the platform's servers. It behaves as PROTOCOL.md says of a sound server.
	server struct {
		f            *fleet
		id, service  string
		ip, zone     string
		slots        int64
		step         time.Duration // Between two events of a stream.
		work         time.Duration // Of a plain request.
		hubs         func() []*proc
		http         *http.Server
		ln           net.Listener
		seq          atomic.Int64
		running      atomic.Int64
		draining     atomic.Bool
		drainAckedAt atomic.Int64 // In nanoseconds since the start of the record; 0 before.
		stop         chan struct{}
		stopped      sync.Once
		ledger       *ledger
		answer       func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool // Takes the place of the sound answer; nil for none.
	}

	// ledger is what all servers ran.
	ledger struct {
		mu   sync.Mutex
		runs map[string][]run // By attempt id.
	}

	run struct {
		server, service, path string
		at, end               time.Duration // Since the start of the record; end is zero while it runs.
		from                  int           // First event that was made.
		made                  int           // Last event.
		whole                 bool
	}
)

const eventTokens = 9

func (f *fleet) newServer(l *ledger, n int, service string, zone int, hubs func() []*proc) *server {
	return &server{
		f: f, id: fmt.Sprintf("i-%08x", 0xb1760000+n), service: service, ip: f.net + strconv.Itoa(100+n), zone: zoneNames[zone], slots: 6,
		step: 20 * time.Millisecond, work: 15 * time.Millisecond, hubs: hubs, stop: make(chan struct{}), ledger: l,
	}
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (s *server) addr() string { return s.ln.Addr().String() }

func (s *server) start() error {
	ln, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return err
	}
	s.ln = ln
	s.http = &http.Server{Handler: s, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	go s.beats()
	return nil
}

// beats announces the server until it ends.
func (s *server) beats() {
	for {
		s.beat()
		select {
		case <-s.stop:
			return
		case <-time.After(beatEvery):
		}
	}
}

// beat sends one heartbeat, to one replica after the other until one acknowledges it.
func (s *server) beat() bool {
	state, draining := "ready", s.draining.Load()
	if draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}`,
		s.service, s.addr(), s.zone, s.slots, state, s.seq.Add(1))
	for _, h := range s.hubs() {
		status, _ := s.f.call("POST", "http://"+h.addr(2)+"/instances/"+s.id+"/heartbeat", []byte(body), time.Second)
		if status == http.StatusOK {
			if draining && s.drainAckedAt.CompareAndSwap(0, int64(s.f.rec.now())) {
				s.f.rec.say("server %s (%s): %s acknowledges that it is draining", s.id, s.service, h.name)
			}
			return true
		}
	}
	return false
}

// drain says that the server is draining until that is acknowledged.
func (s *server) drain() {
	s.f.rec.say("server %s (%s) says that it is draining", s.id, s.service)
	s.draining.Store(true)
	for !s.beat() {
		time.Sleep(200 * time.Millisecond)
	}
}

func (s *server) end() {
	s.stopped.Do(func() {
		close(s.stop)
		if s.http != nil {
			_ = s.http.Close()
		}
	})
}

// ServeHTTP serves one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Azurelane-Attempt-Id")
	h := w.Header()
	if id != "" {
		h.Set("Azurelane-Attempt-Id", id)
	}
	h.Set("Azurelane-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		if x := r.Header.Get("Azurelane-Expect-Instance"); x != "" && x != s.id {
			h.Set("Azurelane-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch x := r.Header.Get("Azurelane-Expect-Instance"); {
	case x != "" && x != s.id:
		h.Set("Azurelane-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("Azurelane-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if n := s.running.Add(1); n > s.slots+20 {
		s.running.Add(-1)
		h.Set("Azurelane-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	h.Set("Azurelane-Instance-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), s.slots))
	if s.answer != nil && s.answer(s, w, r, body) {
		return
	}
	s.serve(w, r, id)
}

// serve runs a request soundly.
func (s *server) serve(w http.ResponseWriter, r *http.Request, id string) {
	entry := s.ledger.begin(id, run{server: s.id, service: s.service, path: r.URL.Path, at: s.f.rec.now()})
	w.Header().Set("Azurelane-Response-Signature", s.id+"."+id)
	if !isStream(r.URL.Path) {
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, plainBody(s.id, id))
		s.ledger.done(id, entry, s.f.rec.now(), 0, true)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last := eventsOf(r)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	made := from
	for n := from + 1; n <= last; n++ {
		select {
		case <-r.Context().Done():
			s.ledger.done(id, entry, s.f.rec.now(), made, false)
			return
		case <-s.stop:
			s.ledger.done(id, entry, s.f.rec.now(), made, false)
			panic(http.ErrAbortHandler)
		case <-time.After(s.step):
		}
		_, _ = io.WriteString(w, event(n))
		_ = http.NewResponseController(w).Flush()
		made = n
	}
	s.ledger.done(id, entry, s.f.rec.now(), made, true)
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of the stream\n\n", n, n) }

func plainBody(server, id string) string {
	return server + " " + id + " " + strings.Repeat("x", 760) + "\n"
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/pufi791/") || strings.HasPrefix(path, "/bopu901/") || strings.HasPrefix(path, "/lohu930/")
}

// eventsOf returns how many events a request's stream has.
func eventsOf(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("Azurelane-Token-Usage"), ",")
	n, _ := strconv.Atoi(out)
	return (n + eventTokens - 1) / eventTokens
}

func (l *ledger) begin(id string, r run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]run{}
	}
	l.runs[id] = append(l.runs[id], r)
	return len(l.runs[id]) - 1
}

func (l *ledger) done(id string, n int, at time.Duration, made int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.runs[id][n]
	r.end, r.made, r.whole = at, made, whole
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}
